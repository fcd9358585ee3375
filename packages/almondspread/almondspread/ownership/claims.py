"""Claiming and releasing shards: one owner row each, changed by compare-and-set."""

from datetime import timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    TableService,
    TableUnavailable,
    Write,
)
from almondspread.ownership.authority import Authority

MAX_CLAIM_ATTEMPTS = 3
RETRY_DELAY = timedelta(milliseconds=100)
NO_INSTANCE = ""


@define(frozen=True)
class Claimant:
    """The process that claims: its instance's name, its start and its address."""

    instance: str
    incarnation: str
    address: str


@define(frozen=True)
class OwnerRecord:
    """Who owns a shard. ``epoch`` grows by one with each claim.

    ``claim`` names the claim, so that one whose answer was lost can be told from any
    other by the same process. ``instance`` is empty once the shard is released.
    """

    instance: str
    incarnation: str
    epoch: int
    address: str = ""
    claim: str = ""

    @property
    def is_released(self) -> bool:
        """Whether the owner has given the shard up."""
        return self.instance == NO_INSTANCE


@define(frozen=True)
class OwnerRow:
    """A shard's owner record as it was read; no record and version 0 at first."""

    record: OwnerRecord | None = None
    version: int = 0


@define(frozen=True)
class Ownership:
    """A shard that this instance owns, and the condition that fences its writes."""

    shard: str
    epoch: int
    condition: Condition
    authority: Authority
    claim: str = ""

    @classmethod
    def from_row(
        cls, shard: str, record: OwnerRecord, version: int, now: timedelta
    ) -> "Ownership":
        """Return what a row left by an earlier claim gives: enough to release it."""
        condition = Condition(make_owner_key(shard), version)
        return cls(
            shard, record.epoch, condition, Authority(timedelta(0), now), record.claim
        )


def make_owner_key(shard: str) -> str:
    """Return the key of the row that names a shard's owner."""
    return f"owner/{shard}"


async def read_owner_versions(
    table: TableService, shards: list[str]
) -> Result[dict[str, int], TableUnavailable]:
    """Return the versions of shards' owner rows, all as of one moment."""
    rows = await table.read([make_owner_key(shard) for shard in shards])
    if rows.is_error():
        return Error(rows.error)
    versions = {row.key: row.version for row in rows.ok}
    return Ok({shard: versions.get(make_owner_key(shard), 0) for shard in shards})


async def read_owner(
    table: TableService, shard: str
) -> Result[OwnerRow, TableUnavailable]:
    """Return a shard's owner row; raises ``ValueError`` where it does not decode."""
    rows = await table.read([make_owner_key(shard)])
    if rows.is_error():
        return Error(rows.error)
    if not rows.ok:
        return Ok(OwnerRow())
    row = rows.ok[0]
    return Ok(OwnerRow(decode_message(row.value, OwnerRecord), row.version))


async def claim_shard(
    table: TableService,
    clock: Clock,
    shard: str,
    claimant: Claimant,
    expected: OwnerRecord | None,
    claim: str,
    horizon: timedelta,
) -> Result[Ownership, ConditionFailed | TableUnavailable]:
    """Take a shard from the owner ``expected``; fails where another was faster.

    A claim whose answer is lost is settled by reading the owner row: only this call
    can have written ``claim`` there. After ``TableUnavailable`` it may still land.
    """
    key = make_owner_key(shard)
    fault: ConditionFailed | TableUnavailable = TableUnavailable("not tried")
    for _ in range(MAX_CLAIM_ATTEMPTS):
        began = clock.monotonic()
        read = await read_owner(table, shard)
        if read.is_error():
            fault = read.error
            await clock.sleep(RETRY_DELAY)
            continue
        record, version = read.ok.record, read.ok.version
        if record is not None and record.claim == claim:
            condition = Condition(key, version)
            authority = Authority(horizon, began)
            return Ok(Ownership(shard, record.epoch, condition, authority, claim))
        if record != expected:
            return Error(ConditionFailed(key, version))
        epoch = record.epoch + 1 if record else 1
        wanted = OwnerRecord(
            claimant.instance, claimant.incarnation, epoch, claimant.address, claim
        )
        outcome = await table.transact(
            [Condition(key, version)], [Write(key, encode_message(wanted))]
        )
        if outcome.is_ok():
            condition = Condition(key, outcome.ok)
            authority = Authority(horizon, began)
            return Ok(Ownership(shard, epoch, condition, authority, claim))
        fault = outcome.error
        await clock.sleep(RETRY_DELAY)
    return Error(fault)


async def release_shards(
    table: TableService, claimant: Claimant, ownerships: list[Ownership]
) -> Result[int, ConditionFailed | TableUnavailable]:
    """Release shards in one transaction, all of them or none."""
    conditions = []
    writes = []
    for ownership in ownerships:
        released = OwnerRecord(
            NO_INSTANCE,
            claimant.incarnation,
            ownership.epoch,
            claimant.address,
            ownership.claim,
        )
        key = make_owner_key(ownership.shard)
        conditions.append(ownership.condition)
        writes.append(Write(key, encode_message(released)))
    return await table.transact(conditions, writes)
