"""Appending to the change log and following it, through the table service.

The head row holds the latest revision. An append is one transaction that is
conditional on the version of the head row, so of two racing appends one takes
effect and the other is prepared again on top of it. An append whose answer is lost
is settled by reading the log: its batch is found there, or the head has moved on
without it and it can no longer take effect.
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
    """One instance's copy of the log: follows it and appends to it.

    ``announce`` is called after each step that this instance learns of; ``push``
    with each entry that it appended and the version of the head row after it.
    ``fault`` tells which row of the log cannot be read, empty for none: this
    instance then goes on with the resources it has, and appends nothing.
    """

    def __init__(
        self,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch: Callable[[], str],
        announce: Callable[[], None],
        push: Callable[[Entry, int], None],
        compact_entries: int = MIN_COMPACTION_ENTRIES,
    ) -> None:
        self.cache = ResourceCache()
        self.fault = ""
        self._table = table
        self._clock = clock
        self._make_batch_id = make_batch
        self._notify_advance = announce
        self._push_entry = push
        self._reader = LogReader(self.cache, table, store, announce)
        self._compactor = LogCompactor(
            self.cache, table, store, make_batch, compact_entries
        )
        self._head_version: int | None = None
        self._lock = asyncio.Lock()
        self._pending: list[PendingAppend] = []
        self._commit_task: asyncio.Task[None] | None = None

    def receive(self, entry: Entry, head_version: int = 0) -> bool:
        """Apply an entry that a peer has; tell whether it was the next one.

        ``head_version`` is the version of the head row that the entry left, 0 where
        it is not known.
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
        """Go on from a peer's snapshot; false where it is not newer.

        Raises ``ValueError`` for bytes that do not hold a snapshot.
        """
        if not load_snapshot(self.cache, data):
            return False
        self._head_version = None
        self._notify_advance()
        return True

    def encode_snapshot(self) -> bytes:
        """Return all resources as they stand, for a peer."""
        return encode_snapshot(self.cache)

    async def catch_up(self) -> Result[int, ReadFault]:
        """Read the log up to its head; return the revision."""
        async with self._lock:
            read = await self._read_to_head()
            return read.map(lambda head: head.revision)

    async def compact(self) -> Result[bool, ReadFault]:
        """Compact the log if it has grown enough; tell whether it was done."""
        if self.fault or not self._compactor.is_due:
            return Ok(False)
        return await self._compactor.compact()

    async def append(
        self, author: str, prepare: PrepareChanges
    ) -> Result[int, Problem]:
        """Append what ``prepare`` makes of the resources as they stand.

        Returns the revision of the entry, or the present revision where there was
        nothing to change. ``prepare`` may be called again when another append came
        first, and its changes may share an entry with those of other callers.
        """
        future: asyncio.Future[Result[int, Problem]]
        future = asyncio.get_running_loop().create_future()
        give_up = self._clock.monotonic() + APPEND_TIMEOUT
        self._pending.append(PendingAppend(author, prepare, give_up, future))
        if self._commit_task is None or self._commit_task.done():
            # A task of its own: a caller that goes away cuts no commit short.
            self._commit_task = asyncio.create_task(self._commit_pending())
        return await future

    async def _commit_pending(self) -> None:
        """Commit group after group until nobody waits."""
        while self._pending:
            async with self._lock:
                group = self._pending[:MAX_GROUP_APPENDS]
                del self._pending[:MAX_GROUP_APPENDS]
                try:
                    left = await self._commit_group(group)
                except Exception as error:
                    for append in group:
                        if not append.future.done():
                            append.future.set_exception(error)
                    continue
                self._pending[:0] = left

    async def _commit_group(self, group: list[PendingAppend]) -> list[PendingAppend]:
        """Commit one entry; return the appends that are left for the next one."""
        commit = GroupCommit(group, self._make_batch_id())
        while True:
            if self._head_version is None or commit.needs_read:
                left = await self._read_and_resolve(commit)
                if left is not None:
                    return left
                continue
            plan = commit.get_plan(self.cache)
            if plan.unwritten_outcomes and not commit.has_read_head:
                # A refusal must rest on the head of the log, not on an old copy.
                self._head_version = None
                continue
            if not plan.changes:
                return commit.complete(plan.base_revision)
            outcome = await self._write_entry(commit.batch, plan)
            if outcome.is_ok():
                return commit.complete(plan.base_revision + 1)
            self._head_version = None
            # A push may tell of a later head, so this alone calls for a read.
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
        """Read up to the head; return the appends left over if that settles a commit.

        Where the table service cannot be reached, the head stays unknown.
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
        """Write the entry of a plan on top of the head that this instance knows."""
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
            # A peer that had read the entry may have passed it on already.
            if self.cache.revision < entry.revision:
                self.cache.apply(entry)
                self._notify_advance()
            is_latest = self.cache.revision == entry.revision
            self._head_version = outcome.ok if is_latest else None
            self._push_entry(entry, outcome.ok)
        return outcome

    def _find_committed_revision(self, plan: EntryPlan, batch: str) -> Result[int, str]:
        """Return the revision at which a tried plan took effect, 0 for never.

        After a read of the head, a plan whose head has moved on can no longer take
        effect; one that took effect is in the history, unless a snapshot replaced it.
        """
        if self.cache.oldest_revision > plan.base_revision:
            if plan.is_outcome_unknown:
                return Error("the log was trimmed before the change could be found")
            return Ok(0)
        for entry in self.cache.list_entries_after(plan.base_revision) or []:
            if entry.batch == batch:
                self._push_entry(entry, 0)
                return Ok(entry.revision)
        return Ok(0)

    async def _read_to_head(self) -> Result[Head, ReadFault]:
        """Apply all entries up to the head, and note where the head is."""
        read = await self._reader.read_to_head()
        if read.is_ok():
            self._head_version = read.ok.version
            self.fault = ""
        elif isinstance(read.error, Unreadable):
            self.fault = read.error.describe()
        return read
