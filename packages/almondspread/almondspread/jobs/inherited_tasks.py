"""The tasks that earlier leaders may have started, by workspace."""

from collections.abc import Iterable

from attrs import define

from almondspread.jobs.cell_state import find_epoch
from almondspread.jobs.job_records import JobState
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step
from almondspread.jobs.workspace_usage import NOTHING
from almondspread.resources.capacity import Capacity

# A task that may run twice has at most a straggling run and its replacement under one
# leader.
MAX_COPIES = 2


@define(eq=False)
class InheritedTasks:
    """The tasks of a workspace that may run somewhere without being bound.

    ``claims`` is the capacity that they reserve in all, and ``unreserved`` what they
    use beyond that. Of a workspace that ``has_repeated`` jobs, an earlier leader whose
    clock was ahead may have started occurrences that this one has not created.
    """

    claims: Capacity = NOTHING
    unreserved: Capacity = NOTHING
    has_repeated: bool = False
    has_opportunistic: bool = False

    def add(self, step: Step, count: int) -> None:
        """Add some tasks of a step."""
        self.claims = self.claims.plus(step.claim.times(count))
        excess = step.size.minus(step.claim)
        self.unreserved = self.unreserved.plus(excess.times(count))
        self.has_opportunistic = self.has_opportunistic or step.opportunistic


def count_inherited(
    jobs: Iterable[JobProgress], inherited_version: int, epoch: int
) -> dict[str, InheritedTasks]:
    """Return the inherited tasks of each workspace that has any.

    These are the tasks of jobs stored up to ``inherited_version``. An ended job counts
    as well, since its last runs may still be stopping. Runs of ``epoch`` are this
    leader's own.
    """
    found: dict[str, InheritedTasks] = {}
    for job in jobs:
        workspace = job.submission.workspace
        if not workspace or job.version > inherited_version:
            continue
        tasks = found.setdefault(workspace, InheritedTasks())
        if job.submission.repetition is not None:
            tasks.has_repeated = True
        for number, step in enumerate(job.submission.steps):
            progress = job.steps.get((0, number))
            if progress is not None:
                tasks.add(step, _count_unbound(progress, epoch))
            else:
                tasks.add(step, _count_of_ended(step, job.ended))
    return found


def _count_unbound(progress: StepProgress, epoch: int) -> int:
    """Return how many inherited runs of a step there may be that are not bound.

    The other members of a gang that is done may still be running.
    """
    step = progress.step
    if step.duplicates:
        bound = 0
        for runs in progress.runs.values():
            bound += sum(find_epoch(run.number) < epoch for run in runs)
        return max(0, MAX_COPIES * step.count - bound)
    without = set(progress.runs)
    if not step.gang:
        without |= progress.done
    return step.count - len(without)


def _count_of_ended(step: Step, ended: JobState | None) -> int:
    """Return how many runs a step of a job that had ended may still have."""
    if step.duplicates:
        return MAX_COPIES * step.count
    if ended is JobState.COMPLETED and not step.gang:
        return 0
    return step.count
