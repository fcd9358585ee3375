"""The state of a scheduling shard: what its journal adds up to."""

from typing import Any

import msgpack

from almondspread.resources import Capacity, Workload, parse_resource
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    Event,
    ResourcesSeen,
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
    name_attempt,
)


class ShardState:
    """Workloads, tasks and the run list of each worker.

    ``run_lists`` holds for each worker the attempts bound to it and not known to
    have ended, in the order in which they were bound. ``revision`` is the latest of
    the resources that an owner has followed.
    """

    def __init__(self) -> None:
        self.workloads: dict[str, WorkloadState] = {}
        self.run_lists: dict[str, dict[str, Attempt]] = {}
        self.changed: set[str] = set()
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
        elif isinstance(event, WorkloadForgotten):
            self._forget(event)
            return
        elif isinstance(event, ResourcesSeen):
            self.revision = max(self.revision, event.revision)
            return
        self.changed.add(event.workload)

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
            state.tasks[index] = Task(index, waiting_since=event.since)
        self.workloads[event.workload] = state

    def _change(self, event: WorkloadChanged) -> None:
        """Take on another declaration; attempts that run keep their size."""
        state = self.workloads[event.workload]
        _, state.resource = _load_workload(event.document)
        state.document = event.document
        wanted = set(event.indices)
        for index, task in list(state.tasks.items()):
            task.wanted = index in wanted
            if task.attempt is not None:
                task.attempt.unwanted = not task.wanted
            elif not task.wanted:
                del state.tasks[index]
        for index in event.indices:
            if index not in state.tasks:
                state.tasks[index] = Task(index, waiting_since=state.since)

    def _remove(self, event: WorkloadRemoved) -> None:
        """Have all attempts of a workload stop."""
        state = self.workloads[event.workload]
        state.removed = True
        for task in state.tasks.values():
            task.wanted = False
            if task.attempt is not None:
                task.attempt.unwanted = True

    def _forget(self, event: WorkloadForgotten) -> None:
        """Forget a workload that has no attempt left."""
        for task in self.workloads[event.workload].tasks.values():
            if task.attempt is not None:
                raise ValueError(f"{event.workload} is forgotten while it runs")
        del self.workloads[event.workload]

    def _bind(self, event: AttemptBound) -> None:
        """Put an attempt at the end of its worker's run list."""
        task = self.workloads[event.workload].tasks[event.index]
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
        task.number = event.number
        task.phase = BOUND
        task.attempt = attempt
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
        task.attempt = None
        task.checkpoint = event.checkpoint or task.checkpoint
        task.phase = self._settle(state, task, event.outcome)
        if not task.wanted and not state.removed:
            del state.tasks[event.index]

    def _settle(self, state: WorkloadState, task: Task, outcome: str) -> str:
        """Return the phase of a task whose attempt ended."""
        if state.is_service or outcome in EXCUSED_OUTCOMES:
            return WAITING
        if outcome == "finished":
            return FINISHED
        task.failures += 1
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
            attempt = [task.attempt.worker, amounts, task.attempt.acknowledged]
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
    for index, phase, number, failures, wanted, checkpoint, waiting, bound in tasks:
        task = Task(index, phase, number, failures, None, wanted, checkpoint, waiting)
        if bound is not None:
            worker, amounts, acknowledged = bound
            name = name_attempt(workload, index, number)
            size = Capacity(*amounts)
            task.attempt = Attempt(name, workload, index, number, worker, size)
            task.attempt.unwanted = not wanted
            task.attempt.acknowledged = acknowledged
            attempts[name] = task.attempt
        state.tasks[index] = task
    return state
