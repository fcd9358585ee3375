"""The change log of one instance: appends to the log and follows it.

The head row in the table service holds the latest revision. An append is one
transaction that is conditional on the version of the head row, so only one of two
concurrent appends commits; the other is prepared again on top of it. If the reply to
a write is lost, the instance reads the log to learn the outcome: either the log holds
an entry with the batch of the append, or the head has advanced without it and the
write can no longer take effect.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.changes.appends import (
    EntryPlan,
    GroupCommit,
    PendingAppend,
    PrepareChanges,
)
from almondspread.changes.cache import ResourceCache
from almondspread.changes.compaction import MIN_COMPACTION_ENTRIES, LogCompactor
from almondspread.changes.entries import HEAD_KEY, Entry, make_entry_key
from almondspread.changes.reader import Head, LogReader, ReadFault, Unreadable
from almondspread.changes.snapshots import encode_snapshot, load_snapshot
from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.errors import Problem
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    ObjectStore,
    TableService,
    TableUnavailable,
    Write,
)

RETRY_DELAY = timedelta(milliseconds=100)
APPEND_TIMEOUT = timedelta(seconds=5)
MAX_GROUP_APPENDS = 256


class ChangeLog:
    """Keeps one instance's copy of the resources up to date and appends changes.

    ``notify_advance`` is called whenever the cache has advanced. ``push_entry`` is
    called with each entry that this instance appended and the version of the head row
    after it, 0 if that version is unknown. ``make_batch_id`` returns a unique name for
    each commit.

    ``fault`` describes the row or object of the log that cannot be read, and is empty
    if there is none. Until the fault is gone, the instance keeps the resources that it
    has and appends nothing.
    """

    def __init__(
        self,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch_id: Callable[[], str],
        notify_advance: Callable[[], None],
        push_entry: Callable[[Entry, int], None],
        min_compaction_entries: int = MIN_COMPACTION_ENTRIES,
    ) -> None:
        self.cache = ResourceCache()
        self.fault = ""
        self._table = table
        self._clock = clock
        self._make_batch_id = make_batch_id
        self._notify_advance = notify_advance
        self._push_entry = push_entry
        self._reader = LogReader(self.cache, table, store, notify_advance)
        self._compactor = LogCompactor(
            self.cache, table, store, make_batch_id, min_compaction_entries
        )
        self._head_version: int | None = None
        self._lock = asyncio.Lock()
        self._pending: list[PendingAppend] = []
        self._commit_task: asyncio.Task[None] | None = None

    def receive(self, entry: Entry, head_version: int = 0) -> bool:
        """Apply an entry sent by a peer and return whether it was applied.

        An entry is applied only if it is the next one and can be decoded.
        ``head_version`` is the version of the head row after the entry was written, 0
        if unknown.
        """
        if entry.revision != self.cache.revision + 1:
            return False
        try:
            self.cache.apply(entry)
        except ValueError as error:
            key = make_entry_key(entry.revision)
            self.fault = Unreadable(key, str(error)).describe()
            return False
        self._head_version = head_version or None
        self.fault = ""
        self._notify_advance()
        return True

    def receive_snapshot(self, data: bytes) -> bool:
        """Advance to a snapshot sent by a peer; return false if it is not newer.

        Raises ``ValueError`` if ``data`` is not a valid snapshot.
        """
        if not load_snapshot(self.cache, data):
            return False
        self._head_version = None
        self._notify_advance()
        return True

    def encode_snapshot(self) -> bytes:
        """Return a snapshot of the current resources, to send to a peer."""
        return encode_snapshot(self.cache)

    async def catch_up(self) -> Result[int, ReadFault]:
        """Read the log up to its head and return the head revision."""
        async with self._lock:
            read = await self._read_to_head()
            return read.map(lambda head: head.revision)

    async def compact(self) -> Result[bool, ReadFault]:
        """Compact the log if it has grown enough; return whether it was compacted."""
        if self.fault or not self._compactor.is_due:
            return Ok(False)
        return await self._compactor.compact()

    async def append(
        self, author: str, prepare: PrepareChanges
    ) -> Result[int, Problem]:
        """Append the changes that ``prepare`` returns for the current resources.

        Returns the revision of the entry, or the current revision if ``prepare``
        returns no changes, or the error that ``prepare`` returns. ``prepare`` is called
        again if another append commits first, and its changes may share an entry with
        those of other callers.

        If the log cannot be read, or the table service does not answer before the
        earliest deadline in the group of appends, the whole group fails. The error is
        ``Unavailable`` if the changes were not made, and ``OutcomeUnknown`` if they may
        have taken effect or may still do so.
        """
        future: asyncio.Future[Result[int, Problem]]
        future = asyncio.get_running_loop().create_future()
        deadline = self._clock.monotonic() + APPEND_TIMEOUT
        self._pending.append(PendingAppend(author, prepare, deadline, future))
        if self._commit_task is None or self._commit_task.done():
            # Commits run in a task of their own, so that a cancelled caller does not
            # cancel the commit of its group.
            self._commit_task = asyncio.create_task(self._commit_pending())
        return await future

    async def _commit_pending(self) -> None:
        """Commit pending appends in groups until none is left."""
        while self._pending:
            async with self._lock:
                group = self._pending[:MAX_GROUP_APPENDS]
                del self._pending[:MAX_GROUP_APPENDS]
                try:
                    remaining = await self._commit_group(group)
                except Exception as error:
                    for append in group:
                        if not append.future.done():
                            append.future.set_exception(error)
                    continue
                self._pending[:0] = remaining

    async def _commit_group(self, group: list[PendingAppend]) -> list[PendingAppend]:
        """Commit one entry and return the appends that the next one must serve."""
        commit = GroupCommit(group, self._make_batch_id())
        while True:
            if self._head_version is None or commit.needs_read:
                remaining = await self._read_and_resolve(commit)
                if remaining is not None:
                    return remaining
                continue
            plan = commit.get_plan(self.cache)
            if plan.unwritten_outcomes and not commit.has_read_head:
                # An append is only rejected or found to change nothing on the basis of
                # the head of the log, not of a stale cache.
                self._head_version = None
                continue
            if not plan.changes:
                return commit.complete(plan.base_revision)
            outcome = await self._write_entry(commit.batch, plan)
            if outcome.is_ok():
                return commit.complete(plan.base_revision + 1)
            self._head_version = None
            # An entry pushed by a peer can set the head version again, so this flag
            # is what forces a read of the log.
            commit.needs_read = True
            if isinstance(outcome.error, ConditionFailed):
                continue
            plan.is_outcome_unknown = True
            if self._clock.monotonic() >= commit.deadline:
                return commit.fail(outcome.error.reason)
            await self._clock.sleep(RETRY_DELAY)

    async def _read_and_resolve(
        self, commit: GroupCommit
    ) -> list[PendingAppend] | None:
        """Read the log up to the head and learn whether a tried write committed.

        Returns the appends left for the next entry if the commit has ended, because
        the write committed or the whole group failed, and ``None`` if the commit must
        go on. While the table service cannot be reached, the version of the head row
        stays unknown.
        """
        read = await self._read_to_head()
        if read.is_error():
            if isinstance(read.error, Unreadable):
                return commit.fail(self.fault)
            if self._clock.monotonic() >= commit.deadline:
                return commit.fail(read.error.reason)
            await self._clock.sleep(RETRY_DELAY)
            return None
        commit.has_read_head = True
        if commit.plan is None or not commit.needs_read:
            return None
        commit.needs_read = False
        found = self._find_committed_revision(commit.plan, commit.batch)
        if found.is_error():
            return commit.fail(found.error)
        return commit.complete(found.ok) if found.ok else None

    async def _write_entry(
        self, batch: str, plan: EntryPlan
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Write the entry of a plan, on condition that the known head is current."""
        entry = Entry(
            revision=plan.base_revision + 1,
            batch=batch,
            author=plan.author,
            written_at=self._clock.now().timestamp(),
            changes=tuple(plan.changes),
        )
        outcome = await self._table.transact(
            [Condition(HEAD_KEY, self._head_version or 0)],
            [
                Write(HEAD_KEY, str(entry.revision).encode()),
                Write(make_entry_key(entry.revision), encode_message(entry)),
            ],
        )
        if outcome.is_ok():
            # A peer may have read the entry from the table and pushed it already.
            if self.cache.revision < entry.revision:
                self.cache.apply(entry)
                self._notify_advance()
            is_latest = self.cache.revision == entry.revision
            self._head_version = outcome.ok if is_latest else None
            self._push_entry(entry, outcome.ok)
        return outcome

    def _find_committed_revision(self, plan: EntryPlan, batch: str) -> Result[int, str]:
        """Return the revision at which a plan committed, 0 if it has not.

        Must be called after a read of the head: if the head has advanced past the base
        of the plan, a write that is not found can no longer take effect. A committed
        entry is in the history, unless a snapshot replaced the history. In that case
        the result is an error if a write of the plan got no reply.
        """
        if self.cache.oldest_revision > plan.base_revision:
            if plan.is_outcome_unknown:
                return Error("the log was trimmed before the outcome could be read")
            return Ok(0)
        for entry in self.cache.list_entries_after(plan.base_revision) or []:
            if entry.batch == batch:
                self._push_entry(entry, 0)
                return Ok(entry.revision)
        return Ok(0)

    async def _read_to_head(self) -> Result[Head, ReadFault]:
        """Apply all entries up to the head and record the version of the head row."""
        read = await self._reader.read_to_head()
        if read.is_ok():
            self._head_version = read.ok.version
            self.fault = ""
        elif isinstance(read.error, Unreadable):
            self.fault = read.error.describe()
        return read
