"""Reads the change log from the table service and the object store."""

from collections.abc import Callable

from attrs import define
from expression import Error, Ok, Result

from almondspread.changes.cache import ResourceCache
from almondspread.changes.entries import (
    HEAD_KEY,
    SNAPSHOT_KEY,
    Entry,
    make_entry_key,
)
from almondspread.changes.snapshots import SnapshotRecord, load_snapshot
from almondspread.codec import decode_message
from almondspread.interfaces import ObjectStore, Row, TableService, TableUnavailable

READ_PAGE_ENTRIES = 200
MAX_SNAPSHOT_ATTEMPTS = 3


@define(frozen=True)
class Unreadable:
    """A row or object of the log that is missing or that this version cannot read."""

    key: str
    reason: str

    def describe(self) -> str:
        """Return a one-line description for operators."""
        return f"cannot read {self.key}: {self.reason}"


ReadFault = TableUnavailable | Unreadable


@define(frozen=True)
class Head:
    """The revision stored in the head row, and the version of that row."""

    revision: int
    version: int


class LogReader:
    """Applies the entries and snapshots of the log to a cache.

    ``notify_advance`` is called after each entry and each snapshot.
    """

    def __init__(
        self,
        cache: ResourceCache,
        table: TableService,
        store: ObjectStore,
        notify_advance: Callable[[], None],
    ) -> None:
        self._cache = cache
        self._table = table
        self._store = store
        self._notify_advance = notify_advance

    async def read_to_head(self) -> Result[Head, ReadFault]:
        """Advance the cache to the head of the log and return the head."""
        while True:
            read = await self._read_head()
            if read.is_error():
                return read
            head = read.ok
            while self._cache.revision < head.revision:
                advanced = await self._apply_next_entries(head.revision)
                if advanced.is_error():
                    return Error(advanced.error)
            # Entries pushed by peers can advance the cache beyond the head that was
            # read; then the head is read again.
            if self._cache.revision == head.revision:
                return Ok(head)

    async def _read_head(self) -> Result[Head, ReadFault]:
        """Read the head row; the revision is 0 if nothing was appended yet."""
        known_revision = self._cache.revision
        rows = await self._table.read([HEAD_KEY])
        if rows.is_error():
            return Error(rows.error)
        head = Head(0, 0)
        if rows.ok:
            try:
                head = Head(int(rows.ok[0].value), rows.ok[0].version)
            except ValueError as error:
                return Error(Unreadable(HEAD_KEY, str(error)))
        if head.revision < known_revision:
            reason = f"it is behind revision {known_revision}, which is already applied"
            return Error(Unreadable(HEAD_KEY, reason))
        return Ok(head)

    async def _apply_next_entries(self, latest: int) -> Result[None, ReadFault]:
        """Apply a page of entries up to ``latest``, or a snapshot if trimmed."""
        first = self._cache.revision + 1
        last = min(latest, first + READ_PAGE_ENTRIES - 1)
        keys = [make_entry_key(revision) for revision in range(first, last + 1)]
        rows = await self._table.read(keys)
        if rows.is_error():
            return Error(rows.error)
        if not rows.ok or rows.ok[0].key != keys[0]:
            return await self._fetch_snapshot(keys[0])
        for row in rows.ok:
            applied = self._apply_row(row)
            if applied.is_error():
                return applied
        return Ok(None)

    def _apply_row(self, row: Row) -> Result[None, ReadFault]:
        """Apply the entry in a row, unless a peer has pushed the entry already."""
        try:
            entry = decode_message(row.value, Entry)
            if row.key != make_entry_key(entry.revision):
                raise ValueError(f"the row holds entry {entry.revision}")
            if entry.revision <= self._cache.revision:
                return Ok(None)
            self._cache.apply(entry)
        except ValueError as error:
            return Error(Unreadable(row.key, str(error)))
        self._notify_advance()
        return Ok(None)

    async def _fetch_snapshot(self, missing_key: str) -> Result[None, ReadFault]:
        """Advance to the snapshot that covers a trimmed row."""
        name = ""
        for _ in range(MAX_SNAPSHOT_ATTEMPTS):
            record = await self._read_snapshot_record()
            if record.is_error():
                return Error(record.error)
            if record.ok is None or record.ok.revision <= self._cache.revision:
                # A peer may have pushed the entry of the missing row in the meantime.
                if make_entry_key(self._cache.revision + 1) != missing_key:
                    return Ok(None)
                return Error(Unreadable(missing_key, "the row is missing"))
            name = record.ok.name
            loaded = await self._store.get(name)
            if loaded.is_error():
                return Error(loaded.error)
            if loaded.ok is not None:
                return self._apply_snapshot(name, loaded.ok)
            # A concurrent compaction may have deleted the object that the record named,
            # so the record is read again.
        return Error(Unreadable(name, "the object is missing"))

    def _apply_snapshot(self, name: str, data: bytes) -> Result[None, ReadFault]:
        """Advance the cache to a snapshot fetched from the object store."""
        try:
            advanced = load_snapshot(self._cache, data)
        except ValueError as error:
            return Error(Unreadable(name, str(error)))
        if advanced:
            self._notify_advance()
        return Ok(None)

    async def _read_snapshot_record(self) -> Result[SnapshotRecord | None, ReadFault]:
        """Read the snapshot record, ``None`` if there is no snapshot yet."""
        rows = await self._table.read([SNAPSHOT_KEY])
        if rows.is_error():
            return Error(rows.error)
        if not rows.ok:
            return Ok(None)
        try:
            return Ok(decode_message(rows.ok[0].value, SnapshotRecord))
        except ValueError as error:
            return Error(Unreadable(SNAPSHOT_KEY, str(error)))
