"""The request subsystem of one instance: pools, router, shards and handlers."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any, Protocol

from loguru import logger

from almondspread.changes import ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Instance, ObjectStore, TableService
from almondspread.journal import Journal
from almondspread.ownership import Member, Ownership, make_owner_key
from almondspread.requests.kinds import LOOKUP, MONITOR, RECALCULATION, RESERVATION
from almondspread.resources import RequestService
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers.request_messages import MinionLeaving
from almondspread_daemon.requests.deadlines import DeadlineLimits
from almondspread_daemon.requests.idle_slots import store_idle_records
from almondspread_daemon.requests.key_shards import KeyShard
from almondspread_daemon.requests.load_reporter import LoadReporter
from almondspread_daemon.requests.minion_calls import MinionCalls
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.minion_shards import (
    POLL_INTERVAL,
    MinionShard,
    MinionTimings,
)
from almondspread_daemon.requests.monitors import Monitors
from almondspread_daemon.requests.peer_handlers import PeerRequestHandlers
from almondspread_daemon.requests.router import RequestRouter
from almondspread_daemon.settings import Settings
from almondspread_platform import MinionClient

POOL_UPDATE_INTERVAL = timedelta(milliseconds=250)
SUCCESSOR_TIMEOUT = timedelta(seconds=3)
DELIVERY_TIMEOUT = timedelta(seconds=20)
POLLS_AFTER_IDLE = 4


class OpenCall(Protocol):
    """A caller's request that has not been answered yet."""

    def give_up(self) -> None:
        """Answer at once that the outcome is unknown, as the instance shuts down."""


class RequestSubsystem:
    """Creates and connects the parts of one instance that deal with requests.

    ``find_runner`` returns the object that runs a shard on this instance, if any, and
    ``list_epochs`` the epochs of the shards that it owns.
    """

    def __init__(
        self,
        settings: Settings,
        minion_shards: tuple[str, ...],
        request_shards: tuple[str, ...],
        cache: ResourceCache,
        neighbours: Neighbours,
        minions: MinionClient,
        table: TableService,
        store: ObjectStore,
        find_runner: Callable[[str], Any],
        list_epochs: Callable[[], dict[str, int]],
        clock: Clock,
    ) -> None:
        self.open_calls: set[OpenCall] = set()
        self.deadline_limits = DeadlineLimits(settings.requests, cache)
        self._settings = settings
        self._neighbours = neighbours
        self._table = table
        self._store = store
        self._find_runner = find_runner
        self._list_epochs = list_epochs
        self._clock = clock
        self._cache = cache
        self.pools = MinionPools(
            settings.failure_domain,
            minion_shards,
            clock,
            self._get_queue_limits,
        )
        self._calls = MinionCalls(
            self.pools,
            minions,
            clock,
            lambda minion: neighbours.notify_all(MinionLeaving(minion)),
        )
        self.router = RequestRouter(
            settings.failure_domain,
            request_shards,
            find_runner,
            self.pools,
            self._calls,
            neighbours,
            clock,
        )
        self.monitors = Monitors(
            self._calls,
            self.router.order_owners,
            self.router.call_peer,
            lambda member, message: neighbours.notify(member.address, message),
            lambda service: timedelta(
                seconds=self.deadline_limits.get_max_seconds(service, MONITOR)
            ),
            clock,
        )
        self._load_reporter = LoadReporter(settings.name, neighbours, clock)
        self.peer_handlers = PeerRequestHandlers(
            find_runner,
            self._get_highest_epoch,
            self.pools,
            self._calls,
            self.router.loads,
            self.router.deliveries,
            clock,
        )

    def get_handlers(self) -> dict[type, Any]:
        """Return the handler of each type of message from peers."""
        return {**self.peer_handlers.get_handlers(), **self.monitors.get_handlers()}

    def make_key_shard(
        self, ownership: Ownership, journal: Journal, _: bool
    ) -> KeyShard:
        """Return the runner of a newly owned request shard."""
        return KeyShard(
            ownership,
            journal,
            self._store,
            self.router.acquire_slot,
            lambda answer: self.router.deliveries.add(answer, True),
            self.router.announce_recorded,
            self._is_owner,
            lambda: bool(self._list_peers()),
            self._clock,
        )

    def make_minion_shard(
        self, ownership: Ownership, _: Journal, __: bool
    ) -> MinionShard:
        """Return the runner of a newly owned shard of minions."""
        timings = MinionTimings(
            self._settings.ownership.instance_lease,
            self.deadline_limits.get_max_duration(LOOKUP),
            self.deadline_limits.get_max_duration(RECALCULATION),
        )
        return MinionShard(
            ownership,
            self.pools,
            self._table,
            self._list_peers,
            self._call_peer,
            timings,
            self._clock,
        )

    async def run(self) -> None:
        """Run the background tasks until cancelled.

        They update the pools, publish loads, deliver late answers and end monitors
        that nobody fetches from.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.router.deliveries.run())
            group.create_task(self._load_reporter.run(self.pools.compute_loads))
            group.create_task(self.monitors.run())
            group.create_task(self._update_pools())

    async def _update_pools(self) -> None:
        """Update the pools from the platform's list of instances until cancelled."""
        while True:
            if self._neighbours.list_is_known:
                listed: dict[str, Instance] = self._neighbours.listed
                self.pools.update_minions(listed.values())
            await self._clock.sleep(POOL_UPDATE_INTERVAL)

    async def drain(self, count_peer_calls: Callable[[], int]) -> None:
        """Wait until no request depends on this instance any more.

        The shards have to be handed over before, so that new requests go to peers.
        ``count_peer_calls`` returns the number of calls of peers still being answered.
        Stores idle records at the end, for successors that start after this instance
        has ended.
        """
        await self._wait_for_successors()
        while self.open_calls or count_peer_calls():
            await self._clock.sleep(POLL_INTERVAL)
        await self._calls.wait_until_idle()
        await self._wait_until_delivered()
        await store_idle_records(self._table, self._collect_idle_epochs())
        # Successors poll the slots in use and have to see that there are none left
        # before this instance ends.
        await self._clock.sleep(POLL_INTERVAL * POLLS_AFTER_IDLE)

    async def _wait_until_delivered(self) -> None:
        """Wait until every kept answer is journalled by the owner of its key.

        Logs an error and returns if that takes longer than ``DELIVERY_TIMEOUT``.
        """
        end = self._clock.monotonic() + DELIVERY_TIMEOUT
        while len(self.router.deliveries):
            if self._clock.monotonic() >= end:
                logger.error(
                    "{} answers could not be recorded; their outcomes stay unknown",
                    len(self.router.deliveries),
                )
                return
            await self._clock.sleep(POLL_INTERVAL)

    def _collect_idle_epochs(self) -> dict[str, int]:
        """Return the epochs of released shards that have no slot in use, by shard."""
        idle = {}
        for shard in self.pools.shards:
            report = self.pools.get_slots_in_use(shard)
            if report.epoch and report.released and not report.in_use:
                idle[shard] = report.epoch
        return idle

    async def _wait_for_successors(self) -> None:
        """Wait until the next owners of the shards of minions have fetched their slots.

        Returns after ``SUCCESSOR_TIMEOUT``, or at once if no peer is live.
        """
        end = self._clock.monotonic() + SUCCESSOR_TIMEOUT
        while self._clock.monotonic() < end:
            missing = []
            for shard, slots in self.pools.shards.items():
                if slots.epoch and shard not in self.peer_handlers.fetched_shards:
                    missing.append(shard)
            if not missing or not self._list_peers():
                return
            await self._clock.sleep(POLL_INTERVAL)

    def give_up_open_calls(self) -> None:
        """Answer every open call at once; requests already sent may still run."""
        for call in list(self.open_calls):
            call.give_up()

    def _get_queue_limits(self, service: str) -> dict[str, int]:
        """Return how many requests of each kind may wait for a slot of a service."""
        item = self._cache.find("request-service", service)
        limits = item.resource if item else None
        lookups = self._settings.requests.lookup_queue
        calls = self._settings.requests.call_queue
        if isinstance(limits, RequestService):
            lookups, calls = limits.lookup_queue, limits.call_queue
        return {
            LOOKUP: lookups,
            RESERVATION: calls,
            RECALCULATION: calls,
            MONITOR: calls,
        }

    def _get_highest_epoch(self, shard: str) -> int:
        """Return the highest epoch under which a known instance owns a shard."""
        epoch = self._list_epochs().get(shard, 0)
        for member in self._neighbours.members.list_all():
            epoch = max(epoch, member.shards.get(shard, 0))
        return epoch

    def _list_peers(self) -> list[Member]:
        """Return the live members of this failure domain."""
        domain = self._settings.failure_domain
        peers = []
        for member in self._neighbours.list_live():
            if member.failure_domain == domain:
                peers.append(member)
        return peers

    async def _call_peer(
        self, member: Member, message: object, timeout: timedelta
    ) -> object | None:
        """Call a peer; return its reply, or ``None`` if there was none."""
        reply = await self._neighbours.call(member.address, message, timeout)
        return reply.ok if reply.is_ok() else None

    async def _is_owner(self, ownership: Ownership) -> bool:
        """Read from the table whether this instance still owns a shard.

        Returns false if the read failed.
        """
        rows = await self._table.read([make_owner_key(ownership.shard)])
        if rows.is_error() or not rows.ok:
            return False
        return rows.ok[0].version == ownership.condition.version
