"""The order in which steps with waiting tasks are placed."""

from datetime import timedelta

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.step_progress import StepProgress

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


def rank_step(
    progress: StepProgress, configuration: Configuration, now: timedelta
) -> StepRank:
    """Return the sort key of a step with waiting tasks; the lowest is placed first.

    Steps of jobs that can still meet their deadline come first, then those whose late
    result still has value, then the rest. Within each of these groups, the queue's
    priority decides, and then the earliest deadline.
    """
    submission = progress.job.submission
    queue = submission.find_queue(configuration)
    if queue is None:
        return (LAST_GROUP, 0, progress.job.accepted)
    paths = progress.job.critical_paths
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
