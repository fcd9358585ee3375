"""Lasting tasks on upstreams that are silent, for which permits are requested ahead.

Such a task is without a run until the leases of its upstream have expired. It must not
wait for a decision of the advice service after that.
"""

from collections.abc import Callable
from datetime import timedelta

from attrs import define

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.step_progress import StepProgress


@define(eq=False)
class ExpiringTasks:
    """The tasks of a step whose runs are about to be lost, the first ``at`` a time."""

    progress: StepProgress
    at: timedelta
    count: int = 0


def list_expiring_tasks(
    cell_state: CellState, find_step: Callable[[Run], StepProgress], now: timedelta
) -> list[ExpiringTasks]:
    """Return the lasting tasks on upstreams whose leases are about to expire."""
    found: dict[tuple[str, int, int], ExpiringTasks] = {}
    for upstream in cell_state.upstreams.values():
        if upstream.lapse_at is None or upstream.lapse_at <= now:
            continue
        for run in cell_state.list_runs(upstream.name):
            progress = find_step(run)
            if not progress.step.lasting or progress.job.ended is not None:
                continue
            expiring = found.setdefault(
                progress.key, ExpiringTasks(progress, upstream.lapse_at)
            )
            expiring.at = min(expiring.at, upstream.lapse_at)
            expiring.count += 1
    return list(found.values())
