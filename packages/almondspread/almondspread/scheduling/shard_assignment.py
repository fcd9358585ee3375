"""Which scheduling shard has which task of a workload."""

from collections.abc import Sequence

import xxhash

from almondspread.resources import GangJob, Workload


def assign_tasks(
    name: str, created_revision: int, workload: Workload, shards: Sequence[str]
) -> dict[str, tuple[int, ...]]:
    """Return the indices of the tasks that each shard has of a workload.

    Tasks go round the shards, from a start that differs by workload. The tasks of a
    gang stay together in one shard.

    >>> from almondspread.resources import Metadata, Service, TaskTemplate
    >>> service = Service(Metadata("stops"), 3, TaskTemplate(100, 64))
    >>> homes = assign_tasks("stops", 7, service, ["a", "b", "c"])
    >>> sorted(len(indices) for indices in homes.values())
    [1, 1, 1]
    """
    start = xxhash.xxh3_64_intdigest(f"{name}:{created_revision}".encode()) % len(
        shards
    )
    if isinstance(workload, GangJob):
        return {shards[start]: tuple(range(workload.tasks))}
    homes: dict[str, tuple[int, ...]] = {}
    for offset, shard in enumerate(shards):
        first = (offset - start) % len(shards)
        indices = tuple(range(first, workload.task_count, len(shards)))
        if not indices:
            continue
        homes[shard] = indices
    return homes


def find_rack_shard_index(rack: str, count: int) -> int:
    """Return which of ``count`` scheduling shards has the workers of a rack."""
    return int(xxhash.xxh3_64_intdigest(rack.encode()) % count)
