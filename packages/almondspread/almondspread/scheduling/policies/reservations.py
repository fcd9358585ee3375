"""The room that one waiting gang holds, and where room is expected first."""

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
    """How many tasks of a gang start on each worker, and when that is expected."""

    tasks_per_worker: dict[str, int]
    expected_start: datetime


@define
class Reservation:
    """The room that one gang waits for.

    ``held`` is what is committed so far on the planned workers. ``priority`` is what
    other work must exceed to take that room. Room is lent until tasks that borrowed
    it are told to stop.
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
        """The name under which the cell counts what is held."""
        return f"hold/{self.workload}"

    @property
    def is_complete(self) -> bool:
        """Whether there is room for the whole gang."""
        for worker in self.plan.tasks_per_worker:
            if self.get_missing(worker) != Capacity(0, 0):
                return False
        return True

    def get_missing(self, worker: str) -> Capacity:
        """Return what the plan still needs on a worker."""
        needed = self.size.times(self.plan.tasks_per_worker.get(worker, 0))
        return needed.minus(self.reserved.get(worker, Capacity(0, 0)))

    def fill(self, cell: Cell) -> None:
        """Commit the free room that the plan still needs."""
        for worker in self.plan.tasks_per_worker:
            missing = self.get_missing(worker)
            free = cell.worker(worker).free
            take = Capacity(
                min(missing.cpu_millis, free.cpu_millis),
                min(missing.memory_mib, free.memory_mib),
                min(missing.accelerators, free.accelerators),
            )
            if take == Capacity(0, 0):
                continue
            held = self.reserved.get(worker, Capacity(0, 0))
            self.release_worker(cell, worker)
            self.reserved[worker] = held.plus(take)
            cell.commit(worker, self.group, self.reserved[worker])

    def release(self, cell: Cell) -> None:
        """Give back all that is held."""
        for worker in list(self.reserved):
            self.release_worker(cell, worker)

    def release_worker(self, cell: Cell, worker: str) -> None:
        """Give back what is held on one worker."""
        held = self.reserved.pop(worker, None)
        if held is None or not cell.has_worker(worker):
            return
        if self.group in cell.worker(worker).group_counts:
            cell.release(worker, self.group, held)

    def is_feasible(self, cell: Cell) -> bool:
        """Tell whether all planned workers still take tasks and keep the hold."""
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
    """Return where room for a gang is expected first.

    The room of ``evictable`` tasks counts as free, that which ``others`` still wait
    for as taken. ``None`` where ending tasks would never make room for the whole gang.
    """
    offers = []
    for state in cell.iterate_workers():
        if state.exclusion:
            continue
        free = state.free
        for other in others:
            free = free.minus(other.get_missing(state.name))
        tasks_here = running.list_on(state.name)
        times = _iterate_fit_times(free, tasks_here, size, now, evictable)
        first = next(times, None)
        if first is not None:
            offers.append((first, state.name, times))
    heapq.heapify(offers)
    plan: dict[str, int] = {}
    start = now
    for _ in range(tasks):
        if not offers:
            return None
        start, worker, times = heapq.heappop(offers)
        plan[worker] = plan.get(worker, 0) + 1
        following = next(times, None)
        if following is not None:
            heapq.heappush(offers, (following, worker, times))
    return ReservationPlan(plan, start)


def _estimate_end(task: RunningTask, now: datetime) -> datetime:
    """Return when a task is expected to end, later for one that is overdue.

    What has run longer than expected runs on for a share of what it has run.
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
    """Yield when there is room on a worker for one more task, and one more."""
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
