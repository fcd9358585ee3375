"""Stores what callers submit and cancel, many in one transaction."""

import asyncio

from attrs import define
from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowName,
    RowPut,
    StoreUnavailable,
    Transaction,
)
from almondspread_daemon.jobs.rows import SUBMISSIONS, list_parts
from almondspread_daemon.jobs.store_access import RETRY_PAUSE, StoreAccess

MAX_ROWS_PER_WRITE = 60
MAX_BYTES_PER_WRITE = 400_000


@define(eq=False)
class _Pending:
    """A row to be written, and who waits for it."""

    key: str
    value: bytes
    written: asyncio.Future[Result[int, StoreUnavailable]]


class RowWriter:
    """Writes rows of this instance, each once, in the order in which they came.

    While one transaction is under way, further rows gather for the next. Where the
    store refuses the part of this instance, the next of its parts is taken.
    """

    def __init__(self, store: StoreAccess, clock: Clock, instance: str) -> None:
        self._store = store
        self._clock = clock
        self._parts = list_parts(instance)
        self._pending: list[_Pending] = []
        self._wanted = asyncio.Event()

    async def write(self, key: str, value: bytes) -> Result[int, StoreUnavailable]:
        """Write a row unless it is there; return its version, 0 if it was there.

        A caller that does not wait for the end cannot know whether it is written.
        """
        future: asyncio.Future[Result[int, StoreUnavailable]]
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(key, value, future))
        self._wanted.set()
        return await future

    async def run(self) -> None:
        """Write what gathers until cancelled."""
        while True:
            await self._wanted.wait()
            batch = self._take_batch()
            if not batch:
                self._wanted.clear()
                continue
            await self._write_batch(batch)

    def _take_batch(self) -> list[_Pending]:
        """Take the rows for one transaction, without those nobody waits for."""
        batch: list[_Pending] = []
        keys: set[str] = set()
        size = 0
        rest: list[_Pending] = []
        for row in self._pending:
            if row.written.done():
                continue
            fits = len(batch) < MAX_ROWS_PER_WRITE and size < MAX_BYTES_PER_WRITE
            if not fits or row.key in keys:
                rest.append(row)
                continue
            batch.append(row)
            keys.add(row.key)
            size += len(row.value)
        self._pending = rest
        return batch

    async def _write_batch(self, batch: list[_Pending]) -> None:
        """Write some rows, into the first part that takes them."""
        refusals = 0
        while batch:
            part = self._parts[0]
            outcome = await self._store.transact(_make_transaction(part, batch))
            if outcome.is_ok():
                _settle(batch, Ok(outcome.ok.version))
                return
            if isinstance(outcome.error, ConditionsFailed):
                batch = _settle_existing(batch, outcome.error)
                continue
            failure = outcome.error
            if not failure.not_done:
                # Only the same part can tell whether the rows are there by now.
                batch = [row for row in batch if not row.written.done()]
                await self._clock.sleep(RETRY_PAUSE)
                continue
            refusals += 1
            if refusals >= len(self._parts):
                _settle(batch, Error(failure))
                return
            self._parts = [*self._parts[1:], part]
            logger.warning("part left", part=part, reason=failure.reason)


def _make_transaction(part: str, batch: list[_Pending]) -> Transaction:
    """Return the transaction that writes rows which are not there yet."""
    conditions = []
    puts = []
    for row in batch:
        name = RowName(SUBMISSIONS, part, row.key)
        conditions.append(RowCondition(name, 0))
        puts.append(RowPut(name, row.value))
    return Transaction(tuple(conditions), tuple(puts))


def _settle(batch: list[_Pending], outcome: Result[int, StoreUnavailable]) -> None:
    """Tell all that wait for some rows what came of them."""
    for row in batch:
        if not row.written.done():
            row.written.set_result(outcome)


def _settle_existing(batch: list[_Pending], failed: ConditionsFailed) -> list[_Pending]:
    """Settle the rows that are there already; return the others."""
    existing = {row.name.key for row in failed.rows if row.value is not None}
    others = [row for row in batch if row.key not in existing]
    _settle([row for row in batch if row.key in existing], Ok(0))
    return others
