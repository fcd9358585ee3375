"""Work that starts beside waiting gangs without delaying them.

A gang that waits gets a hold: a plan of workers where room is expected first. Free
room there is committed to the hold as it appears, up to what the plan needs, so
that other tasks start only in room that the gang does not wait for. A task that is
expected to end before the gang can start may borrow held room; it is stopped when
the gang waits for nothing else. Plans are renewed as tasks end earlier or later
than expected. A hold lasts a limited time; each hold that a gang loses makes its
next one longer, up to a bound.
"""

from datetime import datetime, timedelta

from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.policies.ordering import WaitingWorkload
from almondspread.scheduling.policies.reservations import Reservation, plan_reservation
from almondspread.scheduling.policies.running import RunningTasks

MAX_RESERVATIONS = 2
INITIAL_RESERVATION_DURATION = timedelta(hours=2)
MAX_RESERVATION_DURATION = timedelta(hours=8)
REPLAN_INTERVAL = timedelta(seconds=30)
MIN_BORROW_TIME = timedelta(minutes=2)
STARVED_PRIORITY = URGENT_PRIORITY - 1


class ReservationTable:
    """The holds of a shard, at most ``MAX_HOLDS`` at once."""

    def __init__(self) -> None:
        self._reservations: dict[str, Reservation] = {}
        self._durations: dict[str, timedelta] = {}
        self._next_plan_at: dict[str, datetime] = {}
        self._borrowers: set[str] = set()

    def __len__(self) -> int:
        return len(self._reservations)

    def find(self, workload: str) -> Reservation | None:
        """Return the hold of a gang, if it has one."""
        return self._reservations.get(workload)

    def add_reservation(
        self,
        cell: Cell,
        running: RunningTasks,
        workload: WaitingWorkload,
        tasks: int,
        now: datetime,
    ) -> Reservation | None:
        """Plan a hold and fill it, unless there are enough holds or no such room.

        A gang whose last hold ran out, or for which no room is expected, is planned
        anew after ``PLAN_INTERVAL``, so that others get their turn.
        """
        if len(self._reservations) >= MAX_RESERVATIONS:
            return None
        name = workload.name
        if self._next_plan_at.get(name, now) > now:
            return None
        others = list(self._reservations.values())
        plan = plan_reservation(
            cell, running, workload.size, tasks, now, self._borrowers, others
        )
        if plan is None:
            self._next_plan_at[name] = now + REPLAN_INTERVAL
            return None
        expires = now + self._durations.get(name, INITIAL_RESERVATION_DURATION)
        hold = Reservation(name, workload.priority, workload.size, plan, expires, now)
        hold.fill(cell)
        self._reservations[name] = hold
        return hold

    def remove_reservation(self, cell: Cell, workload: str) -> None:
        """Give a hold back for good: its gang starts or was cancelled."""
        hold = self._reservations.pop(workload, None)
        if hold is not None:
            hold.release(cell)
        self._durations.pop(workload, None)
        self._next_plan_at.pop(workload, None)

    def mark_starved(self, workload: str) -> None:
        """Let only urgent work take the room of a gang that waited too long."""
        hold = self._reservations.get(workload)
        if hold is not None:
            hold.priority = max(hold.priority, STARVED_PRIORITY)

    def refresh(self, cell: Cell, running: RunningTasks, now: datetime) -> None:
        """Fill and renew the holds, and drop those that ran out or lost a worker."""
        for borrower in list(self._borrowers):
            if running.find(borrower) is None:
                self._borrowers.discard(borrower)
        for workload, hold in list(self._reservations.items()):
            if not hold.is_feasible(cell):
                hold.release(cell)
                del self._reservations[workload]
                continue
            hold.fill(cell)
            if hold.is_complete:
                continue
            if hold.expires_at <= now:
                self._expire(cell, hold, now)
                continue
            if hold.planned_at + REPLAN_INTERVAL <= now:
                self._replan(cell, running, hold, now)

    def release_for_borrower(
        self, cell: Cell, size: Capacity, until: datetime
    ) -> str | None:
        """Return a worker with held room that is not needed before ``until``.

        The hold is left released on that worker; ``fill`` has to follow once the
        task is committed.
        """
        for hold in self._reservations.values():
            if (
                not hold.lendable
                or hold.is_complete
                or until > hold.plan.expected_start
            ):
                continue
            for worker, held in hold.reserved.items():
                if not size.fits_in(cell.worker(worker).free.plus(held)):
                    continue
                hold.release_worker(cell, worker)
                return worker
        return None

    def add_borrower(self, task: str) -> None:
        """Note a task that runs in held room."""
        self._borrowers.add(task)

    def select_evictions(self, running: RunningTasks) -> list[str]:
        """Return the borrowers that are the last that gangs wait for."""
        evictions: list[str] = []
        for hold in self._reservations.values():
            free = self._borrowers.difference(evictions)
            found = _select_borrowers(running, hold, free)
            hold.lendable = hold.lendable and not found
            evictions.extend(found)
        return evictions

    def release_lower_priority(self, cell: Cell, priority: int) -> bool:
        """Give back the room of gangs of a lower priority; tell whether any had."""
        any_released = False
        for hold in self._reservations.values():
            if hold.priority < priority:
                hold.release(cell)
                any_released = True
        return any_released

    def fill(self, cell: Cell) -> None:
        """Fill all holds again."""
        for hold in self._reservations.values():
            hold.fill(cell)

    def _expire(self, cell: Cell, hold: Reservation, now: datetime) -> None:
        """Drop a hold that ran out; the gang's next one is longer."""
        hold.release(cell)
        del self._reservations[hold.workload]
        limit = self._durations.get(hold.workload, INITIAL_RESERVATION_DURATION)
        self._next_plan_at[hold.workload] = now + REPLAN_INTERVAL
        self._durations[hold.workload] = min(2 * limit, MAX_RESERVATION_DURATION)

    def _replan(
        self, cell: Cell, running: RunningTasks, hold: Reservation, now: datetime
    ) -> None:
        """Plan a hold anew with what is known by now."""
        tasks = sum(hold.plan.tasks_per_worker.values())
        hold.release(cell)
        others = [other for other in self._reservations.values() if other is not hold]
        plan = plan_reservation(
            cell, running, hold.size, tasks, now, self._borrowers, others
        )
        if plan is not None:
            hold.plan = plan
            hold.lendable = True
        hold.planned_at = now
        hold.fill(cell)


def _select_borrowers(
    running: RunningTasks, hold: Reservation, borrowers: set[str]
) -> list[str]:
    """Return the borrowers to stop so that a gang can start, if that is enough."""
    chosen: list[str] = []
    for worker in hold.plan.tasks_per_worker:
        missing = hold.get_missing(worker)
        for task in running.list_on(worker):
            if missing.fits_in(Capacity(0, 0)):
                break
            if task.name not in borrowers:
                continue
            chosen.append(task.name)
            missing = missing.minus(task.size)
        if not missing.fits_in(Capacity(0, 0)):
            return []
    return chosen
