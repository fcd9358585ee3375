"""The order in which steps with waiting tasks are placed."""

from datetime import timedelta

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.progress import StepProgress
from almondspread.jobs.submissions import Submission

# The group of a step, the priority of its queue, and when its job is due.
StepRank = tuple[int, int, timedelta]

# Steps whose jobs can still be on time.
FIRST_GROUP = 0
# Steps whose results can have no value any more.
LAST_GROUP = 2
# A result keeps a part of its value up to this multiple of the objective.
LATE_FACTOR = 3
# Steps whose slack is below this margin no longer count as able to be on time.
CRITICAL_MARGIN = timedelta(milliseconds=100)


def compute_critical_paths(submission: Submission) -> list[timedelta]:
    """Return the length of the critical path from the start of each step on.

    The length is the largest sum of estimates along a chain of dependent steps.

    >>> from almondspread.jobs.submissions import Step
    >>> from almondspread.resources.capacity import Capacity
    >>> second = timedelta(seconds=1)
    >>> size = Capacity(1, 1)
    >>> steps = (Step(1, size, second), Step(1, size, 2 * second, after=(0,)))
    >>> submission = Submission("j", "q", "", steps)
    >>> [path.seconds for path in compute_critical_paths(submission)]
    [3, 2]
    """
    paths = [step.estimate for step in submission.steps]
    successor_paths = [timedelta(0)] * len(paths)
    for number in reversed(range(len(paths))):
        paths[number] += successor_paths[number]
        for earlier in submission.steps[number].after:
            successor_paths[earlier] = max(successor_paths[earlier], paths[number])
    return paths


def rank_step(
    progress: StepProgress, configuration: Configuration, now: timedelta
) -> StepRank:
    """Return the sort key of a step with waiting tasks; the lowest is placed first.

    Steps of jobs that can still meet their deadline come first, then those whose late
    result still has value, then the rest. Within each of these groups, the queue's
    priority decides, and then the earliest deadline.
    """
    submission = progress.job.submission
    queue = configuration.queues.get(submission.queue)
    if queue is None:
        return (LAST_GROUP, 0, progress.job.accepted)
    paths = compute_critical_paths(submission)
    objective = queue.stretch * max(paths) + queue.target_latency
    due = progress.job.accepted + objective
    if submission.repetition is not None:
        due += progress.occurrence * submission.repetition.interval
    earliest_end = now + paths[progress.number] + CRITICAL_MARGIN
    if progress.step.lasting or earliest_end <= due:
        return (FIRST_GROUP, queue.priority, due)
    if earliest_end <= due + (LATE_FACTOR - 1) * objective:
        return (1, queue.priority, due)
    return (LAST_GROUP, queue.priority, due)
