"""Ownership of a shard of minions: recovery of its slots, and the lease to send.

Minions check no fencing token, so the owner has to fence itself. It may send only
under a send lease, which lasts for half of an instance lease from the start of the
last check that confirmed that no later owner is known. After an owner has crashed,
its successor counts all slots as in use until the longest request that its
predecessor can have sent has ended for certain.
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
    """The combined reply of the peers of the failure domain to ``ConfirmOwner``."""

    CONFIRMED = "no peer knows of a later owner"
    DENIED = "a peer knows of a later owner"
    SILENT = "a live peer has not replied"
    ALONE = "no peer is live"


CallPeer = Callable[[Member, object, timedelta], Awaitable[object | None]]


@define(frozen=True)
class MinionTimings:
    """Maximum durations of requests, and the lease of an instance."""

    instance_lease: timedelta
    longest_lookup: timedelta
    longest_call: timedelta

    @property
    def send_lease(self) -> timedelta:
        """How long an owner may send after a check has confirmed its ownership."""
        return self.instance_lease / 2

    @property
    def lookup_drain_time(self) -> timedelta:
        """How long after a takeover a lookup of a crashed owner may still run."""
        return self.instance_lease + self.longest_lookup + LOOKUP_GRACE_PERIOD

    @property
    def call_drain_time(self) -> timedelta:
        """How long after a takeover any request of a crashed owner may still run."""
        return self.instance_lease + self.longest_call + CALL_GRACE_PERIOD


class MinionShard:
    """Runs one shard of minions under one epoch.

    The shard first counts the slots that former owners may still use, then renews
    its send lease until it is stopped or a later owner is known.
    """

    def __init__(
        self,
        ownership: Ownership,
        pools: MinionPools,
        table: TableService,
        list_peers: Callable[[], list[Member]],
        call_peer: CallPeer,
        timings: MinionTimings,
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self.recovered = False
        self.slots = ShardSlots(ownership.shard, ownership.epoch)
        self._pools = pools
        self._table = table
        self._list_peers = list_peers
        self._call_peer = call_peer
        self._timings = timings
        self._clock = clock
        self._stopped = asyncio.Event()
        self._check_count = 0
        self._last_check = timedelta(0)

    async def stop(self) -> None:
        """Stop sending to the minions of the shard.

        Requests in flight go on, and their slots are reported to the next owner.
        """
        self._stopped.set()
        self._pools.release_shard(self.slots)

    async def run(self) -> None:
        """Recover the slots, and renew the send lease until stopped or superseded."""
        polling = None
        try:
            self.assume_all_in_use()
            previous = self._pools.shards[self.slots.shard]
            self._pools.attach_shard(self.slots)
            polling = asyncio.create_task(self.recover_slots(previous))
            self.recovered = True
            while not self._stopped.is_set():
                if not await self.renew_send_lease():
                    logger.info(
                        "shard {} has a later owner; stopped sending to its minions",
                        self.slots.shard,
                    )
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
        """Count all slots as in use, as after a crash of the former owner.

        The slots reserved for lookups count as in use until the longest lookup has
        ended, the others until the longest request of any kind has ended. The first
        owner of a shard has no predecessor, so all slots are free.
        """
        if self.ownership.epoch <= 1:
            return
        now = self._clock.monotonic()
        self.slots.lookups_drained_at = now + self._timings.lookup_drain_time
        self.slots.calls_drained_at = now + self._timings.call_drain_time

    async def recover_slots(self, previous: ShardSlots) -> None:
        """Count the slots that the former owner still uses, until it uses none.

        The former owner is this instance itself, a peer that reports its slots, or
        an instance that stored an idle record when it stopped. If none of these is
        found, the limits that ``assume_all_in_use`` has set stay in force.
        """
        former_epoch = self.ownership.epoch - 1
        if former_epoch < 1:
            return
        if previous.released and previous.epoch in (former_epoch, self.ownership.epoch):
            # This instance ran the shard before, and its pools still count its own
            # requests. Only the slots that earlier owners may still use are copied.
            self.slots.held = dict(previous.held)
            self.slots.lookups_drained_at = previous.lookups_drained_at
            self.slots.calls_drained_at = previous.calls_drained_at
            await self._clock.sleep(self._timings.call_drain_time)
            self.slots.held = {}
            return
        while self._clock.monotonic() < self.slots.calls_drained_at:
            for member in self._list_peers():
                report = await self._fetch_slots(member)
                if (
                    report is None
                    or report.epoch != former_epoch
                    or not report.released
                ):
                    continue
                self._set_reported_slots(report)
                await self._track_former_owner(member)
                return
            if await has_idle_record(self._table, self.slots.shard, former_epoch):
                self._set_reported_slots(SlotsInUse(former_epoch, True, {}))
                return
            await self._clock.sleep(FETCH_SLOTS_RETRY_DELAY)

    async def _fetch_slots(self, member: Member) -> SlotsInUse | None:
        """Fetch the slots that a peer may still use.

        Returns ``None`` if the peer doesn't reply or doesn't know the shard.
        """
        reply = await self._call_peer(
            member, FetchSlots(self.slots.shard), FETCH_SLOTS_TIMEOUT
        )
        return reply if isinstance(reply, SlotsInUse) else None

    def _set_reported_slots(self, report: SlotsInUse) -> None:
        """Count only the slots that the former owner reports, in place of all slots."""
        self.slots.held = dict(report.in_use)
        self.slots.lookups_drained_at = timedelta(0)
        self.slots.calls_drained_at = timedelta(0)
        for name in report.leaving:
            self._pools.mark_leaving(name)

    async def _track_former_owner(self, member: Member) -> None:
        """Fetch the former owner's slots in use until it uses none.

        If it stops replying, its last report counts as an upper bound until the
        longest request that it can have sent has ended.
        """
        end = self._clock.monotonic() + self._timings.call_drain_time
        while self.slots.held and self._clock.monotonic() < end:
            await self._clock.sleep(POLL_INTERVAL)
            report = await self._fetch_slots(member)
            if report is not None and report.released:
                self.slots.held = dict(report.in_use)
        self.slots.held = {}

    async def renew_send_lease(self) -> bool:
        """Check the ownership and renew the send lease.

        Live peers confirm the ownership if all of them reply that they know of no
        later owner, and the table does so if its owner row is unchanged. The table
        is read at every second check, and whenever the peers have not confirmed.
        An owner without live peers goes on also while the table can't be read, unless
        more than a send lease has passed since its previous check. In all other cases
        the lease is not extended. Returns false if a later owner is known.
        """
        started = self._clock.monotonic()
        was_paused = started - self._last_check > self._timings.send_lease
        self._last_check = started
        self._check_count += 1
        verdict = await self._confirm_with_peers()
        if verdict is PeerVerdict.DENIED:
            return False
        if verdict is PeerVerdict.CONFIRMED:
            self._extend_send_lease(started)
        if (
            verdict is not PeerVerdict.CONFIRMED
            or self._check_count % CONFIRMATIONS_PER_TABLE_READ == 0
        ):
            read_started = self._clock.monotonic()
            unchanged = await self._is_owner_row_unchanged()
            if unchanged is False:
                return False
            if unchanged:
                self._extend_send_lease(read_started)
        # After a pause of the process, peers may be live although none is known yet.
        if verdict is PeerVerdict.ALONE and not was_paused:
            self._extend_send_lease(started)
        return True

    def _extend_send_lease(self, started: timedelta) -> None:
        """Extend the send lease from the start of a check that confirmed ownership."""
        until = started + self._timings.send_lease
        self.slots.may_send_until = max(self.slots.may_send_until, until)
        self._pools.grant_all_slots()

    async def _confirm_with_peers(self) -> PeerVerdict:
        """Ask the live peers of the failure domain whether they know a later owner."""
        peers = self._list_peers()
        if not peers:
            return PeerVerdict.ALONE
        message = ConfirmOwner(self.slots.shard, self.slots.epoch)
        timeout = self._timings.instance_lease / CONFIRMATIONS_PER_LEASE
        calls = [self._call_peer(member, message, timeout) for member in peers]
        verdict = PeerVerdict.CONFIRMED
        for reply in await asyncio.gather(*calls):
            if reply is None:
                verdict = PeerVerdict.SILENT
                continue
            if not isinstance(reply, Accepted):
                return PeerVerdict.DENIED
        return verdict

    async def _is_owner_row_unchanged(self) -> bool | None:
        """Tell whether the owner row is unchanged, ``None`` if the read failed."""
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
