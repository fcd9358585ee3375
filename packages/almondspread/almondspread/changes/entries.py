"""Entries of the change log and the table rows that hold them."""

from typing import Any

import msgpack
from attrs import define

from almondspread.resources import Resource, describe_resource, parse_resource

HEAD_KEY = "changes/head"
SNAPSHOT_KEY = "changes/snapshot"
ENTRY_PREFIX = "changes/entry/"


@define(frozen=True)
class Change:
    """One change of one resource.

    ``part`` is ``spec``, or ``status/`` and the name of the shard that reports it.
    ``value`` is the msgpack document of that part, ``None`` where it is removed.
    ``author`` is set where it differs from the author of the entry.
    """

    kind: str
    name: str
    part: str
    value: bytes | None
    author: str = ""

    def load(self) -> Any:
        """Return the document that the change sets."""
        return None if self.value is None else msgpack.unpackb(self.value)


@define(frozen=True)
class Entry:
    """Changes that took effect together at one revision.

    ``batch`` names the append that wrote the entry, so that an append whose answer
    was lost recognises its own entry. ``written_at`` is UTC seconds.
    """

    revision: int
    batch: str
    author: str
    written_at: float
    changes: tuple[Change, ...]


def make_entry_key(revision: int) -> str:
    """Return the key of the row that holds the entry of a revision."""
    return f"{ENTRY_PREFIX}{revision:016d}"


def make_spec_change(kind: str, resource: Resource) -> Change:
    """Return the change that sets a resource as declared."""
    document = msgpack.packb(describe_resource(resource))
    return Change(kind, resource.metadata.name, "spec", document)


def make_removal_change(kind: str, name: str) -> Change:
    """Return the change that removes a resource."""
    return Change(kind, name, "spec", None)


def make_status_change(kind: str, name: str, shard: str, status: Any) -> Change:
    """Return the change that sets what one shard reports of a resource."""
    return Change(kind, name, f"status/{shard}", msgpack.packb(status))


def load_resource(change: Change) -> Resource:
    """Return the resource that a change of a spec sets.

    Raises ``ValueError`` where the stored document is not a valid resource.
    """
    parsed = parse_resource(change.load())
    if parsed.is_error():
        raise ValueError(f"stored {change.kind}/{change.name}: {parsed.error.message}")
    return parsed.ok[1]
