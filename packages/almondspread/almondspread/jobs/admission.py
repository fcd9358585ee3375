"""Admission control: whether a job is accepted, given how long it would wait."""

from datetime import timedelta

from almondspread.errors import Overloaded, Problem
from almondspread.jobs.configuration import Queue
from almondspread.jobs.ordering import LATE_FACTOR
from almondspread.jobs.submissions import Submission, compute_critical_paths


def decide_admission(
    queue: Queue, submission: Submission, wait: timedelta
) -> Problem | None:
    """Return the problem for which a job is refused, or ``None`` if it is admitted.

    A job is refused if its result would be too late to have any value. ``wait`` is how
    long a job of this queue would wait for capacity now. Jobs with lasting tasks and
    repeated jobs are always admitted.
    """
    if any(step.lasting for step in submission.steps) or submission.repetition:
        return None
    path = max(compute_critical_paths(submission))
    objective = queue.stretch * path + queue.target_latency
    excess = wait + path - LATE_FACTOR * objective
    if excess <= timedelta(0):
        return None
    return Overloaded(
        f"a job of {queue.name} would wait {wait.total_seconds():.1f} s for capacity",
        "submit it again after the time given in Retry-After",
        retry_after_seconds=max(1.0, excess.total_seconds()),
    )
