"""Selection of the runs to move off upstreams that are about to leave."""

from collections.abc import Callable, Collection
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.placement import has_room
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.stragglers import estimate_time_left
from almondspread.jobs.upstreams import Upstream

# A run that is estimated to end at most this long after the upstream leaves stays.
LATENESS_ALLOWED = timedelta(milliseconds=800)


def choose_evacuations(
    find_step: Callable[[Run], StepProgress], cell_state: CellState, now: timedelta
) -> list[Run]:
    """Return the runs on leaving upstreams that should be stopped and moved now.

    A lasting task moves if its step may have one more task unavailable, beside those on
    upstreams that may be taken down at any moment. Any other task moves if it would not
    end before the upstream leaves and another upstream has room for it.
    """
    free_capacity = _FreeCapacity(cell_state, now)
    chosen = []
    newly_unavailable: dict[tuple[str, int, int], int] = {}
    going_down = _count_working(
        find_step, cell_state, _list_going_down(cell_state, now)
    )
    for upstream in cell_state.upstreams.values():
        if not upstream.is_leaving or upstream.lapse_at is not None:
            continue
        for run in cell_state.list_runs(upstream.name):
            progress = find_step(run)
            if run.phase is RunPhase.STOPPING and progress.job.ended is None:
                # The run already moves to another upstream and takes room there.
                free_capacity.reserve(progress, upstream)
            if run.phase is not RunPhase.RUNNING:
                continue
            if progress.step.lasting:
                # A task that goes down with its upstream had better move in time.
                is_down_soon = _is_going_down(upstream, now)
                other = 0 if is_down_soon else going_down.get(progress.key, 0)
                taken = newly_unavailable.get(progress.key, 0) + other
                if not _may_move(progress, run, taken):
                    continue
                newly_unavailable[progress.key] = (
                    newly_unavailable.get(progress.key, 0) + 1
                )
            elif _may_stay(progress, run, upstream, now):
                continue
            elif not free_capacity.reserve(progress, upstream):
                continue
            _log_run_move(run)
            chosen.append(run)
    return chosen


def may_stop_all(
    find_step: Callable[[Run], StepProgress],
    cell_state: CellState,
    upstream: str,
    others: Collection[str] = (),
) -> bool:
    """Tell whether all runs of an upstream may be stopped at once.

    The tasks of a step with an unavailable limit that are away, and those that work on
    the upstream or on ``others``, which are about to be taken down as well, must
    together stay within the limit.
    """
    working = _count_working(find_step, cell_state, {upstream, *others})
    for run in cell_state.list_runs(upstream):
        progress = find_step(run)
        count = working.get(progress.key, 0)
        if not progress.step.lasting or not _is_working(progress, run):
            continue
        if progress.count_unavailable() + count > progress.step.unavailable_limit:
            return False
    return True


def _is_working(progress: StepProgress, run: Run) -> bool:
    """Tell whether a run does work that its step may miss only within a limit."""
    is_limited = progress.step.unavailable_limit > 0
    return is_limited and run.available and run.phase is RunPhase.RUNNING


def _count_working(
    find_step: Callable[[Run], StepProgress],
    cell_state: CellState,
    upstreams: Collection[str],
) -> dict[tuple[str, int, int], int]:
    """Return how many tasks of each limited step work on some upstreams."""
    working: dict[tuple[str, int, int], int] = {}
    for name in upstreams:
        for run in cell_state.list_runs(name):
            progress = find_step(run)
            if _is_working(progress, run):
                working[progress.key] = working.get(progress.key, 0) + 1
    return working


def _is_going_down(upstream: Upstream, now: timedelta) -> bool:
    """Tell whether an order of the leader may take an upstream down at any moment."""
    return upstream.leaves_at is not None and upstream.leaves_at <= now


def _list_going_down(cell_state: CellState, now: timedelta) -> set[str]:
    """Return the upstreams that an order may take down at any moment."""
    upstreams = cell_state.upstreams.values()
    return {each.name for each in upstreams if _is_going_down(each, now)}


def _log_run_move(run: Run) -> None:
    """Log that a run is stopped in order to start its task on another upstream."""
    logger.info(
        "run moved",
        job=run.task.job,
        task=str(run.task),
        run=run.number,
        upstream=run.upstream,
        percent=run.percent,
        reason="upstream leaving",
    )


def _may_move(progress: StepProgress, run: Run, taken: int) -> bool:
    """Tell whether a lasting task may move; gang members cannot move one by one.

    ``taken`` is how many other tasks of its step may become unavailable meanwhile.
    """
    if progress.step.gang:
        return False
    if not progress.step.unavailable_limit or not run.available:
        return True
    return progress.count_unavailable() + taken < progress.step.unavailable_limit


def _may_stay(
    progress: StepProgress, run: Run, upstream: Upstream, now: timedelta
) -> bool:
    """Tell whether a run may stay until its upstream leaves.

    Members of a gang stay, as all of them would have to move, and so do opportunistic
    tasks and tasks that have a second run.
    """
    step = progress.step
    if step.gang or step.opportunistic or len(progress.runs[run.task.index]) > 1:
        return True
    left = estimate_time_left(step, run, now)
    return left <= upstream.find_time_left(now) + LATENESS_ALLOWED


@define(eq=False)
class _FreeCapacity:
    """The free capacity of upstreams that stay, minus the runs that move there."""

    cell_state: CellState
    now: timedelta
    _reserved: dict[str, int] = field(factory=dict)

    def reserve(self, progress: StepProgress, leaving: Upstream) -> bool:
        """Reserve room for one task; return false if no upstream has any."""
        step = progress.step
        for upstream in self.cell_state.upstreams.values():
            if upstream.entry.service != leaving.entry.service:
                continue
            if not upstream.is_usable(self.now):
                continue
            if not has_room(step, upstream):
                continue
            reserved = self._reserved.get(upstream.name, 0)
            free = upstream.free.cpu_millis - reserved
            if step.claim.cpu_millis <= free:
                self._reserved[upstream.name] = reserved + step.claim.cpu_millis
                return True
        return False
