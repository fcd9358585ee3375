"""Backfill: starting other tasks beside waiting gangs without delaying the gangs.

A waiting gang gets a reservation: a plan of the workers where capacity for the gang
is expected earliest. As capacity on those workers becomes free, the reservation
commits it, up to what the plan needs, so that other tasks start only in capacity
that the gang does not wait for. A task that is expected to end before the gang can
start may borrow reserved capacity; the scheduler stops such a borrower when the gang
waits for nothing but borrowed capacity. Plans are recomputed regularly, because tasks
end earlier or later than expected. A reservation expires after a limited time; each
time a gang's reservation expires, the gang's next one lasts longer, up to a bound.
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
    """The gang reservations of a shard, at most ``MAX_RESERVATIONS`` at once."""

    def __init__(self) -> None:
        self._reservations: dict[str, Reservation] = {}
        self._durations: dict[str, timedelta] = {}
        self._next_plan_at: dict[str, datetime] = {}
        self._borrowers: set[str] = set()

    def __len__(self) -> int:
        return len(self._reservations)

    def find(self, workload: str) -> Reservation | None:
        """Return the reservation of a gang, ``None`` if the gang has none."""
        return self._reservations.get(workload)

    def add_reservation(
        self,
        cell: Cell,
        running: RunningTasks,
        workload: WaitingWorkload,
        tasks: int,
        now: datetime,
    ) -> Reservation | None:
        """Plan a reservation for a gang of ``tasks`` tasks and commit free capacity.

        Returns ``None`` if the shard already has ``MAX_RESERVATIONS``, or if no plan
        fits the whole gang. A gang whose last reservation expired, or for which no
        plan was found, is planned again only after ``REPLAN_INTERVAL``, so that other
        gangs get a reservation in between.
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
        expires_at = now + self._durations.get(name, INITIAL_RESERVATION_DURATION)
        reservation = Reservation(
            name, workload.priority, workload.size, plan, expires_at, now
        )
        reservation.fill(cell)
        self._reservations[name] = reservation
        return reservation

    def remove_reservation(self, cell: Cell, workload: str) -> None:
        """Release a gang's reservation and reset its duration and planning delay.

        Called when the gang starts, is cancelled or is over its team's quota.
        """
        reservation = self._reservations.pop(workload, None)
        if reservation is not None:
            reservation.release(cell)
        self._durations.pop(workload, None)
        self._next_plan_at.pop(workload, None)

    def mark_starved(self, workload: str) -> None:
        """Let only urgent work take the reserved capacity of a starved gang."""
        reservation = self._reservations.get(workload)
        if reservation is not None:
            reservation.priority = max(reservation.priority, STARVED_PRIORITY)

    def refresh(self, cell: Cell, running: RunningTasks, now: datetime) -> None:
        """Fill the reservations, replan those that are due, and remove invalid ones.

        An infeasible reservation is removed, and so is an incomplete one that has
        expired. Borrowers that no longer run are dropped.
        """
        for borrower in list(self._borrowers):
            if running.find(borrower) is None:
                self._borrowers.discard(borrower)
        for workload, reservation in list(self._reservations.items()):
            if not reservation.is_feasible(cell):
                reservation.release(cell)
                del self._reservations[workload]
                continue
            reservation.fill(cell)
            if reservation.is_complete:
                continue
            if reservation.expires_at <= now:
                self._expire(cell, reservation, now)
                continue
            if reservation.planned_at + REPLAN_INTERVAL <= now:
                self._replan(cell, running, reservation, now)

    def release_for_borrower(
        self, cell: Cell, size: Capacity, until: datetime
    ) -> str | None:
        """Release reserved capacity for a task that occupies it until ``until``.

        Returns the worker on which the task now fits, ``None`` if there is none.
        Capacity is lent only by an incomplete, lendable reservation whose gang is not
        expected to start before ``until``. The reservation is left released on the
        returned worker: call ``fill`` once the task is committed there.
        """
        for reservation in self._reservations.values():
            if (
                not reservation.lendable
                or reservation.is_complete
                or until > reservation.plan.expected_start
            ):
                continue
            for worker, reserved in reservation.reserved.items():
                if not size.fits_in(cell.worker(worker).free.plus(reserved)):
                    continue
                reservation.release_worker(cell, worker)
                return worker
        return None

    def add_borrower(self, task: str) -> None:
        """Record a task that runs in reserved capacity."""
        self._borrowers.add(task)

    def select_evictions(self, running: RunningTasks) -> list[str]:
        """Return the borrowers to stop, for gangs that wait for nothing else.

        A reservation whose borrowers are selected is not lendable until it is
        replanned.
        """
        evictions: list[str] = []
        for reservation in self._reservations.values():
            candidates = self._borrowers.difference(evictions)
            selected = _select_borrowers(running, reservation, candidates)
            reservation.lendable = reservation.lendable and not selected
            evictions.extend(selected)
        return evictions

    def release_lower_priority(self, cell: Cell, priority: int) -> bool:
        """Release reservations below a priority; return whether there were any."""
        any_released = False
        for reservation in self._reservations.values():
            if reservation.priority < priority:
                reservation.release(cell)
                any_released = True
        return any_released

    def fill(self, cell: Cell) -> None:
        """Commit free capacity to all reservations, oldest reservation first."""
        for reservation in self._reservations.values():
            reservation.fill(cell)

    def _expire(self, cell: Cell, reservation: Reservation, now: datetime) -> None:
        """Remove an expired reservation and double the gang's next duration."""
        reservation.release(cell)
        del self._reservations[reservation.workload]
        duration = self._durations.get(
            reservation.workload, INITIAL_RESERVATION_DURATION
        )
        self._next_plan_at[reservation.workload] = now + REPLAN_INTERVAL
        self._durations[reservation.workload] = min(
            2 * duration, MAX_RESERVATION_DURATION
        )

    def _replan(
        self, cell: Cell, running: RunningTasks, reservation: Reservation, now: datetime
    ) -> None:
        """Recompute the plan of a reservation from the tasks that run now."""
        tasks = sum(reservation.plan.tasks_per_worker.values())
        reservation.release(cell)
        others = [
            other for other in self._reservations.values() if other is not reservation
        ]
        plan = plan_reservation(
            cell, running, reservation.size, tasks, now, self._borrowers, others
        )
        if plan is not None:
            reservation.plan = plan
            reservation.lendable = True
        reservation.planned_at = now
        reservation.fill(cell)


def _select_borrowers(
    running: RunningTasks, reservation: Reservation, borrowers: set[str]
) -> list[str]:
    """Return the borrowers to stop so that a gang can start.

    The list is empty if stopping borrowers would not free enough capacity.
    """
    selected: list[str] = []
    for worker in reservation.plan.tasks_per_worker:
        missing = reservation.get_missing(worker)
        for task in running.list_on(worker):
            if missing.fits_in(Capacity(0, 0)):
                break
            if task.name not in borrowers:
                continue
            selected.append(task.name)
            missing = missing.minus(task.size)
        if not missing.fits_in(Capacity(0, 0)):
            return []
    return selected
