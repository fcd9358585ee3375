"""Names of shards, and the listed workers that belong to a scheduling shard."""

from collections.abc import Iterable, Sequence

from almondspread.interfaces import Instance
from almondspread.scheduling import find_rack_shard_index


def list_shard_workers(
    listed: Iterable[Instance], shard: str, shards: Sequence[str]
) -> list[Instance]:
    """Return the listed workers whose racks belong to a scheduling shard.

    ``shards`` are the names of the scheduling shards of all failure domains.
    """
    domain = parse_failure_domain(shard)
    domain_shards = [name for name in shards if parse_failure_domain(name) == domain]
    workers = []
    for instance in listed:
        if instance.role != "worker" or instance.failure_domain != domain:
            continue
        if (
            domain_shards[find_rack_shard_index(instance.rack, len(domain_shards))]
            == shard
        ):
            workers.append(instance)
    return workers


def parse_failure_domain(shard: str) -> str:
    """Return the failure domain in a shard's name.

    >>> parse_failure_domain("schedule/umea/0")
    'umea'
    """
    return shard.split("/")[1]


def make_shard_names(kind: str, domains: Sequence[str], count: int) -> tuple[str, ...]:
    """Return the names of all shards of a kind, over all failure domains.

    >>> make_shard_names("requests", ["umea", "lulea"], 1)
    ('requests/umea/0', 'requests/lulea/0')
    """
    names = []
    for domain in domains:
        for index in range(count):
            names.append(f"{kind}/{domain}/{index}")
    return tuple(names)
