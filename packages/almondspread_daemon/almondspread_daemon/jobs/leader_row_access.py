"""Access to the leader's row in the store, which names the leader of the cell."""

from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowCondition, RowPut, Transaction
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.rows import (
    CELL_PARTITION,
    CELL_TABLE,
    LEADER_ROW,
    decode_leader,
)
from almondspread_daemon.jobs.store_access import StoreAccess

# End of a read of the leader's row only: keys hold no character below the space.
LEADER_KEY_END = LEADER_ROW.key + "\x01"


class LeaderRowAccess:
    """Reads the leader's row and writes claims to it.

    The store's time in each answer also sets the store clock.
    """

    def __init__(
        self, store: StoreAccess, store_clock: RemoteClock, clock: Clock
    ) -> None:
        self._store = store
        self._store_clock = store_clock
        self._clock = clock

    async def read(self) -> tuple[LeaderRow | None, int]:
        """Return the leader's row, ``None`` if there is none, and its version.

        The version is -1 if the store did not answer.
        """
        asked_at = self._clock.monotonic()
        page = await self._store.read(
            CELL_TABLE, CELL_PARTITION, LEADER_ROW.key, LEADER_KEY_END
        )
        if page.is_error():
            logger.warning("leader row not read", reason=page.error.reason)
            return None, -1
        self._store_clock.observe(page.ok.store_time, asked_at)
        return decode_leader(page.ok.rows)

    async def read_renewal(self) -> int:
        """Return the number of the last lease renewal, -1 if the row is not known."""
        row = (await self.read())[0]
        return row.renewal if row is not None else -1

    async def claim(self, claim: LeaderRow, version: int) -> int | None:
        """Store a claim on the condition that the row is at ``version``.

        Return the new version of the row, or ``None`` if the claim failed or its
        outcome is unknown.
        """
        put = RowPut(LEADER_ROW, encode_message(claim))
        asked_at = self._clock.monotonic()
        outcome = await self._store.transact(
            Transaction((RowCondition(LEADER_ROW, version),), (put,))
        )
        if outcome.is_error():
            logger.info("leadership claim not stored", epoch=claim.epoch)
            return None
        self._store_clock.observe(outcome.ok.store_time, asked_at)
        return outcome.ok.version
