"""Carrying out a pass over the waiting work: binds, evictions, and reasons."""

from datetime import datetime, timedelta

from almondspread.placement import PlacementFailure, TaskRequest, find_worker
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.backlog import Backlog
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.policies.pending_preemptions import Preemption
from almondspread.scheduling.policies.scheduling_pass import (
    Deferral,
    Eviction,
    Placement,
    explain_deferral,
    schedule_waiting,
)
from almondspread.scheduling.tasks import CHECKPOINT, STOP, parse_task_name

# Holds run out by time, so while a gang waits a pass is due after so long.
MAX_PASS_INTERVAL = timedelta(seconds=5)


class Placer:
    """Turns the decisions of a pass into events.

    ``short_of_quota`` says whether the latest pass found a team at its limit. No pass
    is made while nothing changed that could let a waiting task start, and one ends
    once the room is used up.
    """

    def __init__(self, decisions: Decisions, backlog: Backlog) -> None:
        self._deferrals: dict[str, Deferral] = {}
        self.short_of_quota = False
        self._decisions = decisions
        self._backlog = backlog
        self._exhausted_generation = -1
        self._last_pass_at: datetime | None = None
        self._min_task_size: Capacity | None = None
        self._has_full_pass = False
        self._has_waiting_gangs = False

    def set_policy(self, policy: str) -> None:
        """Place by a policy from now on."""
        self._backlog.pass_state.policy = policy

    def place(self, limit: int, now: datetime) -> bool:
        """Bind about ``limit`` tasks; true where more may follow at once."""
        added = self._backlog.update_queue()
        openings = self._decisions.capacity_generation
        rested = (
            self._last_pass_at is not None
            and now - self._last_pass_at >= MAX_PASS_INTERVAL
        )
        rested = rested and self._has_waiting_gangs
        if not added and self._exhausted_generation == openings and not rested:
            return False
        if not len(self._backlog):
            self._exhausted_generation = openings
            return False
        if limit <= 0:
            return True
        self._last_pass_at = now
        self._exhausted_generation = -1
        self.short_of_quota = False
        placed = 0
        if added:
            self._min_task_size = None
            self._has_full_pass = self._has_waiting_gangs = False
        may_stop = self._has_full_pass and not self._reserves_capacity()
        looked_at = -1
        for decision in schedule_waiting(self._backlog.pass_state, now):
            if isinstance(decision, Deferral):
                self._record_deferral(decision)
                if not may_stop or looked_at == placed:
                    continue
                looked_at = placed
                if self._is_capacity_exhausted(decision):
                    self._exhausted_generation = openings
                    return False
            elif isinstance(decision, Preemption):
                self._evict_tasks(decision.victims.tasks)
            elif isinstance(decision, Eviction):
                self._evict_tasks(decision.tasks)
            else:
                placed += self._bind_tasks(decision)
            if placed >= limit:
                return True
        self._exhausted_generation = openings
        self._has_full_pass = True
        return False

    def _reserves_capacity(self) -> bool:
        """Tell whether room is kept, or to be kept, for a gang or for urgent work."""
        return self._has_waiting_gangs or len(self._backlog.pass_state.preemptions) > 0

    def _is_capacity_exhausted(self, deferral: Deferral) -> bool:
        """Tell whether no waiting work can find room any more.

        The least of what waits in each resource is known from a pass to the end since
        which nothing was added. Urgent work is looked at in any case, as it
        preempts.
        """
        state = self._decisions.state.workloads[deferral.workload]
        if self._min_task_size is None or state.resource.priority >= URGENT_PRIORITY:
            return False
        request = TaskRequest("", self._min_task_size)
        return find_worker(self._decisions.cell, request, POLICY_WAITING) is None

    def _record_deferral(self, deferral: Deferral) -> None:
        """Remember why a workload waits; another cause than before is reported."""
        known = self._deferrals.get(deferral.workload)
        state = self._decisions.state.workloads[deferral.workload]
        size = state.resource.template.size
        self._min_task_size = (
            size.take_smaller(self._min_task_size) if self._min_task_size else size
        )
        self._has_waiting_gangs = self._has_waiting_gangs or state.is_gang
        self._deferrals[deferral.workload] = deferral
        if deferral.limit:
            self.short_of_quota = True
        if known != deferral:
            self._decisions.state.unreported_workloads.add(deferral.workload)

    def explain_waiting(self, workload: str) -> PlacementFailure | None:
        """Return why tasks of a workload wait as things are now, if they do."""
        deferral = self._deferrals.get(workload)
        if deferral is None:
            return None
        return explain_deferral(self._backlog.pass_state, deferral)

    def is_short_of_capacity(self, workload: str) -> bool:
        """Tell whether a workload found no room, rather than being over a quota."""
        deferral = self._deferrals.get(workload)
        return deferral is not None and not deferral.limit

    def list_deferred_workloads(self) -> list[str]:
        """Return the workloads that wait."""
        return list(self._deferrals)

    def _evict_tasks(self, tasks: tuple[str, ...]) -> None:
        """Have running tasks give up their places."""
        for name in tasks:
            workload, index = parse_task_name(name)
            state = self._decisions.state.workloads.get(workload)
            task = state.tasks.get(index) if state else None
            if state is None or task is None or task.attempt is None:
                continue
            can_save = state.resource.template.checkpointable
            self._decisions.evict_attempt(
                task.attempt, CHECKPOINT if can_save else STOP
            )

    def _bind_tasks(self, placements: tuple[Placement, ...]) -> int:
        """Bind the tasks that were placed together; return how many."""
        for placement in placements:
            name, index = parse_task_name(placement.task)
            state = self._decisions.state.workloads[name]
            self._decisions.bind_task(state, state.tasks[index], placement.worker)
            if self._deferrals and not self._backlog.has_waiting_tasks(name):
                self._deferrals.pop(name, None)
        return len(placements)
