"""Rows of a shard's journal and the record of its latest snapshot."""

from attrs import define


@define(frozen=True)
class JournalRow:
    """One committed batch of events.

    ``batch`` names the commit, so that one whose answer was lost is recognised when
    it is read back. ``events`` are encoded by the shard that owns the journal.
    """

    batch: str
    epoch: int
    events: tuple[bytes, ...]


@define(frozen=True)
class SnapshotRecord:
    """Where the latest snapshot lies and which sequence number it covers."""

    name: str
    sequence: int


def make_row_key(shard: str, sequence: int) -> str:
    """Return the key of the row with a sequence number.

    >>> make_row_key("schedule/umea/0", 7)
    'journal/schedule/umea/0/000000000007'
    """
    return f"journal/{shard}/{sequence:012d}"


def make_snapshot_key(shard: str) -> str:
    """Return the key of the row that names a shard's latest snapshot."""
    return f"snapshot/{shard}"
