"""An in-memory store with fault injection: refusals, lost answers and outages."""

import asyncio
from bisect import bisect_right
from collections.abc import Callable
from datetime import timedelta

from attrs import define, field
from expression import Error, Ok, Result

from almondspread.jobs.ports import (
    Committed,
    ConditionsFailed,
    HistoryGone,
    RowChanges,
    RowName,
    RowsPage,
    StoredRow,
    StoreUnavailable,
    Transaction,
)
from almondspread.jobs.store_limits import DEFAULT_LIMITS, StoreLimits, find_excess

REFUSED = StoreUnavailable("refused", not_done=True, refused=True)
LOST = StoreUnavailable("no answer", not_done=False)
UNREACHABLE = StoreUnavailable("no connection", not_done=True)


@define(eq=False)
class MemoryRecordStore:
    """An in-memory implementation of the ``RecordStore`` protocol.

    A page has at most ``page_rows`` rows. Calls for a partition fail if ``refuses``
    returns true for it. A transaction is applied without an answer if ``loses_answer``
    returns true. While ``hangs`` is true, transactions are neither applied nor
    answered, and while ``unreachable`` is true, calls fail without effect. Changes up
    to ``compacted_version`` can no longer be followed. Transactions beyond the
    ``limits`` are refused, and ``excesses`` tells why.
    """

    rows: dict[RowName, StoredRow] = field(factory=dict)
    changes: list[StoredRow] = field(factory=list)
    version: int = 0
    store_time: timedelta = timedelta(seconds=50)
    page_rows: int = 3
    compacted_version: int = 0
    transactions: int = 0
    excesses: list[str] = field(factory=list)
    hangs: bool = False
    unreachable: bool = False
    limits: StoreLimits = DEFAULT_LIMITS
    refuses: Callable[[str], bool] = lambda _: False
    loses_answer: Callable[[], bool] = lambda: False

    async def transact(
        self, transaction: Transaction, timeout: timedelta, repeats: bool = False
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction atomically."""
        self.transactions += 1
        if self.hangs:
            await asyncio.Event().wait()
        if self.unreachable:
            return Error(UNREACHABLE)
        excess = find_excess(transaction, self.limits)
        if excess:
            self.excesses.append(excess)
            return Error(StoreUnavailable(excess, True, refused=True, permanent=True))
        names = [condition.name for condition in transaction.conditions]
        names.extend(put.name for put in transaction.puts)
        names.extend(transaction.removals)
        if any(self.refuses(name.partition) for name in names):
            return Error(REFUSED)
        failed = False
        for condition in transaction.conditions:
            row = self.rows.get(condition.name)
            failed = failed or (row.version if row else 0) != condition.version
        if failed:
            current = [
                self.rows[condition.name]
                for condition in transaction.conditions
                if condition.name in self.rows
            ]
            return Error(ConditionsFailed(tuple(current)))
        self.version += 1
        for put in transaction.puts:
            row = StoredRow(put.name, put.value, self.version)
            self.rows[put.name] = row
            self.changes.append(row)
        for name in transaction.removals:
            if self.rows.pop(name, None) is not None:
                self.changes.append(StoredRow(name, None, self.version))
        if self.loses_answer():
            return Error(LOST)
        return Ok(Committed(self.version, self.store_time))

    async def read(
        self, table: str, partition: str, start: str, end: str, timeout: timedelta
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return the rows of a partition in key order; ``end`` is excluded."""
        if self.unreachable:
            return Error(UNREACHABLE)
        if self.refuses(partition):
            return Error(REFUSED)
        found = []
        for name in sorted(self.rows, key=lambda name: name.key):
            if (name.table, name.partition) != (table, partition) or name.key < start:
                continue
            if end and name.key >= end:
                continue
            found.append(self.rows[name])
        more = len(found) > self.page_rows
        page = tuple(found[: self.page_rows])
        return Ok(RowsPage(page, more, self.version, self.store_time))

    async def list_partitions(
        self, table: str, timeout: timedelta
    ) -> Result[list[str], StoreUnavailable]:
        """Return the names of all partitions of a table."""
        return Ok(sorted({name.partition for name in self.rows if name.table == table}))

    async def follow(
        self, table: str, after: int, wait: timedelta, timeout: timedelta
    ) -> Result[RowChanges, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after a version, without waiting."""
        await asyncio.sleep(0)
        if after < self.compacted_version:
            return Error(HistoryGone())
        first = bisect_right(self.changes, after, key=lambda row: row.version)
        rows = tuple(row for row in self.changes[first:] if row.name.table == table)
        return Ok(RowChanges(rows, self.version))
