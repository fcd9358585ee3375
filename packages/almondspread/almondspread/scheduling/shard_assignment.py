"""Assignment of tasks and racks to scheduling shards."""

from collections.abc import Sequence

import xxhash

from almondspread.resources import GangJob, Workload


def assign_tasks(
    name: str, created_revision: int, workload: Workload, shards: Sequence[str]
) -> dict[str, tuple[int, ...]]:
    """Return the indices of a workload's tasks that are assigned to each shard.

    Tasks are assigned round-robin, starting at a shard that is chosen by a hash of the
    workload's name and revision. All tasks of a gang are assigned to the same shard.
    A shard without a task is left out of the result.

    >>> from almondspread.resources import Metadata, Service, TaskTemplate
    >>> service = Service(Metadata("stops"), 3, TaskTemplate(100, 64))
    >>> assignments = assign_tasks("stops", 7, service, ["a", "b", "c"])
    >>> sorted(len(indices) for indices in assignments.values())
    [1, 1, 1]
    """
    start = xxhash.xxh3_64_intdigest(f"{name}:{created_revision}".encode()) % len(
        shards
    )
    if isinstance(workload, GangJob):
        return {shards[start]: tuple(range(workload.tasks))}
    assignments: dict[str, tuple[int, ...]] = {}
    for offset, shard in enumerate(shards):
        first = (offset - start) % len(shards)
        indices = tuple(range(first, workload.task_count, len(shards)))
        if not indices:
            continue
        assignments[shard] = indices
    return assignments


def find_rack_shard_index(rack: str, count: int) -> int:
    """Return which of ``count`` shards, from 0, schedules the workers of a rack."""
    return int(xxhash.xxh3_64_intdigest(rack.encode()) % count)
