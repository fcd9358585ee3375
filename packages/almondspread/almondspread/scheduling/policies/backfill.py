"""Holds of room for gangs, and work that starts beside them without delaying them.

A gang that waits gets a hold: a plan of workers where room is expected first. Free
room there is committed to the hold as it appears, up to what the plan needs, so
that other tasks start only in room that the gang does not wait for. A hold lasts a
limited time; each hold that a gang loses makes its next one longer, up to a bound.
"""

import heapq
from collections.abc import Iterator
from datetime import datetime, timedelta

from attrs import define, field

from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import WaitingWorkload
from almondspread.scheduling.policies.running import RunningTasks

MAX_HOLDS = 2
FIRST_HOLD_LIMIT = timedelta(minutes=15)
LONGEST_HOLD_LIMIT = timedelta(hours=4)


@define
class GangHold:
    """The room that one gang waits for.

    ``plan`` is the number of tasks for each worker, ``held`` what is committed so
    far there.
    """

    workload: str
    priority: int
    size: Capacity
    plan: dict[str, int]
    expires: datetime
    held: dict[str, Capacity] = field(factory=dict)

    @property
    def group(self) -> str:
        """The name under which the cell counts what is held."""
        return f"hold/{self.workload}"

    @property
    def is_complete(self) -> bool:
        """Whether there is room for the whole gang."""
        for worker, tasks in self.plan.items():
            if self.held.get(worker) != self.size.times(tasks):
                return False
        return True

    def fill(self, cell: Cell) -> None:
        """Commit the free room that the plan still needs."""
        for worker, tasks in self.plan.items():
            held = self.held.get(worker, Capacity(0, 0))
            missing = self.size.times(tasks).minus(held)
            free = cell.worker(worker).free
            take = Capacity(
                min(missing.cpu_millis, free.cpu_millis),
                min(missing.memory_mib, free.memory_mib),
                min(missing.accelerators, free.accelerators),
            )
            if take == Capacity(0, 0):
                continue
            if worker in self.held:
                cell.release(worker, self.group, held)
            self.held[worker] = held.plus(take)
            cell.commit(worker, self.group, self.held[worker])

    def release(self, cell: Cell) -> None:
        """Give back all that is held."""
        for worker, held in self.held.items():
            if not cell.has_worker(worker):
                continue
            if self.group in cell.worker(worker).groups:
                cell.release(worker, self.group, held)
        self.held.clear()

    def is_feasible(self, cell: Cell) -> bool:
        """Tell whether all planned workers still take tasks and keep the hold."""
        for worker in self.plan:
            if not cell.has_worker(worker) or cell.worker(worker).exclusion:
                return False
            if worker in self.held and self.group not in cell.worker(worker).groups:
                return False
        return True


class HoldBook:
    """The holds of a shard, at most ``MAX_HOLDS`` at once."""

    def __init__(self) -> None:
        self._holds: dict[str, GangHold] = {}
        self._limits: dict[str, timedelta] = {}
        self._refused_until: dict[str, datetime] = {}

    def __len__(self) -> int:
        return len(self._holds)

    def find(self, workload: str) -> GangHold | None:
        """Return the hold of a gang, if it has one."""
        return self._holds.get(workload)

    def open_hold(
        self,
        cell: Cell,
        running: RunningTasks,
        workload: WaitingWorkload,
        tasks: int,
        now: datetime,
    ) -> GangHold | None:
        """Plan a hold and fill it, unless there are enough holds or no such room.

        A gang whose last hold ran out waits as long as that hold lasted, so that
        others can start meanwhile.
        """
        if len(self._holds) >= MAX_HOLDS:
            return None
        name = workload.name
        if self._refused_until.get(name, now) > now:
            return None
        plan = plan_hold(cell, running, workload.size, tasks, now)
        if plan is None:
            return None
        expires = now + self._limits.get(name, FIRST_HOLD_LIMIT)
        hold = GangHold(name, workload.priority, workload.size, plan, expires)
        hold.fill(cell)
        self._holds[name] = hold
        return hold

    def close_hold(self, cell: Cell, workload: str) -> None:
        """Give a hold back for good: its gang starts or was cancelled."""
        hold = self._holds.pop(workload, None)
        if hold is not None:
            hold.release(cell)
        self._limits.pop(workload, None)
        self._refused_until.pop(workload, None)

    def refresh(self, cell: Cell, now: datetime) -> None:
        """Fill the holds, and drop those that ran out or lost a worker."""
        for workload, hold in list(self._holds.items()):
            if not hold.is_feasible(cell):
                hold.release(cell)
                del self._holds[workload]
                continue
            hold.fill(cell)
            if hold.expires > now or hold.is_complete:
                continue
            hold.release(cell)
            del self._holds[workload]
            limit = self._limits.get(workload, FIRST_HOLD_LIMIT)
            self._refused_until[workload] = now + limit
            self._limits[workload] = min(2 * limit, LONGEST_HOLD_LIMIT)

    def release_below(self, cell: Cell, priority: int) -> bool:
        """Give back the room of gangs of a lower priority; tell whether any had."""
        any_released = False
        for hold in self._holds.values():
            if hold.priority < priority:
                hold.release(cell)
                any_released = True
        return any_released

    def fill_below(self, cell: Cell, priority: int) -> None:
        """Fill the holds of gangs of a lower priority again."""
        for hold in self._holds.values():
            if hold.priority < priority:
                hold.fill(cell)


def plan_hold(
    cell: Cell, running: RunningTasks, size: Capacity, tasks: int, now: datetime
) -> dict[str, int] | None:
    """Return where room for a gang is expected first, as tasks for each worker.

    ``None`` where ending tasks would never make room for the whole gang.
    """
    offers = []
    for state in cell.iterate_workers():
        if state.exclusion:
            continue
        times = _list_room_times(cell, running, state.name, size, now)
        first = next(times, None)
        if first is not None:
            offers.append((first, state.name, times))
    heapq.heapify(offers)
    plan: dict[str, int] = {}
    for _ in range(tasks):
        if not offers:
            return None
        _, worker, times = heapq.heappop(offers)
        plan[worker] = plan.get(worker, 0) + 1
        following = next(times, None)
        if following is not None:
            heapq.heappush(offers, (following, worker, times))
    return plan


def _list_room_times(
    cell: Cell, running: RunningTasks, worker: str, size: Capacity, now: datetime
) -> Iterator[datetime]:
    """Yield when there is room on a worker for one more task, and one more."""
    free = cell.worker(worker).free
    while size.fits_in(free):
        yield now
        free = free.minus(size)
    ends = []
    for task in running.list_on(worker):
        if task.expected_end is not None:
            ends.append((max(task.expected_end, now), task.name, task.size))
    ends.sort(key=lambda end: end[:2])
    for end, _, freed in ends:
        free = free.plus(freed)
        while size.fits_in(free):
            yield end
            free = free.minus(size)
