"""Rows of a shard's journal and the record of its latest snapshot."""

from attrs import define


@define(frozen=True)
class JournalRow:
    """One committed batch of events.

    ``batch`` is a unique ID of the commit, by which the owner recognises its own row
    if the answer to the commit was lost. ``events`` are encoded by the shard that the
    journal belongs to.
    """

    batch: str
    epoch: int
    events: tuple[bytes, ...]


@define(frozen=True)
class SnapshotRecord:
    """The object name of the latest snapshot and the last row that it covers.

    ``sequence`` is the sequence number of that row.
    """

    name: str
    sequence: int


def make_row_key(shard: str, sequence: int) -> str:
    """Return the key of the journal row with a sequence number.

    >>> make_row_key("schedule/umea/0", 7)
    'journal/schedule/umea/0/000000000007'
    """
    return f"journal/{shard}/{sequence:012d}"


def make_snapshot_key(shard: str) -> str:
    """Return the key of the row that holds a shard's ``SnapshotRecord``."""
    return f"snapshot/{shard}"
