"""Group commit to a shard's journal, and its recovery after a takeover.

Each row is written under two conditions: the shard's owner row has the version that
this owner's claim wrote, and the journal row does not exist yet. A superseded owner
therefore cannot commit. A commit whose answer is lost is retried unchanged; if the row
then exists, its batch ID tells whether this owner wrote it.
"""

from collections.abc import Callable
from datetime import timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    ObjectStore,
    TableService,
    TableUnavailable,
    Write,
)
from almondspread.journal.rows import (
    JournalRow,
    SnapshotRecord,
    make_row_key,
    make_snapshot_key,
)

RETRY_DELAY = timedelta(milliseconds=200)
SCAN_PAGE_ROWS = 500
DELETE_BATCH_ROWS = 200


@define(frozen=True)
class Superseded:
    """Another owner has the shard; this owner must stop acting for it."""

    shard: str


@define(frozen=True)
class StaleCondition:
    """A row outside the journal has changed since it was read; nothing was committed.

    ``key`` is the key of that row, on which the commit was conditional.
    """

    key: str


@define(frozen=True)
class CorruptJournal(Exception):
    """A row or snapshot of the shard is missing or corrupt; nothing is overwritten.

    ``location`` identifies the faulty row or snapshot object.
    """

    shard: str
    location: str
    reason: str

    def __str__(self) -> str:
        return (
            f"shard {self.shard} is stopped: {self.location} is missing or corrupt "
            f"({self.reason}); restore it or remove the shard's rows by hand"
        )


@define(frozen=True)
class ExtraOperations:
    """Conditions and writes on other rows, for the transaction of a commit."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


@define(frozen=True)
class Recovery:
    """The content of a journal: the latest snapshot and all rows after it.

    ``snapshot_sequence`` is the sequence number of the last row that the snapshot
    covers. Without a snapshot, ``snapshot`` is ``None``, ``snapshot_name`` empty and
    ``snapshot_sequence`` 0.
    """

    snapshot: bytes | None
    rows: tuple[JournalRow, ...]
    snapshot_name: str = ""
    snapshot_sequence: int = 0


def ignore_commit(duration: timedelta, events: int) -> None:
    """Do nothing; the default observer of commits."""


class Journal:
    """The journal of one shard, written by its owner during one epoch.

    ``make_batch_id`` returns a new unique ID for each commit. ``observe_commit`` is
    called after each commit with its duration and its number of events. ``stalled`` is
    true after a commit or recovery found the table service or the object store
    unavailable, until a later one succeeds.
    """

    def __init__(
        self,
        shard: str,
        epoch: int,
        owner_condition: Condition,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch_id: Callable[[], str],
        observe_commit: Callable[[timedelta, int], None] = ignore_commit,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self._owner_condition = owner_condition
        self._table = table
        self._store = store
        self._clock = clock
        self._make_batch_id = make_batch_id
        self._observe_commit = observe_commit
        self._next_sequence = 1
        self._snapshot_sequence = 0
        self._snapshot_name = ""
        self._oldest_sequence = 1
        self.stalled = False

    @property
    def rows_since_snapshot(self) -> int:
        """The number of rows that the next owner would read after the snapshot."""
        return self._next_sequence - 1 - self._snapshot_sequence

    async def recover(self) -> Result[Recovery, TableUnavailable]:
        """Return the latest snapshot and the rows after it.

        An owner must call this before its first commit. Raises ``CorruptJournal`` if
        the snapshot or a row is missing or cannot be decoded.
        """
        recovered = await self._recover_once()
        self.stalled = recovered.is_error()
        return recovered

    async def _recover_once(self) -> Result[Recovery, TableUnavailable]:
        """Read the snapshot and the rows; return the first error of a read."""
        record = await self._read_snapshot_record()
        if record.is_error():
            return Error(record.error)
        snapshot = None
        if record.ok is not None:
            loaded = await self._store.get(record.ok.name)
            if loaded.is_error():
                return Error(loaded.error)
            if loaded.ok is None:
                raise CorruptJournal(
                    self.shard, record.ok.name, "the snapshot object is missing"
                )
            snapshot = loaded.ok
            self._snapshot_sequence = record.ok.sequence
            self._snapshot_name = record.ok.name
        oldest = await self._find_oldest_row()
        if oldest.is_error():
            return Error(oldest.error)
        self._oldest_sequence = min(oldest.ok, self._snapshot_sequence + 1)
        rows = await self._read_rows(self._snapshot_sequence)
        if rows.is_error():
            return Error(rows.error)
        self._next_sequence = self._snapshot_sequence + len(rows.ok) + 1
        return Ok(
            Recovery(
                snapshot,
                tuple(rows.ok),
                self._snapshot_name,
                self._snapshot_sequence,
            )
        )

    async def commit(
        self, events: list[bytes], extra: ExtraOperations | None = None
    ) -> Result[int, Superseded | StaleCondition]:
        """Commit a batch of events as one row and return its sequence number.

        During an outage of the table service, the call retries without a time limit:
        the owner must not act further until it is known whether the row was written.
        ``extra`` lists conditions and writes for the same transaction. The result is
        ``StaleCondition`` if one of these conditions does not hold, and ``Superseded``
        if another owner has the shard.
        """
        extra = extra or ExtraOperations()
        started = self._clock.monotonic()
        sequence = self._next_sequence
        key = make_row_key(self.shard, sequence)
        row = JournalRow(self._make_batch_id(), self.epoch, tuple(events))
        conditions = [
            self._owner_condition,
            Condition(key, 0),
            *extra.conditions,
        ]
        writes = [Write(key, encode_message(row)), *extra.writes]
        while True:
            outcome = await self._table.transact(conditions, writes)
            if outcome.is_ok():
                break
            if isinstance(outcome.error, TableUnavailable):
                self.stalled = True
                await self._clock.sleep(RETRY_DELAY)
                continue
            failed_key = outcome.error.key
            if failed_key == self._owner_condition.key:
                return Error(Superseded(self.shard))
            if not await self._is_already_committed(key, row.batch):
                self.stalled = False
                if failed_key == key:
                    return Error(Superseded(self.shard))
                return Error(StaleCondition(failed_key))
            break
        self.stalled = False
        self._next_sequence = sequence + 1
        self._observe_commit(self._clock.monotonic() - started, len(events))
        return Ok(sequence)

    async def write_snapshot(self, data: bytes) -> Result[None, Superseded]:
        """Store a snapshot of all committed events and delete the rows it covers.

        ``data`` must include every row committed so far. If the object store or the
        table service is unavailable, the call returns without an error and deletes no
        rows, as rows are deleted only after the snapshot is recorded. A later snapshot
        covers them.
        """
        sequence = self._next_sequence - 1
        name = f"snapshot/{self.shard}/{self.epoch}-{sequence}"
        stored = await self._store.put(name, data)
        if stored.is_error():
            return Ok(None)
        record = SnapshotRecord(name, sequence)
        key = make_snapshot_key(self.shard)
        outcome = await self._table.transact(
            [self._owner_condition], [Write(key, encode_message(record))]
        )
        if outcome.is_error():
            if isinstance(outcome.error, ConditionFailed):
                return Error(Superseded(self.shard))
            return Ok(None)
        previous_name = self._snapshot_name
        self._snapshot_sequence = sequence
        self._snapshot_name = name
        await self._delete_covered_rows(sequence)
        if previous_name:
            await self._store.delete(previous_name)
        return Ok(None)

    async def _delete_covered_rows(self, last: int) -> None:
        """Delete the rows up to ``last``, which a recorded snapshot covers.

        The oldest rows are deleted first. They include rows that an earlier owner did
        not delete, or that this owner could not delete because of an outage.
        """
        for start in range(self._oldest_sequence, last + 1, DELETE_BATCH_ROWS):
            stop = min(last, start + DELETE_BATCH_ROWS - 1)
            writes = [
                Write(make_row_key(self.shard, sequence), None)
                for sequence in range(start, stop + 1)
            ]
            dropped = await self._table.transact([self._owner_condition], writes)
            if dropped.is_error():
                return
            self._oldest_sequence = stop + 1

    async def _find_oldest_row(self) -> Result[int, TableUnavailable]:
        """Return the sequence number of the oldest row.

        If there are no rows, it is the one that follows the snapshot.
        """
        page = await self._table.scan(f"journal/{self.shard}/", "", 1)
        if page.is_error():
            return Error(page.error)
        if not page.ok:
            return Ok(self._snapshot_sequence + 1)
        key = page.ok[0].key
        try:
            return Ok(int(key.rpartition("/")[2]))
        except ValueError as error:
            raise CorruptJournal(
                self.shard, key, "the key does not end in a sequence number"
            ) from error

    async def _is_already_committed(self, key: str, batch: str) -> bool:
        """Tell whether an earlier attempt of a refused commit had taken effect.

        The call retries during an outage of the table service.
        """
        while True:
            rows = await self._table.read([key])
            if rows.is_ok():
                break
            self.stalled = True
            await self._clock.sleep(RETRY_DELAY)
        if not rows.ok:
            return False
        return self._decode_row(key, rows.ok[0].value).batch == batch

    async def _read_snapshot_record(
        self,
    ) -> Result[SnapshotRecord | None, TableUnavailable]:
        """Return the record of the latest snapshot, ``None`` if there is none."""
        key = make_snapshot_key(self.shard)
        rows = await self._table.read([key])
        if rows.is_error():
            return Error(rows.error)
        if not rows.ok:
            return Ok(None)
        try:
            return Ok(decode_message(rows.ok[0].value, SnapshotRecord))
        except ValueError as error:
            raise CorruptJournal(self.shard, key, str(error)) from error

    async def _read_rows(
        self, after: int
    ) -> Result[list[JournalRow], TableUnavailable]:
        """Return all rows after a sequence number.

        Raises ``CorruptJournal`` if a row in between is missing.
        """
        found: list[JournalRow] = []
        prefix = f"journal/{self.shard}/"
        last_key = make_row_key(self.shard, after)
        while True:
            page = await self._table.scan(prefix, last_key, SCAN_PAGE_ROWS)
            if page.is_error():
                return Error(page.error)
            for row in page.ok:
                expected = make_row_key(self.shard, after + len(found) + 1)
                if row.key != expected:
                    raise CorruptJournal(self.shard, expected, "the row is missing")
                found.append(self._decode_row(row.key, row.value))
                last_key = row.key
            if len(page.ok) < SCAN_PAGE_ROWS:
                return Ok(found)

    def _decode_row(self, key: str, value: bytes) -> JournalRow:
        """Return the decoded row of a key."""
        try:
            return decode_message(value, JournalRow)
        except ValueError as error:
            raise CorruptJournal(self.shard, key, str(error)) from error
