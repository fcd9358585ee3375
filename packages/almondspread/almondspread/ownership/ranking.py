"""Rendezvous hashing of shards to instances."""

from collections.abc import Iterable

import xxhash


def rank_owners(shard: str, instances: Iterable[str]) -> list[str]:
    """Return the instances by preference as owner of a shard, best first.

    If an instance joins or leaves, only the shards that it gains or owned move.

    >>> order = rank_owners("schedule/umea/0", ["entry-1", "entry-2", "entry-3"])
    >>> rest = [name for name in order if name != order[0]]
    >>> rank_owners("schedule/umea/0", rest) == rest
    True
    """

    def make_sort_key(instance: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{shard}|{instance}".encode()), instance

    return sorted(instances, key=make_sort_key, reverse=True)
