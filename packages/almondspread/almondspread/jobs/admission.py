"""Whether a job is taken on, by how long it would wait."""

from datetime import timedelta

from almondspread.errors import Overloaded, Problem
from almondspread.jobs.configuration import Queue
from almondspread.jobs.ordering import LATE_FACTOR, compute_critical_paths
from almondspread.jobs.submissions import Submission


def decide_admission(
    queue: Queue, submission: Submission, wait: timedelta
) -> Problem | None:
    """Return why a job is refused, ``None`` where it is taken on.

    A job is refused where it would not be done before even a late result has lost
    its worth. ``wait`` is how long a job of this queue waits for room now.
    """
    if any(step.lasting for step in submission.steps) or submission.repetition:
        return None
    chain = max(compute_critical_paths(submission))
    objective = queue.stretch * chain + queue.target_latency
    excess = wait + chain - LATE_FACTOR * objective
    if excess <= timedelta(0):
        return None
    return Overloaded(
        f"a job of {queue.name} would wait {wait.total_seconds():.1f} s for room",
        "submit it again after the time named",
        retry_after_seconds=max(1.0, excess.total_seconds()),
    )
