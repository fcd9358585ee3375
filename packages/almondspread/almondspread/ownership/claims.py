"""Claiming a shard: one owner row for each, changed by compare-and-set."""

from datetime import timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    Row,
    TableService,
    TableUnavailable,
    Write,
)

CLAIM_TRIES = 3
RETRY_PAUSE = timedelta(milliseconds=100)


@define(frozen=True)
class OwnerRecord:
    """Who owns a shard. ``epoch`` grows by one with each change of owner."""

    instance: str
    incarnation: str
    epoch: int


@define(frozen=True)
class Ownership:
    """A shard that this instance owns, and the condition that fences its writes."""

    shard: str
    epoch: int
    condition: Condition


def make_owner_key(shard: str) -> str:
    """Return the key of the row that names a shard's owner."""
    return f"owner/{shard}"


async def read_owner(
    table: TableService, shard: str
) -> Result[tuple[OwnerRecord | None, int], TableUnavailable]:
    """Return a shard's owner record and the version of its row."""
    rows = await table.read([make_owner_key(shard)])
    if rows.is_error():
        return Error(rows.error)
    if not rows.ok:
        return Ok((None, 0))
    return Ok(_decode_owner(rows.ok[0]))


def _decode_owner(row: Row) -> tuple[OwnerRecord | None, int]:
    """Return the record and version that a row holds."""
    return decode_message(row.value, OwnerRecord), row.version


async def claim_shard(
    table: TableService,
    clock: Clock,
    shard: str,
    instance: str,
    incarnation: str,
    expected: OwnerRecord | None,
) -> Result[Ownership, ConditionFailed | TableUnavailable]:
    """Take a shard from the owner ``expected``; fails where another was faster.

    A claim whose answer is lost is settled by reading the owner row: only this
    process can have written its incarnation there.
    """
    key = make_owner_key(shard)
    fault: ConditionFailed | TableUnavailable = TableUnavailable("not tried")
    for _ in range(CLAIM_TRIES):
        read = await read_owner(table, shard)
        if read.is_error():
            fault = read.error
            await clock.sleep(RETRY_PAUSE)
            continue
        record, version = read.ok
        if record is not None and record.incarnation == incarnation:
            return Ok(Ownership(shard, record.epoch, Condition(key, version)))
        if record != expected:
            return Error(ConditionFailed(key, version))
        epoch = record.epoch + 1 if record else 1
        claim = OwnerRecord(instance, incarnation, epoch)
        outcome = await table.transact(
            [Condition(key, version)], [Write(key, encode_message(claim))]
        )
        if outcome.is_ok():
            return Ok(Ownership(shard, epoch, Condition(key, outcome.ok)))
        fault = outcome.error
        await clock.sleep(RETRY_PAUSE)
    return Error(fault)
