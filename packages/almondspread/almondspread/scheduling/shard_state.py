"""The state of a scheduling shard, which is the result of its journal's events."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgpack
from sortedcontainers import SortedSet

from almondspread.resources import Capacity
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    AttemptEvicted,
    Event,
    MovedTask,
    ResourcesSeen,
    TaskReplaced,
    TaskRetired,
    TasksReceived,
    TasksSent,
    WorkloadAdded,
    WorkloadChanged,
    WorkloadForgotten,
    WorkloadRemoved,
)
from almondspread.scheduling.snapshots import (
    decode_workload,
    encode_workload,
    parse_workload,
)
from almondspread.scheduling.tasks import (
    BOUND,
    FAILED,
    FINISHED,
    NON_FAILURE_OUTCOMES,
    WAITING,
    Attempt,
    Task,
    WorkloadState,
    get_replaced_index,
    get_replica_index,
    make_attempt_name,
)

# After a run of this length, earlier failures of a service replica do not count.
MIN_HEALTHY_RUN_TIME = timedelta(minutes=10)


class ShardState:
    """Workloads, tasks and the run list of each worker.

    ``run_lists`` maps each worker to the attempts bound to it that are not known to
    have ended, in the order in which they were bound. ``revision`` is the latest
    revision of the resources that an owner of the shard has taken into account.
    ``unreported_workloads`` names the workloads whose status changed since the last
    report. ``dirty_workloads`` and ``dirty_tasks`` name the workloads that changed as
    a whole and the single tasks that changed since the waiting queue was last updated.
    ``deletable_workloads`` names the removed workloads without an attempt.
    ``delayed_tasks`` holds retry time, workload and index of the tasks that wait for
    their retry time, the earliest first.
    """

    def __init__(self) -> None:
        self.workloads: dict[str, WorkloadState] = {}
        self.run_lists: dict[str, dict[str, Attempt]] = {}
        self.unreported_workloads: set[str] = set()
        self.dirty_workloads: set[str] = set()
        self.dirty_tasks: set[tuple[str, int]] = set()
        self.deletable_workloads: set[str] = set()
        self.delayed_tasks: SortedSet[tuple[float, str, int]] = SortedSet()
        self.revision = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            WorkloadAdded: self._add_workload,
            WorkloadChanged: self._change_workload,
            WorkloadRemoved: self._remove_workload,
            WorkloadForgotten: self._delete_workload,
            AttemptBound: self._bind_attempt,
            AttemptEnded: self._end_attempt,
            AttemptEvicted: self._evict_attempt,
            TaskReplaced: self._add_replacement,
            TaskRetired: self._retire_task,
            TasksSent: self._remove_sent_tasks,
            TasksReceived: self._add_received_tasks,
        }

    def apply(self, event: Event) -> None:
        """Apply an event; raises ``ValueError`` if it contradicts the state.

        An event of a workload or task that is not known raises ``KeyError``.
        """
        if isinstance(event, ResourcesSeen):
            self.revision = max(self.revision, event.revision)
            return
        self._handlers[type(event)](event)
        if isinstance(event, WorkloadForgotten):
            return
        self.unreported_workloads.add(event.workload)
        if isinstance(event, AttemptBound | AttemptEnded | AttemptEvicted):
            self.dirty_tasks.add((event.workload, event.index))
        else:
            self.dirty_workloads.add(event.workload)

    def make_delayed_ready(self, now: float) -> None:
        """Make the tasks ready whose retry time has come; ``now`` is in UTC seconds."""
        while self.delayed_tasks and self.delayed_tasks[0][0] <= now:
            _, workload, index = self.delayed_tasks.pop(0)
            state = self.workloads.get(workload)
            task = state.tasks.get(index) if state else None
            if state is None or task is None or task.retry_at > now:
                continue
            state.make_ready(task)
            self.dirty_tasks.add((workload, index))

    def find_attempt(self, workload: str, index: int, number: int) -> Attempt | None:
        """Return an attempt, ``None`` if it is not known or is known to have ended."""
        state = self.workloads.get(workload)
        task = state.tasks.get(index) if state else None
        attempt = task.attempt if task else None
        if attempt is None or attempt.number != number:
            return None
        return attempt

    def list_attempts(self, worker: str) -> list[Attempt]:
        """Return the attempts in the run list of a worker, in order."""
        return list(self.run_lists.get(worker, {}).values())

    def _add_workload(self, event: WorkloadAdded) -> None:
        """Add a workload and the tasks that are assigned to this shard."""
        if event.workload in self.workloads:
            raise ValueError(f"{event.workload} was added twice")
        kind, resource = parse_workload(event.document)
        state = WorkloadState(
            workload=event.workload,
            created_revision=event.created_revision,
            kind=kind,
            name=resource.metadata.name,
            resource=resource,
            document=event.document,
            added_at=event.since,
        )
        for index in event.indices:
            state.add_task(Task(index, waiting_since=event.since))
        self.workloads[event.workload] = state

    def _change_workload(self, event: WorkloadChanged) -> None:
        """Update a workload's declaration; running attempts keep their size."""
        state = self.workloads[event.workload]
        _, state.resource = parse_workload(event.document)
        state.document = event.document
        desired = set()
        for index in state.transferred_in.union(event.indices):
            if index < state.resource.task_count and index not in state.transferred_out:
                desired.add(index)
        for index, task in list(state.tasks.items()):
            self._set_desired(state, task, get_replica_index(index) in desired)
        kept = {get_replica_index(index) for index in state.tasks}
        for index in sorted(desired - kept):
            state.add_task(Task(index, waiting_since=state.added_at))

    def _remove_sent_tasks(self, event: TasksSent) -> None:
        """Remove tasks that are transferred to another shard; none may be bound."""
        state = self.workloads[event.workload]
        for index in event.indices:
            if state.tasks[index].attempt is not None:
                raise ValueError(f"{event.workload}#{index} was sent while bound")
            state.remove_task(index)
            replica = get_replica_index(index)
            if replica in state.transferred_in:
                state.transferred_in.discard(replica)
            else:
                state.transferred_out.add(replica)

    def _add_received_tasks(self, event: TasksReceived) -> None:
        """Add the tasks that are transferred from another shard."""
        state = self.workloads.get(event.workload)
        if state is None:
            self._add_workload(
                WorkloadAdded(
                    event.workload,
                    event.created_revision,
                    event.document,
                    (),
                    event.since,
                )
            )
            state = self.workloads[event.workload]
        for moved in event.tasks:
            replica = get_replica_index(moved.index)
            if replica in state.transferred_out:
                state.transferred_out.discard(replica)
            else:
                state.transferred_in.add(replica)
            if state.removed or replica >= state.resource.task_count:
                continue
            self._add_moved_task(state, moved)

    def _add_moved_task(self, state: WorkloadState, moved: MovedTask) -> None:
        """Add one transferred task, with its failures, checkpoint and retry time."""
        state.add_task(
            Task(
                moved.index,
                attempt_number=moved.number,
                failures=moved.failures,
                checkpoint=moved.checkpoint,
                waiting_since=moved.waiting_since,
                retry_at=moved.retry_at,
            )
        )
        if moved.retry_at:
            self.delayed_tasks.add((moved.retry_at, state.workload, moved.index))

    def _set_desired(self, state: WorkloadState, task: Task, desired: bool) -> None:
        """Set whether a task is desired; an undesired task stops and is removed."""
        if not desired and task.attempt is None:
            state.remove_task(task.index)
            return
        state.update_task(task, desired=desired)
        if task.attempt is not None:
            task.attempt.must_stop = not desired

    def _remove_workload(self, event: WorkloadRemoved) -> None:
        """Mark a workload as removed and all its attempts as to be stopped."""
        state = self.workloads[event.workload]
        state.removed = True
        for task in state.tasks.values():
            state.update_task(task, desired=False)
            if task.attempt is not None:
                task.attempt.must_stop = True
        self.update_deletable(state)

    def update_deletable(self, state: WorkloadState) -> None:
        """Mark a workload as deletable if it is removed and has no attempt left."""
        if state.removed and not state.attempt_count:
            self.deletable_workloads.add(state.workload)

    def _evict_attempt(self, event: AttemptEvicted) -> None:
        """Set the eviction mode of an attempt, unless the attempt has ended."""
        attempt = self.find_attempt(event.workload, event.index, event.number)
        if attempt is not None:
            attempt.eviction_mode = event.mode

    def _add_replacement(self, event: TaskReplaced) -> None:
        """Add the standby task that will replace another task."""
        state = self.workloads[event.workload]
        state.tasks[event.index].replacement_index = event.replacement
        state.add_task(
            Task(event.replacement, waiting_since=state.added_at, standby=True)
        )

    def _retire_task(self, event: TaskRetired) -> None:
        """Stop a task and let its replacement, if it has one, take its role.

        If the task is itself a replacement, the replaced task may get another one.
        """
        state = self.workloads[event.workload]
        task = state.tasks[event.index]
        self._promote_replacement(state, task)
        replaced = state.tasks.get(get_replaced_index(event.index))
        if replaced is not None:
            replaced.replacement_index = -1
        self._set_desired(state, task, False)

    def _promote_replacement(self, state: WorkloadState, task: Task) -> bool:
        """Let the replacement of a task take its role; false if it has none."""
        replacement = state.tasks.get(task.replacement_index)
        if replacement is None:
            return False
        task.replacement_index = -1
        state.update_task(replacement, standby=False)
        return True

    def _delete_workload(self, event: WorkloadForgotten) -> None:
        """Delete a removed workload, which must have no attempt left."""
        if self.workloads[event.workload].attempt_count:
            raise ValueError(f"{event.workload} was deleted while it had attempts")
        del self.workloads[event.workload]
        self.deletable_workloads.discard(event.workload)

    def _bind_attempt(self, event: AttemptBound) -> None:
        """Append an attempt to its worker's run list."""
        state = self.workloads[event.workload]
        task = state.tasks[event.index]
        if task.attempt is not None or event.number != task.attempt_number + 1:
            raise ValueError(
                f"attempt {event.number} of {event.workload}#{event.index} was bound "
                f"while attempt {task.attempt_number} was not known to have ended"
            )
        attempt = Attempt(
            name=make_attempt_name(event.workload, event.index, event.number),
            workload=event.workload,
            index=event.index,
            number=event.number,
            worker=event.worker,
            size=Capacity(event.cpu_millis, event.memory_mib, event.accelerators),
        )
        state.update_task(
            task, attempt_number=event.number, phase=BOUND, attempt=attempt
        )
        self.run_lists.setdefault(event.worker, {})[attempt.name] = attempt

    def _end_attempt(self, event: AttemptEnded) -> None:
        """Remove an attempt from its run list and update its task."""
        attempt = self.find_attempt(event.workload, event.index, event.number)
        if attempt is None:
            raise ValueError(
                f"attempt {event.number} of {event.workload}#{event.index} ended twice"
            )
        run_list = self.run_lists[attempt.worker]
        del run_list[attempt.name]
        if not run_list:
            del self.run_lists[attempt.worker]
        state = self.workloads[event.workload]
        task = state.tasks[event.index]
        replaced = self._promote_replacement(state, task)
        state.update_task(
            task,
            attempt=None,
            checkpoint=event.checkpoint or task.checkpoint,
            phase=self._find_next_phase(state, task, event),
            retry_at=event.retry_at,
            desired=task.desired and not replaced,
        )
        if self._has_gang_failed(state):
            self._fail_waiting_tasks(state)
        if event.retry_at and task.desired and task.phase == WAITING:
            self.delayed_tasks.add((event.retry_at, event.workload, event.index))
        if not task.desired and not state.removed:
            state.remove_task(event.index)
        self.update_deletable(state)

    def _find_next_phase(
        self, state: WorkloadState, task: Task, event: AttemptEnded
    ) -> str:
        """Return the next phase of a task whose attempt ended, and count a failure."""
        if event.outcome in NON_FAILURE_OUTCOMES:
            return FAILED if self._has_gang_failed(state) else WAITING
        if event.outcome == "finished" and not state.is_service:
            return FINISHED
        if state.is_service:
            if event.run_seconds >= MIN_HEALTHY_RUN_TIME.total_seconds():
                task.failures = 0
            task.failures += 1
            return WAITING
        task.failures += 1
        if task.failures >= state.max_attempts or self._has_gang_failed(state):
            return FAILED
        return WAITING

    def _has_gang_failed(self, state: WorkloadState) -> bool:
        """Tell whether a workload is a gang of which a task has failed for good."""
        return state.is_gang and state.phase_counts[FAILED] > 0

    def _fail_waiting_tasks(self, state: WorkloadState) -> None:
        """Fail the waiting tasks of a gang of which a task has failed for good."""
        for task in list(state.tasks.values()):
            if task.phase == WAITING:
                state.update_task(task, phase=FAILED)

    def encode(self) -> bytes:
        """Return a snapshot of the state, encoded with msgpack."""
        workloads = [encode_workload(state) for state in self.workloads.values()]
        order = [list(run_list) for run_list in self.run_lists.values()]
        return bytes(msgpack.packb([workloads, order, self.revision]))

    @classmethod
    def decode(cls, data: bytes) -> "ShardState":
        """Return the state in a snapshot; raises ``ValueError`` for invalid data."""
        try:
            workloads, order, revision = msgpack.unpackb(data)
            state = cls()
            state.revision = revision
            attempts: dict[str, Attempt] = {}
            for plain in workloads:
                workload = decode_workload(plain, attempts)
                state.workloads[workload.workload] = workload
            for names in order:
                for name in names:
                    attempt = attempts[name]
                    run_list = state.run_lists.setdefault(attempt.worker, {})
                    run_list[name] = attempt
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise ValueError(f"cannot decode the shard snapshot: {error!r}") from error
        state.unreported_workloads = set(state.workloads)
        state.dirty_workloads = set(state.workloads)
        for workload in state.workloads.values():
            state.update_deletable(workload)
            for task in workload.delayed.values():
                state.delayed_tasks.add((task.retry_at, workload.workload, task.index))
        return state
