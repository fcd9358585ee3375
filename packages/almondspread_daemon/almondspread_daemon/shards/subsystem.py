"""The scheduling subsystem of an instance: shards, workers and free capacity."""

from collections.abc import Callable
from typing import Any

from almondspread.changes import ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Instance, TableService, WorkerGateway
from almondspread.journal import Journal
from almondspread.ownership import Ownership
from almondspread.scheduling import CellCapacities, gather_capacities
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.overflow import ShardRoom
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.membership.directory import (
    list_shard_workers,
    make_shard_names,
    parse_failure_domain,
)
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted
from almondspread_daemon.settings import Settings
from almondspread_daemon.shards.domain_monitor import DomainMonitor
from almondspread_daemon.shards.manager import MakeRunner, ShardRunner
from almondspread_daemon.shards.schedule import ScheduleShard
from almondspread_daemon.shards.transfers import CellView, RoomCache
from almondspread_daemon.shards.workers import ExchangeIntervals


class ScheduleSubsystem:
    """Makes the runners of scheduling shards and gives them the state of the cell."""

    def __init__(
        self,
        settings: Settings,
        table: TableService,
        workers: WorkerGateway,
        cache: ResourceCache,
        neighbours: Neighbours,
        publish: Callable[[str, dict[tuple[str, str], Any]], None],
        make_batch_id: Callable[[], str],
        clock: Clock,
    ) -> None:
        self.shards = make_shard_names(
            "schedule", settings.failure_domains, settings.ownership.schedule_shards
        )
        self._settings = settings
        self._table = table
        self._workers = workers
        self._cache = cache
        self._neighbours = neighbours
        self._publish = publish
        self._make_batch_id = make_batch_id
        self._clock = clock
        self._room_cache = RoomCache(clock)
        self._domain_monitor = DomainMonitor(
            settings.failure_domains, clock, settings.ownership.domain_gone
        )
        self._capacities_listed: dict[str, Instance] = {}
        self._capacities = CellCapacities()

    def plan_shards(self) -> dict[str, MakeRunner]:
        """Return the shards of this domain, each with the factory of its runner."""
        return self._plan(True)

    def plan_foreign_shards(self) -> dict[str, MakeRunner]:
        """Return the shards of other domains, to take over if their domain is gone."""
        return self._plan(False)

    def _plan(self, own: bool) -> dict[str, MakeRunner]:
        """Return the shards of this domain if ``own``, or else those of all others."""
        plan: dict[str, MakeRunner] = {}
        for shard in self.shards:
            if (parse_failure_domain(shard) == self._settings.failure_domain) == own:
                plan[shard] = self.make_shard
        return plan

    def is_domain_gone(self, domain: str) -> bool:
        """Tell whether a domain has long been missing from the platform's list."""
        if self._neighbours.list_is_known:
            self._domain_monitor.update(self._neighbours.listed)
        return self._domain_monitor.is_gone(domain)

    def make_shard(
        self, ownership: Ownership, journal: Journal, stopped: bool
    ) -> ScheduleShard:
        """Return a runner of a scheduling shard.

        ``stopped`` tells whether the previous owner is known to have stopped.
        """
        scheduling = self._settings.scheduling
        return ScheduleShard(
            ownership,
            journal,
            self._table,
            stopped,
            self._make_lease_terms(),
            self.shards,
            self._cache,
            self._list_workers,
            self._workers,
            self._clock,
            ExchangeIntervals(scheduling.exchange, scheduling.idle_exchange),
            CellView(self._room_cache, self.get_capacities, self._announce_room),
            self._publish,
            self._make_batch_id,
            scheduling.commit,
        )

    def _make_lease_terms(self) -> LeaseTerms:
        """Return the lease terms of attempts from the settings."""
        ownership = self._settings.ownership
        return LeaseTerms(
            lease_duration=self._settings.scheduling.task_lease,
            delivery_timeout=self._settings.scheduling.start_expiry,
            horizon=ownership.partition_horizon,
            clock_rate_bound=ownership.clock_rate_bound,
            clock_offset_bound=ownership.clock_offset_bound,
        )

    def _list_workers(self, shard: str) -> list[Instance] | None:
        """Return the listed workers of a scheduling shard, ``None`` if unknown."""
        if not self._neighbours.list_is_known:
            return None
        return list_shard_workers(self._neighbours.listed.values(), shard, self.shards)

    def get_capacities(self) -> CellCapacities:
        """Return the capacities of all workers in the list."""
        listed = self._neighbours.listed
        if listed is not self._capacities_listed:
            workers = {}
            for shard in self.shards:
                workers[shard] = list_shard_workers(listed.values(), shard, self.shards)
            self._capacities_listed = listed
            self._capacities = gather_capacities(workers)
        return self._capacities

    def _announce_room(self, room: ShardRoom) -> None:
        """Send the free capacity of a shard of this instance to all instances."""
        self._room_cache.record_room(room)
        self._neighbours.notify_all(room)

    async def handle_room(self, room: ShardRoom, _: CallContext) -> Accepted:
        """Store the free capacity of a shard of another instance."""
        self._room_cache.record_room(room)
        return Accepted()


def wake_shards(runners: dict[str, ShardRunner]) -> None:
    """Wake the scheduling shards, so that they apply changed resources at once."""
    for runner in runners.values():
        if isinstance(runner, ScheduleShard):
            runner.wake()
