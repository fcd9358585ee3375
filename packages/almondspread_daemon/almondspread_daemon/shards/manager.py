"""Claim, confirmation and handover of the shards that this instance should own."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from attrs import define
from loguru import logger

from almondspread.clock import Clock
from almondspread.interfaces import ObjectStore, TableService, TableUnavailable
from almondspread.journal import CorruptJournal, Journal, ignore_commit
from almondspread.ownership import (
    Claimant,
    Members,
    OwnerRecord,
    Ownership,
    claim_shard,
    read_owner,
    read_owner_versions,
    release_shards,
)
from almondspread_daemon.background import Waker, start_task
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted, ShardReleased
from almondspread_daemon.shards.owner_liveness import OwnerLiveness
from almondspread_daemon.shards.owner_preference import OwnerPreference

CHECK_INTERVAL = timedelta(milliseconds=200)
CONFIRM_INTERVAL = timedelta(seconds=1)
FAULT_RETRY_DELAY = timedelta(seconds=30)
STOP_CHECK_INTERVAL = timedelta(milliseconds=20)
STALL_TIMEOUT = timedelta(seconds=3)


class ShardRunner(Protocol):
    """Does the work of one shard while this instance owns it."""

    async def run(self) -> None:
        """Recover the shard and do its work until stopped or superseded."""

    async def stop(self) -> None:
        """Request that ``run`` commits the work in progress and returns."""


MakeRunner = Callable[[Ownership, Journal, bool], ShardRunner]


@define
class OwnedShard:
    """A shard that this instance owns, its runner and its previous owner record."""

    ownership: Ownership
    journal: Journal
    runner: ShardRunner
    previous_owner: OwnerRecord | None
    task: asyncio.Task[None] | None = None


class ShardManager:
    """Owns those shards for which this instance ranks first among the live instances.

    ``shards`` are those of the instance's own failure domain; ``foreign_shards`` are
    those of other domains, which are taken over while their domain is gone.
    ``on_change`` is called when the set of owned shards has changed, and ``announce``
    sends a release to the other instances. ``faults`` tells by shard why a shard could
    not be run; such a shard is retried after ``FAULT_RETRY_DELAY``. The owner rows of
    shards in ``_unconfirmed`` are read again, because a claim or release of unknown
    outcome may have left such a shard to this process.
    """

    def __init__(
        self,
        claimant: Claimant,
        failure_domain: str,
        shards: dict[str, MakeRunner],
        members: Members,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch_id: Callable[[], str],
        instance_lease: timedelta,
        horizon: timedelta,
        on_change: Callable[[], None],
        announce: Callable[[ShardReleased], None],
        foreign_shards: dict[str, MakeRunner] | None = None,
        is_domain_gone: Callable[[str], bool] = lambda _: False,
        observe_commit: Callable[[timedelta, int], None] = ignore_commit,
    ) -> None:
        self.runners: dict[str, ShardRunner] = {}
        self.ownerships: dict[str, Ownership] = {}
        self.faults: dict[str, str] = {}
        self.leaving = False
        self._claimant = claimant
        self._shards = {**shards, **(foreign_shards or {})}
        self._preference = OwnerPreference(
            claimant.instance,
            failure_domain,
            frozenset(foreign_shards or {}),
            members,
            is_domain_gone,
            clock,
        )
        self._table = table
        self._store = store
        self._clock = clock
        self._make_batch_id = make_batch_id
        self._owner_liveness = OwnerLiveness(claimant, members, clock, instance_lease)
        self._horizon = horizon
        self._on_change = on_change
        self._announce = announce
        self._observe_commit = observe_commit
        self._owned: dict[str, OwnedShard] = {}
        self._unconfirmed: set[str] = set()
        self._retry_at: dict[str, timedelta] = {}
        self._handover_tasks: set[asyncio.Task[None]] = set()
        self._handing_over: set[str] = set()
        self._waker = Waker(clock)

    def list_epochs(self) -> dict[str, int]:
        """Return the epoch of each shard that this instance owns."""
        return {shard: owned.epoch for shard, owned in self.ownerships.items()}

    async def run(self) -> None:
        """Claim, confirm and hand over shards until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_ownership_checks())
                group.create_task(self._run_confirmations())
        finally:
            for owned in self._owned.values():
                if owned.task is not None:
                    owned.task.cancel()
            for task in self._handover_tasks:
                task.cancel()

    async def handle_released(self, message: ShardReleased, _: CallContext) -> Accepted:
        """Check at once whether to claim a shard that another instance has released."""
        if message.shard in self._shards:
            self._waker.wake()
        return Accepted()

    async def _run_ownership_checks(self) -> None:
        """Claim shards that are due here and hand over others, until cancelled."""
        while True:
            self._start_handover()
            # The shards are checked concurrently, so that a slow table delays the
            # takeover of many shards no longer than that of one.
            checks = [self._check_shard(shard) for shard in self._list_due_shards()]
            await asyncio.gather(*checks)
            await self._waker.wait(CHECK_INTERVAL)

    def _list_due_shards(self) -> list[str]:
        """Return the shards that may need a claim or the release of a late claim."""
        now = self._clock.monotonic()
        due = []
        for shard in self._shards:
            if shard in self.ownerships or now < self._retry_at.get(shard, now):
                continue
            is_preferred = (
                self._preference.find_owner(shard, self.leaving)
                == self._claimant.instance
            )
            if (is_preferred and not self.leaving) or shard in self._unconfirmed:
                due.append(shard)
        return due

    def _start_handover(self) -> None:
        """Start the handover of shards for which another instance ranks first."""
        moving = []
        for shard in self._owned:
            preferred = self._preference.find_owner(shard, self.leaving)
            if preferred is None or preferred == self._claimant.instance:
                continue
            if shard in self._handing_over:
                continue
            moving.append(shard)
        if not moving or self.leaving:
            return
        task = start_task(self.hand_over(moving))
        self._handover_tasks.add(task)
        task.add_done_callback(self._handover_tasks.discard)

    async def _check_shard(self, shard: str) -> None:
        """Claim or release a shard; record a fault if its owner row does not decode."""
        try:
            await self._claim_if_due(shard)
        except ValueError as error:
            self._record_fault(shard, f"the owner row of shard {shard}: {error}")

    async def _claim_if_due(self, shard: str) -> None:
        """Claim a shard whose owner has released it, has ended or is silent.

        If another instance ranks first by now, release what a late claim has left.
        """
        read = await read_owner(self._table, shard)
        if read.is_error():
            return
        record = read.ok.record
        if self._preference.find_owner(shard, self.leaving) != self._claimant.instance:
            await self._release_late_claim(shard, record, read.ok.version)
            return
        if not self._owner_liveness.may_claim(shard, record):
            return
        claimed = await claim_shard(
            self._table,
            self._clock,
            shard,
            self._claimant,
            record,
            self._make_batch_id(),
            self._horizon,
        )
        if claimed.is_error():
            if isinstance(claimed.error, TableUnavailable):
                self._unconfirmed.add(shard)
            return
        self._unconfirmed.discard(shard)
        self._start_runner(claimed.ok, record)

    async def _release_late_claim(
        self, shard: str, record: OwnerRecord | None, version: int
    ) -> None:
        """Release a shard that this process owns by a claim that took effect late."""
        if record is None or record.incarnation != self._claimant.incarnation:
            self._unconfirmed.discard(shard)
            return
        if record.is_released:
            self._unconfirmed.discard(shard)
            return
        late_ownership = Ownership.from_row(
            shard, record, version, self._clock.monotonic()
        )
        released = await release_shards(self._table, self._claimant, [late_ownership])
        if released.is_ok():
            self._unconfirmed.discard(shard)
            self._announce(ShardReleased(shard, record.epoch))

    def _start_runner(self, ownership: Ownership, previous: OwnerRecord | None) -> None:
        """Start the runner of a shard that was claimed."""
        shard = ownership.shard
        if self._owner_liveness.has_stopped(previous):
            ownership.authority.record_previous_stopped(self._clock.monotonic())
        logger.info("claimed shard {} at epoch {}", shard, ownership.epoch)
        journal = Journal(
            shard,
            ownership.epoch,
            ownership.condition,
            self._table,
            self._store,
            self._clock,
            self._make_batch_id,
            self._observe_commit,
        )
        stopped = ownership.authority.previous_stopped_at is not None
        runner = self._shards[shard](ownership, journal, stopped)
        owned = OwnedShard(ownership, journal, runner, previous)
        self._owned[shard] = owned
        self.ownerships[shard] = ownership
        self.runners[shard] = runner
        self.faults.pop(shard, None)
        owned.task = asyncio.create_task(self._run_shard(shard, owned))
        self._on_change()

    async def _run_shard(self, shard: str, owned: OwnedShard) -> None:
        """Run a shard until its runner ends, then remove it from the owned shards."""
        try:
            await owned.runner.run()
        except CorruptJournal as error:
            logger.error("{}", error)
            self._record_fault(shard, str(error))
        except Exception as error:
            logger.exception("the runner of shard {} failed", shard)
            self._record_fault(shard, repr(error))
        finally:
            owned.ownership.authority.supersede()
            if shard not in self._handing_over:
                self._unconfirmed.add(shard)
            self._owned.pop(shard, None)
            self.ownerships.pop(shard, None)
            self.runners.pop(shard, None)
            self._on_change()

    def _record_fault(self, shard: str, fault: str) -> None:
        """Record why a shard cannot be run, and when to retry it."""
        self.faults[shard] = fault
        self._retry_at[shard] = self._clock.monotonic() + FAULT_RETRY_DELAY

    async def _run_confirmations(self) -> None:
        """Confirm all owned shards by one read per ``CONFIRM_INTERVAL``."""
        while True:
            await self._clock.sleep(CONFIRM_INTERVAL)
            self._record_stopped_owners()
            await self._confirm_owner_rows(list(self._owned.values()))

    def _record_stopped_owners(self) -> None:
        """Record for each shard if its previous owner is now known to have stopped."""
        now = self._clock.monotonic()
        for owned in self._owned.values():
            if self._owner_liveness.has_stopped(owned.previous_owner):
                owned.ownership.authority.record_previous_stopped(now)

    async def _confirm_owner_rows(self, confirmed: list[OwnedShard]) -> None:
        """Read the owner rows of shards and stop those that have another owner."""
        if not confirmed:
            return
        read_started = self._clock.monotonic()
        names = [owned.ownership.shard for owned in confirmed]
        versions = await read_owner_versions(self._table, names)
        if versions.is_error():
            return
        for owned in confirmed:
            ownership = owned.ownership
            if versions.ok[ownership.shard] == ownership.condition.version:
                ownership.authority.confirm(read_started)
                continue
            if ownership.shard in self._handing_over:
                continue
            logger.warning(
                "shard {} has another owner; its runner stops here", ownership.shard
            )
            ownership.authority.supersede()
            start_task(owned.runner.stop())

    async def hand_over(self, shards: list[str]) -> None:
        """Stop the runners of shards and release each shard to its next owner.

        Shards whose runners are found stopped in the same check are released in one
        transaction.
        """
        moving = []
        for shard in shards:
            owned = self._owned.get(shard)
            if owned is None or shard in self._handing_over:
                continue
            logger.info("handing over shard {}", shard)
            self._handing_over.add(shard)
            moving.append(owned)
        for owned in moving:
            # A runner that still serves requests must not delay the other shards.
            start_task(owned.runner.stop())
        started = self._clock.monotonic()
        while moving:
            stopped = [owned for owned in moving if owned.task and owned.task.done()]
            moving = [owned for owned in moving if owned not in stopped]
            await self._release_stopped(stopped)
            if self._clock.monotonic() - started > STALL_TIMEOUT:
                self._abandon_stalled(moving)
            if moving:
                await self._clock.sleep(STOP_CHECK_INTERVAL)

    def _abandon_stalled(self, moving: list[OwnedShard]) -> None:
        """Cancel runners whose commit the table does not answer.

        The commit may still take effect, so its outcome is unknown. The shard is not
        released, and the next owner claims it once this instance is silent.
        """
        for owned in list(moving):
            if not owned.journal.stalled or owned.task is None:
                continue
            logger.warning(
                "shard {} is not released: the table does not answer its commit",
                owned.ownership.shard,
            )
            owned.ownership.authority.supersede()
            owned.task.cancel()
            moving.remove(owned)
            self._handing_over.discard(owned.ownership.shard)
            self._unconfirmed.add(owned.ownership.shard)

    async def _release_stopped(self, stopped: list[OwnedShard]) -> None:
        """Release shards, together or else one by one, and announce the releases."""
        if not stopped:
            return
        ownerships = [owned.ownership for owned in stopped]
        outcome = await release_shards(self._table, self._claimant, ownerships)
        if outcome.is_error() and not isinstance(outcome.error, TableUnavailable):
            # One of the shards has another owner; the others are released one by one.
            for ownership in ownerships:
                await release_shards(self._table, self._claimant, [ownership])
        for ownership in ownerships:
            self._handing_over.discard(ownership.shard)
            if outcome.is_error():
                self._unconfirmed.add(ownership.shard)
            self._announce(ShardReleased(ownership.shard, ownership.epoch))
        self._on_change()

    async def hand_over_all(self) -> None:
        """Hand over every shard, for a planned stop."""
        self.leaving = True
        await self.hand_over(list(self._owned))
        if self._handover_tasks:
            await asyncio.wait(self._handover_tasks)
