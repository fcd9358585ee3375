"""The order in which steps with waiting tasks get room."""

from datetime import timedelta

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.progress import StepProgress
from almondspread.jobs.submissions import Submission

# Results up to this multiple of the objective still earn a part of their worth.
LATE_FACTOR = 3
CRITICAL_MARGIN = timedelta(milliseconds=100)


def compute_critical_paths(submission: Submission) -> list[timedelta]:
    """Return, for each step, the longest chain of estimates from its start on.

    >>> from almondspread.jobs.submissions import Step
    >>> from almondspread.resources.capacity import Capacity
    >>> second = timedelta(seconds=1)
    >>> size = Capacity(1, 1)
    >>> steps = (Step(1, size, second), Step(1, size, 2 * second, after=(0,)))
    >>> submission = Submission("j", "q", "", steps)
    >>> [path.seconds for path in compute_critical_paths(submission)]
    [3, 2]
    """
    chains = [step.estimate for step in submission.steps]
    followers = [timedelta(0)] * len(chains)
    for number in reversed(range(len(chains))):
        chains[number] += followers[number]
        for earlier in submission.steps[number].after:
            followers[earlier] = max(followers[earlier], chains[number])
    return chains


def rank_step(
    progress: StepProgress, configuration: Configuration, now: timedelta
) -> tuple[int, int, timedelta]:
    """Return the sort key of a step with waiting tasks; the smallest goes first.

    Steps of jobs that can still be on time go first, then those that can still be
    late, then the rest; within each, the queue's priority and the deadline decide.
    """
    submission = progress.job.submission
    queue = configuration.queues.get(submission.queue)
    if queue is None:
        return (2, 0, progress.job.accepted)
    chains = compute_critical_paths(submission)
    objective = queue.stretch * max(chains) + queue.target_latency
    due = progress.job.accepted + objective
    if submission.repetition is not None:
        due += progress.occurrence * submission.repetition.interval
    earliest_end = now + chains[progress.number] + CRITICAL_MARGIN
    if progress.step.lasting or earliest_end <= due:
        return (0, queue.priority, due)
    if earliest_end <= due + (LATE_FACTOR - 1) * objective:
        return (1, queue.priority, due)
    return (2, queue.priority, due)
