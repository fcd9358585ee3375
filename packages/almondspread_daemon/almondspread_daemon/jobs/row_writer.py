"""Stores what callers submit and cancel, many in one transaction."""

import asyncio
from datetime import timedelta

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
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.rows import SUBMISSIONS_TABLE, list_write_parts
from almondspread_daemon.jobs.store_access import (
    OUTAGE_THRESHOLD,
    RETRY_DELAY,
    StoreAccess,
)

MAX_ROWS_PER_WRITE = 60
MAX_BYTES_PER_WRITE = 400_000
# A slow store seems lost for a moment; a row that waits behind others has time.
UNSENT_PATIENCE = timedelta(milliseconds=1_200)
STORE_LOST = StoreUnavailable("it has served nothing for a while", not_done=True)


@define(eq=False)
class _Pending:
    """A row to be written; once ``sent`` it may be stored at any time."""

    key: str
    value: bytes
    written: asyncio.Future[Result[int, StoreUnavailable]]
    sent: bool = False


class RowWriter:
    """Writes rows of this instance, each once, in the order in which they came.

    While one transaction is under way, further rows gather for the next. Where the
    store refuses the part of this instance, the next of its parts is taken. Where it
    serves this instance nothing, the leader is asked to write, through ``relay``.
    """

    def __init__(
        self,
        store: StoreAccess,
        clock: Clock,
        instance: str,
        relay: RowRelay | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._parts = list_write_parts(instance)
        self._relay = relay
        self._pending: list[_Pending] = []
        self._wanted = asyncio.Event()

    async def write(
        self, key: str, value: bytes, timeout: timedelta
    ) -> Result[int, StoreUnavailable]:
        """Write a row unless it is there; return its version, 0 if it was there.

        A failure is not done only where the row was sent nowhere, or surely refused.
        """
        future: asyncio.Future[Result[int, StoreUnavailable]]
        future = asyncio.get_running_loop().create_future()
        row = _Pending(key, value, future)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._write(row)
        except TimeoutError:
            return Error(StoreUnavailable("no answer in time", not_done=not row.sent))

    async def _write(self, row: _Pending) -> Result[int, StoreUnavailable]:
        """Write a row here, or else through the leader."""
        outcome: Result[int, StoreUnavailable] = Error(STORE_LOST)
        if not self._store.is_unavailable:
            self._pending.append(row)
            self._wanted.set()
            outcome = await row.written
        relay = self._relay
        if outcome.is_ok() or relay is None or not relay.is_open:
            return outcome
        was_not_done = outcome.error.not_done
        row.sent = True
        relayed = await relay.write(row.key, row.value)
        if relayed.is_ok():
            return relayed
        not_done = was_not_done and relayed.error.not_done
        return Error(StoreUnavailable(relayed.error.reason, not_done))

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
        may_be_written = False
        while batch:
            part = self._parts[0]
            for row in batch:
                row.sent = True
            outcome = await self._store.transact(_make_transaction(part, batch))
            if outcome.is_ok():
                _settle(batch, Ok(outcome.ok.version))
                return
            if isinstance(outcome.error, ConditionsFailed):
                batch = _settle_existing(batch, outcome.error)
                continue
            failure = outcome.error
            if may_be_written or not failure.not_done:
                # Only the same part can tell whether the rows are there by now.
                may_be_written = True
                batch = self._keep_waiting(batch, failure)
                await self._clock.sleep(RETRY_DELAY)
                continue
            refusals += 1
            if not failure.refused or refusals >= len(self._parts):
                # A store that cannot be reached takes no other part either.
                _settle(batch, Error(failure))
                return
            self._parts = [*self._parts[1:], part]
            logger.warning("part left", part=part, reason=failure.reason)

    def _keep_waiting(
        self, batch: list[_Pending], failure: StoreUnavailable
    ) -> list[_Pending]:
        """Return the rows whose callers still wait for the store.

        Once it is lost, all rows are left to the leader if it can write. Otherwise
        those that were not sent are given back when it has been away for too long.
        """
        can_relay = self._relay is not None and self._relay.is_open
        if self._store.is_unavailable and can_relay:
            _settle(batch, Error(StoreUnavailable(failure.reason, not_done=False)))
        if self._store.outage_duration > (
            OUTAGE_THRESHOLD if can_relay else UNSENT_PATIENCE
        ):
            _settle(self._pending, Error(STORE_LOST))
        return [row for row in batch if not row.written.done()]


def _make_transaction(part: str, batch: list[_Pending]) -> Transaction:
    """Return the transaction that writes rows which are not there yet."""
    conditions = []
    puts = []
    for row in batch:
        name = RowName(SUBMISSIONS_TABLE, part, row.key)
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
