"""Binding waiting tasks to workers, in the order of the backlog."""

from datetime import datetime

from almondspread.placement import (
    ReasonCount,
    TaskRequest,
    Waiting,
    choose_gang,
    choose_worker,
)
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity
from almondspread.scheduling.backlog import Backlog
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.messages import list_causes
from almondspread.scheduling.policies.ordering import QueueEntry, WaitingWorkload
from almondspread.scheduling.tasks import FINISHED, WorkloadState

# A workload gives way after so many tasks, so that teams of one priority share room.
TASKS_PER_TURN = 16


class Placer:
    """Places tasks and remembers what found no place.

    A size that found no worker finds none until room appears, so it is not looked
    for again before. ``reasons`` says for each workload why its tasks wait,
    ``short_of_quota`` whether the latest pass found a team at its limit.
    """

    def __init__(self, decisions: Decisions, backlog: Backlog) -> None:
        self.policy = POLICY_WAITING
        self.reasons: dict[str, Waiting] = {}
        self.short_of_quota = False
        self._decisions = decisions
        self._backlog = backlog
        self._stuck_at = -1
        self._failed_at = -1
        self._failed: dict[tuple[Capacity, int], Waiting] = {}

    def place(self, limit: int, now: datetime) -> bool:
        """Bind about ``limit`` tasks; true where more may follow at once."""
        added = self._backlog.follow()
        openings = self._decisions.openings
        if openings != self._failed_at:
            self._failed.clear()
            self._failed_at = openings
        if not added and self._stuck_at == openings:
            return False
        placed = 0
        self.short_of_quota = False
        for entry in self._backlog.iterate(now):
            if placed >= limit:
                self._stuck_at = -1
                return True
            placed += self._place_entry(entry, limit - placed)
        self._stuck_at = openings
        return False

    def _place_entry(self, entry: QueueEntry, limit: int) -> int:
        """Bind some tasks of a workload; return how many."""
        state = self._decisions.state.workloads[entry.workload.name]
        if entry.workload.gang:
            return self._place_gang(state, entry)
        waiting = entry.workload
        placed = 0
        while entry.tasks and placed < min(limit, TASKS_PER_TURN):
            index = int(entry.first_task())
            worker = self._find_worker(waiting)
            if worker is None:
                return placed
            self._bind(state, index, worker)
            placed += 1
        return placed

    def _find_worker(self, waiting: WaitingWorkload) -> str | None:
        """Return a worker for one task, or note why there is none."""
        refused = self._check_quota(waiting, 1)
        refused = refused or self._failed.get((waiting.size, 1))
        if refused is not None:
            self._note(waiting.name, refused)
            return None
        chosen = choose_worker(self._decisions.cell, _request(waiting), self.policy)
        if chosen.is_error():
            self._failed[(waiting.size, 1)] = chosen.error
            self._note(waiting.name, chosen.error)
            return None
        return chosen.ok

    def _place_gang(self, state: WorkloadState, entry: QueueEntry) -> int:
        """Bind all unfinished tasks of a gang, or none."""
        waiting = entry.workload
        count = len(entry.tasks)
        finished = state.counts[FINISHED]
        if count + finished < len(state.tasks):
            return 0
        refused = self._check_quota(waiting, count)
        refused = refused or self._failed.get((waiting.size, count))
        if refused is not None:
            self._note(waiting.name, refused)
            return 0
        requests = [_request(waiting)] * count
        chosen = choose_gang(self._decisions.cell, requests, self.policy)
        if chosen.is_error():
            self._failed[(waiting.size, count)] = chosen.error
            self._note(waiting.name, chosen.error)
            return 0
        for task, worker in zip(list(entry.tasks), chosen.ok, strict=True):
            self._bind(state, int(task), worker)
        return count

    def _check_quota(self, waiting: WaitingWorkload, count: int) -> Waiting | None:
        """Return why a team may not hold ``count`` more tasks, if it may not."""
        size = waiting.size if count == 1 else waiting.size.times(count)
        shortage = self._decisions.teams.find_shortage(waiting.team, size)
        if shortage is None:
            return None
        self.short_of_quota = True
        workers = len(self._decisions.cell)
        return Waiting(workers, (ReasonCount(shortage, workers),), tasks=count)

    def _note(self, workload: str, waiting: Waiting) -> None:
        """Remember why a workload waits; other causes than before are reported."""
        known = self.reasons.get(workload)
        self.reasons[workload] = waiting
        if known is None or list_causes(known) != list_causes(waiting):
            self._decisions.state.changed.add(workload)

    def _bind(self, state: WorkloadState, index: int, worker: str) -> None:
        """Bind a task and take it out of the queue."""
        self._decisions.bind(state, state.tasks[index], worker)
        self._backlog.remove(state.workload, index)
        if self.reasons and not self._backlog.has(state.workload):
            self.reasons.pop(state.workload, None)


def _request(waiting: WaitingWorkload) -> TaskRequest:
    """Return what placing one task of a workload asks for."""
    return TaskRequest(waiting.name, waiting.size, waiting.spread)
