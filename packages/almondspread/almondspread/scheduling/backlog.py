"""The waiting tasks of a shard, kept in step with its state and in order."""

from datetime import UTC, datetime, timedelta

from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Service
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.policies.ordering import (
    QueueEntry,
    WaitingQueue,
    WaitingWorkload,
)
from almondspread.scheduling.policies.scheduling_pass import PassState, cancel_workload
from almondspread.scheduling.tasks import FINISHED, WorkloadState, make_task_name


class Backlog:
    """Follows the changes of the state, so that no pass walks over all tasks.

    ``cancelled`` names the workloads whose removal is not decided yet; they are not
    placed any more. ``passing`` is what a pass over the waiting work goes by.
    """

    def __init__(self, decisions: Decisions) -> None:
        self.cancelled_workloads: dict[str, None] = {}
        self._decisions = decisions
        self._queue = WaitingQueue()
        self.pass_state = PassState(
            decisions.cell,
            decisions.teams,
            self._queue,
            POLICY_WAITING,
            decisions.running,
            estimate_max_run_time=self._estimate_max_run_time,
        )
        self._workload_names: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def _estimate_max_run_time(self, waiting: WaitingWorkload) -> timedelta | None:
        """Return a run time that few tasks exceed, ``None`` where none is known."""
        state = self._decisions.state.workloads.get(waiting.name)
        if state is None or state.is_service:
            return None
        declared = timedelta(seconds=state.resource.template.run_seconds)
        estimate = self._decisions.estimates.estimate_run_time(
            state.path, state.team, declared
        )
        if not declared and not estimate.samples:
            return None
        return estimate.upper

    def cancel(self, workload: str) -> None:
        """Place no more tasks of a workload; its removal is decided later."""
        self.cancelled_workloads[workload] = None
        cancel_workload(self.pass_state, workload)

    def update_queue(self) -> bool:
        """Bring the queue in step with the state; true where something was added."""
        state = self._decisions.state
        before = len(self._queue)
        added = False
        for name in state.dirty_workloads:
            cancel_workload(self.pass_state, name)
            workload = state.workloads.get(name)
            if workload is None or workload.removed or name in self.cancelled_workloads:
                continue
            if workload.is_gang and not _is_gang_ready(workload):
                continue
            if workload.ready:
                tasks = [make_task_name(name, index) for index in workload.ready]
                self._queue.add(make_waiting_workload(workload), tasks)
                self._workload_names[name] = None
                added = True
        for name, index in state.dirty_tasks:
            if name not in state.dirty_workloads:
                added = self._update_task(name, index) or added
        state.dirty_workloads.clear()
        state.dirty_tasks.clear()
        return added or len(self._queue) > before

    def _update_task(self, name: str, index: int) -> bool:
        """Bring one task in step; true where it was added."""
        workload = self._decisions.state.workloads.get(name)
        if workload is None or workload.removed or name in self.cancelled_workloads:
            return False
        if workload.is_gang:
            return self._update_gang(workload)
        if index not in workload.ready:
            self._queue.remove(name, make_task_name(name, index))
            return False
        entry = self._queue.find_entry(name)
        described = entry.workload if entry else make_waiting_workload(workload)
        self._queue.add(described, (make_task_name(name, index),))
        self._workload_names[name] = None
        return True

    def _update_gang(self, workload: WorkloadState) -> bool:
        """Have a gang wait once all its unfinished tasks do; true where it now does."""
        if not _is_gang_ready(workload):
            cancel_workload(self.pass_state, workload.workload)
            return False
        name = workload.workload
        tasks = [make_task_name(name, index) for index in workload.ready]
        self._queue.add(make_waiting_workload(workload), tasks)
        self._workload_names[name] = None
        return True

    def has_waiting_tasks(self, workload: str) -> bool:
        """Tell whether a workload has tasks that wait."""
        return self._queue.find_entry(workload) is not None

    def list_entries(self) -> list[QueueEntry]:
        """Return what waits of each workload, in no stated order."""
        entries = []
        for name in list(self._workload_names):
            entry = self._queue.find_entry(name)
            if entry is None:
                del self._workload_names[name]
                continue
            entries.append(entry)
        return entries


def _is_gang_ready(gang: WorkloadState) -> bool:
    """Tell whether all unfinished tasks of a gang may be placed."""
    waiting = len(gang.ready)
    return waiting > 0 and waiting + gang.phase_counts[FINISHED] == len(gang.tasks)


def make_waiting_workload(state: WorkloadState) -> WaitingWorkload:
    """Return what the order and placement of a workload's tasks depend on."""
    resource = state.resource
    submitted = datetime.fromtimestamp(state.added_at, UTC)
    latest_start = None
    if not isinstance(resource, Service) and resource.deadline_seconds:
        seconds = resource.deadline_seconds - resource.template.run_seconds
        latest_start = submitted + timedelta(seconds=seconds)
    return WaitingWorkload(
        name=state.workload,
        team=state.team,
        priority=resource.priority,
        size=resource.template.size,
        submitted=submitted,
        spread=resource.spread if isinstance(resource, Service) else "none",
        latest_start=latest_start,
        gang=state.is_gang,
        checkpointable=resource.template.checkpointable,
    )
