"""Which running tasks make room for urgent work.

Only work of an urgent priority preempts, and only tasks of a strictly lower one.
All victims are on one worker, and none of them could be spared. Of the workers the
one is chosen where the fewest service tasks are interrupted, then the fewest gang
tasks, then the least work is lost: processor seconds since the start or the last
checkpoint, or only the time of a checkpoint for a task that can take one.
"""

from collections.abc import Container
from datetime import datetime, timedelta
from operator import itemgetter

from attrs import define

from almondspread.placement import Cell, WorkerState
from almondspread.resources.capacity import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.policies.running import (
    GANG,
    SERVICE,
    RunningTask,
    RunningTasks,
)

CHECKPOINT_TIME = timedelta(seconds=1)


@define(frozen=True, order=True)
class PreemptionCost:
    """What stopping some tasks costs, compared field by field."""

    service_tasks: int
    gang_tasks: int
    lost_cpu_seconds: float


@define(frozen=True)
class Victims:
    """The tasks to stop on one worker and what that costs."""

    worker: str
    tasks: tuple[str, ...]
    cost: PreemptionCost


def choose_victims(
    cell: Cell,
    running: RunningTasks,
    size: Capacity,
    priority: int,
    now: datetime,
    spared: Container[str] = (),
) -> Victims | None:
    """Return the cheapest tasks to stop so that a task of ``size`` fits.

    ``spared`` names tasks that must not be chosen, as those already being stopped.
    """
    if priority < URGENT_PRIORITY:
        return None
    best = None
    for worker in running.list_workers():
        if not cell.has_worker(worker):
            continue
        state = cell.worker(worker)
        if state.exclusion or not size.fits_in(state.capacity):
            continue
        candidates = []
        for task in running.list_on(worker):
            if task.priority < priority and task.name not in spared:
                candidates.append(task)
        if not _would_fit(state, candidates, size):
            continue
        victims = _choose_on_worker(state, candidates, size, now)
        if best is None or (victims.cost, worker) < (best.cost, best.worker):
            best = victims
    return best


def _would_fit(state: WorkerState, tasks: list[RunningTask], size: Capacity) -> bool:
    """Tell whether a size would fit on a worker without the given tasks."""
    cpu = state.free_cpu_millis
    memory = state.free_memory_mib
    accelerators = state.free_accelerators
    for task in tasks:
        cpu += task.size.cpu_millis
        memory += task.size.memory_mib
        accelerators += task.size.accelerators
    return (
        cpu >= size.cpu_millis
        and memory >= size.memory_mib
        and accelerators >= size.accelerators
    )


def _choose_on_worker(
    state: WorkerState, candidates: list[RunningTask], size: Capacity, now: datetime
) -> Victims:
    """Return victims on one worker, cheapest first and none that could be spared."""
    priced = []
    for task in candidates:
        priced.append((_compute_cost(task, now), task.name, task))
    priced.sort(key=itemgetter(0, 1))
    taken: list[RunningTask] = []
    for _, _, task in priced:
        if _would_fit(state, taken, size):
            break
        taken.append(task)
    for task in reversed(list(taken)):
        others = [other for other in taken if other is not task]
        if _would_fit(state, others, size):
            taken = others
    services = gang_tasks = 0
    lost = 0.0
    for task in taken:
        cost = _compute_cost(task, now)
        services += cost[0]
        gang_tasks += cost[1]
        lost += cost[2]
    names = tuple(task.name for task in taken)
    return Victims(state.name, names, PreemptionCost(services, gang_tasks, lost))


def _compute_cost(task: RunningTask, now: datetime) -> tuple[int, int, float]:
    """Return the fields of a ``PreemptionCost`` for one task.

    A plain tuple, as this is asked for every running task of the cell.
    """
    lost = (now - task.saved_at).total_seconds()
    if task.checkpointable:
        lost = min(lost, CHECKPOINT_TIME.total_seconds())
    return (
        int(task.kind == SERVICE),
        int(task.kind == GANG),
        max(lost, 0.0) * task.size.cpu_millis / 1_000,
    )
