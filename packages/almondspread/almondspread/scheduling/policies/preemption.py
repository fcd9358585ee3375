"""Which running tasks make room for urgent work.

Only work of an urgent priority preempts, and only tasks of a strictly lower one.
All victims are on one worker, and none of them could be spared. Of the workers the
one is chosen where the fewest service tasks are interrupted, then the fewest gang
tasks, then the least work is lost: processor seconds since the start or the last
checkpoint, or only the time of a checkpoint for a task that can take one.
"""

from collections.abc import Container
from datetime import datetime, timedelta

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

    services: int = 0
    gang_tasks: int = 0
    lost_cpu_seconds: float = 0.0

    def plus(self, other: "PreemptionCost") -> "PreemptionCost":
        """Return the cost of both."""
        return PreemptionCost(
            self.services + other.services,
            self.gang_tasks + other.gang_tasks,
            self.lost_cpu_seconds + other.lost_cpu_seconds,
        )


@define(frozen=True)
class Victims:
    """The tasks to stop on one worker and what that costs."""

    worker: str
    tasks: tuple[str, ...]
    cost: PreemptionCost


def measure_cost(task: RunningTask, now: datetime) -> PreemptionCost:
    """Return what stopping one task costs."""
    lost = max(now - task.saved, timedelta(0))
    if task.checkpointable:
        lost = min(lost, CHECKPOINT_TIME)
    return PreemptionCost(
        int(task.kind == SERVICE),
        int(task.kind == GANG),
        lost.total_seconds() * task.size.cpu_millis / 1_000,
    )


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
        victims = _choose_on_worker(state, candidates, size, now)
        if victims is None:
            continue
        if best is None or (victims.cost, worker) < (best.cost, best.worker):
            best = victims
    return best


def _choose_on_worker(
    state: WorkerState, candidates: list[RunningTask], size: Capacity, now: datetime
) -> Victims | None:
    """Return a set of victims on one worker of which none could be spared."""
    priced = []
    for task in candidates:
        priced.append((measure_cost(task, now), task.name, task))
    priced.sort(key=lambda item: item[:2])
    free = state.free
    taken = []
    for item in priced:
        if size.fits_in(free):
            break
        taken.append(item)
        free = free.plus(item[2].size)
    if not size.fits_in(free):
        return None
    cost = PreemptionCost()
    names = []
    for item in reversed(taken):
        without = free.minus(item[2].size)
        if size.fits_in(without):
            free = without
            continue
        cost = cost.plus(item[0])
        names.append(item[1])
    return Victims(state.name, tuple(reversed(names)), cost)
