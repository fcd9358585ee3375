"""Records that a stopped owner of a shard of minions left no request in flight.

An instance that stops stores a record for each of its shards. A successor that starts
after its predecessor has ended can't ask it for the slots in use, for example where
the only entry of a failure domain is replaced. Without the record the successor would
have to wait as after a crash.
"""

from attrs import define

from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import TableService, Write


@define(frozen=True)
class IdleSlots:
    """Says that the owner under ``epoch`` has no slot of a shard in use any more."""

    epoch: int


def make_idle_key(shard: str) -> str:
    """Return the key of the row that holds the idle record of a shard."""
    return f"idle/{shard}"


async def store_idle_records(table: TableService, epochs: dict[str, int]) -> None:
    """Store the idle records of shards, given the epochs of their last owners.

    A failed write is ignored: the successor then waits as after a crash.
    """
    writes = []
    for shard, epoch in epochs.items():
        writes.append(Write(make_idle_key(shard), encode_message(IdleSlots(epoch))))
    if writes:
        await table.transact([], writes)


async def has_idle_record(table: TableService, shard: str, epoch: int) -> bool:
    """Read whether the owner under an epoch has stored an idle record for a shard.

    Returns false if the table can't be read.
    """
    rows = await table.read([make_idle_key(shard)])
    if rows.is_error() or not rows.ok:
        return False
    return decode_message(rows.ok[0].value, IdleSlots).epoch == epoch
