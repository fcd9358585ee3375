"""Snapshots of all resources as bytes, for the object store and for peers."""

from typing import Any

import msgpack
from attrs import define, field

from almondspread.changes.cache import CachedResource, ResourceCache
from almondspread.changes.entries import Change, load_resource
from almondspread.codec import decode_message, encode_message
from almondspread.resources import describe_resource


@define(frozen=True)
class StoredItem:
    """A resource in a snapshot; ``document`` and ``reports`` are msgpack documents."""

    kind: str
    name: str
    created_revision: int
    resource_version: int
    author: str
    document: bytes
    reports: dict[str, bytes] = field(factory=dict)


@define(frozen=True)
class Snapshot:
    """All resources as of one revision."""

    revision: int
    spec_revision: int
    items: tuple[StoredItem, ...]


@define(frozen=True)
class SnapshotRecord:
    """The table row that names the two snapshots kept in the object store.

    Readers start from the older snapshot, ``name`` at ``revision``, so that they also
    load the entries after it, which serve watches. At the next compaction, the newer
    snapshot ``next_name`` replaces it. A name is empty if there is no such snapshot
    yet.
    """

    name: str
    revision: int
    next_name: str
    next_revision: int


def encode_snapshot(cache: ResourceCache) -> bytes:
    """Encode the current resources of a cache as a snapshot."""
    items = []
    for item in cache.iterate():
        reports = {}
        for shard, report in item.reports.items():
            reports[shard] = bytes(msgpack.packb(report))
        items.append(
            StoredItem(
                item.kind,
                item.name,
                item.created_revision,
                item.resource_version,
                item.author,
                bytes(msgpack.packb(describe_resource(item.resource))),
                reports,
            )
        )
    return encode_message(Snapshot(cache.revision, cache.spec_revision, tuple(items)))


def load_snapshot(cache: ResourceCache, data: bytes) -> bool:
    """Advance a cache to a snapshot; return false if the snapshot is not newer.

    Raises ``ValueError`` and leaves the cache unchanged if ``data`` is not a complete
    snapshot.
    """
    snapshot = decode_message(data, Snapshot)
    if snapshot.revision <= cache.revision:
        return False
    items = [_load_item(stored) for stored in snapshot.items]
    cache.replace_all(snapshot.revision, snapshot.spec_revision, items)
    return True


def _load_item(stored: StoredItem) -> CachedResource:
    """Decode a resource of a snapshot."""
    reports: dict[str, Any] = {}
    for shard, report in stored.reports.items():
        reports[shard] = msgpack.unpackb(report)
    change = Change(stored.kind, stored.name, "spec", stored.document)
    return CachedResource(
        stored.kind,
        stored.name,
        stored.created_revision,
        stored.resource_version,
        stored.author,
        load_resource(change),
        reports,
    )
