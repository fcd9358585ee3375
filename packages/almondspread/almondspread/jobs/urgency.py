"""Which steps prefer fast upstreams: those that decide when their job ends."""

from collections.abc import Mapping
from datetime import timedelta

from almondspread.jobs.ordering import FIRST_GROUP, StepRank
from almondspread.jobs.placement import NO_DIFFERENCES
from almondspread.jobs.speeds import UpstreamSpeeds
from almondspread.jobs.step_progress import StepProgress

# With less slack than this share of its remaining path, a job would be late if the path
# ran on the slowest kind.
NEARLY_LATE_SHARE = 0.5


def is_urgent(progress: StepProgress, rank: StepRank, now: timedelta) -> bool:
    """Return whether a step that may be on time should run on fast upstreams.

    It should if the longest chain of the job's incomplete steps begins with it, or if
    its job is nearly late.
    """
    group, _, _, due = rank
    step = progress.step
    if group != FIRST_GROUP or step.lasting or step.opportunistic:
        return False
    paths = progress.job.critical_paths
    path = paths[progress.number]
    if due - now - path < path * NEARLY_LATE_SHARE:
        return True
    for number, other in enumerate(paths):
        if other <= path:
            continue
        if not progress.job.steps[progress.occurrence, number].is_complete:
            return False
    return True


def find_slowness(
    progress: StepProgress, rank: StepRank, speeds: UpstreamSpeeds, now: timedelta
) -> Mapping[str, int]:
    """Return the ranks of upstreams by speed, if the step is to prefer fast ones."""
    if not speeds.slowness or not is_urgent(progress, rank, now):
        return NO_DIFFERENCES
    return speeds.slowness
