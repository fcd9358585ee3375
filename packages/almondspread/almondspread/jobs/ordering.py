"""The order in which steps with waiting tasks are placed."""

from datetime import timedelta

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.step_progress import StepProgress

# The group of a step, its place by the share of its workspace, the priority of its
# queue, and when its job is due.
StepRank = tuple[int, int, int, timedelta]

# Steps whose jobs can still be on time.
FIRST_GROUP = 0
# Steps whose jobs are late, but whose results still have a part of their value.
LATE_GROUP = 1
# Steps of jobs beyond the rate of their workspace, whose results can have value.
SURPLUS_GROUP = 2
# Steps whose results can have no value any more.
LAST_GROUP = 3
# Within the first group, the steps of workspaces that have less than their share of the
# service come before those of others.
UNDER_SHARE = 0
OVER_SHARE = 1
# A result keeps a part of its value up to this multiple of the objective.
LATE_FACTOR = 3
# Steps whose slack is below this margin no longer count as able to be on time.
CRITICAL_MARGIN = timedelta(milliseconds=100)


def rank_step(
    progress: StepProgress,
    configuration: Configuration,
    now: timedelta,
    share_place: int = UNDER_SHARE,
) -> StepRank:
    """Return the sort key of a step with waiting tasks; the lowest is placed first.

    Steps of jobs that can still meet their deadline come first, then those whose late
    result still has value, then those of surplus jobs, then the rest. Within the first
    group, ``share_place`` decides. Within each of these groups, the queue's priority
    decides, and then the earliest deadline. Lasting tasks are never surplus, since they
    must not be without a run for long.
    """
    submission = progress.job.submission
    queue = submission.find_queue(configuration)
    if queue is None:
        return (LAST_GROUP, UNDER_SHARE, 0, progress.job.accepted)
    paths = progress.job.critical_paths
    objective = queue.stretch * max(paths) + queue.target_latency
    due = progress.job.accepted + objective
    if submission.repetition is not None:
        due += progress.occurrence * submission.repetition.interval
    if progress.step.lasting:
        return (FIRST_GROUP, share_place, queue.priority, due)
    earliest_end = now + paths[progress.number] + CRITICAL_MARGIN
    if earliest_end > due + (LATE_FACTOR - 1) * objective:
        return (LAST_GROUP, UNDER_SHARE, queue.priority, due)
    if progress.job.is_surplus:
        return (SURPLUS_GROUP, UNDER_SHARE, queue.priority, due)
    if earliest_end > due:
        return (LATE_GROUP, UNDER_SHARE, queue.priority, due)
    return (FIRST_GROUP, share_place, queue.priority, due)
