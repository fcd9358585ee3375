"""The note that a stopping owner leaves once none of its requests is in flight.

It serves a successor that starts when its predecessor is gone, as in a failure domain
whose only entry is replaced; without it such a successor would wait as after a crash.
"""

from attrs import define

from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import TableService, Write


@define(frozen=True)
class IdleSlots:
    """No slot of a shard is in use because of its owner under ``epoch``."""

    epoch: int


def make_idle_key(shard: str) -> str:
    """Return the key of the row that says that a shard's slots are idle."""
    return f"idle/{shard}"


async def store_idle_records(table: TableService, epochs: dict[str, int]) -> None:
    """Leave the note for shards with the epochs of their last owner, if it can be."""
    writes = []
    for shard, epoch in epochs.items():
        writes.append(Write(make_idle_key(shard), encode_message(IdleSlots(epoch))))
    if writes:
        await table.transact([], writes)


async def has_idle_record(table: TableService, shard: str, epoch: int) -> bool:
    """Tell whether the owner under an epoch has left the note for a shard."""
    rows = await table.read([make_idle_key(shard)])
    if rows.is_error() or not rows.ok:
        return False
    return decode_message(rows.ok[0].value, IdleSlots).epoch == epoch
