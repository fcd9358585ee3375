"""One entry instance: its parts, how they start and how they stop."""

import asyncio
import random
import uuid
from datetime import timedelta
from typing import Any

from loguru import logger

from almondspread.changes import CachedResource, ChangeLog
from almondspread.changes import Entry as LogEntry
from almondspread.clock import Clock
from almondspread.journal import Journal
from almondspread.ownership import Claimant, Members, Ownership, make_incarnation
from almondspread.scheduling.overflow import ShardRoom
from almondspread_daemon.addresses import parse_address
from almondspread_daemon.background import start_task
from almondspread_daemon.following import ChangeFollower
from almondspread_daemon.following.watches import WatchTracker
from almondspread_daemon.http.application import make_application
from almondspread_daemon.http.client_refusals import RefusalLog
from almondspread_daemon.http.document_budget import DocumentBudget
from almondspread_daemon.http.server import make_server
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.membership.directory import (
    make_shard_names,
    parse_failure_domain,
)
from almondspread_daemon.peers import PeerServer
from almondspread_daemon.peers.messages import (
    EntryAnnounced,
    FetchEntries,
    FetchSnapshot,
    FetchStatus,
    FetchTasks,
    Heartbeat,
    Pulse,
    ReportStatuses,
    ShardReleased,
)
from almondspread_daemon.platform_access import observe_platform, open_platform
from almondspread_daemon.reports import StatusReporter
from almondspread_daemon.requests import KeyShard, MinionShard
from almondspread_daemon.requests.subsystem import RequestSubsystem
from almondspread_daemon.resources import ResourceService, documents
from almondspread_daemon.resources.instance_revisions import (
    InstanceRevision,
    list_instance_revisions,
)
from almondspread_daemon.security import Credentials, TokenTable
from almondspread_daemon.settings import Settings
from almondspread_daemon.shards import ShardManager
from almondspread_daemon.shards.manager import MakeRunner
from almondspread_daemon.shards.publisher import StatusPublisher
from almondspread_daemon.shards.subsystem import ScheduleSubsystem, wake_shards
from almondspread_daemon.telemetry.gauges import register_gauges
from almondspread_daemon.telemetry.telemetry import Telemetry
from almondspread_daemon.telemetry.traces import get_traceparent

READY_INTERVAL = timedelta(milliseconds=250)
CLOSE_TIMEOUT = timedelta(seconds=2)
SIDES = ("platform", "minion")
WATCH_END_TIMEOUT = timedelta(seconds=2)


class Entry:
    """The parts of one instance, tied together."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.stopping = False
        self.incarnation = make_incarnation(clock.now())
        self._started = False
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
            settings.failure_domain,
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
            lambda: wake_shards(self.keeper.runners),
        )
        self.schedule = ScheduleSubsystem(
            settings,
            platform.table,
            platform.workers,
            self.changes.cache,
            self.neighbours,
            self._publish,
            _make_batch,
            clock,
        )
        ownership = settings.ownership
        request_shards = make_shard_names(
            "requests", settings.failure_domains, ownership.request_shards
        )
        minion_shards = make_shard_names(
            "minions", [settings.failure_domain], ownership.minion_shards
        )
        plan = self._plan_shards(request_shards, minion_shards)
        self.planned_shards = tuple(plan)
        self.keeper = ShardManager(
            Claimant(settings.name, self.incarnation, settings.peer.listen),
            settings.failure_domain,
            plan,
            members,
            platform.table,
            platform.store,
            clock,
            _make_batch,
            settings.ownership.instance_lease,
            settings.ownership.partition_horizon,
            self.neighbours.send_heartbeat,
            self.neighbours.notify_all,
            self.schedule.plan_foreign_shards(),
            self.schedule.is_domain_gone,
            self._observe_commit,
        )
        self.requests = RequestSubsystem(
            settings,
            minion_shards,
            request_shards,
            self.changes.cache,
            self.neighbours,
            platform.minions,
            platform.table,
            platform.store,
            self.keeper.runners.get,
            self.keeper.list_epochs,
            clock,
        )
        self.router = self.requests.router
        self.watches = WatchTracker()
        self.publisher = StatusPublisher(
            self.changes,
            clock,
            settings.name,
            self.neighbours,
            lambda shard: self.keeper.list_epochs().get(shard, 0),
        )
        self.resources = ResourceService(
            self.changes, settings.name, self.schedule.get_capacities
        )
        self.reporter = StatusReporter(
            settings.name,
            settings.failure_domain,
            self.schedule.shards,
            self.changes.cache,
            self.neighbours,
            self.keeper,
        )
        self.peer_server = PeerServer(
            {
                Heartbeat: self.neighbours.handle_heartbeat,
                ShardRoom: self.schedule.handle_room,
                Pulse: self.neighbours.handle_pulse,
                ShardReleased: self.keeper.handle_released,
                EntryAnnounced: self.follower.handle_entry_announced,
                FetchEntries: self.follower.handle_fetch_entries,
                FetchSnapshot: self.follower.handle_fetch_snapshot,
                ReportStatuses: self.publisher.handle_reports,
                FetchStatus: self.reporter.take_fetch_status,
                FetchTasks: self.reporter.take_fetch_tasks,
                **self.requests.get_handlers(),
            },
            self.telemetry.traces,
            self.credentials.peer_server,
            settings.peer.stream_limits,
            self._count_refused_client,
        )
        self.credentials.on_peer_change = self._replace_peer_contexts
        self.documents = DocumentBudget(settings.http.max_document_values)
        self.refusals = RefusalLog(clock, self._count_refused_client)
        self.http_server = make_server(
            make_application(self),
            settings.http,
            self.credentials.http,
            clock,
            self.refusals,
        )
        register_gauges(
            self.telemetry.metrics,
            self.reporter.describe_status,
            self._count_bytes,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _plan_shards(
        self, request_shards: tuple[str, ...], minion_shards: tuple[str, ...]
    ) -> dict[str, MakeRunner]:
        """Return the shards of this domain and how to act for each."""
        plan = self.schedule.plan_shards()
        for shard in request_shards:
            if parse_failure_domain(shard) == self.settings.failure_domain:
                plan[shard] = self._make_key_shard
        for shard in minion_shards:
            plan[shard] = self._make_minion_shard
        return plan

    def _replace_peer_contexts(self) -> None:
        """Use the newest TLS contexts for new streams from and to peers."""
        self.peer_server.ssl_options = self.credentials.peer_server
        self.neighbours.replace_ssl_options(self.credentials.peer_client)

    def _observe_commit(self, duration: timedelta, _: int) -> None:
        """Count a commit into a journal."""
        instruments = self.telemetry.instruments
        instruments.commits.add(1)
        instruments.commit_duration.record(duration.total_seconds())

    def _make_key_shard(
        self, ownership: Ownership, journal: Journal, stopped: bool
    ) -> KeyShard:
        """Return what acts for a request shard."""
        return self.requests.make_key_shard(ownership, journal, stopped)

    def _make_minion_shard(
        self, ownership: Ownership, journal: Journal, stopped: bool
    ) -> MinionShard:
        """Return what acts for a shard of minions."""
        return self.requests.make_minion_shard(ownership, journal, stopped)

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
            self.requests.run(),
            self._tell_readiness(),
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

    async def _tell_readiness(self) -> None:
        """Keep the reports in step with whether this instance is ready."""
        while True:
            self.reporter.ready = self.is_ready
            await self.clock.sleep(READY_INTERVAL)

    async def stop(self) -> None:
        """Stop gracefully: nothing under way is cut short, shards are handed over.

        Readiness fails first, and the instance goes on to serve until the balancer
        has seen that. Requests that wait here for a minion move to the next owner.
        """
        logger.info("entry {} is leaving", self.settings.name)
        self.keeper.leaving = True
        self.neighbours.send_heartbeat()
        await self.clock.sleep(self.settings.requests.balancer_lag)
        self.stopping = True
        self.follower.release_waiters()
        self.http_server.stop()
        await self.watches.wait_until_ended(WATCH_END_TIMEOUT)
        await self.keeper.hand_over_all()
        self.neighbours.send_heartbeat()
        await self.requests.drain(lambda: self.peer_server.open_calls)
        await self._close_connections()
        await self.publisher.flush()
        self.neighbours.send_heartbeat()
        await self.close()

    async def end_now(self) -> None:
        """Answer what is left honestly, and end."""
        logger.warning("entry {} ends with requests open", self.settings.name)
        self.http_server.stop()
        self.requests.give_up_open_calls()
        await self.close()

    async def _close_connections(self) -> None:
        """Close the callers' connections once their last answers are written."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT.total_seconds()):
                await self.http_server.close_all_connections()
        except TimeoutError:
            logger.warning("some connections of callers did not close in time")

    async def close(self) -> None:
        """End at once, as a killed process would."""
        self.http_server.stop()
        self.peer_server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close_connections()
        # Sending what is queued may take a while; the event loop does not wait.
        await asyncio.to_thread(self.telemetry.close)

    def _count_refused_client(self, reason: str) -> None:
        """Count a client that was refused before its request was handled."""
        self.telemetry.instruments.refused_clients.add(1, {"reason": reason})

    def _announce(self) -> None:
        """Tell those who follow the change log of a step."""
        self.follower.notify_change()

    def _push(self, entry: LogEntry, head_version: int) -> None:
        """Push an own entry to the other instances."""
        self.follower.push_entry(entry, head_version)

    def _publish(self, shard: str, reports: dict[tuple[str, str], Any]) -> None:
        """Publish the reports of a shard."""
        self.publisher.publish(shard, reports)

    def _count_bytes(self) -> dict[str, tuple[int, int]]:
        """Return the bytes sent and received, by the kind of other side."""
        sent, received = self.neighbours.count_bytes()
        server = self.peer_server
        counted = {"peer": (sent + server.bytes_sent, received + server.bytes_received)}
        for side, caller in zip(SIDES, self._platform.callers, strict=True):
            counted[side] = (caller.bytes_sent, caller.bytes_received)
        return counted

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

    def describe_item(self, item: CachedResource) -> dict[str, Any]:
        """Return a resource as a document, with its status."""
        revision = self.changes.cache.revision
        own = InstanceRevision(self.settings.name, revision, self.changes.fault)
        return documents.describe_item(
            item, list_instance_revisions(own, self.neighbours, self.clock)
        )

    def traceparent(self) -> str:
        """Return the trace context to send on."""
        return get_traceparent()


def _make_batch() -> str:
    """Return a name that no other commit has."""
    return uuid.uuid4().hex
