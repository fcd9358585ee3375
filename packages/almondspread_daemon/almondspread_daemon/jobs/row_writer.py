"""Stores submissions and cancellations of callers, in batches."""

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
from almondspread.jobs.store_limits import DEFAULT_LIMITS, StoreLimits
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.rows import SUBMISSIONS_TABLE, list_write_partitions
from almondspread_daemon.jobs.store_access import (
    OUTAGE_THRESHOLD,
    RETRY_DELAY,
    StoreAccess,
)

# A slow store may seem unavailable for a moment, so rows that wait in the queue are not
# failed at once.
UNSENT_TIMEOUT = timedelta(milliseconds=1_200)
STORE_UNAVAILABLE = StoreUnavailable("it has served nothing for a while", not_done=True)


@define(eq=False)
class _PendingRow:
    """A row to write; once ``sent``, the store may store it at any time."""

    key: str
    value: bytes
    outcome_future: asyncio.Future[Result[int, StoreUnavailable]]
    sent: bool = False


class RowWriter:
    """Writes rows of this instance, each once and in the order of the requests.

    While one transaction is in progress, further rows are queued for the next. If the
    store refuses the current partition of this instance, the writer changes to the next
    of its partitions. If the store is unavailable to this instance, the writer asks the
    leader to write, through ``relay``.
    """

    def __init__(
        self,
        store: StoreAccess,
        clock: Clock,
        instance: str,
        relay: RowRelay | None = None,
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._partitions = list_write_partitions(instance)
        self._relay = relay
        self._limits = limits
        self._pending: list[_PendingRow] = []
        self._rows_pending = asyncio.Event()

    @property
    def max_value_bytes(self) -> int:
        """The size of the largest value that the store takes."""
        return self._limits.row_bytes

    async def write(
        self, key: str, value: bytes, timeout: timedelta
    ) -> Result[int, StoreUnavailable]:
        """Write a row unless its key exists; return its version, 0 if it existed.

        A failure has ``not_done`` set only if the row was never sent, or if every
        attempt was definitely refused. Otherwise the row may be stored.
        """
        future: asyncio.Future[Result[int, StoreUnavailable]]
        future = asyncio.get_running_loop().create_future()
        row = _PendingRow(key, value, future)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._write_or_relay(row)
        except TimeoutError:
            return Error(StoreUnavailable("no answer in time", not_done=not row.sent))

    async def _write_or_relay(self, row: _PendingRow) -> Result[int, StoreUnavailable]:
        """Write a row to the store, or through the leader if that fails."""
        outcome: Result[int, StoreUnavailable] = Error(STORE_UNAVAILABLE)
        if not self._store.is_unavailable:
            self._pending.append(row)
            self._rows_pending.set()
            outcome = await row.outcome_future
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
        """Write queued rows in batches until cancelled."""
        while True:
            await self._rows_pending.wait()
            batch = self._take_batch()
            if not batch:
                self._rows_pending.clear()
                continue
            await self._write_batch(batch)

    def _take_batch(self) -> list[_PendingRow]:
        """Remove from the queue the rows for one transaction, and return them.

        Rows whose callers no longer wait are dropped.
        """
        limits = self._limits
        batch: list[_PendingRow] = []
        keys: set[str] = set()
        size = 0
        remaining: list[_PendingRow] = []
        for row in self._pending:
            if row.outcome_future.done():
                continue
            is_full = (
                len(batch) == limits.conditional_rows
                or size + len(row.value) > limits.values_bytes
            )
            if is_full or row.key in keys:
                remaining.append(row)
                continue
            batch.append(row)
            keys.add(row.key)
            size += len(row.value)
        self._pending = remaining
        return batch

    async def _write_batch(self, batch: list[_PendingRow]) -> None:
        """Write a batch of rows into the first partition that accepts them."""
        refusal_count = 0
        may_be_written = False
        while batch:
            partition = self._partitions[0]
            for row in batch:
                row.sent = True
            outcome = await self._store.transact(_make_transaction(partition, batch))
            if outcome.is_ok():
                _set_outcomes(batch, Ok(outcome.ok.version))
                return
            if isinstance(outcome.error, ConditionsFailed):
                batch = _settle_existing_rows(batch, outcome.error)
                continue
            failure = outcome.error
            if may_be_written or not failure.not_done:
                # The rows may be stored in this partition. Only a retry there can tell,
                # and a write to another partition could store them twice.
                may_be_written = True
                batch = self._fail_unwritable_rows(batch, failure)
                await self._clock.sleep(RETRY_DELAY)
                continue
            if failure.permanent:
                await self._write_parts(batch, failure)
                return
            refusal_count += 1
            if not failure.refused or refusal_count >= len(self._partitions):
                # An unreachable store would not accept another partition either.
                _set_outcomes(batch, Error(failure))
                return
            self._partitions = [*self._partitions[1:], partition]
            logger.warning(
                "store refused the partition, writing to the next one",
                part=partition,
                reason=failure.reason,
            )

    async def _write_parts(
        self, batch: list[_PendingRow], failure: StoreUnavailable
    ) -> None:
        """Write the halves of a batch that the store will never take as a whole.

        A single row fails with the reason of the refusal.
        """
        if len(batch) == 1:
            logger.error(
                "the store refuses a row",
                key=batch[0].key,
                bytes=len(batch[0].value),
                reason=failure.reason,
            )
            _set_outcomes(batch, Error(failure))
            return
        middle = len(batch) // 2
        await self._write_batch(batch[:middle])
        await self._write_batch(batch[middle:])

    def _fail_unwritable_rows(
        self, batch: list[_PendingRow], failure: StoreUnavailable
    ) -> list[_PendingRow]:
        """Fail rows that the store cannot write soon; return those still waiting.

        If the store is unavailable and the leader can write, the rows of the batch fail
        here, so that they go through the leader. Rows in the queue were not sent, and
        fail once the store has been unavailable for too long.
        """
        can_relay = self._relay is not None and self._relay.is_open
        if self._store.is_unavailable and can_relay:
            _set_outcomes(
                batch, Error(StoreUnavailable(failure.reason, not_done=False))
            )
        if self._store.outage_duration > (
            OUTAGE_THRESHOLD if can_relay else UNSENT_TIMEOUT
        ):
            _set_outcomes(self._pending, Error(STORE_UNAVAILABLE))
        return [row for row in batch if not row.outcome_future.done()]


def _make_transaction(partition: str, batch: list[_PendingRow]) -> Transaction:
    """Return the transaction that writes rows on the condition that none exists."""
    conditions = []
    puts = []
    for row in batch:
        name = RowName(SUBMISSIONS_TABLE, partition, row.key)
        conditions.append(RowCondition(name, 0))
        puts.append(RowPut(name, row.value))
    return Transaction(tuple(conditions), tuple(puts))


def _set_outcomes(
    batch: list[_PendingRow], outcome: Result[int, StoreUnavailable]
) -> None:
    """Set the outcome of the rows whose callers still wait."""
    for row in batch:
        if not row.outcome_future.done():
            row.outcome_future.set_result(outcome)


def _settle_existing_rows(
    batch: list[_PendingRow], failed: ConditionsFailed
) -> list[_PendingRow]:
    """Report the rows that exist already as written; return the others."""
    existing = {row.name.key for row in failed.rows if row.value is not None}
    others = [row for row in batch if row.key not in existing]
    _set_outcomes([row for row in batch if row.key in existing], Ok(0))
    return others
