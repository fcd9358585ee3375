"""Recovery of a scheduling shard's state from its journal."""

from almondspread.journal import CorruptJournal, Recovery, make_row_key
from almondspread.scheduling.events import EVENT_CODEC
from almondspread.scheduling.shard_state import ShardState


def rebuild_state(shard: str, recovery: Recovery) -> ShardState:
    """Return the state that results from a snapshot and the journal rows after it.

    Raises ``CorruptJournal`` with the key of the row or the name of the snapshot that
    cannot be decoded, or whose events do not apply to the state before them.
    """
    state = ShardState()
    location = recovery.snapshot_name
    try:
        if recovery.snapshot is not None:
            state = ShardState.decode(recovery.snapshot)
        for offset, row in enumerate(recovery.rows, start=1):
            location = make_row_key(shard, recovery.snapshot_sequence + offset)
            for event in row.events:
                state.apply(EVENT_CODEC.decode(event))
    except Exception as error:
        # Corrupt data can raise any exception; only this shard must stop because of it.
        raise CorruptJournal(shard, location, repr(error)) from error
    return state
