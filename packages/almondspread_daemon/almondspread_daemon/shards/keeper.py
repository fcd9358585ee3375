"""Taking, keeping and handing over the shards of this failure domain."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.interfaces import Condition, ObjectStore, TableService, Write
from almondspread.journal import Journal, Undecodable
from almondspread.ownership import (
    Members,
    OwnerRecord,
    Ownership,
    claim_shard,
    make_owner_key,
    rank_owners,
    read_owner,
)

KEEP_INTERVAL = timedelta(milliseconds=200)
RELEASED = ""


class ShardRunner(Protocol):
    """What acts for one shard while this instance owns it."""

    async def run(self) -> None:
        """Recover the shard and act for it until stopped or superseded."""

    async def stop(self) -> None:
        """End what is under way, so that nothing is left uncommitted."""


MakeRunner = Callable[[Ownership, Journal, bool], ShardRunner]


class ShardKeeper:
    """Owns those shards for which this instance ranks first among the live ones."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        incarnation: str,
        shards: dict[str, MakeRunner],
        members: Members,
        table: TableService,
        store: ObjectStore,
        clock: Clock,
        make_batch: Callable[[], str],
        instance_lease: timedelta,
        on_change: Callable[[], None],
    ) -> None:
        self.runners: dict[str, ShardRunner] = {}
        self.ownerships: dict[str, Ownership] = {}
        self.faults: dict[str, str] = {}
        self.leaving = False
        self._name = name
        self._failure_domain = failure_domain
        self._incarnation = incarnation
        self._shards = shards
        self._members = members
        self._table = table
        self._store = store
        self._clock = clock
        self._make_batch = make_batch
        self._instance_lease = instance_lease
        self._on_change = on_change
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._started = clock.monotonic()

    def list_epochs(self) -> dict[str, int]:
        """Return the epoch of each shard that this instance owns."""
        return {shard: owned.epoch for shard, owned in self.ownerships.items()}

    async def run(self) -> None:
        """Take and hand over shards until cancelled."""
        try:
            while True:
                for shard in self._shards:
                    await self._keep(shard)
                await self._clock.sleep(KEEP_INTERVAL)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _keep(self, shard: str) -> None:
        """Take a shard that is due to this instance, or hand over one that is not."""
        preferred = self._find_preferred(shard)
        if shard in self.ownerships:
            if preferred is not None and preferred != self._name:
                await self.hand_over(shard)
            return
        if preferred == self._name and not self.leaving:
            await self._take(shard)

    def _find_preferred(self, shard: str) -> str | None:
        """Return the live instance of the domain that ranks first for a shard."""
        candidates = [] if self.leaving else [self._name]
        for member in self._members.list_live(self._clock.monotonic()):
            if member.failure_domain != self._failure_domain:
                continue
            if member.leaving or not member.ready:
                continue
            candidates.append(member.name)
        ranked = rank_owners(shard, candidates)
        return ranked[0] if ranked else None

    async def _take(self, shard: str) -> None:
        """Claim a shard whose owner has released it or is gone."""
        read = await read_owner(self._table, shard)
        if read.is_error():
            return
        record, _ = read.ok
        if not self._may_claim(record):
            return
        claimed = await claim_shard(
            self._table, self._clock, shard, self._name, self._incarnation, record
        )
        if claimed.is_error():
            return
        ownership = claimed.ok
        stopped = self._has_stopped(record)
        logger.info("took shard {} at epoch {}", shard, ownership.epoch)
        journal = Journal(
            shard,
            ownership.epoch,
            ownership.condition,
            self._table,
            self._store,
            self._clock,
            self._make_batch,
        )
        runner = self._shards[shard](ownership, journal, stopped)
        self.ownerships[shard] = ownership
        self.runners[shard] = runner
        self._tasks[shard] = asyncio.create_task(self._run_shard(shard, runner))
        self._on_change()

    def _may_claim(self, record: OwnerRecord | None) -> bool:
        """Tell whether the recorded owner has released the shard or is gone."""
        if record is None or record.instance == RELEASED:
            return True
        if record.instance == self._name:
            return True
        now = self._clock.monotonic()
        member = self._members.find(record.instance)
        if member is None:
            # An instance that just started has not heard of the others yet.
            return now - self._started > self._instance_lease
        if member.incarnation != record.incarnation or member.listed_gone:
            return True
        return now - member.heard > self._instance_lease

    def _has_stopped(self, record: OwnerRecord | None) -> bool:
        """Tell whether the previous owner surely renews no leases any more."""
        if record is None or record.instance in (RELEASED, self._name):
            return True
        member = self._members.find(record.instance)
        if member is None:
            return False
        return member.incarnation != record.incarnation or member.listed_gone

    async def _run_shard(self, shard: str, runner: ShardRunner) -> None:
        """Run a shard until it ends, and forget it then."""
        try:
            await runner.run()
        except Undecodable as error:
            logger.error("{}", error)
            self.faults[shard] = str(error)
        except Exception as error:
            logger.exception("shard {} failed", shard)
            self.faults[shard] = repr(error)
        finally:
            self.ownerships.pop(shard, None)
            self.runners.pop(shard, None)
            self._tasks.pop(shard, None)
            self._on_change()

    async def hand_over(self, shard: str) -> None:
        """Stop acting for a shard and release it to the next owner."""
        ownership = self.ownerships.get(shard)
        runner = self.runners.get(shard)
        if ownership is None or runner is None:
            return
        logger.info("handing over shard {} at epoch {}", shard, ownership.epoch)
        await runner.stop()
        task = self._tasks.get(shard)
        if task is not None:
            await asyncio.wait([task])
        released = OwnerRecord(RELEASED, self._incarnation, ownership.epoch)
        await self._table.transact(
            [ownership.condition],
            [Write(make_owner_key(shard), encode_message(released))],
        )
        self._on_change()

    async def hand_over_all(self) -> None:
        """Hand over every shard, for a planned stop."""
        self.leaving = True
        for shard in list(self.ownerships):
            await self.hand_over(shard)


def make_fence(ownership: Ownership) -> Condition:
    """Return the condition under which the owner's writes take effect."""
    return ownership.condition
