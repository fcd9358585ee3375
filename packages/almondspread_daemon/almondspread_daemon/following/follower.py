"""Keeps this instance's copy of the change log current.

Entries arrive by push from the instance that appended them. A gap, or a slow poll,
is filled from the table service, and from the peer that has the most while that is
down or cut off.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.changes import ChangeLog, Entry, Unreadable
from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.ownership import Member
from almondspread_daemon.following.snapshots import SnapshotExchange
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import (
    Accepted,
    EntryAnnounced,
    FetchedEntries,
    FetchEntries,
    FetchSnapshot,
    SnapshotPage,
)

FETCH_TIMEOUT = timedelta(seconds=2)
MAX_FETCHED_ENTRIES = 500


class ChangeFollower:
    """Follows the change log and tells those who wait for its next step."""

    def __init__(
        self,
        changes: ChangeLog,
        neighbours: Neighbours,
        clock: Clock,
        poll_interval: timedelta,
        on_change: Callable[[], None],
    ) -> None:
        self.caught_up = False
        self._changes = changes
        self._neighbours = neighbours
        self._clock = clock
        self._poll_interval = poll_interval
        self._on_change = on_change
        self._snapshots = SnapshotExchange(changes, neighbours)
        self._waiters: set[asyncio.Future[None]] = set()
        self._gap_detected = asyncio.Event()

    async def run(self) -> None:
        """Catch up again and again until cancelled."""
        while True:
            self._gap_detected.clear()
            await self._catch_up()
            try:
                async with asyncio.timeout(self._poll_interval.total_seconds()):
                    await self._gap_detected.wait()
            except TimeoutError:
                continue

    async def _catch_up(self) -> None:
        """Read the log up to its head, or as far as any peer has it."""
        read = await self._changes.catch_up()
        if read.is_ok():
            self.caught_up = True
            await self._compact()
            return
        if isinstance(read.error, Unreadable):
            logger.error("the change log is not followed: {}", self._changes.fault)
        while True:
            member = self._find_most_advanced()
            if member is None:
                return
            before = self._changes.cache.revision
            await self._fetch_from(member)
            if self._changes.cache.revision == before:
                break
        # What a ready peer has in force is the best that can be known now.
        if member.ready and self._changes.cache.revision >= member.revision:
            self.caught_up = True

    def _find_most_advanced(self) -> Member | None:
        """Return the live member with the highest revision that we may still need."""
        best = None
        for member in self._neighbours.list_live():
            if member.revision <= self._changes.cache.revision and self.caught_up:
                continue
            rank = (member.revision, member.ready)
            if best is None or rank > (best.revision, best.ready):
                best = member
        return best

    async def _fetch_from(self, member: Member) -> None:
        """Take what a peer has after our revision."""
        message = FetchEntries(self._changes.cache.revision)
        outcome = await self._neighbours.call(member.address, message, FETCH_TIMEOUT)
        if outcome.is_error() or not isinstance(outcome.ok, FetchedEntries):
            return
        if outcome.ok.snapshot_revision:
            await self._snapshots.fetch(member.address, outcome.ok.snapshot_revision)
            return
        for data in outcome.ok.entries:
            self._changes.receive(decode_message(data, Entry))

    async def _compact(self) -> None:
        """Compact the log where it is due; an outage only puts it off."""
        compacted = await self._changes.compact()
        if compacted.is_error():
            logger.info("the change log is not compacted: {}", compacted.error.reason)

    def notify_change(self) -> None:
        """Tell of a step that this instance has just learnt of."""
        self.release_waiters()
        self._on_change()

    def push_entry(self, entry: Entry, head_version: int) -> None:
        """Send an entry that this instance appended to every other."""
        message = EntryAnnounced(encode_message(entry), head_version)
        self._neighbours.notify_all(message)

    async def handle_entry_announced(
        self, message: EntryAnnounced, _: CallContext
    ) -> Accepted:
        """Apply an entry that a peer pushed, or note that some are missing."""
        entry = decode_message(message.entry, Entry)
        if not self._changes.receive(entry, message.head_version):
            if entry.revision > self._changes.cache.revision:
                self._gap_detected.set()
        return Accepted()

    async def handle_fetch_entries(
        self, message: FetchEntries, _: CallContext
    ) -> FetchedEntries:
        """Answer a peer that asks for entries."""
        entries = self._changes.cache.list_entries_after(message.after)
        if entries is None:
            return FetchedEntries((), self._changes.cache.revision)
        encoded = [encode_message(entry) for entry in entries[:MAX_FETCHED_ENTRIES]]
        return FetchedEntries(tuple(encoded))

    async def handle_fetch_snapshot(
        self, message: FetchSnapshot, _: CallContext
    ) -> SnapshotPage:
        """Answer a peer that asks for a page of a snapshot."""
        return self._snapshots.read_page(message)

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
