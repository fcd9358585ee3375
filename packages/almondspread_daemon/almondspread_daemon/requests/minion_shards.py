"""Owning a shard of minions: taking it over safely, and keeping the right to send.

No minion checks who sends to it, so the fence lies with the owner. It may send only
for half of an instance lease after it asked, and was told, that no later owner is
known. A successor of an owner that crashed counts all slots as in use until the
longest request that its predecessor could still have sent has surely ended.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum

from attrs import define
from loguru import logger

from almondspread.clock import Clock
from almondspread.interfaces import TableService
from almondspread.ownership import Member, Ownership, make_owner_key
from almondspread.requests import ShardSlots
from almondspread.requests.kinds import CALL_GRACE_PERIOD, LOOKUP_GRACE_PERIOD
from almondspread_daemon.peers.messages import Accepted
from almondspread_daemon.peers.request_messages import (
    ConfirmOwner,
    FetchSlots,
    SlotsInUse,
)
from almondspread_daemon.requests.idle_slots import has_idle_record
from almondspread_daemon.requests.minion_pools import MinionPools

CONFIRMATIONS_PER_LEASE = 6
CONFIRMATIONS_PER_TABLE_READ = 2
FETCH_SLOTS_TIMEOUT = timedelta(milliseconds=300)
FETCH_SLOTS_RETRY_DELAY = timedelta(milliseconds=300)
POLL_INTERVAL = timedelta(milliseconds=100)


class PeerVerdict(Enum):
    """What the peers of the failure domain say to an owner's question."""

    CONFIRMED = "no peer knows of a later owner"
    DENIED = "a peer knows of a later owner"
    SILENT = "a live peer has not replied"
    ALONE = "no peer is live"


CallPeer = Callable[[Member, object, timedelta], Awaitable[object | None]]


@define(frozen=True)
class MinionTimings:
    """How long requests last and how long an instance counts as live."""

    instance_lease: timedelta
    longest_lookup: timedelta
    longest_call: timedelta

    @property
    def send_lease(self) -> timedelta:
        """How long an owner may send after a confirmation."""
        return self.instance_lease / 2

    @property
    def lookup_drain_time(self) -> timedelta:
        """How long after a crash a lookup of the former owner may still run."""
        return self.instance_lease + self.longest_lookup + LOOKUP_GRACE_PERIOD

    @property
    def call_drain_time(self) -> timedelta:
        """How long after a crash any request of the former owner may still run."""
        return self.instance_lease + self.longest_call + CALL_GRACE_PERIOD


class MinionShard:
    """Acts for one shard of minions under one epoch."""

    def __init__(
        self,
        ownership: Ownership,
        pools: MinionPools,
        table: TableService,
        list_peers: Callable[[], list[Member]],
        ask_peer: CallPeer,
        terms: MinionTimings,
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self.recovered = False
        self.slots = ShardSlots(ownership.shard, ownership.epoch)
        self._pools = pools
        self._table = table
        self._list_peers = list_peers
        self._call_peer = ask_peer
        self._timings = terms
        self._clock = clock
        self._stopped = asyncio.Event()
        self._confirmations = 0
        self._last_confirmation = timedelta(0)

    async def stop(self) -> None:
        """Send nothing more; what is in flight is reported to the next owner."""
        self._stopped.set()
        self._pools.release_shard(self.slots)

    async def run(self) -> None:
        """Take the slots over, then keep the right to send until superseded."""
        polling = None
        try:
            self.assume_all_in_use()
            former = self._pools.shards[self.slots.shard]
            self._pools.attach_shard(self.slots)
            polling = asyncio.create_task(self.recover_slots(former))
            self.recovered = True
            while not self._stopped.is_set():
                if not await self.renew_send_lease():
                    logger.info("shard {} has a later owner", self.slots.shard)
                    return
                await self._sleep_until_stopped(
                    self._timings.instance_lease / CONFIRMATIONS_PER_LEASE
                )
        finally:
            if polling is not None:
                polling.cancel()
            self._pools.release_shard(self.slots)

    async def _sleep_until_stopped(self, duration: timedelta) -> None:
        """Wait for a duration or until stopped."""
        try:
            async with asyncio.timeout(duration.total_seconds()):
                await self._stopped.wait()
        except TimeoutError:
            return

    def assume_all_in_use(self) -> None:
        """Count as in use what an owner that crashed may have sent.

        The first owner ever has no one before it.
        """
        if self.ownership.epoch <= 1:
            return
        now = self._clock.monotonic()
        self.slots.lookups_drained_at = now + self._timings.lookup_drain_time
        self.slots.calls_drained_at = now + self._timings.call_drain_time

    async def recover_slots(self, own: ShardSlots) -> None:
        """Learn from the former owner what it still has in use, until it has none."""
        former = self.ownership.epoch - 1
        if former < 1:
            return
        if own.released and own.epoch in (former, self.ownership.epoch):
            # This instance's own requests are still counted one by one.
            self.slots.held = dict(own.held)
            self.slots.lookups_drained_at = own.lookups_drained_at
            self.slots.calls_drained_at = own.calls_drained_at
            await self._clock.sleep(self._timings.call_drain_time)
            self.slots.held = {}
            return
        while self._clock.monotonic() < self.slots.calls_drained_at:
            for member in self._list_peers():
                told = await self._fetch_slots(member)
                if told is None or told.epoch != former or not told.released:
                    continue
                self._set_reported_slots(told)
                await self._track_former_owner(member)
                return
            if await has_idle_record(self._table, self.slots.shard, former):
                self._set_reported_slots(SlotsInUse(former, True, {}))
                return
            await self._clock.sleep(FETCH_SLOTS_RETRY_DELAY)

    async def _fetch_slots(self, member: Member) -> SlotsInUse | None:
        """Ask one peer for the slots that it may still have in use."""
        told = await self._call_peer(
            member, FetchSlots(self.slots.shard), FETCH_SLOTS_TIMEOUT
        )
        return told if isinstance(told, SlotsInUse) else None

    def _set_reported_slots(self, told: SlotsInUse) -> None:
        """Count what the former owner reports in place of everything."""
        self.slots.held = dict(told.in_use)
        self.slots.lookups_drained_at = timedelta(0)
        self.slots.calls_drained_at = timedelta(0)
        for name in told.leaving:
            self._pools.mark_leaving(name)

    async def _track_former_owner(self, member: Member) -> None:
        """Follow the former owner's count down to nothing.

        Its last report stands, as an upper bound, until the longest request that it
        can have sent has ended.
        """
        end = self._clock.monotonic() + self._timings.call_drain_time
        while self.slots.held and self._clock.monotonic() < end:
            await self._clock.sleep(POLL_INTERVAL)
            told = await self._fetch_slots(member)
            if told is not None and told.released:
                self.slots.held = dict(told.in_use)
        self.slots.held = {}

    async def renew_send_lease(self) -> bool:
        """Renew the right to send; false where a later owner is known."""
        started = self._clock.monotonic()
        was_paused = started - self._last_confirmation > self._timings.send_lease
        self._last_confirmation = started
        self._confirmations += 1
        told = await self._confirm_with_peers()
        if told is PeerVerdict.DENIED:
            return False
        if told is PeerVerdict.CONFIRMED:
            self._extend_send_lease(started)
        if (
            told is not PeerVerdict.CONFIRMED
            or self._confirmations % CONFIRMATIONS_PER_TABLE_READ == 0
        ):
            asked = self._clock.monotonic()
            unchanged = await self._is_owner_row_unchanged()
            if unchanged is False:
                return False
            if unchanged:
                self._extend_send_lease(asked)
        # After a pause, hearing of no peer proves nothing yet.
        if told is PeerVerdict.ALONE and not was_paused:
            self._extend_send_lease(started)
        return True

    def _extend_send_lease(self, confirmed: timedelta) -> None:
        """Allow sending for a while after a moment of sure ownership."""
        until = confirmed + self._timings.send_lease
        self.slots.may_send_until = max(self.slots.may_send_until, until)
        self._pools.grant_all_slots()

    async def _confirm_with_peers(self) -> PeerVerdict:
        """Ask all live peers of the domain whether they know of a later owner."""
        peers = self._list_peers()
        if not peers:
            return PeerVerdict.ALONE
        message = ConfirmOwner(self.slots.shard, self.slots.epoch)
        timeout = self._timings.instance_lease / CONFIRMATIONS_PER_LEASE
        calls = [self._call_peer(member, message, timeout) for member in peers]
        told = PeerVerdict.CONFIRMED
        for reply in await asyncio.gather(*calls):
            if reply is None:
                told = PeerVerdict.SILENT
                continue
            if not isinstance(reply, Accepted):
                return PeerVerdict.DENIED
        return told

    async def _is_owner_row_unchanged(self) -> bool | None:
        """Tell whether the owner row is unchanged, ``None`` where it is not told."""
        timeout = self._timings.instance_lease / CONFIRMATIONS_PER_LEASE
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                rows = await self._table.read([make_owner_key(self.slots.shard)])
        except TimeoutError:
            return None
        if rows.is_error():
            return None
        version = rows.ok[0].version if rows.ok else 0
        return version == self.ownership.condition.version
