"""The state of a scheduling shard from what its journal holds."""

from almondspread.journal import CorruptJournal, Recovery, make_row_key
from almondspread.scheduling.events import EVENT_CODEC
from almondspread.scheduling.shard_state import ShardState


def rebuild_state(shard: str, recovery: Recovery) -> ShardState:
    """Return the state that a snapshot and the rows after it add up to.

    Raises ``CorruptJournal`` naming the place that does not decode, or that cannot
    follow what comes before it.
    """
    state = ShardState()
    place = recovery.snapshot_name
    try:
        if recovery.snapshot is not None:
            state = ShardState.decode(recovery.snapshot)
        for offset, row in enumerate(recovery.rows, start=1):
            place = make_row_key(shard, recovery.snapshot_sequence + offset)
            for event in row.events:
                state.apply(EVENT_CODEC.decode(event))
    except Exception as error:
        # Whatever the bytes make the decoder do, it stops this shard and no other.
        raise CorruptJournal(shard, place, repr(error)) from error
    return state
