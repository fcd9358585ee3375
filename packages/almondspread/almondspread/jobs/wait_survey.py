"""Finds out for all steps of a cell why tasks of theirs do not run."""

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.holds import StartHolds
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.ordering import OVER_SHARE, rank_step
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.jobs.wait_reasons import (
    HoldBounds,
    StepHold,
    WaitReason,
    explain_silent_runs,
    explain_step,
    find_hold,
)


def find_silent(upstreams: Iterable[Upstream]) -> dict[str, timedelta]:
    """Return the upstreams that do not answer, and when their leases have expired.

    An upstream whose executor was lost counts until another one has reached it.
    """
    found = {}
    for upstream in upstreams:
        if upstream.lapse_at is not None:
            found[upstream.name] = upstream.lapse_at
        elif upstream.executor_lost_at is not None:
            found[upstream.name] = upstream.leases_until
    return found


def explain_waits(
    table: JobTable,
    cell_state: CellState,
    holds: StartHolds,
    bounds: HoldBounds,
    count_startable: Callable[[StepProgress], int],
    find_place: Callable[[StepProgress], int],
    now: timedelta,
) -> list[WaitReason]:
    """Return why tasks of steps do not run, for each step with such tasks.

    ``count_startable`` tells how many tasks of a step the limit of its workspace lets
    start, and ``find_place`` its place by the share of its workspace. A step may have
    tasks that wait for different reasons, and tasks with a run on a silent upstream.
    """
    found: list[WaitReason] = []
    steps = []
    for progress in table.ready_steps.values():
        steps.append((progress, find_hold(progress, holds, now)))
    positions = _count_steps_before(table, steps, find_place, now)
    for progress, hold in steps:
        queue = progress.job.submission.find_queue(table.configuration)
        needs_advice = queue is not None and queue.advice is not None
        before = positions.get(progress.key, 0)
        startable = count_startable(progress)
        found += explain_step(
            progress,
            hold,
            bounds,
            now,
            needs_advice,
            before,
            startable,
            before > 0 and _yields(progress, find_place),
        )
    for progress in _list_steps_on(table, cell_state, bounds):
        silent = explain_silent_runs(progress, bounds)
        if silent is not None:
            found.append(silent)
    return found


def _yields(progress: StepProgress, find_place: Callable[[StepProgress], int]) -> bool:
    """Return whether a step comes last because of its workspace's share or rate."""
    if progress.job.is_surplus and not progress.step.lasting:
        return True
    return find_place(progress) == OVER_SHARE


def _count_steps_before(
    table: JobTable,
    steps: list[tuple[StepProgress, StepHold]],
    find_place: Callable[[StepProgress], int],
    now: timedelta,
) -> dict[tuple[str, int, int], int]:
    """Return how many steps for the same service are placed before each step.

    Steps of which nothing may start have no place.
    """
    ranked = []
    for progress, hold in steps:
        if hold.cause is None:
            place = find_place(progress)
            rank = rank_step(progress, table.configuration, now, place)
            ranked.append((rank, progress))
    ranked.sort(key=lambda row: row[0])
    positions = {}
    placed: Counter[str] = Counter()
    for _, progress in ranked:
        service = table.find_service(progress.job.submission)
        positions[progress.key] = placed[service]
        placed[service] += 1
    return positions


def _list_steps_on(
    table: JobTable, cell_state: CellState, bounds: HoldBounds
) -> list[StepProgress]:
    """Return the steps with runs on silent upstreams, of jobs that have not ended."""
    found: dict[tuple[str, int, int], StepProgress] = {}
    for name in bounds.silent:
        for run in cell_state.list_runs(name):
            progress = table.find_step(run)
            if progress.job.ended is None:
                found[progress.key] = progress
    return list(found.values())
