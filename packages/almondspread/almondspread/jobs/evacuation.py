"""Runs to move off upstreams that are about to leave."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.placement import has_room
from almondspread.jobs.progress import Run, RunPhase, StepProgress
from almondspread.jobs.stragglers import estimate_time_left
from almondspread.jobs.upstreams import Upstream

# A run that would end this soon after the upstream may leave is left to try.
LATENESS_ALLOWED = timedelta(milliseconds=800)


def choose_evacuations(
    find_step: Callable[[Run], StepProgress], cell_state: CellState, now: timedelta
) -> list[Run]:
    """Return the runs on leaving upstreams that should be stopped and moved now.

    Lasting tasks move while their step may miss one more task. Others move where they
    would not be done before the upstream leaves and there is room for them elsewhere.
    """
    room = _Room(cell_state, now)
    chosen = []
    away: dict[tuple[str, int, int], int] = {}
    for upstream in cell_state.upstreams.values():
        if not upstream.is_leaving or upstream.lapse_at is not None:
            continue
        for run in cell_state.list_runs(upstream.name):
            progress = find_step(run)
            if run.phase is RunPhase.STOPPING and progress.job.ended is None:
                # It is on its way to another upstream already.
                room.take(progress, upstream)
            if run.phase is not RunPhase.RUNNING:
                continue
            if progress.step.lasting:
                if not _may_miss(progress, run, away):
                    continue
                away[progress.key] = away.get(progress.key, 0) + 1
            elif _ends_in_time(progress, run, upstream, now):
                continue
            elif not room.take(progress, upstream):
                continue
            _log_move(run)
            chosen.append(run)
    return chosen


def may_stop_all(
    find_step: Callable[[Run], StepProgress], cell_state: CellState, upstream: str
) -> bool:
    """Tell whether the lasting tasks on an upstream may all be away at once."""
    away: dict[tuple[str, int, int], int] = {}
    for run in cell_state.list_runs(upstream):
        progress = find_step(run)
        if not progress.step.lasting or not run.available:
            continue
        if not _may_be_away(progress, run, away):
            return False
        away[progress.key] = away.get(progress.key, 0) + 1
    return True


def _log_move(run: Run) -> None:
    """Log that a run is stopped to be started elsewhere."""
    logger.info(
        "run moved",
        job=run.task.job,
        task=str(run.task),
        run=run.number,
        upstream=run.upstream,
        percent=run.percent,
        reason="upstream leaving",
    )


def _may_miss(
    progress: StepProgress, run: Run, away: dict[tuple[str, int, int], int]
) -> bool:
    """Tell whether a lasting task may move; members of a gang cannot one by one."""
    return not progress.step.gang and _may_be_away(progress, run, away)


def _may_be_away(
    progress: StepProgress, run: Run, away: dict[tuple[str, int, int], int]
) -> bool:
    """Tell whether one more lasting task of a step may be away."""
    limit = progress.step.unavailable_limit
    if not limit or not run.available:
        return True
    return progress.count_unavailable() + away.get(progress.key, 0) < limit


def _ends_in_time(
    progress: StepProgress, run: Run, upstream: Upstream, now: timedelta
) -> bool:
    """Tell whether a run may be done before its upstream leaves.

    Members of a gang would all have to move, and copies have another run.
    """
    step = progress.step
    if step.gang or step.opportunistic or len(progress.runs[run.task.index]) > 1:
        return True
    left = estimate_time_left(step, run, now)
    return left <= upstream.find_time_left(now) + LATENESS_ALLOWED


@define(eq=False)
class _Room:
    """The room on upstreams that stay, less what is being moved there."""

    cell_state: CellState
    now: timedelta
    _taken: dict[str, int] = field(factory=dict)

    def take(self, progress: StepProgress, leaving: Upstream) -> bool:
        """Set room for one task aside; false where there is none."""
        step = progress.step
        for upstream in self.cell_state.upstreams.values():
            if upstream.entry.service != leaving.entry.service:
                continue
            if not upstream.is_usable(self.now):
                continue
            if not has_room(step, upstream):
                continue
            taken = self._taken.get(upstream.name, 0)
            free = upstream.free.cpu_millis - taken
            if step.claim.cpu_millis <= free:
                self._taken[upstream.name] = taken + step.claim.cpu_millis
                return True
        return False
