"""The owner of a scheduling shard: decides, commits, and then tells the workers."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgpack
from loguru import logger

from almondspread.changes import Item, ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Instance, WorkerGateway
from almondspread.journal import Journal
from almondspread.ownership import Ownership
from almondspread.resources import Workload, describe_resource
from almondspread.scheduling import (
    EVENT_CODEC,
    Scheduler,
    ShardState,
    assign_tasks,
    rebuild_state,
)
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    Event,
    ResourcesSeen,
)
from almondspread.scheduling.leases import LeaseTerms, WorkerLeases
from almondspread.scheduling.scheduler import DesiredWorkload
from almondspread.scheduling.tasks import (
    WorkloadState,
    name_attempt,
    name_workload,
)
from almondspread_daemon.background import Waker, start_task
from almondspread_daemon.shards.workers import ExchangePace, WorkerLink

WORKLOAD_KINDS = ("service", "batch", "gang")
DECIDE_INTERVAL = timedelta(milliseconds=500)
RECOVER_PAUSE = timedelta(milliseconds=500)
MAX_PLACEMENTS_PER_BATCH = 400
SNAPSHOT_ROWS = 500
# With fewer rows the next owner is sooner there without a snapshot.
HANDOVER_ROWS = 100


class ScheduleShard:
    """Acts for one scheduling shard under one epoch."""

    def __init__(
        self,
        ownership: Ownership,
        journal: Journal,
        previous_owner_stopped: bool,
        terms: LeaseTerms,
        shards: tuple[str, ...],
        cache: ResourceCache,
        list_workers: Callable[[str], list[Instance] | None],
        gateway: WorkerGateway,
        clock: Clock,
        pace: ExchangePace,
        publish: Callable[[str, dict[tuple[str, str], Any]], None],
        gather_interval: timedelta = timedelta(0),
    ) -> None:
        self.ownership = ownership
        self.scheduler = Scheduler(ShardState(), terms)
        self.recovered = False
        self._journal = journal
        taken_at = clock.monotonic()
        stopped_at = taken_at if previous_owner_stopped else None
        self._leases = WorkerLeases(terms, taken_at, stopped_at)
        self._terms = terms
        self._shards = shards
        self._cache = cache
        self._list_workers = list_workers
        self._gateway = gateway
        self._clock = clock
        self._pace = pace
        self._publish = publish
        self._gather_interval = gather_interval
        self._links: dict[str, WorkerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._desired: dict[str, DesiredWorkload] = {}
        self._desired_revision = -1
        self._unheard: set[str] = set()
        self._waker = Waker(clock)
        self._stopping = False

    def wake(self) -> None:
        """Have the shard decide at once."""
        self._waker.wake()

    async def stop(self) -> None:
        """End after the commit under way."""
        self._stopping = True
        self.wake()

    async def run(self) -> None:
        """Recover the shard and act for it until stopped or superseded."""
        try:
            await self._recover()
            self.wake()
            while not self._stopping:
                await self._waker.wait(DECIDE_INTERVAL)
                # What several workers report within moments goes into one commit.
                await self._clock.sleep(self._gather_interval)
                if self.ownership.authority.superseded or not await self._decide():
                    return
            if self._journal.rows_since_snapshot >= HANDOVER_ROWS:
                await self._leave_snapshot()
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _recover(self) -> None:
        """Rebuild the state from the latest snapshot and the rows after it."""
        while not self._stopping:
            recovered = await self._journal.recover()
            if recovered.is_ok():
                shard = self.ownership.shard
                self.scheduler.state = rebuild_state(shard, recovered.ok)
                self._unheard = set(self.scheduler.state.run_lists)
                self.recovered = True
                return
            logger.warning("shard {}: {}", self.ownership.shard, recovered.error.reason)
            await self._clock.sleep(RECOVER_PAUSE)

    async def _decide(self) -> bool:
        """Decide and commit one batch; false once another owner has the shard."""
        self._update_workers()
        self._follow_resources()
        self._end_lapsed()
        self.scheduler.place(MAX_PLACEMENTS_PER_BATCH)
        batch = self._take_batch()
        if batch:
            encoded = [EVENT_CODEC.encode(event) for event in batch]
            committed = await self._journal.commit(encoded)
            if committed.is_error():
                logger.warning("shard {} has another owner", self.ownership.shard)
                self.ownership.authority.supersede()
                return False
            self._carry_out(batch)
        if len(batch) >= MAX_PLACEMENTS_PER_BATCH:
            self.wake()
        self._report_changed()
        if self._journal.rows_since_snapshot >= SNAPSHOT_ROWS:
            await self._leave_snapshot()
        return True

    def _follow_resources(self) -> None:
        """Compare the shard with the resources, unless these are the older of both."""
        if self._cache.spec_revision < self.scheduler.state.revision:
            return
        desired = self._list_desired()
        self.scheduler.reconcile(desired, self._clock.now().timestamp())

    def _take_batch(self) -> list[Event]:
        """Return the events to commit, and the revision that workloads follow."""
        batch = self.scheduler.take_batch()
        for event in batch:
            if isinstance(event, AttemptBound | AttemptEnded):
                continue
            seen = ResourcesSeen(self._cache.spec_revision)
            self.scheduler.state.apply(seen)
            batch.append(seen)
            break
        return batch

    def _carry_out(self, batch: list[Event]) -> None:
        """Tell the workers what a committed batch means for them."""
        self.scheduler.mark_committed(batch)
        for event in batch:
            if isinstance(event, AttemptBound):
                self._wake_link(event.worker)
                continue
            if isinstance(event, AttemptEnded):
                name = name_attempt(event.workload, event.index, event.number)
                for link in self._links.values():
                    link.settle(name)
                continue
            for link in self._links.values():
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
        for worker in listed:
            self._follow_worker(worker)
        for link in self._links.values():
            self.scheduler.set_exclusion(link.worker, "unreachable", link.unreachable)
        self._note_heard({worker.name for worker in listed})

    def _follow_worker(self, worker: Instance) -> None:
        """Start the exchange with a worker, or move it to the worker's new address."""
        link = self._links.get(worker.name)
        if link is None:
            self._start_link(worker)
            return
        if link.address == worker.address:
            return
        # What ran at the old address may run on until its leases have lapsed, so the
        # new one is asked nothing before those attempts are known to have ended.
        self._tasks[worker.name].cancel()
        link.unreachable = True
        if not self.scheduler.state.list_attempts(worker.name):
            self._start_link(worker)

    def _note_heard(self, listed: set[str]) -> None:
        """Note of which workers it is known by now what runs on them."""
        for worker in list(self._unheard):
            link = self._links.get(worker)
            if worker in listed and link is not None:
                if not link.has_reported and not link.unreachable:
                    continue
            self._unheard.discard(worker)

    def _start_link(self, worker: Instance) -> None:
        """Start the exchange with a worker."""
        link = WorkerLink(
            worker.name,
            worker.address,
            self.scheduler,
            self._leases,
            self._gateway,
            self._clock,
            self._pace,
            self.ownership.authority,
            self.wake,
        )
        self._links[worker.name] = link
        self._tasks[worker.name] = start_task(link.run())

    def _end_lapsed(self) -> None:
        """End the attempts of unreachable workers whose leases have surely lapsed."""
        now = self._clock.monotonic()
        stopped_at = self.ownership.authority.previous_stopped_at
        if stopped_at is not None:
            self._leases.note_previous_stopped(stopped_at)
        for worker in list(self.scheduler.state.run_lists):
            link = self._links.get(worker)
            if link is not None and not link.unreachable:
                continue
            if now < self._leases.find_lapse(worker):
                continue
            for attempt in self.scheduler.state.list_attempts(worker):
                self.scheduler.end_attempt(attempt, "lapsed")

    def _list_desired(self) -> list[DesiredWorkload]:
        """Return the workloads that have tasks in this shard."""
        if self._desired_revision == self._cache.spec_revision:
            return list(self._desired.values())
        revision = self._cache.spec_revision
        desired = {}
        for kind in WORKLOAD_KINDS:
            for item in self._cache.list_items(kind):
                wanted = self._find_desired(item)
                if wanted is not None:
                    desired[wanted.workload] = wanted
        self._desired = desired
        self._desired_revision = revision
        return list(desired.values())

    def _find_desired(self, item: Item) -> DesiredWorkload | None:
        """Return what a resource asks of this shard, ``None`` for nothing."""
        if not isinstance(item.resource, Workload):
            return None
        workload = name_workload(item.kind, item.name, item.created_revision)
        if item.resource_version <= self._desired_revision:
            return self._desired.get(workload)
        homes = assign_tasks(
            item.name, item.created_revision, item.resource, self._shards
        )
        indices = homes.get(self.ownership.shard, ())
        if not indices:
            return None
        document = msgpack.packb(describe_resource(item.resource))
        return DesiredWorkload(workload, item.created_revision, document, indices)

    def _report_changed(self) -> None:
        """Publish the status of each workload that has changed."""
        changed = self.scheduler.state.changed
        reports = {}
        for workload in list(changed):
            state = self.scheduler.state.workloads.get(workload)
            if state is not None and self._awaits_reports(state):
                continue
            changed.discard(workload)
            if state is None or state.removed:
                continue
            reports[(state.kind, state.name)] = state.report()
        if reports:
            self._publish(self.ownership.shard, reports)

    def _awaits_reports(self, state: WorkloadState) -> bool:
        """Tell whether a worker has yet to tell if it runs tasks of a workload.

        After a takeover that takes one exchange; until then the reports of the
        previous owner stand.
        """
        if not self._unheard:
            return False
        for task in state.tasks.values():
            if task.attempt is not None and task.attempt.worker in self._unheard:
                return True
        return False

    async def _leave_snapshot(self) -> None:
        """Write a snapshot, so that a takeover reads few rows."""
        # Events that are not committed yet must not get into a snapshot.
        if not self.recovered or self.scheduler.has_pending:
            return
        if self._journal.rows_since_snapshot:
            await self._journal.write_snapshot(self.scheduler.state.encode())
