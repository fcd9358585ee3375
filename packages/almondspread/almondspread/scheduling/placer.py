"""Runs scheduling passes over the waiting tasks and records their decisions."""

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

# Reservations expire, so a waiting gang needs a pass even if nothing else changed.
MAX_PASS_INTERVAL = timedelta(seconds=5)


class Placer:
    """Binds and evicts tasks as scheduling passes decide.

    A pass runs only if a change could let a waiting task start, and ends early once
    no waiting task fits. The placer also remembers why each workload waits.
    ``short_of_quota`` tells whether the latest pass found a team at its limit.
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
        """Use a placement policy from the next pass on."""
        self._backlog.pass_state.policy = policy

    def place(self, limit: int, now: datetime) -> bool:
        """Bind about ``limit`` waiting tasks; true if another pass may bind more."""
        added = self._backlog.update_queue()
        generation = self._decisions.capacity_generation
        is_pass_due = (
            self._last_pass_at is not None
            and now - self._last_pass_at >= MAX_PASS_INTERVAL
        )
        is_pass_due = is_pass_due and self._has_waiting_gangs
        if not added and self._exhausted_generation == generation and not is_pass_due:
            return False
        if not len(self._backlog):
            self._exhausted_generation = generation
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
        placed_at_check = -1
        for decision in schedule_waiting(self._backlog.pass_state, now):
            if isinstance(decision, Deferral):
                self._record_deferral(decision)
                if not may_stop or placed_at_check == placed:
                    continue
                placed_at_check = placed
                if self._is_capacity_exhausted(decision):
                    self._exhausted_generation = generation
                    return False
            elif isinstance(decision, Preemption):
                self._evict_tasks(decision.victims.tasks)
            elif isinstance(decision, Eviction):
                self._evict_tasks(decision.tasks)
            else:
                placed += self._bind_tasks(decision)
            if placed >= limit:
                return True
        self._exhausted_generation = generation
        self._has_full_pass = True
        return False

    def _reserves_capacity(self) -> bool:
        """Tell whether capacity is or may be reserved for a gang or for urgent work."""
        return self._has_waiting_gangs or len(self._backlog.pass_state.preemptions) > 0

    def _is_capacity_exhausted(self, deferral: Deferral) -> bool:
        """Tell whether no waiting task of the pass can fit any more.

        The smallest waiting amount of each resource is known from a full pass since
        which no task was added to the queue. An urgent workload never ends the pass,
        because it can preempt other tasks.
        """
        state = self._decisions.state.workloads[deferral.workload]
        if self._min_task_size is None or state.resource.priority >= URGENT_PRIORITY:
            return False
        request = TaskRequest("", self._min_task_size)
        return find_worker(self._decisions.cell, request, POLICY_WAITING) is None

    def _record_deferral(self, deferral: Deferral) -> None:
        """Remember why a workload waits, and mark it for a report if that changed."""
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
        """Return why tasks of a workload wait now, ``None`` if none was deferred."""
        deferral = self._deferrals.get(workload)
        if deferral is None:
            return None
        return explain_deferral(self._backlog.pass_state, deferral)

    def is_short_of_capacity(self, workload: str) -> bool:
        """Tell whether a workload waits for free capacity rather than for quota."""
        deferral = self._deferrals.get(workload)
        return deferral is not None and not deferral.limit

    def list_deferred_workloads(self) -> list[str]:
        """Return the workloads that passes have deferred."""
        return list(self._deferrals)

    def _evict_tasks(self, tasks: tuple[str, ...]) -> None:
        """Evict running tasks, after a checkpoint where a task can write one."""
        for name in tasks:
            workload, index = parse_task_name(name)
            state = self._decisions.state.workloads.get(workload)
            task = state.tasks.get(index) if state else None
            if state is None or task is None or task.attempt is None:
                continue
            checkpointable = state.resource.template.checkpointable
            self._decisions.evict_attempt(
                task.attempt, CHECKPOINT if checkpointable else STOP
            )

    def _bind_tasks(self, placements: tuple[Placement, ...]) -> int:
        """Bind tasks that a pass placed together, and return how many there are."""
        for placement in placements:
            name, index = parse_task_name(placement.task)
            state = self._decisions.state.workloads[name]
            self._decisions.bind_task(state, state.tasks[index], placement.worker)
            if self._deferrals and not self._backlog.has_waiting_tasks(name):
                self._deferrals.pop(name, None)
        return len(placements)
