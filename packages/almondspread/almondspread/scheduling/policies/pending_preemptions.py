"""Room that urgent tasks were given by preemption, until the victims have ended."""

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
    """One urgent task's room and the tasks that make it."""

    reservation: Reservation
    victims: Victims


class PendingPreemptions:
    """The urgent tasks that wait for their victims to end."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingPreemption] = {}
        self._next_search_at: dict[tuple[Capacity, int], datetime] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def find_ready_worker(self, task: str) -> str | None:
        """Return where a task's room is complete, ``None`` where it is not."""
        claim = self._pending.get(task)
        if claim is None or not claim.reservation.is_complete:
            return None
        return claim.victims.worker

    def is_pending(self, task: str) -> bool:
        """Tell whether tasks are being stopped for this one."""
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
        """Choose victims for a task and claim their room, ``None`` if there are none.

        Tasks that are being stopped for another one are not chosen again. Where no
        victims were found for a size and priority, the cell is searched for them
        again only after ``SEARCH_INTERVAL``.
        """
        wanted = (size, priority)
        if self._next_search_at.get(wanted, now) > now:
            return None
        stopping: set[str] = set()
        for claim in self._pending.values():
            stopping.update(claim.victims.tasks)
        victims = choose_victims(cell, running, size, priority, now, stopping)
        if victims is None:
            self._next_search_at[wanted] = now + SEARCH_INTERVAL
            return None
        plan = ReservationPlan({victims.worker: 1}, now)
        hold = Reservation(task, priority, size, plan, now, now)
        hold.fill(cell)
        self._pending[task] = _PendingPreemption(hold, victims)
        return victims

    def remove(self, cell: Cell, task: str) -> None:
        """Give back the room of a task that starts or was cancelled."""
        claim = self._pending.pop(task, None)
        if claim is not None:
            claim.reservation.release(cell)

    def refresh(self, cell: Cell, running: RunningTasks, now: datetime) -> None:
        """Fill the claims; drop those whose victims ended without making room."""
        for wanted, until in list(self._next_search_at.items()):
            if until <= now:
                del self._next_search_at[wanted]
        for task, claim in list(self._pending.items()):
            if not claim.reservation.is_feasible(cell):
                self.remove(cell, task)
                continue
            claim.reservation.fill(cell)
            if claim.reservation.is_complete:
                continue
            if any(running.find(victim) for victim in claim.victims.tasks):
                continue
            self.remove(cell, task)
