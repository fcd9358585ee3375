"""Keeps this instance's copy of the change log current.

The instance that appends an entry pushes the entry to all others. After a gap, and at
each slow poll, the follower reads missing entries from the table service. While the
table service is down or unreachable, the follower reads from the peer with the highest
revision.
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
    """Follows the change log, and wakes those who wait for its next revision.

    ``caught_up`` becomes true once the log was read up to its head, or up to the
    revision of a ready peer in an outage. ``on_change`` is called after each change of
    the local copy.
    """

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
        """Catch up after each gap and each poll interval until cancelled."""
        while True:
            self._gap_detected.clear()
            await self._catch_up()
            try:
                async with asyncio.timeout(self._poll_interval.total_seconds()):
                    await self._gap_detected.wait()
            except TimeoutError:
                continue

    async def _catch_up(self) -> None:
        """Read the log up to its head, or in an outage as far as any peer has it."""
        read = await self._changes.catch_up()
        if read.is_ok():
            self.caught_up = True
            await self._compact()
            return
        if isinstance(read.error, Unreadable):
            logger.error("following the change log failed: {}", self._changes.fault)
        while True:
            member = self._find_most_advanced()
            if member is None:
                return
            before = self._changes.cache.revision
            await self._fetch_from(member)
            if self._changes.cache.revision == before:
                break
        # In an outage, the revision of a ready peer is the newest that can be known.
        if member.ready and self._changes.cache.revision >= member.revision:
            self.caught_up = True

    def _find_most_advanced(self) -> Member | None:
        """Return the live member with the highest revision that may be needed here.

        Until ``caught_up`` is set, a member with no newer revision qualifies as well.
        """
        best = None
        for member in self._neighbours.list_live():
            if member.revision <= self._changes.cache.revision and self.caught_up:
                continue
            rank = (member.revision, member.ready)
            if best is None or rank > (best.revision, best.ready):
                best = member
        return best

    async def _fetch_from(self, member: Member) -> None:
        """Apply the entries, or the snapshot, that a peer has after our revision."""
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
        """Compact the log where this is due; an outage only delays the compaction."""
        compacted = await self._changes.compact()
        if compacted.is_error():
            logger.info(
                "change log not compacted, to be retried: {}", compacted.error.reason
            )

    def notify_change(self) -> None:
        """Wake the waiters and call ``on_change`` after the local copy changed."""
        self.release_waiters()
        self._on_change()

    def push_entry(self, entry: Entry, head_version: int) -> None:
        """Send an entry that this instance appended to all other instances."""
        message = EntryAnnounced(encode_message(entry), head_version)
        self._neighbours.notify_all(message)

    async def handle_entry_announced(
        self, message: EntryAnnounced, _: CallContext
    ) -> Accepted:
        """Apply an entry that a peer pushed, or trigger a read of missing ones."""
        entry = decode_message(message.entry, Entry)
        if not self._changes.receive(entry, message.head_version):
            if entry.revision > self._changes.cache.revision:
                self._gap_detected.set()
        return Accepted()

    async def handle_fetch_entries(
        self, message: FetchEntries, _: CallContext
    ) -> FetchedEntries:
        """Return the entries after a peer's revision, or name a snapshot instead."""
        entries = self._changes.cache.list_entries_after(message.after)
        if entries is None:
            return FetchedEntries((), self._changes.cache.revision)
        encoded = [encode_message(entry) for entry in entries[:MAX_FETCHED_ENTRIES]]
        return FetchedEntries(tuple(encoded))

    async def handle_fetch_snapshot(
        self, message: FetchSnapshot, _: CallContext
    ) -> SnapshotPage:
        """Return a page of a snapshot to a peer."""
        return self._snapshots.read_page(message)

    async def wait_for_change(self, revision: int, timeout: timedelta) -> bool:
        """Wait until the log has advanced past a revision; false after the timeout.

        The method also returns true when ``release_waiters`` ends the wait.
        """
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
        """Wake all waiters, as after a change; a stop does so to end their waits."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()
