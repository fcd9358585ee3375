"""Taking, keeping and handing over the shards of this failure domain."""

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
    rank_owners,
    read_owner,
    read_owner_versions,
    release_shards,
)
from almondspread_daemon.background import Waker, start_task
from almondspread_daemon.membership.directory import parse_failure_domain
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted, ShardReleased
from almondspread_daemon.shards.owner_liveness import OwnerLiveness

CHECK_INTERVAL = timedelta(milliseconds=200)
CONFIRM_INTERVAL = timedelta(seconds=1)
FAULT_RETRY_DELAY = timedelta(seconds=30)
STOP_CHECK_INTERVAL = timedelta(milliseconds=20)
STALL_TIMEOUT = timedelta(seconds=3)


class ShardRunner(Protocol):
    """What acts for one shard while this instance owns it."""

    async def run(self) -> None:
        """Recover the shard and act for it until stopped or superseded."""

    async def stop(self) -> None:
        """End what is under way, so that nothing is left uncommitted."""


MakeRunner = Callable[[Ownership, Journal, bool], ShardRunner]


@define
class OwnedShard:
    """A shard that this instance acts for, and whom it was taken from."""

    ownership: Ownership
    journal: Journal
    runner: ShardRunner
    previous_owner: OwnerRecord | None
    task: asyncio.Task[None] | None = None


class ShardManager:
    """Owns those shards for which this instance ranks first among the live ones."""

    def __init__(
        self,
        claimant: Claimant,
        failure_domain: str,
        shards: dict[str, MakeRunner],
        members: Members,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch: Callable[[], str],
        instance_lease: timedelta,
        horizon: timedelta,
        on_change: Callable[[], None],
        announce: Callable[[ShardReleased], None],
        adopted: dict[str, MakeRunner] | None = None,
        is_gone: Callable[[str], bool] = lambda _: False,
        observe_commit: Callable[[timedelta, int], None] = ignore_commit,
    ) -> None:
        self.runners: dict[str, ShardRunner] = {}
        self.ownerships: dict[str, Ownership] = {}
        self.faults: dict[str, str] = {}
        self.leaving = False
        self._claimant = claimant
        self._failure_domain = failure_domain
        self._shards = {**shards, **(adopted or {})}
        self._foreign_shards = frozenset(adopted or {})
        self._is_domain_gone = is_gone
        self._members = members
        self._table = table
        self._store = store
        self._clock = clock
        self._make_batch_id = make_batch
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
        """Take, confirm and hand over shards until cancelled."""
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
        """Look at once at a shard that another instance has released."""
        if message.shard in self._shards:
            self._waker.wake()
        return Accepted()

    async def _run_ownership_checks(self) -> None:
        """Take the shards that are due here and hand over those that are not."""
        while True:
            self._start_handover()
            # Each shard waits for the table by itself: a slow table delays a takeover
            # of many shards no longer than that of one.
            taking = [self._check_shard(shard) for shard in self._list_due_shards()]
            await asyncio.gather(*taking)
            await self._waker.wait(CHECK_INTERVAL)

    def _list_due_shards(self) -> list[str]:
        """Return the shards whose owner row has to be looked at."""
        now = self._clock.monotonic()
        due = []
        for shard in self._shards:
            if shard in self.ownerships or now < self._retry_at.get(shard, now):
                continue
            is_wanted = self._find_preferred_owner(shard) == self._claimant.instance
            if (is_wanted and not self.leaving) or shard in self._unconfirmed:
                due.append(shard)
        return due

    def _start_handover(self) -> None:
        """Start to hand over the shards for which another instance ranks first."""
        moving = []
        for shard in self._owned:
            preferred = self._find_preferred_owner(shard)
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

    def _find_preferred_owner(self, shard: str) -> str | None:
        """Return the live instance that ranks first for a shard.

        It is one of the shard's failure domain, or of any other while that is gone.
        """
        domain = self._failure_domain
        if shard in self._foreign_shards:
            domain = parse_failure_domain(shard)
        candidates = self._list_candidates(domain)
        if not candidates and self._is_domain_gone(domain):
            candidates = self._list_candidates(None)
        ranked = rank_owners(shard, candidates)
        return ranked[0] if ranked else None

    def _list_candidates(self, domain: str | None) -> list[str]:
        """Return the live instances of a domain, or of all, that may own shards."""
        candidates = []
        if not self.leaving and domain in (None, self._failure_domain):
            candidates.append(self._claimant.instance)
        for member in self._members.list_live(self._clock.monotonic()):
            if domain is not None and member.failure_domain != domain:
                continue
            if member.leaving or not member.ready:
                continue
            candidates.append(member.name)
        return candidates

    async def _check_shard(self, shard: str) -> None:
        """Take a shard that is due here; a row that does not decode stops it."""
        try:
            await self._claim_if_due(shard)
        except ValueError as error:
            self._record_fault(shard, f"the owner row of shard {shard}: {error}")

    async def _claim_if_due(self, shard: str) -> None:
        """Claim a shard whose owner has released it or is gone."""
        read = await read_owner(self._table, shard)
        if read.is_error():
            return
        record = read.ok.record
        if self._find_preferred_owner(shard) != self._claimant.instance:
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
        """Release a shard that a late claim of this process left to it."""
        if record is None or record.incarnation != self._claimant.incarnation:
            self._unconfirmed.discard(shard)
            return
        if record.is_released:
            self._unconfirmed.discard(shard)
            return
        left = Ownership.from_row(shard, record, version, self._clock.monotonic())
        released = await release_shards(self._table, self._claimant, [left])
        if released.is_ok():
            self._unconfirmed.discard(shard)
            self._announce(ShardReleased(shard, record.epoch))

    def _start_runner(self, ownership: Ownership, previous: OwnerRecord | None) -> None:
        """Start to act for a shard that was claimed."""
        shard = ownership.shard
        if self._owner_liveness.has_stopped(previous):
            ownership.authority.record_previous_stopped(self._clock.monotonic())
        logger.info("took shard {} at epoch {}", shard, ownership.epoch)
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
        """Run a shard until it ends, and forget it then."""
        try:
            await owned.runner.run()
        except CorruptJournal as error:
            logger.error("{}", error)
            self._record_fault(shard, str(error))
        except Exception as error:
            logger.exception("shard {} failed", shard)
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
        """Show why a shard stands still, and leave it alone for a while."""
        self.faults[shard] = fault
        self._retry_at[shard] = self._clock.monotonic() + FAULT_RETRY_DELAY

    async def _run_confirmations(self) -> None:
        """Confirm all owned shards by one read, again and again."""
        while True:
            await self._clock.sleep(CONFIRM_INTERVAL)
            self._record_stopped_owners()
            await self._confirm_owner_rows(list(self._owned.values()))

    def _record_stopped_owners(self) -> None:
        """Note for each shard whose previous owner turned out to have stopped."""
        now = self._clock.monotonic()
        for owned in self._owned.values():
            if self._owner_liveness.has_stopped(owned.previous_owner):
                owned.ownership.authority.record_previous_stopped(now)

    async def _confirm_owner_rows(self, confirmed: list[OwnedShard]) -> None:
        """Read the owner rows of shards and stop those that were lost."""
        if not confirmed:
            return
        began = self._clock.monotonic()
        names = [owned.ownership.shard for owned in confirmed]
        versions = await read_owner_versions(self._table, names)
        if versions.is_error():
            return
        for owned in confirmed:
            ownership = owned.ownership
            if versions.ok[ownership.shard] == ownership.condition.version:
                ownership.authority.confirm(began)
                continue
            if ownership.shard in self._handing_over:
                continue
            logger.warning("shard {} has another owner", ownership.shard)
            ownership.authority.supersede()
            start_task(owned.runner.stop())

    async def hand_over(self, shards: list[str]) -> None:
        """Stop acting for shards and release each to its next owner.

        Those that have stopped by the same moment are released in one transaction.
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
            # One that still serves requests must not keep the others from moving.
            start_task(owned.runner.stop())
        began = self._clock.monotonic()
        while moving:
            stopped = [owned for owned in moving if owned.task and owned.task.done()]
            moving = [owned for owned in moving if owned not in stopped]
            await self._release_stopped(stopped)
            if self._clock.monotonic() - began > STALL_TIMEOUT:
                self._abandon_stalled(moving)
            if moving:
                await self._clock.sleep(STOP_CHECK_INTERVAL)

    def _abandon_stalled(self, moving: list[OwnedShard]) -> None:
        """Cancel runners whose commit the table does not answer.

        The commit may still land, so nothing is said of it: the shard is not released
        and the next owner takes it once this instance is silent.
        """
        for owned in list(moving):
            if not owned.journal.stalled or owned.task is None:
                continue
            logger.warning("shard {} stalls and is left", owned.ownership.shard)
            owned.ownership.authority.supersede()
            owned.task.cancel()
            moving.remove(owned)
            self._handing_over.discard(owned.ownership.shard)
            self._unconfirmed.add(owned.ownership.shard)

    async def _release_stopped(self, stopped: list[OwnedShard]) -> None:
        """Release shards, together or else one by one, and tell the other instances."""
        if not stopped:
            return
        ownerships = [owned.ownership for owned in stopped]
        outcome = await release_shards(self._table, self._claimant, ownerships)
        if outcome.is_error() and not isinstance(outcome.error, TableUnavailable):
            # One of them has another owner already; the rest is still released.
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
