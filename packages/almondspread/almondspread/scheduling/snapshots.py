"""Encoding of workloads in the snapshots of a shard's state."""

from typing import Any

import msgpack

from almondspread.resources import Capacity, Workload, parse_resource
from almondspread.scheduling.tasks import (
    Attempt,
    Task,
    WorkloadState,
    make_attempt_name,
)


def parse_workload(document: bytes) -> tuple[str, Workload]:
    """Return the kind and resource of a msgpack document from the journal.

    Raises ``ValueError`` if the document does not declare a workload.
    """
    parsed = parse_resource(msgpack.unpackb(document))
    if parsed.is_error():
        raise ValueError(parsed.error.message)
    kind, resource = parsed.ok
    if not isinstance(resource, Workload):
        raise ValueError(f"a {kind} is not a workload")
    return kind, resource


def encode_workload(state: WorkloadState) -> list[Any]:
    """Return a workload as a list of values that msgpack can encode."""
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
                task.attempt.eviction_mode,
            ]
        tasks.append(
            [
                task.index,
                task.phase,
                task.attempt_number,
                task.failures,
                task.desired,
                task.checkpoint,
                task.waiting_since,
                attempt,
                task.retry_at,
                task.replacement_index,
                task.standby,
            ]
        )
    return [
        state.workload,
        state.created_revision,
        state.document,
        state.added_at,
        state.removed,
        sorted(state.transferred_out),
        sorted(state.transferred_in),
        tasks,
    ]


def decode_workload(plain: list[Any], attempts: dict[str, Attempt]) -> WorkloadState:
    """Return the workload encoded in ``plain`` and add its attempts to ``attempts``."""
    workload, created_revision, document, since, removed, sent, received, tasks = plain
    kind, resource = parse_workload(document)
    state = WorkloadState(
        workload=workload,
        created_revision=created_revision,
        kind=kind,
        name=resource.metadata.name,
        resource=resource,
        document=document,
        added_at=since,
        removed=removed,
        transferred_out=set(sent),
        transferred_in=set(received),
    )
    for encoded in tasks:
        state.add_task(_decode_task(workload, encoded, attempts))
    return state


def _decode_task(workload: str, plain: list[Any], attempts: dict[str, Attempt]) -> Task:
    """Return the task encoded in ``plain`` and add its attempt to ``attempts``."""
    index, phase, number, failures, desired, checkpoint, since, bound, *later = plain
    task = Task(index, phase, number, failures, None, desired, checkpoint, since)
    task.retry_at, task.replacement_index, task.standby = later
    if bound is None:
        return task
    worker, amounts, acknowledged, mode = bound
    name = make_attempt_name(workload, index, number)
    task.attempt = Attempt(name, workload, index, number, worker, Capacity(*amounts))
    task.attempt.must_stop = not desired
    task.attempt.acknowledged = acknowledged
    task.attempt.eviction_mode = mode
    attempts[name] = task.attempt
    return task
