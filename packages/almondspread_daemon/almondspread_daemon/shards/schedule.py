"""The owner of a scheduling shard: decides, commits, and then tells the workers."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgpack
from loguru import logger

from almondspread.changes import Item, ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Instance, TableService, WorkerGateway
from almondspread.journal import Journal
from almondspread.journal.journal import Recovery
from almondspread.ownership import Ownership
from almondspread.resources import Capacity, Workload, describe_resource
from almondspread.scheduling import (
    EVENT_CODEC,
    Scheduler,
    ShardState,
    assign_tasks,
)
from almondspread.scheduling.events import AttemptBound, AttemptEnded, Event
from almondspread.scheduling.grants import TeamGrants
from almondspread.scheduling.leases import LeaseTerms, WorkerLeases
from almondspread.scheduling.rules import read_rules
from almondspread.scheduling.scheduler import DesiredWorkload
from almondspread.scheduling.tasks import name_workload
from almondspread_daemon.background import start_task
from almondspread_daemon.shards.workers import WorkerLink

WORKLOAD_KINDS = ("service", "batch", "gang")
DECIDE_INTERVAL = timedelta(milliseconds=500)
RECOVER_PAUSE = timedelta(milliseconds=500)
MAX_PLACEMENTS_PER_BATCH = 400
SNAPSHOT_ROWS = 500
GRANT_INTERVAL = timedelta(seconds=1)
GRANT_PAUSE = timedelta(milliseconds=50)


class ScheduleShard:
    """Acts for one scheduling shard under one epoch."""

    def __init__(
        self,
        ownership: Ownership,
        journal: Journal,
        table: TableService,
        previous_owner_stopped: bool,
        terms: LeaseTerms,
        shards: tuple[str, ...],
        cache: ResourceCache,
        list_workers: Callable[[str], list[Instance] | None],
        list_cell: Callable[[], frozenset[Capacity]],
        gateway: WorkerGateway,
        clock: Clock,
        exchange_interval: timedelta,
        publish: Callable[[str, dict[tuple[str, str], Any]], None],
    ) -> None:
        self.ownership = ownership
        self.scheduler = Scheduler(ShardState(), terms, clock)
        self._grants = TeamGrants(
            ownership.shard,
            ownership.condition,
            table,
            clock,
            random.Random(),
            self.scheduler.decisions,
        )
        self.scheduler.grants = self._grants
        self._grants_wake = asyncio.Event()
        self._grants_task: asyncio.Task[None] | None = None
        self._grant_faults: dict[str, str] = {}
        self.recovered = False
        self._journal = journal
        self._leases = WorkerLeases(terms, clock.monotonic(), previous_owner_stopped)
        self._terms = terms
        self._shards = shards
        self._cache = cache
        self._list_workers = list_workers
        self._list_cell = list_cell
        self._gateway = gateway
        self._clock = clock
        self._exchange_interval = exchange_interval
        self._publish = publish
        self._links: dict[str, WorkerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._known: dict[tuple[str, str], str] = {}
        self._followed_revision = -1
        self._wake = asyncio.Event()
        self._stopping = False
        self._superseded = False

    def wake(self) -> None:
        """Have the shard decide at once."""
        self._wake.set()

    async def stop(self) -> None:
        """End after the commit under way."""
        self._stopping = True
        self.wake()

    async def run(self) -> None:
        """Recover the shard and act for it until stopped or superseded."""
        try:
            await self._recover()
            self._grants_task = start_task(self._keep_grants())
            while not self._stopping:
                await self._wait()
                if not await self._decide():
                    return
            await self._leave_snapshot()
        finally:
            for task in self._tasks.values():
                task.cancel()
            if self._grants_task is not None:
                self._grants_task.cancel()

    async def _wait(self) -> None:
        """Wait until there is something to decide, or for the usual interval."""
        try:
            async with asyncio.timeout(DECIDE_INTERVAL.total_seconds()):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _keep_grants(self) -> None:
        """Hold the grants of team quotas that the waiting work needs."""
        while True:
            if await self._grants.settle(self.scheduler.measure_needs()):
                self.wake()
            if self._grants.faults != self._grant_faults:
                self._grant_faults = dict(self._grants.faults)
                logger.error("no quota is granted here for: {}", self._grant_faults)
            await self._clock.sleep(GRANT_PAUSE)
            try:
                async with asyncio.timeout(GRANT_INTERVAL.total_seconds()):
                    await self._grants_wake.wait()
            except TimeoutError:
                continue
            self._grants_wake.clear()

    async def _recover(self) -> None:
        """Rebuild the state from the latest snapshot and the rows after it."""
        while not self._stopping:
            recovered = await self._journal.recover()
            if recovered.is_ok():
                self.scheduler.adopt(rebuild_state(recovered.ok))
                self.recovered = True
                return
            logger.warning("shard {}: {}", self.ownership.shard, recovered.error.reason)
            await self._clock.sleep(RECOVER_PAUSE)

    async def _decide(self) -> bool:
        """Decide and commit one batch; false once another owner has the shard."""
        self._update_workers()
        self._follow_resources()
        self._end_lapsed()
        self.scheduler.move_drained()
        more = self.scheduler.remove_cancelled()
        more = self.scheduler.place(MAX_PLACEMENTS_PER_BATCH) or more
        if more:
            self.wake()
        if self.scheduler.placer.short_of_quota:
            self._grants_wake.set()
        batch = self.scheduler.decisions.take_batch()
        if batch:
            encoded = [EVENT_CODEC.encode(event) for event in batch]
            committed = await self._journal.commit(encoded)
            if committed.is_error():
                logger.warning("shard {} has another owner", self.ownership.shard)
                self._superseded = True
                return False
            self._carry_out(batch)
        self._report_changed()
        if self._journal.rows_since_snapshot >= SNAPSHOT_ROWS:
            await self._leave_snapshot()
        return True

    def _carry_out(self, batch: list[Event]) -> None:
        """Tell the workers what a committed batch means for them."""
        decisions = self.scheduler.decisions
        decisions.mark_committed(batch)
        wake_all = False
        for event in batch:
            if isinstance(event, AttemptBound):
                self._wake_link(event.worker)
                continue
            if isinstance(event, AttemptEnded):
                name, worker = decisions.take_ended(event)
                link = self._links.get(worker)
                if link is not None:
                    link.settle(name)
                continue
            wake_all = True
        for link in self._links.values() if wake_all else ():
            link.wake()

    def _wake_link(self, worker: str) -> None:
        """Have the next exchange with a worker happen at once."""
        link = self._links.get(worker)
        if link is not None:
            link.wake()

    def _update_workers(self) -> None:
        """Follow the platform's list of the shard's workers."""
        listed = self._list_workers(self.ownership.shard)
        if listed is None:
            return
        self.scheduler.set_workers(listed)
        self.scheduler.set_capacities(self._list_cell())
        for worker in listed:
            if worker.name in self._links:
                continue
            self._start_link(worker)
        for link in list(self._links.values()):
            if not self.scheduler.cell.has_worker(link.worker):
                self._stop_link(link.worker)
                continue
            self.scheduler.set_exclusion(link.worker, "unreachable", link.unreachable)

    def _stop_link(self, worker: str) -> None:
        """Stop the exchange with a worker that is gone for good."""
        del self._links[worker]
        self._tasks.pop(worker).cancel()

    def _start_link(self, worker: Instance) -> None:
        """Start the exchange with a worker."""
        link = WorkerLink(
            worker.name,
            worker.address,
            self.scheduler,
            self._leases,
            self._gateway,
            self._clock,
            self._exchange_interval,
            lambda: not self._superseded,
            self.wake,
        )
        self._links[worker.name] = link
        self._tasks[worker.name] = start_task(link.run())

    def _end_lapsed(self) -> None:
        """End the attempts of unreachable workers whose leases have surely lapsed."""
        now = self._clock.monotonic()
        for worker in list(self.scheduler.state.run_lists):
            link = self._links.get(worker)
            if link is not None and not link.unreachable:
                continue
            if now < self._leases.find_lapse(worker):
                continue
            for attempt in self.scheduler.state.list_attempts(worker):
                self.scheduler.end_lapsed(attempt)

    def _follow_resources(self) -> None:
        """Take in the resources that changed since the last pass."""
        if self._followed_revision >= self._cache.spec_revision:
            return
        entries = None
        if self._followed_revision >= 0:
            entries = self._cache.list_entries_after(self._followed_revision)
        self._followed_revision = self._cache.revision
        self.scheduler.set_rules(read_rules(self._cache))
        if entries is None:
            self._follow_all()
            return
        changed = set()
        for entry in entries:
            for change in entry.changes:
                if change.part == "spec" and change.kind in WORKLOAD_KINDS:
                    changed.add((change.kind, change.name))
        for kind, name in sorted(changed):
            self._follow_workload(kind, name)

    def _follow_all(self) -> None:
        """Compare all workloads with what the shard holds."""
        desired = []
        self._known.clear()
        for kind in WORKLOAD_KINDS:
            for item in self._cache.list_items(kind):
                wanted = self._find_desired(item)
                if wanted is None:
                    continue
                desired.append(wanted)
                self._known[(item.kind, item.name)] = wanted.workload
        self.scheduler.reconcile(desired, self._clock.now().timestamp())

    def _follow_workload(self, kind: str, name: str) -> None:
        """Take in a workload that was declared, changed or removed."""
        item = self._cache.find(kind, name)
        wanted = self._find_desired(item) if item is not None else None
        known = self._known.pop((kind, name), None)
        if known is not None and (wanted is None or wanted.workload != known):
            self.scheduler.cancel(known)
        if wanted is not None:
            self._known[(kind, name)] = wanted.workload
            self.scheduler.declare(wanted, self._clock.now().timestamp())

    def _find_desired(self, item: Item) -> DesiredWorkload | None:
        """Return what a resource asks of this shard, ``None`` for nothing."""
        if not isinstance(item.resource, Workload):
            return None
        workload = name_workload(item.kind, item.name, item.created_revision)
        homes = assign_tasks(
            item.name, item.created_revision, item.resource, self._shards
        )
        indices = homes.get(self.ownership.shard, ())
        # A workload whose tasks here are all gone may get some again.
        if not indices and workload not in self.scheduler.state.workloads:
            return None
        document = msgpack.packb(describe_resource(item.resource))
        return DesiredWorkload(workload, item.created_revision, document, indices)

    def _report_changed(self) -> None:
        """Publish the status of each workload that has changed."""
        changed = self.scheduler.state.changed
        reports = {}
        for workload in changed:
            state = self.scheduler.state.workloads.get(workload)
            if state is None or state.removed:
                continue
            report = self.scheduler.describe_workload(state)
            reports[(state.kind, state.name)] = report
        changed.clear()
        if reports:
            self._publish(self.ownership.shard, reports)

    async def _leave_snapshot(self) -> None:
        """Write a snapshot, so that a takeover reads few rows."""
        # Events that are not committed yet must not get into a snapshot.
        if not self.recovered or self.scheduler.decisions.has_pending:
            return
        if self._journal.rows_since_snapshot:
            await self._journal.write_snapshot(self.scheduler.state.encode())


def rebuild_state(recovery: Recovery) -> ShardState:
    """Return the state that a snapshot and the rows after it add up to."""
    state = ShardState()
    if recovery.snapshot is not None:
        state = ShardState.decode(recovery.snapshot)
    for row in recovery.rows:
        for event in row.events:
            state.apply(EVENT_CODEC.decode(event))
    return state
