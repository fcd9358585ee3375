"""Capacity reservations, and planning where a gang can start earliest."""

import heapq
from collections.abc import Container, Iterator, Sequence
from datetime import datetime

from attrs import define, field

from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.running import RunningTask, RunningTasks

OVERRUN_FRACTION = 0.5


@define(frozen=True)
class ReservationPlan:
    """How many tasks start on each worker, and when they are expected to start."""

    tasks_per_worker: dict[str, int]
    expected_start: datetime


@define
class Reservation:
    """Capacity that is reserved for one waiting gang, or for one urgent task.

    ``size`` is the size of one task. ``reserved`` is the capacity that is committed
    so far on each planned worker. Other work may take that capacity only at a
    priority above ``priority``. The capacity is not ``lendable`` from when the
    scheduler decides to stop the tasks that borrowed it until the next plan.
    ``planned_at`` is the time of the last attempt to compute a plan.
    """

    workload: str
    priority: int
    size: Capacity
    plan: ReservationPlan
    expires_at: datetime
    planned_at: datetime
    reserved: dict[str, Capacity] = field(factory=dict)
    lendable: bool = True

    @property
    def group(self) -> str:
        """The group name under which the cell counts the reserved capacity."""
        return f"hold/{self.workload}"

    @property
    def is_complete(self) -> bool:
        """Whether the reserved capacity fits all planned tasks."""
        for worker in self.plan.tasks_per_worker:
            if self.get_missing(worker) != Capacity(0, 0):
                return False
        return True

    def get_missing(self, worker: str) -> Capacity:
        """Return the capacity that the plan needs but lacks on a worker."""
        needed = self.size.times(self.plan.tasks_per_worker.get(worker, 0))
        return needed.minus(self.reserved.get(worker, Capacity(0, 0)))

    def fill(self, cell: Cell) -> None:
        """Commit the free capacity that the plan still needs."""
        for worker in self.plan.tasks_per_worker:
            missing = self.get_missing(worker)
            free = cell.worker(worker).free
            added = Capacity(
                min(missing.cpu_millis, free.cpu_millis),
                min(missing.memory_mib, free.memory_mib),
                min(missing.accelerators, free.accelerators),
            )
            if added == Capacity(0, 0):
                continue
            reserved = self.reserved.get(worker, Capacity(0, 0))
            self.release_worker(cell, worker)
            self.reserved[worker] = reserved.plus(added)
            cell.commit(worker, self.group, self.reserved[worker])

    def release(self, cell: Cell) -> None:
        """Release the reserved capacity on all workers."""
        for worker in list(self.reserved):
            self.release_worker(cell, worker)

    def release_worker(self, cell: Cell, worker: str) -> None:
        """Release the reserved capacity on one worker, if there is any."""
        reserved = self.reserved.pop(worker, None)
        if reserved is None or not cell.has_worker(worker):
            return
        if self.group in cell.worker(worker).group_counts:
            cell.release(worker, self.group, reserved)

    def is_feasible(self, cell: Cell) -> bool:
        """Return whether all planned workers take tasks and keep the reservation."""
        for worker in self.plan.tasks_per_worker:
            if not cell.has_worker(worker) or cell.worker(worker).exclusion:
                return False
            if (
                worker in self.reserved
                and self.group not in cell.worker(worker).group_counts
            ):
                return False
        return True


def plan_reservation(
    cell: Cell,
    running: RunningTasks,
    size: Capacity,
    tasks: int,
    now: datetime,
    evictable: Container[str] = (),
    others: Sequence[Reservation] = (),
) -> ReservationPlan | None:
    """Plan ``tasks`` tasks of a size where they are expected to start earliest.

    The capacity of ``evictable`` tasks counts as free, and the capacity that the
    reservations in ``others`` still miss counts as taken. Returns ``None`` if the
    whole gang would not fit even after the tasks that are expected to end have ended.
    """
    candidates = []
    for state in cell.iterate_workers():
        if state.exclusion:
            continue
        free = state.free
        for other in others:
            free = free.minus(other.get_missing(state.name))
        worker_tasks = running.list_on(state.name)
        times = _iterate_fit_times(free, worker_tasks, size, now, evictable)
        first = next(times, None)
        if first is not None:
            candidates.append((first, state.name, times))
    heapq.heapify(candidates)
    plan: dict[str, int] = {}
    start = now
    for _ in range(tasks):
        if not candidates:
            return None
        start, worker, times = heapq.heappop(candidates)
        plan[worker] = plan.get(worker, 0) + 1
        next_time = next(times, None)
        if next_time is not None:
            heapq.heappush(candidates, (next_time, worker, times))
    return ReservationPlan(plan, start)


def _estimate_end(task: RunningTask, now: datetime) -> datetime:
    """Return when a task is expected to end.

    A task that runs longer than expected is assumed to run on for
    ``OVERRUN_FRACTION`` of the time since its start or last checkpoint.
    """
    assert task.expected_end is not None
    overdue_end = now + (now - task.saved_at) * OVERRUN_FRACTION
    return task.expected_end if task.expected_end > now else overdue_end


def _iterate_fit_times(
    free: Capacity,
    tasks: list[RunningTask],
    size: Capacity,
    now: datetime,
    evictable: Container[str],
) -> Iterator[datetime]:
    """Yield the expected time at which each further task fits on a worker."""
    ends = []
    for task in tasks:
        if task.name in evictable:
            free = free.plus(task.size)
        elif task.expected_end is not None:
            ends.append((_estimate_end(task, now), task.name, task.size))
    while size.fits_in(free):
        yield now
        free = free.minus(size)
    ends.sort(key=lambda end: end[:2])
    for end, _, freed in ends:
        free = free.plus(freed)
        while size.fits_in(free):
            yield end
            free = free.minus(size)
