"""Carrying out a pass over the waiting work: binds, evictions, and reasons."""

from datetime import datetime, timedelta

from almondspread.placement import TaskRequest, Waiting, find_worker
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.backlog import Backlog
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.messages import list_causes
from almondspread.scheduling.policies.claims import Preemption
from almondspread.scheduling.policies.passes import (
    Deferral,
    Placement,
    decide_waiting,
)
from almondspread.scheduling.tasks import CHECKPOINT, STOP, parse_attempt, parse_task

# Holds run out by time, so while a gang waits a pass is due after so long.
LONGEST_REST = timedelta(seconds=5)


class Placer:
    """Turns the decisions of a pass into events.

    ``reasons`` says for each workload why its tasks wait, ``short_of_quota`` whether
    the latest pass found a team at its limit. No pass is made while nothing changed
    that could let a waiting task start, and one ends once the room is used up.
    """

    def __init__(self, decisions: Decisions, backlog: Backlog) -> None:
        self.reasons: dict[str, Waiting] = {}
        self.short_of_quota = False
        self._decisions = decisions
        self._backlog = backlog
        self._stuck_at = -1
        self._passed: datetime | None = None
        self._least: Capacity | None = None
        self._has_seen_all = False
        self._has_gangs = False

    def set_policy(self, policy: str) -> None:
        """Place by a policy from now on."""
        self._backlog.passing.policy = policy

    def place(self, limit: int, now: datetime) -> bool:
        """Bind about ``limit`` tasks; true where more may follow at once."""
        added = self._backlog.follow()
        openings = self._decisions.openings
        rested = self._passed is not None and now - self._passed >= LONGEST_REST
        rested = rested and self._has_gangs
        if not added and self._stuck_at == openings and not rested:
            return False
        if not len(self._backlog):
            self._stuck_at = openings
            return False
        if limit <= 0:
            return True
        self._passed = now
        self._stuck_at = -1
        self.short_of_quota = False
        placed = 0
        if added:
            self._least = None
            self._has_seen_all = self._has_gangs = False
        may_stop = self._has_seen_all and not self._keeps_room()
        looked_at = -1
        for decision in decide_waiting(self._backlog.passing, now):
            if isinstance(decision, Deferral):
                self._note(decision)
                if not may_stop or looked_at == placed:
                    continue
                looked_at = placed
                if self._is_exhausted(decision):
                    self._stuck_at = openings
                    return False
            elif isinstance(decision, Preemption):
                self._preempt(decision)
            else:
                placed += self._bind(decision)
            if placed >= limit:
                return True
        self._stuck_at = openings
        self._has_seen_all = True
        return False

    def _keeps_room(self) -> bool:
        """Tell whether room is kept, or to be kept, for a gang or for urgent work."""
        return self._has_gangs or len(self._backlog.passing.claims) > 0

    def _is_exhausted(self, deferral: Deferral) -> bool:
        """Tell whether no waiting work can find room any more.

        The least of what waits in each resource is known from a pass to the end since
        which nothing was added. Urgent work is looked at in any case, as it
        preempts.
        """
        state = self._decisions.state.workloads[deferral.workload]
        if self._least is None or state.resource.priority >= URGENT_PRIORITY:
            return False
        request = TaskRequest("", self._least)
        return find_worker(self._decisions.cell, request, POLICY_WAITING) is None

    def _note(self, deferral: Deferral) -> None:
        """Remember why a workload waits; other causes than before are reported."""
        known = self.reasons.get(deferral.workload)
        state = self._decisions.state.workloads[deferral.workload]
        size = state.resource.template.size
        self._least = size.take_smaller(self._least) if self._least else size
        self._has_gangs = self._has_gangs or state.is_gang
        self.reasons[deferral.workload] = deferral.waiting
        if deferral.waiting.limit:
            self.short_of_quota = True
        if known is None or list_causes(known) != list_causes(deferral.waiting):
            self._decisions.state.changed.add(deferral.workload)

    def _preempt(self, preemption: Preemption) -> None:
        """Have the victims of a preemption give up their places."""
        for name in preemption.victims.tasks:
            attempt = self._decisions.state.find_attempt(*parse_attempt(name))
            if attempt is None:
                continue
            state = self._decisions.state.workloads[attempt.workload]
            can_save = state.resource.template.checkpointable
            self._decisions.evict(attempt, CHECKPOINT if can_save else STOP)

    def _bind(self, placements: tuple[Placement, ...]) -> int:
        """Bind the tasks that were placed together; return how many."""
        for placement in placements:
            name, index = parse_task(placement.task)
            state = self._decisions.state.workloads[name]
            self._decisions.bind(state, state.tasks[index], placement.worker)
            if self.reasons and not self._backlog.has(name):
                self.reasons.pop(name, None)
        return len(placements)
