"""The leader's row in the store: who leads, and claims to lead."""

from loguru import logger

from almondspread.codec import encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowCondition, RowPut, Transaction
from almondspread_daemon.jobs.rows import (
    CELL_PART,
    CELL_TABLE,
    LEADER_ROW,
    decode_leader,
)
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock

# No key of the product's has a byte below the blank.
AFTER_LEADER = LEADER_ROW.key + "\x01"


class LeaderRowAccess:
    """Reads and claims; each answer also tells the store's time."""

    def __init__(self, store: StoreAccess, store_clock: StoreClock) -> None:
        self._store = store
        self._store_clock = store_clock

    async def read(self) -> tuple[LeaderRow | None, int]:
        """Return the leader's row and version, the version -1 without an answer."""
        page = await self._store.read(
            CELL_TABLE, CELL_PART, LEADER_ROW.key, AFTER_LEADER
        )
        if page.is_error():
            logger.warning("leader not read", reason=page.error.reason)
            return None, -1
        self._store_clock.observe(page.ok.store_time)
        return decode_leader(page.ok.rows)

    async def read_renewal(self) -> int:
        """Return the latest renewal of the leader's row, -1 without an answer."""
        row = (await self.read())[0]
        return row.renewal if row is not None else -1

    async def claim(self, claim: LeaderRow, version: int) -> int | None:
        """Store a claim if the row is at ``version``; return the new version.

        ``None`` tells that it is not known to be stored.
        """
        put = RowPut(LEADER_ROW, encode_message(claim))
        outcome = await self._store.transact(
            Transaction((RowCondition(LEADER_ROW, version),), (put,))
        )
        if outcome.is_error():
            logger.info("claim refused", epoch=claim.epoch)
            return None
        self._store_clock.observe(outcome.ok.store_time)
        return outcome.ok.version
