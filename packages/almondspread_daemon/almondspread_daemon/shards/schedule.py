"""The runner of a scheduling shard.

It decides on placements, commits each batch of decisions to the journal, and only then
sends them to the workers.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from expression import Result
from loguru import logger

from almondspread.changes import ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Instance, TableService, WorkerGateway
from almondspread.journal import ExtraOperations, Journal, StaleCondition, Superseded
from almondspread.ownership import Ownership
from almondspread.scheduling import (
    EVENT_CODEC,
    Scheduler,
    ShardState,
    rebuild_state,
)
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    Event,
    ResourcesSeen,
    WorkloadAdded,
    WorkloadChanged,
    WorkloadRemoved,
)
from almondspread.scheduling.grants import TeamGrants
from almondspread.scheduling.leases import LeaseTerms, WorkerLeases
from almondspread.scheduling.tasks import WorkloadState
from almondspread.scheduling.transfers import prepare_receive
from almondspread_daemon.background import Waker, start_task
from almondspread_daemon.shards.following import ResourceFollower
from almondspread_daemon.shards.quotas import GrantUpdater
from almondspread_daemon.shards.transfers import CellView, TransferCoordinator
from almondspread_daemon.shards.workers import ExchangeIntervals, WorkerLink

DECIDE_INTERVAL = timedelta(milliseconds=500)
RECOVERY_RETRY_DELAY = timedelta(milliseconds=500)
MAX_PLACEMENTS_PER_BATCH = 400
MIN_SNAPSHOT_ROWS = 500
RESOURCE_EVENTS = (WorkloadAdded, WorkloadChanged, WorkloadRemoved)
# With fewer rows, a handover without a snapshot is faster.
MIN_HANDOVER_SNAPSHOT_ROWS = 100


class ScheduleShard:
    """Schedules the tasks of one shard while this instance owns it at one epoch.

    ``publish`` is called with a shard and the status reports of its changed workloads.
    After a wake-up, the shard waits for ``gather_interval`` before it decides.
    """

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
        gateway: WorkerGateway,
        clock: Clock,
        exchange_intervals: ExchangeIntervals,
        cell_view: CellView,
        publish: Callable[[str, dict[tuple[str, str], Any]], None],
        make_name: Callable[[], str],
        gather_interval: timedelta = timedelta(0),
    ) -> None:
        self.ownership = ownership
        self.scheduler = Scheduler(
            ShardState(), terms, clock, random.Random(), ownership.shard
        )
        self.recovered = False
        self._journal = journal
        taken_at = clock.monotonic()
        stopped_at = taken_at if previous_owner_stopped else None
        self._leases = WorkerLeases(terms, taken_at, stopped_at)
        self._terms = terms
        self._cache = cache
        self._list_workers = list_workers
        self._cell_view = cell_view
        self._gateway = gateway
        self._clock = clock
        self._exchange_intervals = exchange_intervals
        self._publish = publish
        self._gather_interval = gather_interval
        self._links: dict[str, WorkerLink] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._background_tasks: list[asyncio.Task[None]] = []
        self._unreported_workers: set[str] = set()
        self._waker = Waker(clock)
        self._stopping = False
        self._follower = ResourceFollower(
            ownership.shard, shards, cache, self.scheduler, clock
        )
        self.scheduler.grants = TeamGrants(
            ownership.shard,
            ownership.condition,
            table,
            clock,
            random.Random(),
            self.scheduler.decisions,
        )
        self._grant_updater = GrantUpdater(
            self.scheduler.grants, self.scheduler, clock, self.wake
        )
        self._transfer_coordinator = TransferCoordinator(
            ownership.shard,
            self.scheduler,
            table,
            cache,
            cell_view,
            clock,
            make_name,
            self.wake,
        )

    def wake(self) -> None:
        """Start the next decision without waiting for ``DECIDE_INTERVAL`` to pass."""
        self._waker.wake()

    async def stop(self) -> None:
        """Request that ``run`` returns after the commit in progress."""
        self._stopping = True
        self.wake()

    async def run(self) -> None:
        """Recover the shard and schedule its tasks until stopped or superseded."""
        try:
            await self._recover()
            self._background_tasks.append(start_task(self._grant_updater.run()))
            self._background_tasks.append(start_task(self._transfer_coordinator.run()))
            self.wake()
            while not self._stopping:
                await self._waker.wait(DECIDE_INTERVAL)
                # This wait gathers the reports of several workers into one commit.
                await self._clock.sleep(self._gather_interval)
                if self.ownership.authority.superseded or not await self._decide():
                    return
            if self._journal.rows_since_snapshot >= MIN_HANDOVER_SNAPSHOT_ROWS:
                await self._write_snapshot()
        finally:
            for task in (*self._link_tasks.values(), *self._background_tasks):
                task.cancel()

    async def _recover(self) -> None:
        """Rebuild the state from the latest snapshot and the rows after it."""
        while not self._stopping:
            recovered = await self._journal.recover()
            if recovered.is_ok():
                shard = self.ownership.shard
                self.scheduler.restore(rebuild_state(shard, recovered.ok))
                self._unreported_workers = set(self.scheduler.state.run_lists)
                self.recovered = True
                return
            logger.warning("shard {}: {}", self.ownership.shard, recovered.error.reason)
            await self._clock.sleep(RECOVERY_RETRY_DELAY)

    async def _decide(self) -> bool:
        """Decide and commit one batch; return false if another owner has the shard."""
        self._update_workers()
        self._follower.apply_changes()
        self._end_lapsed_attempts()
        self.scheduler.move_drained_tasks()
        self.scheduler.update_quarantine()
        more = self.scheduler.remove_cancelled()
        more = self.scheduler.place(MAX_PLACEMENTS_PER_BATCH) or more
        if self.scheduler.placer.short_of_quota:
            self._grant_updater.wake()
        writes = self._transfer_coordinator.prepare_sends()
        batch = self._take_batch()
        if batch:
            committed = await self._commit(batch, ExtraOperations(writes=tuple(writes)))
            if committed.is_error():
                return False
            self._notify_workers(batch)
        if not await self._receive_transfers():
            return False
        if more:
            self.wake()
        self._publish_changed()
        if self._journal.rows_since_snapshot >= MIN_SNAPSHOT_ROWS:
            await self._write_snapshot()
        return True

    async def _commit(
        self, batch: list[Event], extra_operations: ExtraOperations
    ) -> Result[int, Superseded | StaleCondition]:
        """Commit a batch; supersede the authority if another owner has the shard."""
        encoded = [EVENT_CODEC.encode(event) for event in batch]
        committed = await self._journal.commit(encoded, extra_operations)
        if committed.is_error() and isinstance(committed.error, Superseded):
            logger.warning(
                "shard {} has another owner and is no longer scheduled here",
                self.ownership.shard,
            )
            self.ownership.authority.supersede()
        return committed

    async def _receive_transfers(self) -> bool:
        """Receive transferred tasks; return false if another owner has the shard.

        The tasks are added to the state only after the commit that deletes the row.
        """
        incoming, self._transfer_coordinator.incoming = (
            self._transfer_coordinator.incoming,
            {},
        )
        for row, transfer in incoming.values():
            resources_seen = ResourcesSeen(self._cache.spec_revision)
            batch: list[Event] = [transfer.content, resources_seen]
            committed = await self._commit(batch, prepare_receive(row))
            if committed.is_error():
                if isinstance(committed.error, Superseded):
                    return False
                continue
            for event in batch:
                self.scheduler.state.apply(event)
            self._follower.reconcile_received(transfer.content.workload)
            self.wake()
        return True

    def _take_batch(self) -> list[Event]:
        """Return the events to commit.

        If they apply changes of resources, the resource revision is added as an event.
        """
        batch = self.scheduler.decisions.take_batch()
        for event in batch:
            if not isinstance(event, RESOURCE_EVENTS):
                continue
            resources_seen = ResourcesSeen(self._cache.spec_revision)
            self.scheduler.state.apply(resources_seen)
            batch.append(resources_seen)
            break
        return batch

    def _notify_workers(self, batch: list[Event]) -> None:
        """Start exchanges with the workers that a committed batch concerns.

        The ends of attempts in the batch can now be acknowledged to their workers.
        """
        decisions = self.scheduler.decisions
        decisions.mark_committed(batch)
        wake_all = False
        for event in batch:
            if isinstance(event, AttemptBound):
                self._wake_link(event.worker)
                continue
            if isinstance(event, AttemptEnded):
                name, worker = decisions.pop_committed_end(event)
                link = self._links.get(worker)
                if link is not None:
                    link.acknowledge_end(name)
                continue
            wake_all = True
        for link in self._links.values() if wake_all else ():
            link.wake()

    def _wake_link(self, worker: str) -> None:
        """Start the next exchange with a worker without waiting for the interval."""
        link = self._links.get(worker)
        if link is not None:
            link.wake()

    def _update_workers(self) -> None:
        """Update the workers and their exchanges from the platform's list."""
        listed = self._list_workers(self.ownership.shard)
        if listed is None:
            return
        self.scheduler.set_workers(listed)
        capacities = self._cell_view.get_capacities()
        self.scheduler.set_capacities(capacities)
        for worker in listed:
            self._update_link(worker)
        for link in list(self._links.values()):
            if not self.scheduler.cell.has_worker(link.worker):
                self._stop_link(link.worker)
                continue
            self.scheduler.set_exclusion(link.worker, "unreachable", link.unreachable)
        self._update_unreported_workers({worker.name for worker in listed})

    def _stop_link(self, worker: str) -> None:
        """Stop the exchanges with a worker that the scheduler no longer has."""
        del self._links[worker]
        self._link_tasks.pop(worker).cancel()

    def _update_link(self, worker: Instance) -> None:
        """Start the exchanges with a worker, or restart them at its new address."""
        link = self._links.get(worker.name)
        if link is None:
            self._start_link(worker)
            return
        if link.address == worker.address:
            return
        # Attempts at the old address may run until their leases have expired, so no
        # exchange with the new address starts before they are known to have ended.
        self._link_tasks[worker.name].cancel()
        link.unreachable = True
        if not self.scheduler.state.list_attempts(worker.name):
            self._start_link(worker)

    def _update_unreported_workers(self, listed: set[str]) -> None:
        """Stop waiting for workers that reported, are unreachable or not listed."""
        for worker in list(self._unreported_workers):
            link = self._links.get(worker)
            if worker in listed and link is not None:
                if not link.has_reported and not link.unreachable:
                    continue
            self._unreported_workers.discard(worker)

    def _start_link(self, worker: Instance) -> None:
        """Start a background task for the exchanges with a worker."""
        link = WorkerLink(
            worker.name,
            worker.address,
            self.scheduler,
            self._leases,
            self._gateway,
            self._clock,
            self._exchange_intervals,
            self.ownership.authority,
            self.wake,
        )
        self._links[worker.name] = link
        self._link_tasks[worker.name] = start_task(link.run())

    def _end_lapsed_attempts(self) -> None:
        """End attempts of unreachable workers whose leases have certainly expired."""
        now = self._clock.monotonic()
        stopped_at = self.ownership.authority.previous_stopped_at
        if stopped_at is not None:
            self._leases.record_previous_owner_stopped(stopped_at)
        for worker in list(self.scheduler.state.run_lists):
            link = self._links.get(worker)
            if link is not None and not link.unreachable:
                continue
            if now < self._leases.find_lapse_time(worker):
                continue
            for attempt in self.scheduler.state.list_attempts(worker):
                self.scheduler.end_lapsed(attempt)

    def _publish_changed(self) -> None:
        """Publish the status of each workload that has changed."""
        changed = self.scheduler.state.unreported_workloads
        reports = {}
        for workload in list(changed):
            state = self.scheduler.state.workloads.get(workload)
            if state is not None and self._awaits_reports(state):
                continue
            changed.discard(workload)
            if state is None or state.removed:
                continue
            report = self.scheduler.describe_workload(state)
            reports[(state.kind, state.name)] = report
        if reports:
            self._publish(self.ownership.shard, reports)

    def _awaits_reports(self, state: WorkloadState) -> bool:
        """Tell whether a worker with tasks of a workload has not reported yet.

        After a takeover each worker has to complete one exchange. Until then, the
        status reports of the previous owner remain in force.
        """
        if not self._unreported_workers:
            return False
        for task in state.tasks.values():
            if (
                task.attempt is not None
                and task.attempt.worker in self._unreported_workers
            ):
                return True
        return False

    async def _write_snapshot(self) -> None:
        """Write a snapshot, so that the next owner reads few journal rows."""
        # A snapshot must not contain events that are not committed yet.
        if not self.recovered or self.scheduler.decisions.has_pending_events:
            return
        if self._journal.rows_since_snapshot:
            await self._journal.write_snapshot(self.scheduler.state.encode())
