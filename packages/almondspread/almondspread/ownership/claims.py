"""Claim and release of shards by compare-and-set on one owner row per shard."""

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
    """The process that claims a shard: its instance name, incarnation and address."""

    instance: str
    incarnation: str
    address: str


@define(frozen=True)
class OwnerRecord:
    """The content of a shard's owner row.

    ``epoch`` increases by one with each claim. ``claim`` is a unique ID of the claim:
    a process whose claim got no answer uses it to tell this claim from its other ones.
    ``instance`` is empty once the shard is released.
    """

    instance: str
    incarnation: str
    epoch: int
    address: str = ""
    claim: str = ""

    @property
    def is_released(self) -> bool:
        """Whether the owner has released the shard."""
        return self.instance == NO_INSTANCE


@define(frozen=True)
class OwnerRow:
    """A shard's owner row as read; no record and version 0 if it does not exist."""

    record: OwnerRecord | None = None
    version: int = 0


@define(frozen=True)
class Ownership:
    """A shard that this instance owns, and the condition that fences its writes.

    ``condition`` requires that the owner row has the version that the claim wrote.
    """

    shard: str
    epoch: int
    condition: Condition
    authority: Authority
    claim: str = ""

    @classmethod
    def from_row(
        cls, shard: str, record: OwnerRecord, version: int, now: timedelta
    ) -> "Ownership":
        """Return the ownership that a late claim left, for its release only.

        Its authority has no horizon, so the caller must not act for the shard.
        """
        condition = Condition(make_owner_key(shard), version)
        return cls(
            shard, record.epoch, condition, Authority(timedelta(0), now), record.claim
        )


def make_owner_key(shard: str) -> str:
    """Return the key of a shard's owner row."""
    return f"owner/{shard}"


async def read_owner_versions(
    table: TableService, shards: list[str]
) -> Result[dict[str, int], TableUnavailable]:
    """Return the versions of the owner rows of shards from one consistent read.

    The version is 0 for a shard without an owner row.
    """
    rows = await table.read([make_owner_key(shard) for shard in shards])
    if rows.is_error():
        return Error(rows.error)
    versions = {row.key: row.version for row in rows.ok}
    return Ok({shard: versions.get(make_owner_key(shard), 0) for shard in shards})


async def read_owner(
    table: TableService, shard: str
) -> Result[OwnerRow, TableUnavailable]:
    """Return a shard's owner row.

    Raises ``ValueError`` if the row cannot be decoded.
    """
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
    """Claim a shard whose owner record is ``expected``.

    ``claim`` must be unique to this call. A claim without an answer is resolved by a
    read of the owner row: only this call can have written ``claim`` to it. The result
    is ``ConditionFailed`` if the row has another record, usually because another
    process claimed the shard first. After ``TableUnavailable``, the claim may still
    take effect.
    """
    key = make_owner_key(shard)
    error: ConditionFailed | TableUnavailable = TableUnavailable("not attempted")
    for _ in range(MAX_CLAIM_ATTEMPTS):
        started = clock.monotonic()
        read = await read_owner(table, shard)
        if read.is_error():
            error = read.error
            await clock.sleep(RETRY_DELAY)
            continue
        record, version = read.ok.record, read.ok.version
        if record is not None and record.claim == claim:
            condition = Condition(key, version)
            authority = Authority(horizon, started)
            return Ok(Ownership(shard, record.epoch, condition, authority, claim))
        if record != expected:
            return Error(ConditionFailed(key, version))
        epoch = record.epoch + 1 if record else 1
        new_record = OwnerRecord(
            claimant.instance, claimant.incarnation, epoch, claimant.address, claim
        )
        outcome = await table.transact(
            [Condition(key, version)], [Write(key, encode_message(new_record))]
        )
        if outcome.is_ok():
            condition = Condition(key, outcome.ok)
            authority = Authority(horizon, started)
            return Ok(Ownership(shard, epoch, condition, authority, claim))
        error = outcome.error
        await clock.sleep(RETRY_DELAY)
    return Error(error)


async def release_shards(
    table: TableService, claimant: Claimant, ownerships: list[Ownership]
) -> Result[int, ConditionFailed | TableUnavailable]:
    """Release shards in one transaction, either all or none."""
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
