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
    """A change of one part of a resource.

    ``part`` is ``spec``, or ``status/`` followed by the name of the shard that reports
    the status. ``value`` is the new content of that part as a msgpack document, or
    ``None`` to remove the resource. ``author`` is empty if it is the author of the
    entry.
    """

    kind: str
    name: str
    part: str
    value: bytes | None
    author: str = ""

    def load(self) -> Any:
        """Decode the document that the change sets, ``None`` for a removal."""
        return None if self.value is None else msgpack.unpackb(self.value)


@define(frozen=True)
class Entry:
    """Changes that take effect atomically at one revision.

    ``batch`` is a unique name for the commit that wrote the entry, so that an instance
    which got no reply to its write recognizes its own entry. ``written_at`` is a UTC
    timestamp in seconds.
    """

    revision: int
    batch: str
    author: str
    written_at: float
    changes: tuple[Change, ...]


def make_entry_key(revision: int) -> str:
    """Return the key of the table row that holds the entry of a revision."""
    return f"{ENTRY_PREFIX}{revision:016d}"


def make_spec_change(kind: str, resource: Resource) -> Change:
    """Return a change that sets the spec of a resource."""
    document = msgpack.packb(describe_resource(resource))
    return Change(kind, resource.metadata.name, "spec", document)


def make_removal_change(kind: str, name: str) -> Change:
    """Return a change that removes a resource."""
    return Change(kind, name, "spec", None)


def make_status_change(kind: str, name: str, shard: str, status: Any) -> Change:
    """Return a change that sets the status which one shard reports for a resource."""
    return Change(kind, name, f"status/{shard}", msgpack.packb(status))


def load_resource(change: Change) -> Resource:
    """Decode the resource that a change of a spec sets.

    Raises ``ValueError`` if the stored document is not a valid resource.
    """
    parsed = parse_resource(change.load())
    if parsed.is_error():
        raise ValueError(
            f"stored {change.kind}/{change.name} is invalid: {parsed.error.message}"
        )
    return parsed.ok[1]
