"""Urgent tasks that wait for the tasks they preempt to end.

Capacity that the ending victims free is reserved for the urgent task, so that no other
task can take it.
"""

from datetime import datetime, timedelta

from attrs import define

from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.preemption import Victims, choose_victims
from almondspread.scheduling.policies.reservations import Reservation, ReservationPlan
from almondspread.scheduling.policies.running import RunningTasks

SEARCH_INTERVAL = timedelta(milliseconds=250)


@define(frozen=True)
class Preemption:
    """Running tasks to stop so that an urgent task can start on their worker."""

    workload: str
    task: str
    victims: Victims


@define
class _PendingPreemption:
    """The capacity reserved for one urgent task, and the tasks stopped for it."""

    reservation: Reservation
    victims: Victims


class PendingPreemptions:
    """The urgent tasks of a shard that wait for their victims to end."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingPreemption] = {}
        self._next_search_at: dict[tuple[Capacity, int], datetime] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def find_ready_worker(self, task: str) -> str | None:
        """Return the worker on which a task can start now, ``None`` if none is ready.

        A worker is ready when the reservation for the task on it is complete.
        """
        pending = self._pending.get(task)
        if pending is None or not pending.reservation.is_complete:
            return None
        return pending.victims.worker

    def is_pending(self, task: str) -> bool:
        """Return whether other tasks are being stopped for this task."""
        return task in self._pending

    def start_preemption(
        self,
        cell: Cell,
        running: RunningTasks,
        task: str,
        size: Capacity,
        priority: int,
        now: datetime,
    ) -> Victims | None:
        """Choose victims for an urgent task and reserve capacity on their worker.

        Returns ``None`` if there are no suitable victims. Tasks that are being stopped
        for another urgent task are not chosen again. If no victims were found for a
        size and priority, the next search for them happens only after
        ``SEARCH_INTERVAL``.
        """
        request = (size, priority)
        if self._next_search_at.get(request, now) > now:
            return None
        stopping: set[str] = set()
        for pending in self._pending.values():
            stopping.update(pending.victims.tasks)
        victims = choose_victims(cell, running, size, priority, now, stopping)
        if victims is None:
            self._next_search_at[request] = now + SEARCH_INTERVAL
            return None
        plan = ReservationPlan({victims.worker: 1}, now)
        reservation = Reservation(task, priority, size, plan, now, now)
        reservation.fill(cell)
        self._pending[task] = _PendingPreemption(reservation, victims)
        return victims

    def remove(self, cell: Cell, task: str) -> None:
        """Release the reservation of a task that starts or was cancelled."""
        pending = self._pending.pop(task, None)
        if pending is not None:
            pending.reservation.release(cell)

    def refresh(self, cell: Cell, running: RunningTasks, now: datetime) -> None:
        """Fill the reservations; remove those that cannot become complete.

        That is the case when the worker left or takes no tasks, or when all victims
        have ended without freeing enough capacity.
        """
        for request, search_at in list(self._next_search_at.items()):
            if search_at <= now:
                del self._next_search_at[request]
        for task, pending in list(self._pending.items()):
            if not pending.reservation.is_feasible(cell):
                self.remove(cell, task)
                continue
            pending.reservation.fill(cell)
            if pending.reservation.is_complete:
                continue
            if any(running.find(victim) for victim in pending.victims.tasks):
                continue
            self.remove(cell, task)
