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

from almondspread.changes.cache import ResourceCache
from almondspread.changes.entries import (
    HEAD_KEY,
    Change,
    Entry,
    make_entry_key,
)
from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.errors import OutcomeUnknown, Problem, Unavailable
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    TableService,
    TableUnavailable,
    Write,
)

READ_ENTRIES = 200
RETRY_PAUSE = timedelta(milliseconds=100)
APPEND_TIMEOUT = timedelta(seconds=5)

Prepare = Callable[[ResourceCache], Result[list[Change], Problem]]


class ChangeLog:
    """One instance's copy of the log: follows it and appends to it.

    ``announce`` is called with each entry that this instance learns of, in order;
    ``push`` with each that it appended.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        make_batch: Callable[[], str],
        announce: Callable[[Entry], None],
        push: Callable[[Entry], None],
    ) -> None:
        self.cache = ResourceCache()
        self._table = table
        self._clock = clock
        self._make_batch = make_batch
        self._announce = announce
        self._push = push
        self._head_version: int | None = None
        self._found_revision = 0
        self._lock = asyncio.Lock()

    def receive(self, entry: Entry) -> bool:
        """Apply an entry that a peer pushed; tell whether it was the next one."""
        if entry.revision != self.cache.revision + 1:
            return False
        self._apply(entry)
        return True

    async def catch_up(self) -> Result[int, TableUnavailable]:
        """Read the log up to its head; return the revision."""
        async with self._lock:
            return await self._read_to_head()

    async def append(self, author: str, prepare: Prepare) -> Result[int, Problem]:
        """Append what ``prepare`` makes of the resources as they stand.

        Returns the revision of the entry, or the present revision where there was
        nothing to change. ``prepare`` may be called again when another append came
        first.
        """
        async with self._lock:
            return await self._append(author, prepare)

    async def _append(self, author: str, prepare: Prepare) -> Result[int, Problem]:
        """Append while holding the lock."""
        give_up = self._clock.monotonic() + APPEND_TIMEOUT
        batch = self._make_batch()
        unsettled = False
        while True:
            if self._head_version is None or unsettled:
                read = await self._read_to_head(batch)
                if read.is_error():
                    if self._clock.monotonic() >= give_up:
                        return Error(_explain_outage(read.error, unsettled))
                    await self._clock.sleep(RETRY_PAUSE)
                    continue
                if self._found_revision:
                    return Ok(self._found_revision)
            prepared = prepare(self.cache)
            if prepared.is_error():
                return Error(prepared.error)
            if not prepared.ok:
                return Ok(self.cache.revision)
            outcome = await self._write(author, batch, prepared.ok)
            if outcome.is_ok():
                return Ok(self.cache.revision)
            unsettled = True
            if isinstance(outcome.error, ConditionFailed):
                continue
            if self._clock.monotonic() >= give_up:
                return Error(_explain_outage(outcome.error, unsettled))
            await self._clock.sleep(RETRY_PAUSE)

    async def _write(
        self, author: str, batch: str, changes: list[Change]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Write one entry on top of the head that this instance knows."""
        entry = Entry(
            revision=self.cache.revision + 1,
            batch=batch,
            author=author,
            written_at=self._clock.now().timestamp(),
            changes=tuple(changes),
        )
        outcome = await self._table.transact(
            [Condition(HEAD_KEY, self._head_version or 0)],
            [
                Write(HEAD_KEY, str(entry.revision).encode()),
                Write(make_entry_key(entry.revision), encode_message(entry)),
            ],
        )
        if outcome.is_ok():
            self._head_version = outcome.ok
            self._apply(entry)
            self._push(entry)
        return outcome

    async def _read_to_head(self, batch: str = "") -> Result[int, TableUnavailable]:
        """Apply all entries up to the head, noting the one written by ``batch``."""
        head = await self._table.read([HEAD_KEY])
        if head.is_error():
            return Error(head.error)
        if not head.ok:
            self._head_version = 0
            return Ok(0)
        latest = int(head.ok[0].value)
        self._found_revision = self.cache.find_batch(batch)
        while self.cache.revision < latest:
            first = self.cache.revision + 1
            last = min(latest, first + READ_ENTRIES - 1)
            keys = [make_entry_key(revision) for revision in range(first, last + 1)]
            rows = await self._table.read(keys)
            if rows.is_error():
                return Error(rows.error)
            for row in rows.ok:
                entry = decode_message(row.value, Entry)
                if batch and entry.batch == batch:
                    self._found_revision = entry.revision
                if entry.revision == self.cache.revision + 1:
                    self._apply(entry)
        # Pushed entries can put the cache ahead of the head row that was read.
        if self.cache.revision == latest:
            self._head_version = head.ok[0].version
            return Ok(latest)
        return await self._read_to_head(batch)

    def _apply(self, entry: Entry) -> None:
        """Advance the cache and tell those who follow it."""
        self.cache.apply(entry)
        self._announce(entry)


def _explain_outage(fault: TableUnavailable, unsettled: bool) -> Problem:
    """Return the problem for an append that was given up during an outage."""
    if unsettled:
        return OutcomeUnknown(
            f"the change may or may not take effect: {fault.reason}",
            "read the resource again when the table service answers",
        )
    return Unavailable(
        f"the change was not made: {fault.reason}",
        "send the change again when the table service answers",
        not_run=True,
        retry_after_seconds=5.0,
    )
