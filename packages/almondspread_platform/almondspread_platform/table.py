"""The table service over HTTP."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    Row,
    TableUnavailable,
    Write,
)
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_platform.exchange import exchange_messages
from almondspread_platform.messages import (
    ReadCall,
    RowsAnswer,
    ScanCall,
    TransactAnswer,
    TransactCall,
)


@define(frozen=True)
class TableCall:
    """What one call asked of the table, answered or not."""

    row_reads: int = 0
    row_writes: int = 0


def ignore_table_call(_: TableCall) -> None:
    """Count nothing."""


class HttpTable:
    """The table service at one address; ``count_call`` sees every call made."""

    def __init__(
        self,
        caller: HttpCaller,
        address: str,
        timeout: timedelta,
        count_call: Callable[[TableCall], None] = ignore_table_call,
    ) -> None:
        self._caller = caller
        self._address = address
        self._timeout = timeout
        self._count_call = count_call

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply all writes if all conditions hold; return the new revision."""
        self._count_call(TableCall(row_writes=len(writes)))
        message = TransactCall(tuple(conditions), tuple(writes))
        call = self._prepare_call("/v1/table/transact")
        sent = await exchange_messages(self._caller, call, message, TransactAnswer)
        if sent.is_error():
            return Error(TableUnavailable(sent.error.reason))
        if sent.ok.failed is not None:
            return Error(sent.ok.failed)
        return Ok(sent.ok.revision)

    async def read(self, keys: list[str]) -> Result[list[Row], TableUnavailable]:
        """Return those of the named rows that exist, all as of one revision."""
        self._count_call(TableCall(row_reads=len(keys)))
        call = self._prepare_call("/v1/table/read")
        message = ReadCall(tuple(keys))
        sent = await exchange_messages(self._caller, call, message, RowsAnswer)
        if sent.is_error():
            return Error(TableUnavailable(sent.error.reason))
        return Ok(list(sent.ok.rows))

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], TableUnavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``, in order."""
        call = self._prepare_call("/v1/table/scan")
        message = ScanCall(prefix, after, limit)
        sent = await exchange_messages(self._caller, call, message, RowsAnswer)
        if sent.is_error():
            self._count_call(TableCall(row_reads=1))
            return Error(TableUnavailable(sent.error.reason))
        rows = list(sent.ok.rows)
        self._count_call(TableCall(row_reads=max(1, len(rows))))
        return Ok(rows)

    def _prepare_call(self, path: str) -> HttpCall:
        """Return a call to the table without its body."""
        return HttpCall("POST", self._address, path, self._timeout)
