"""Preemption: which running tasks to stop so that an urgent task fits.

Only work of an urgent priority preempts, and only tasks of a strictly lower priority
are preempted. All victims run on one worker, and every victim is needed: the urgent
task would not fit if any one of them kept running. Of all workers, the scheduler
chooses the one where the fewest service tasks are interrupted, then the fewest gang
tasks, then the least work is lost. Lost work is measured in processor seconds since
the start or the last checkpoint; for a checkpointable task it is at most the time to
take a checkpoint.
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
    """The cost of stopping some tasks, compared field by field in order."""

    service_tasks: int
    gang_tasks: int
    lost_cpu_seconds: float


@define(frozen=True)
class Victims:
    """The tasks to stop on one worker, and the cost of stopping them."""

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

    Returns ``None`` if ``priority`` is not urgent or if no worker has suitable
    victims. ``spared`` names tasks that must not be chosen, for example because they
    are already being stopped.
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
    """Return whether a size would fit on a worker without the given tasks."""
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
    """Return the victims on one worker, chosen by ascending cost.

    Victims that turn out not to be needed are removed again, most expensive first.
    """
    costs = []
    for task in candidates:
        costs.append((_compute_cost(task, now), task.name, task))
    costs.sort(key=itemgetter(0, 1))
    victims: list[RunningTask] = []
    for _, _, task in costs:
        if _would_fit(state, victims, size):
            break
        victims.append(task)
    for task in reversed(list(victims)):
        others = [other for other in victims if other is not task]
        if _would_fit(state, others, size):
            victims = others
    service_tasks = gang_tasks = 0
    lost_cpu_seconds = 0.0
    for task in victims:
        cost = _compute_cost(task, now)
        service_tasks += cost[0]
        gang_tasks += cost[1]
        lost_cpu_seconds += cost[2]
    names = tuple(task.name for task in victims)
    return Victims(
        state.name, names, PreemptionCost(service_tasks, gang_tasks, lost_cpu_seconds)
    )


def _compute_cost(task: RunningTask, now: datetime) -> tuple[int, int, float]:
    """Return the fields of a ``PreemptionCost`` for one task.

    The result is a plain tuple because the cost of every running task of the cell is
    computed in each search for victims.
    """
    lost_seconds = (now - task.saved_at).total_seconds()
    if task.checkpointable:
        lost_seconds = min(lost_seconds, CHECKPOINT_TIME.total_seconds())
    return (
        int(task.kind == SERVICE),
        int(task.kind == GANG),
        max(lost_seconds, 0.0) * task.size.cpu_millis / 1_000,
    )
