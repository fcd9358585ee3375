"""The state of a scheduling shard: what its journal adds up to."""

from typing import Any

import msgpack
from sortedcontainers import SortedSet

from almondspread.resources import Capacity, Workload, parse_resource
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    AttemptEvicted,
    Event,
    ResourcesSeen,
    TaskReplaced,
    TaskRetired,
    WorkloadAdded,
    WorkloadChanged,
    WorkloadForgotten,
    WorkloadRemoved,
)
from almondspread.scheduling.tasks import (
    BOUND,
    EXCUSED_OUTCOMES,
    FAILED,
    FINISHED,
    WAITING,
    Attempt,
    Task,
    WorkloadState,
    find_replica,
    name_attempt,
    previous_index,
)


class ShardState:
    """Workloads, tasks and the run list of each worker.

    ``run_lists`` holds for each worker the attempts bound to it and not known to
    have ended, in the order in which they were bound. ``revision`` is the latest of
    the resources that an owner has followed. ``changed`` names the workloads that
    changed since the last report; ``touched`` those that changed as a whole, and
    ``touched_tasks`` single tasks that changed, since the queue was last brought in
    step. ``ended_removed`` names removed workloads without an attempt, ``delayed`` the
    tasks that wait for their next try, in the order of time.
    """

    def __init__(self) -> None:
        self.workloads: dict[str, WorkloadState] = {}
        self.run_lists: dict[str, dict[str, Attempt]] = {}
        self.changed: set[str] = set()
        self.touched: set[str] = set()
        self.touched_tasks: set[tuple[str, int]] = set()
        self.ended_removed: set[str] = set()
        self.delayed: SortedSet[tuple[float, str, int]] = SortedSet()
        self.revision = 0

    def apply(self, event: Event) -> None:
        """Advance by one event; raises ``ValueError`` for one that cannot follow."""
        if isinstance(event, AttemptBound):
            self._bind(event)
        elif isinstance(event, AttemptEnded):
            self._end(event)
        elif isinstance(event, WorkloadAdded):
            self._add(event)
        elif isinstance(event, WorkloadChanged):
            self._change(event)
        elif isinstance(event, WorkloadRemoved):
            self._remove(event)
        elif isinstance(event, AttemptEvicted):
            self._evict(event)
        elif isinstance(event, TaskReplaced):
            self._replace(event)
        elif isinstance(event, TaskRetired):
            self._retire(event)
        elif isinstance(event, WorkloadForgotten):
            self._forget(event)
            return
        elif isinstance(event, ResourcesSeen):
            self.revision = max(self.revision, event.revision)
            return
        self.changed.add(event.workload)
        if isinstance(event, AttemptBound | AttemptEnded | AttemptEvicted):
            self.touched_tasks.add((event.workload, event.index))
        else:
            self.touched.add(event.workload)

    def release_delayed(self, now: float) -> None:
        """Let the tasks be placed whose next try is due."""
        while self.delayed and self.delayed[0][0] <= now:
            _, workload, index = self.delayed.pop(0)
            state = self.workloads.get(workload)
            task = state.tasks.get(index) if state else None
            if state is None or task is None or task.retry_at > now:
                continue
            state.make_ready(task)
            self.touched_tasks.add((workload, index))

    def find_attempt(self, workload: str, index: int, number: int) -> Attempt | None:
        """Return an attempt that is not known to have ended."""
        state = self.workloads.get(workload)
        task = state.tasks.get(index) if state else None
        attempt = task.attempt if task else None
        if attempt is None or attempt.number != number:
            return None
        return attempt

    def list_attempts(self, worker: str) -> list[Attempt]:
        """Return the run list of a worker, in order."""
        return list(self.run_lists.get(worker, {}).values())

    def _add(self, event: WorkloadAdded) -> None:
        """Take on tasks of a workload."""
        if event.workload in self.workloads:
            raise ValueError(f"{event.workload} is taken on twice")
        kind, resource = _load_workload(event.document)
        state = WorkloadState(
            workload=event.workload,
            created_revision=event.created_revision,
            kind=kind,
            name=resource.metadata.name,
            resource=resource,
            document=event.document,
            since=event.since,
        )
        for index in event.indices:
            state.add_task(Task(index, waiting_since=event.since))
        self.workloads[event.workload] = state

    def _change(self, event: WorkloadChanged) -> None:
        """Take on another declaration; attempts that run keep their size."""
        state = self.workloads[event.workload]
        _, state.resource = _load_workload(event.document)
        state.document = event.document
        wanted = set(event.indices)
        for index, task in list(state.tasks.items()):
            self._want(state, task, find_replica(index) in wanted)
        kept = {find_replica(index) for index in state.tasks}
        for index in event.indices:
            if index not in kept:
                state.add_task(Task(index, waiting_since=state.since))

    def _want(self, state: WorkloadState, task: Task, wanted: bool) -> None:
        """Keep a task, or have it stop and be forgotten."""
        if not wanted and task.attempt is None:
            state.drop_task(task.index)
            return
        state.change_task(task, wanted=wanted)
        if task.attempt is not None:
            task.attempt.unwanted = not wanted

    def _remove(self, event: WorkloadRemoved) -> None:
        """Have all attempts of a workload stop."""
        state = self.workloads[event.workload]
        state.removed = True
        for task in state.tasks.values():
            state.change_task(task, wanted=False)
            if task.attempt is not None:
                task.attempt.unwanted = True
        self.note_removed(state)

    def note_removed(self, state: WorkloadState) -> None:
        """Note that a removed workload can be forgotten once nothing runs."""
        if state.removed and not state.attempts:
            self.ended_removed.add(state.workload)

    def _evict(self, event: AttemptEvicted) -> None:
        """Have an attempt give up its place."""
        attempt = self.find_attempt(event.workload, event.index, event.number)
        if attempt is not None:
            attempt.eviction = event.mode

    def _replace(self, event: TaskReplaced) -> None:
        """Add the task that is to take over from another."""
        state = self.workloads[event.workload]
        state.tasks[event.index].replacement = event.replacement
        state.add_task(Task(event.replacement, waiting_since=state.since, standby=True))

    def _retire(self, event: TaskRetired) -> None:
        """Have a task stop; its replacement, if it has one, stands in for it."""
        state = self.workloads[event.workload]
        task = state.tasks[event.index]
        self._promote(state, task)
        replaced = state.tasks.get(previous_index(event.index))
        if replaced is not None:
            replaced.replacement = -1
        self._want(state, task, False)

    def _promote(self, state: WorkloadState, task: Task) -> bool:
        """Let the replacement of a task stand in for it; false without one."""
        replacement = state.tasks.get(task.replacement)
        if replacement is None:
            return False
        task.replacement = -1
        state.change_task(replacement, standby=False)
        return True

    def _forget(self, event: WorkloadForgotten) -> None:
        """Forget a workload that has no attempt left."""
        if self.workloads[event.workload].attempts:
            raise ValueError(f"{event.workload} is forgotten while it runs")
        del self.workloads[event.workload]
        self.ended_removed.discard(event.workload)

    def _bind(self, event: AttemptBound) -> None:
        """Put an attempt at the end of its worker's run list."""
        state = self.workloads[event.workload]
        task = state.tasks[event.index]
        if task.attempt is not None or event.number != task.number + 1:
            raise ValueError(
                f"attempt {event.number} of {event.workload}#{event.index} bound "
                f"while attempt {task.number} is not known to have ended"
            )
        attempt = Attempt(
            name=name_attempt(event.workload, event.index, event.number),
            workload=event.workload,
            index=event.index,
            number=event.number,
            worker=event.worker,
            size=Capacity(event.cpu_millis, event.memory_mib, event.accelerators),
        )
        state.change_task(task, number=event.number, phase=BOUND, attempt=attempt)
        self.run_lists.setdefault(event.worker, {})[attempt.name] = attempt

    def _end(self, event: AttemptEnded) -> None:
        """Take an attempt off its run list and settle what becomes of its task."""
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
        replaced = self._promote(state, task)
        state.change_task(
            task,
            attempt=None,
            checkpoint=event.checkpoint or task.checkpoint,
            phase=self._settle(state, task, event.outcome),
            retry_at=event.retry_at,
            wanted=task.wanted and not replaced,
        )
        if event.retry_at and task.wanted and task.phase == WAITING:
            self.delayed.add((event.retry_at, event.workload, event.index))
        if not task.wanted and not state.removed:
            state.drop_task(event.index)
        self.note_removed(state)

    def _settle(self, state: WorkloadState, task: Task, outcome: str) -> str:
        """Return the phase of a task whose attempt ended."""
        if outcome in EXCUSED_OUTCOMES:
            return WAITING
        if outcome == "finished" and not state.is_service:
            return FINISHED
        task.failures += 1
        if state.is_service:
            return WAITING
        return FAILED if task.failures >= state.allowed_attempts else WAITING

    def encode(self) -> bytes:
        """Return a snapshot of the state."""
        workloads = [_encode_workload(state) for state in self.workloads.values()]
        order = [list(run_list) for run_list in self.run_lists.values()]
        return bytes(msgpack.packb([workloads, order, self.revision]))

    @classmethod
    def decode(cls, data: bytes) -> "ShardState":
        """Return the state that a snapshot holds; raises ``ValueError``."""
        try:
            workloads, order, revision = msgpack.unpackb(data)
            state = cls()
            state.revision = revision
            attempts: dict[str, Attempt] = {}
            for plain in workloads:
                workload = _decode_workload(plain, attempts)
                state.workloads[workload.workload] = workload
            for names in order:
                for name in names:
                    attempt = attempts[name]
                    run_list = state.run_lists.setdefault(attempt.worker, {})
                    run_list[name] = attempt
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise ValueError(f"not a snapshot of a shard: {error!r}") from error
        state.changed = set(state.workloads)
        state.touched = set(state.workloads)
        for workload in state.workloads.values():
            state.note_removed(workload)
            for task in workload.delayed.values():
                state.delayed.add((task.retry_at, workload.workload, task.index))
        return state


def _load_workload(document: bytes) -> tuple[str, Workload]:
    """Return the kind and resource that a journal's document declares."""
    parsed = parse_resource(msgpack.unpackb(document))
    if parsed.is_error():
        raise ValueError(parsed.error.message)
    kind, resource = parsed.ok
    if not isinstance(resource, Workload):
        raise ValueError(f"a {kind} is not a workload")
    return kind, resource


def _encode_workload(state: WorkloadState) -> list[Any]:
    """Return a workload as plain values."""
    tasks = []
    for task in state.tasks.values():
        attempt = None
        if task.attempt is not None:
            size = task.attempt.size
            amounts = [size.cpu_millis, size.memory_mib, size.accelerators]
            attempt = [
                task.attempt.worker,
                amounts,
                task.attempt.acknowledged,
                task.attempt.eviction,
            ]
        tasks.append(
            [
                task.index,
                task.phase,
                task.number,
                task.failures,
                task.wanted,
                task.checkpoint,
                task.waiting_since,
                attempt,
                task.retry_at,
                task.replacement,
                task.standby,
            ]
        )
    return [
        state.workload,
        state.created_revision,
        state.document,
        state.since,
        state.removed,
        tasks,
    ]


def _decode_workload(plain: list[Any], attempts: dict[str, Attempt]) -> WorkloadState:
    """Return a workload from plain values, noting its attempts by name."""
    workload, created_revision, document, since, removed, tasks = plain
    kind, resource = _load_workload(document)
    state = WorkloadState(
        workload=workload,
        created_revision=created_revision,
        kind=kind,
        name=resource.metadata.name,
        resource=resource,
        document=document,
        since=since,
        removed=removed,
    )
    for encoded in tasks:
        state.add_task(_decode_task(workload, encoded, attempts))
    return state


def _decode_task(workload: str, plain: list[Any], attempts: dict[str, Attempt]) -> Task:
    """Return a task from plain values, noting its attempt by name."""
    index, phase, number, failures, wanted, checkpoint, waiting, bound, *later = plain
    task = Task(index, phase, number, failures, None, wanted, checkpoint, waiting)
    task.retry_at, task.replacement, task.standby = later
    if bound is None:
        return task
    worker, amounts, acknowledged, eviction = bound
    name = name_attempt(workload, index, number)
    task.attempt = Attempt(name, workload, index, number, worker, Capacity(*amounts))
    task.attempt.unwanted = not wanted
    task.attempt.acknowledged = acknowledged
    task.attempt.eviction = eviction
    attempts[name] = task.attempt
    return task
