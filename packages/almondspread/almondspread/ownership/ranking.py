"""Rendezvous hashing of shards over instances."""

from collections.abc import Iterable

import xxhash


def rank_owners(shard: str, instances: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they should own a shard.

    A change of one instance moves only the shards that it owns or gains.

    >>> order = rank_owners("schedule/umea/0", ["entry-1", "entry-2", "entry-3"])
    >>> rest = [name for name in order if name != order[0]]
    >>> rank_owners("schedule/umea/0", rest) == rest
    True
    """

    def weigh(instance: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{shard}|{instance}".encode()), instance

    return sorted(instances, key=weigh, reverse=True)
