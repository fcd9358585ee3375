"""Keeps this instance's copy of the change log current.

Entries arrive by push from the instance that appended them. A gap, or a slow poll,
is filled from the table service, and from a peer that has more while that is down.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.changes import ChangeLog, Entry
from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import (
    Accepted,
    EntryAnnounced,
    FetchedEntries,
    FetchEntries,
)

FETCH_TIMEOUT = timedelta(seconds=2)
MAX_FETCHED_ENTRIES = 500


class ChangeFollower:
    """Follows the change log and tells those who wait for its next entry."""

    def __init__(
        self,
        changes: ChangeLog,
        neighbours: Neighbours,
        clock: Clock,
        poll_interval: timedelta,
        on_entry: Callable[[Entry], None],
    ) -> None:
        self.caught_up = False
        self._changes = changes
        self._neighbours = neighbours
        self._clock = clock
        self._poll_interval = poll_interval
        self._on_entry = on_entry
        self._waiters: set[asyncio.Future[None]] = set()
        self._gap = asyncio.Event()

    async def run(self) -> None:
        """Catch up again and again until cancelled."""
        while True:
            self._gap.clear()
            await self._catch_up()
            try:
                async with asyncio.timeout(self._poll_interval.total_seconds()):
                    await self._gap.wait()
            except TimeoutError:
                continue

    async def _catch_up(self) -> None:
        """Read the log up to its head, or as far as any peer has it."""
        read = await self._changes.catch_up()
        if read.is_ok():
            self.caught_up = True
            return
        logger.debug("the change log is read from peers: {}", read.error.reason)
        for member in self._neighbours.list_live():
            if member.revision <= self._changes.cache.revision and self.caught_up:
                continue
            await self._fetch_from(member.address)
            if member.ready:
                self.caught_up = True

    async def _fetch_from(self, address: str) -> None:
        """Take the entries that a peer has after our revision."""
        message = FetchEntries(self._changes.cache.revision)
        outcome = await self._neighbours.call(address, message, FETCH_TIMEOUT)
        if outcome.is_error() or not isinstance(outcome.ok, FetchedEntries):
            return
        for data in outcome.ok.entries:
            self._changes.receive(decode_message(data, Entry))

    def announce(self, entry: Entry) -> None:
        """Tell of an entry that this instance has just learnt of."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()
        self._on_entry(entry)

    def push(self, entry: Entry) -> None:
        """Send an entry that this instance appended to every other."""
        self._neighbours.note_all(EntryAnnounced(encode_message(entry)))

    async def take_announced(self, message: EntryAnnounced, _: CallContext) -> Accepted:
        """Apply an entry that a peer pushed, or note that some are missing."""
        entry = decode_message(message.entry, Entry)
        if not self._changes.receive(entry):
            if entry.revision > self._changes.cache.revision:
                self._gap.set()
        return Accepted()

    async def take_fetch(self, message: FetchEntries, _: CallContext) -> FetchedEntries:
        """Answer a peer that asks for entries."""
        entries = self._changes.cache.list_entries_after(message.after) or []
        encoded = [encode_message(entry) for entry in entries[:MAX_FETCHED_ENTRIES]]
        return FetchedEntries(tuple(encoded))

    async def wait_for_change(self, revision: int, timeout: timedelta) -> bool:
        """Wait until the log is past a revision; false after the timeout."""
        if self._changes.cache.revision > revision:
            return True
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait_for(waiter, timeout.total_seconds())
        except TimeoutError:
            return False
        finally:
            self._waiters.discard(waiter)
        return True

    def release_waiters(self) -> None:
        """Wake all who wait, for a stop."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()
