"""What each workspace may still start within its limit."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.known_workspaces import KnownWorkspaces
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.unseen_runs import UnseenRuns
from almondspread.jobs.workspace_usage import NOTHING
from almondspread.resources.capacity import Capacity

# Stands for an amount without a limit; it is far above any sum of amounts.
UNLIMITED_AMOUNT = 2**60
# An amount of 0 in a limit sets none.
NO_LIMIT = NOTHING


@define(eq=False)
class WorkspaceLimits:
    """Tells how many tasks of a step may start within the limit of its workspace.

    What a workspace has running is at most the sizes of its bound runs and of the runs
    that it may have on upstreams without a report. A workspace that is removed from the
    configuration keeps its last limit. Where this leader has never seen it in a
    configuration, its limit is not known, and it runs one task or gang at a time, but
    all its lasting tasks: they end by being cancelled only, so that none would follow.

    Lasting tasks must run again within seconds. What they need is kept from the other
    tasks of their workspace, which would else take each part of the limit that is free.
    """

    cell_state: CellState
    unseen: UnseenRuns
    workspaces: KnownWorkspaces
    _kept: dict[str, Capacity] = field(factory=dict)

    def find_limit(self, workspace: str) -> Capacity | None:
        """Return the limit of a workspace, ``None`` if that is not known.

        An amount of 0 sets no limit.
        """
        known = self.workspaces.find(workspace)
        if known is not None:
            return known.limit
        return None if self.workspaces.has_any else NO_LIMIT

    def refresh(self, ready: Iterable[StepProgress], now: timedelta) -> None:
        """Have the runs on unseen upstreams counted again, and what steps keep.

        The ``ready`` steps are those with waiting tasks.
        """
        self.unseen.refresh(now)
        self._kept.clear()
        if not self.workspaces.has_any:
            return
        for progress in ready:
            workspace = progress.job.submission.workspace
            if not workspace or not progress.restarting:
                continue
            needed = progress.step.size.times(len(progress.restarting))
            self._kept[workspace] = self._kept.get(workspace, NOTHING).plus(needed)

    def count_startable(
        self, progress: StepProgress, ending: int = 0, freed: Capacity = NOTHING
    ) -> int:
        """Return how many waiting tasks of a step may start now, of a gang all or none.

        ``ending`` bound runs of the step, and others of the sizes ``freed``, count as
        ended.
        """
        count = len(progress.waiting) + ending
        workspace = progress.job.submission.workspace
        if not workspace:
            return count
        limit = self.find_limit(workspace)
        if limit == NO_LIMIT:
            return count
        unseen = self.unseen.find(workspace)
        if unseen is None:
            return 0
        size = progress.step.size
        used = self.cell_state.usage.find(workspace).plus(unseen)
        used = used.minus(freed).minus(size.times(ending))
        is_lasting = progress.step.lasting
        if not is_lasting:
            used = used.plus(self._kept.get(workspace, NOTHING))
        if limit is not None:
            startable = size.count_in(_find_room(limit, used))
        elif is_lasting:
            startable = count
        else:
            at_once = count if progress.step.gang else 1
            startable = at_once if used == NOTHING else 0
        if progress.step.gang and startable < count:
            return 0
        return max(0, min(startable, count))

    def count_startable_beside(self, progress: StepProgress, taken: Capacity) -> int:
        """Return how many tasks could start beside what others have ``taken``."""
        return self.count_startable(progress, freed=NOTHING.minus(taken))


def measure_earlier_runs(progress: StepProgress) -> Capacity:
    """Return the sizes of the bound runs that end before a step becomes ready."""
    total = NOTHING
    for number in progress.step.after:
        earlier = progress.job.steps[progress.occurrence, number]
        count = sum(len(runs) for runs in earlier.runs.values())
        total = total.plus(earlier.step.size.times(count))
    return total


def _find_room(limit: Capacity, used: Capacity) -> Capacity:
    """Return what is left of a limit.

    >>> _find_room(Capacity(4000, 0), Capacity(1000, 512)).cpu_millis
    3000
    """
    return Capacity(
        limit.cpu_millis - used.cpu_millis if limit.cpu_millis else UNLIMITED_AMOUNT,
        limit.memory_mib - used.memory_mib if limit.memory_mib else UNLIMITED_AMOUNT,
        (
            limit.accelerators - used.accelerators
            if limit.accelerators
            else UNLIMITED_AMOUNT
        ),
    )
