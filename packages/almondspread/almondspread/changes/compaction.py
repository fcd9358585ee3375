"""Compaction of the change log.

A compaction stores a snapshot of all resources in the object store and deletes the
table rows of entries that an older snapshot covers.
"""

from collections.abc import Callable

from expression import Error, Ok, Result

from almondspread.changes.cache import ResourceCache
from almondspread.changes.entries import ENTRY_PREFIX, SNAPSHOT_KEY, make_entry_key
from almondspread.changes.reader import ReadFault, Unreadable
from almondspread.changes.snapshots import SnapshotRecord, encode_snapshot
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    ObjectStore,
    TableService,
    Write,
)

MIN_COMPACTION_ENTRIES = 500
TRIM_PAGE_ROWS = 100


class LogCompactor:
    """Stores snapshots in the object store and deletes the entries they cover.

    Any instance may compact at any time, because the snapshot record is updated by
    compare-and-set and rows are deleted only after a recorded snapshot covers them. A
    compaction is due after ``min_entries`` entries. ``make_batch_id`` returns a unique
    suffix for the names of the objects.
    """

    def __init__(
        self,
        cache: ResourceCache,
        table: TableService,
        store: ObjectStore,
        make_batch_id: Callable[[], str],
        min_entries: int = MIN_COMPACTION_ENTRIES,
    ) -> None:
        self._cache = cache
        self._table = table
        self._store = store
        self._make_batch_id = make_batch_id
        self._min_entries = min_entries
        self._checked_revision = 0
        self._unconfirmed_names: set[str] = set()

    @property
    def is_due(self) -> bool:
        """Whether enough entries were added since the last known snapshot."""
        return self._cache.revision - self._checked_revision >= self._min_entries

    async def compact(self) -> Result[bool, ReadFault]:
        """Compact the log if it has grown enough; return whether it was compacted."""
        rows = await self._table.read([SNAPSHOT_KEY])
        if rows.is_error():
            return Error(rows.error)
        version = 0
        old = SnapshotRecord("", 0, "", 0)
        if rows.ok:
            version = rows.ok[0].version
            try:
                old = decode_message(rows.ok[0].value, SnapshotRecord)
            except ValueError as error:
                return Error(Unreadable(SNAPSHOT_KEY, str(error)))
        self._checked_revision = max(old.next_revision, self._checked_revision)
        if self._cache.revision - old.next_revision < self._min_entries:
            return Ok(False)
        return await self._store_snapshot(old, version)

    async def _store_snapshot(
        self, old: SnapshotRecord, version: int
    ) -> Result[bool, ReadFault]:
        """Store and record a new snapshot; delete what the older snapshot covers."""
        revision = self._cache.revision
        name = f"changes/snapshot/{revision}-{self._make_batch_id()}"
        stored = await self._store.put(name, encode_snapshot(self._cache))
        if stored.is_error():
            return Error(stored.error)
        record = SnapshotRecord(old.next_name, old.next_revision, name, revision)
        outcome = await self._table.transact(
            [Condition(SNAPSHOT_KEY, version)],
            [Write(SNAPSHOT_KEY, encode_message(record))],
        )
        if outcome.is_error():
            if isinstance(outcome.error, ConditionFailed):
                await self._store.delete(name)
                return Ok(False)
            # The record may name this object if the write took effect, so a later
            # compaction deletes the object, once the record does not name it.
            self._unconfirmed_names.add(name)
            return Error(outcome.error)
        self._checked_revision = revision
        await self._delete_objects(old, record)
        return await self._trim_entries(record.revision)

    async def _delete_objects(self, old: SnapshotRecord, new: SnapshotRecord) -> None:
        """Delete the objects that the snapshot record no longer names."""
        names = {old.name, *self._unconfirmed_names} - {"", new.name, new.next_name}
        self._unconfirmed_names.clear()
        for name in sorted(names):
            await self._store.delete(name)

    async def _trim_entries(self, revision: int) -> Result[bool, ReadFault]:
        """Delete the entries up to a revision, oldest first, a page at a time."""
        last_key = make_entry_key(revision)
        while True:
            page = await self._table.scan(ENTRY_PREFIX, "", TRIM_PAGE_ROWS)
            if page.is_error():
                return Error(page.error)
            writes = [Write(row.key, None) for row in page.ok if row.key <= last_key]
            if not writes:
                return Ok(True)
            trimmed = await self._table.transact([], writes)
            if trimmed.is_error() and not isinstance(trimmed.error, ConditionFailed):
                return Error(trimmed.error)
