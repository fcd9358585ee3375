"""One entry instance: its parts, how they start and how they stop."""

import asyncio
import random
import signal
import uuid
from datetime import timedelta
from pathlib import Path
from typing import Any

from loguru import logger
from tornado.httpserver import HTTPServer

from almondspread.changes import ChangeLog, Item
from almondspread.changes import Entry as LogEntry
from almondspread.clock import Clock, SystemClock
from almondspread.interfaces import Instance
from almondspread.journal import Journal
from almondspread.ownership import Claimant, Members, Ownership, make_incarnation
from almondspread.resources import RequestService
from almondspread.scheduling import CellCapacities, gather_capacities
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.overflow import ShardRoom
from almondspread_daemon.background import start_task
from almondspread_daemon.following import ChangeFollower
from almondspread_daemon.following.watches import Watches
from almondspread_daemon.http import make_application
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.membership.directory import (
    find_domain,
    list_domain_peers,
    list_shard_workers,
    name_shards,
)
from almondspread_daemon.peers import CallContext, PeerServer
from almondspread_daemon.peers.messages import (
    Accepted,
    CallMinion,
    EntryAnnounced,
    FetchEntries,
    FetchRecord,
    FetchSnapshot,
    FetchStatus,
    FetchTasks,
    Heartbeat,
    ShardReleased,
    SubmitCall,
)
from almondspread_daemon.platform_access import observe_platform, open_platform
from almondspread_daemon.reports import StatusReporter
from almondspread_daemon.requests import KeyShard, MinionPools, RequestRouter
from almondspread_daemon.resources import ResourceService, documents
from almondspread_daemon.resources.standings import Standing, list_standings
from almondspread_daemon.security import Credentials, TokenTable
from almondspread_daemon.security.reloading import follow_tokens
from almondspread_daemon.settings import Settings, parse_address
from almondspread_daemon.shards import (
    CellView,
    RoomBoard,
    ScheduleShard,
    ShardKeeper,
)
from almondspread_daemon.shards.keeper import MakeRunner
from almondspread_daemon.shards.publisher import StatusPublisher
from almondspread_daemon.telemetry import Telemetry, configure_logs, read_traceparent
from almondspread_daemon.telemetry.gauges import register_gauges

MINION_SETTLE_TIME = timedelta(seconds=2)
POOL_INTERVAL = timedelta(milliseconds=250)
WATCH_END_TIMEOUT = timedelta(seconds=2)


class Entry:
    """The parts of one instance, tied together."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.stopping = False
        self.incarnation = make_incarnation(clock.now())
        self._started = False
        self._rooms = RoomBoard(clock)
        self._capacities_listed: dict[str, Instance] = {}
        self._capacities = CellCapacities()
        self.telemetry = Telemetry(settings)
        self.tokens = TokenTable(settings.tokens)
        self.credentials = Credentials(settings, clock)
        platform = observe_platform(open_platform(settings), self.telemetry)
        self._platform = platform
        members = Members(settings.peer.suspect_after)
        self.changes = ChangeLog(
            platform.table,
            platform.store,
            clock,
            _make_batch,
            self._announce,
            self._push,
        )
        self.neighbours = Neighbours(
            settings.peer.listen,
            settings.peer.seeds,
            members,
            platform.instances,
            clock,
            random.Random(),
            self._compose_heartbeat,
            settings.peer.heartbeat,
            settings.platform.poll,
            self.telemetry.traces,
            self.credentials.peer_client,
        )
        self.follower = ChangeFollower(
            self.changes,
            self.neighbours,
            clock,
            settings.platform.poll,
            self._wake_shards,
        )
        ownership = settings.ownership
        domains = settings.failure_domains
        self.schedule_shards = name_shards(
            "schedule", domains, ownership.schedule_shards
        )
        request_shards = name_shards("requests", domains, ownership.request_shards)
        self.keeper = ShardKeeper(
            Claimant(settings.name, self.incarnation, settings.peer.listen),
            settings.failure_domain,
            self._plan_shards(request_shards),
            members,
            platform.table,
            platform.store,
            clock,
            _make_batch,
            settings.ownership.instance_lease,
            settings.ownership.partition_horizon,
            self.neighbours.send_heartbeat,
            self.neighbours.note_all,
        )
        self.pools = MinionPools(
            settings.name,
            settings.failure_domain,
            platform.minions,
            clock,
            settings.requests.lookup_queue,
            MINION_SETTLE_TIME,
            self._list_domain_peers,
        )
        self.router = RequestRouter(
            settings.failure_domain,
            request_shards,
            self.keeper.runners.get,
            self.pools,
            self.neighbours,
            clock,
        )
        self.watches = Watches()
        self.publisher = StatusPublisher(self.changes, clock, settings.name)
        self.resources = ResourceService(
            self.changes, settings.name, self._list_capacities
        )
        self.reporter = StatusReporter(
            settings.name,
            settings.failure_domain,
            self.schedule_shards,
            self.changes.cache,
            self.neighbours,
            self.keeper,
        )
        self.peer_server = PeerServer(
            {
                Heartbeat: self.neighbours.take_heartbeat,
                ShardRoom: self._take_room,
                ShardReleased: self.keeper.take_released,
                EntryAnnounced: self.follower.take_announced,
                FetchEntries: self.follower.take_fetch,
                FetchSnapshot: self.follower.take_fetch_snapshot,
                FetchStatus: self.reporter.take_fetch_status,
                FetchTasks: self.reporter.take_fetch_tasks,
                SubmitCall: self.router.take_submit,
                FetchRecord: self.router.take_fetch,
                CallMinion: self.router.take_call,
            },
            self.telemetry.traces,
            self.credentials.peer_server,
        )
        self.http_server = HTTPServer(
            make_application(self),
            ssl_options=self.credentials.http,
            max_body_size=settings.http.max_body_bytes,
            max_header_size=settings.http.max_header_bytes,
            idle_connection_timeout=settings.http.idle_timeout.total_seconds(),
        )
        register_gauges(
            self.telemetry.metrics,
            self.reporter.describe_status,
            self._count_peer_bytes,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _plan_shards(self, request_shards: tuple[str, ...]) -> dict[str, MakeRunner]:
        """Return the shards of this domain and how to act for each."""
        plan: dict[str, MakeRunner] = {}
        domain = self.settings.failure_domain
        for shard in self.schedule_shards:
            if find_domain(shard) == domain:
                plan[shard] = self._make_schedule_shard
        for shard in request_shards:
            if find_domain(shard) == domain:
                plan[shard] = self._make_key_shard
        return plan

    def _make_schedule_shard(
        self, ownership: Ownership, journal: Journal, stopped: bool
    ) -> ScheduleShard:
        """Return what acts for a scheduling shard."""
        terms = LeaseTerms(
            length=self.settings.scheduling.task_lease,
            delivery=self.settings.scheduling.start_expiry,
            horizon=self.settings.ownership.partition_horizon,
            clock_rate_bound=self.settings.ownership.clock_rate_bound,
            clock_offset_bound=self.settings.ownership.clock_offset_bound,
        )
        return ScheduleShard(
            ownership,
            journal,
            self._platform.table,
            stopped,
            terms,
            self.schedule_shards,
            self.changes.cache,
            self._list_workers,
            self._platform.workers,
            self.clock,
            self.settings.scheduling.exchange,
            CellView(self._rooms, self._list_capacities, self._tell_room),
            self.publisher.publish,
            _make_batch,
            self.settings.scheduling.commit,
        )

    def _make_key_shard(
        self, ownership: Ownership, journal: Journal, _: bool
    ) -> KeyShard:
        """Return what acts for a request shard."""
        return KeyShard(ownership, journal, self.router.call_minions, self.clock)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests here."""
        return self._started and self.follower.caught_up and not self.keeper.leaving

    async def start(self) -> None:
        """Open the listeners and start all that runs."""
        host, port = parse_address(self.settings.peer.listen)
        self.peer_server.listen(port, host)
        host, port = parse_address(self.settings.http.listen)
        self.http_server.listen(port, host)
        for running in (
            self.neighbours.run(),
            self.follower.run(),
            self.keeper.run(),
            self.publisher.run(),
            self._follow_minions(),
            self.credentials.run(),
        ):
            self._tasks.append(start_task(running))
        self._started = True
        logger.info(
            "entry {} serves on {} and {}",
            self.settings.name,
            self.settings.http.listen,
            self.settings.peer.listen,
        )

    async def _follow_minions(self) -> None:
        """Keep the pools in step with the list and with the other instances."""
        while True:
            self.pools.update(self.neighbours.listed.values())
            self.reporter.ready = self.is_ready
            await self.clock.sleep(POOL_INTERVAL)

    async def stop(self) -> None:
        """Stop gracefully: nothing under way is cut short, shards are handed over."""
        logger.info("entry {} is leaving", self.settings.name)
        self.keeper.leaving = True
        self.neighbours.send_heartbeat()
        await self.clock.sleep(self.settings.requests.balancer_lag)
        self.stopping = True
        self.follower.release_waiters()
        self.http_server.stop()
        await self.watches.wait_until_ended(WATCH_END_TIMEOUT)
        await self.http_server.close_all_connections()
        await self.keeper.hand_over_all()
        await self.publisher.flush()
        self.neighbours.send_heartbeat()
        await self.close()

    async def close(self) -> None:
        """End at once, as a killed process would."""
        self.http_server.stop()
        self.peer_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Sending what is queued may take a while; the event loop does not wait.
        await asyncio.to_thread(self.telemetry.close)

    def _announce(self) -> None:
        """Tell those who follow the change log of a step."""
        self.follower.announce()

    def _push(self, entry: LogEntry, head_version: int) -> None:
        """Push an own entry to the other instances."""
        self.follower.push(entry, head_version)

    def _count_peer_bytes(self) -> tuple[int, int]:
        """Return how many bytes went to and came from peers."""
        sent, received = self.neighbours.count_bytes()
        server = self.peer_server
        return sent + server.bytes_sent, received + server.bytes_received

    def _wake_shards(self) -> None:
        """Have the scheduling shards look at changed resources at once."""
        for runner in self.keeper.runners.values():
            if isinstance(runner, ScheduleShard):
                runner.wake()

    def _compose_heartbeat(self) -> Heartbeat:
        """Return what a heartbeat tells now."""
        return Heartbeat(
            name=self.settings.name,
            address=self.settings.peer.listen,
            failure_domain=self.settings.failure_domain,
            incarnation=self.incarnation,
            ready=self.is_ready,
            leaving=self.keeper.leaving,
            revision=self.changes.cache.revision,
            shards=self.keeper.list_epochs(),
            fault=self.changes.fault,
        )

    def _list_domain_peers(self) -> list[str]:
        """Return the live, staying instances of this failure domain."""
        live = self.neighbours.list_live()
        return list_domain_peers(live, self.settings.failure_domain)

    def _list_workers(self, shard: str) -> list[Instance] | None:
        """Return the listed workers of a scheduling shard, ``None`` if unknown."""
        if not self.neighbours.list_is_known:
            return None
        listed = self.neighbours.listed.values()
        return list_shard_workers(listed, shard, self.schedule_shards)

    def _list_capacities(self) -> CellCapacities:
        """Return the capacities of all workers in the list."""
        listed = self.neighbours.listed
        if listed is not self._capacities_listed:
            workers = {}
            for shard in self.schedule_shards:
                workers[shard] = list_shard_workers(
                    listed.values(), shard, self.schedule_shards
                )
            self._capacities_listed = listed
            self._capacities = gather_capacities(workers)
        return self._capacities

    def _tell_room(self, room: ShardRoom) -> None:
        """Tell all instances what a shard of this one has room for."""
        self._rooms.note(room)
        self.neighbours.note_all(room)

    async def _take_room(self, room: ShardRoom, _: CallContext) -> Accepted:
        """Take in what a shard of another instance has room for."""
        self._rooms.note(room)
        return Accepted()

    def describe_item(self, item: Item) -> dict[str, Any]:
        """Return a resource as a document, with its status."""
        neighbours = self.neighbours
        own = Standing(
            self.settings.name, self.changes.cache.revision, self.changes.fault
        )
        standings = list_standings(
            own,
            neighbours.members.list_all(),
            neighbours.list_live(),
            neighbours.listed.values(),
            self.clock.monotonic(),
        )
        return documents.describe_item(item, standings)

    def find_deadline(self, service: str, kind: str) -> float:
        """Return the longest deadline of a kind of request, in seconds."""
        item = self.changes.cache.find("request-service", service)
        limits = item.resource if item else None
        if not isinstance(limits, RequestService):
            if kind == "lookup":
                return self.settings.requests.lookup_deadline_seconds
            return self.settings.requests.call_deadline_seconds
        if kind == "lookup":
            return limits.lookup_deadline_seconds
        return limits.call_deadline_seconds

    def traceparent(self) -> str:
        """Return the trace context to send on."""
        return read_traceparent()


def _make_batch() -> str:
    """Return a name that no other commit has."""
    return uuid.uuid4().hex


async def run_entry(settings: Settings, path: Path) -> int:
    """Run an instance until it is told to stop; return the exit status.

    ``path`` is the settings file, whose tokens are followed.
    """
    clock = SystemClock()
    configure_logs(settings.log, settings.name, clock)
    entry = Entry(settings, clock)
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    await entry.start()
    following = start_task(follow_tokens(path, entry.tokens, clock))
    await told.wait()
    try:
        async with asyncio.timeout(settings.requests.stop_bound_seconds):
            await entry.stop()
    except TimeoutError:
        logger.error("the stop took longer than its bound")
        return 1
    finally:
        following.cancel()
    return 0
