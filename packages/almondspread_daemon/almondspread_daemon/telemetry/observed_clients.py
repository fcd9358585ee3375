"""Wrappers of the platform's clients that record a span for each call.

The wrapper of the table service also counts calls and rows.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import evolve
from expression import Result

from almondspread.interfaces import (
    Condition,
    ConditionFailed,
    MinionAnswer,
    MinionRequest,
    Row,
    TableService,
    TableUnavailable,
    WorkerExchange,
    WorkerGateway,
    WorkerReport,
    WorkerUnreachable,
    Write,
)
from almondspread_daemon.telemetry.instruments import Instruments
from almondspread_daemon.telemetry.traces import (
    TracePipeline,
    get_traceparent,
    mark_failed,
)
from almondspread_platform import MinionClient, MinionFault
from almondspread_platform.caller import always_allow

TABLE_TARGET = "table"


class ObservedTable:
    """A table service whose calls are traced and counted."""

    def __init__(
        self,
        table: TableService,
        traces: TracePipeline,
        instruments: Instruments,
    ) -> None:
        self._table = table
        self._traces = traces
        self._instruments = instruments

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply all writes if all conditions hold; return the new revision."""
        self._count_rows("write", len(writes))
        with self._traces.client_span("table transact", TABLE_TARGET) as span:
            outcome = await self._table.transact(conditions, writes)
            self._count_call("transact", outcome, span)
        return outcome

    async def read(self, keys: list[str]) -> Result[list[Row], TableUnavailable]:
        """Return those of the named rows that exist."""
        self._count_rows("read", len(keys))
        with self._traces.client_span("table read", TABLE_TARGET) as span:
            outcome = await self._table.read(keys)
            self._count_call("read", outcome, span)
        return outcome

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], TableUnavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``, in order."""
        with self._traces.client_span("table scan", TABLE_TARGET) as span:
            outcome = await self._table.scan(prefix, after, limit)
            self._count_call("scan", outcome, span)
        if outcome.is_ok():
            self._count_rows("read", len(outcome.ok))
        return outcome

    def _count_rows(self, operation: str, rows: int) -> None:
        """Add to the count of rows read or written."""
        self._instruments.table_rows.add(rows, {"db.operation.name": operation})

    def _count_call(self, operation: str, outcome: Result[Any, Any], span: Any) -> None:
        """Count a call by operation and outcome, and mark the span of a failed one."""
        result = "ok"
        if outcome.is_error():
            result = type(outcome.error).__name__
            mark_failed(span, result)
        self._instruments.table_calls.add(
            1, {"db.operation.name": operation, "outcome": result}
        )


class ObservedWorkers:
    """A gateway to the workers whose exchanges are traced."""

    def __init__(self, workers: WorkerGateway, traces: TracePipeline) -> None:
        self._workers = workers
        self._traces = traces

    async def exchange(
        self, address: str, message: WorkerExchange
    ) -> Result[WorkerReport, WorkerUnreachable]:
        """Send a message to the worker at ``address`` and return its report."""
        with self._traces.client_span("worker exchange", address) as span:
            outcome = await self._workers.exchange(address, message)
            if outcome.is_error():
                mark_failed(span, outcome.error.reason)
        return outcome


class ObservedMinions:
    """A client of minions whose requests are traced."""

    def __init__(self, minions: MinionClient, traces: TracePipeline) -> None:
        self._minions = minions
        self._traces = traces

    async def call(
        self,
        address: str,
        request: MinionRequest,
        timeout: timedelta,
        may_send: Callable[[], bool] = always_allow,
    ) -> Result[MinionAnswer, MinionFault]:
        """Send a request to the minion at ``address`` and return its whole answer."""
        with self._traces.client_span(f"minion {request.kind}", address) as span:
            traced = evolve(request, traceparent=get_traceparent())
            outcome = await self._minions.call(address, traced, timeout, may_send)
            if outcome.is_error():
                mark_failed(span, outcome.error.reason)
        return outcome

    async def watch(
        self,
        address: str,
        request: MinionRequest,
        timeout: timedelta,
        may_send: Callable[[], bool],
        take_chunk: Callable[[bytes], None],
        is_wanted: Callable[[], bool],
    ) -> Result[MinionAnswer, MinionFault]:
        """Send a request that is answered by a stream of chunks.

        Chunks are passed to ``take_chunk``. The stream is closed after ``timeout`` or
        soon after ``is_wanted`` returns false; the returned answer has no body.
        """
        with self._traces.client_span(f"minion {request.kind}", address) as span:
            traced = evolve(request, traceparent=get_traceparent())
            outcome = await self._minions.watch(
                address, traced, timeout, may_send, take_chunk, is_wanted
            )
            if outcome.is_error():
                mark_failed(span, outcome.error.reason)
        return outcome
