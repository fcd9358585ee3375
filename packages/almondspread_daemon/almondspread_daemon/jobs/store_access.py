"""Access to the platform's store with timeouts that follow its speed."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from attrs import define, evolve
from expression import Error, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.ports import (
    CellDirectory,
    Committed,
    ConditionsFailed,
    HistoryGone,
    OperatorInput,
    RecordStore,
    RowChanges,
    RowPut,
    RowsPage,
    StoreUnavailable,
    Transaction,
)
from almondspread_daemon.jobs.metrics import JobMetrics

T = TypeVar("T")
E = TypeVar("E")

MIN_TIMEOUT = timedelta(milliseconds=300)
MAX_TIMEOUT = timedelta(milliseconds=1_600)
# A timeout of this many usual answer times tells a lost answer from a slow one.
TIMEOUT_FACTOR = 6
PROBE_INTERVAL = timedelta(milliseconds=200)
# A silent store swallows every probe, so that several are under way at once.
PROBE_TIMEOUT = timedelta(milliseconds=800)
MAX_CONCURRENT_PROBES = 4
PROBE_TABLE = "probes"
MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=3)
# A single refusal or lost answer does not make the store count as lost.
OUTAGE_THRESHOLD = timedelta(milliseconds=500)
RETRY_DELAY = timedelta(milliseconds=50)
SMOOTHING_FACTOR = 0.2
# A call under way for this many times longer than an answer took is not waiting in a
# queue of a slow store; it was swallowed.
ABANDON_FACTOR = 20
MIN_ABANDON_AGE = timedelta(milliseconds=300)
# A write without an answer is given up after so many times its usual patience.
WRITE_TIMEOUT_FACTOR = 3
MAX_WRITE_TIMEOUT = timedelta(milliseconds=2_400)
WriteOutcome = Result[Committed, ConditionsFailed | StoreUnavailable]
WriteAttempt = asyncio.Task[WriteOutcome]
CALL_ABANDONED = StoreUnavailable("later calls were answered first", not_done=False)


class AdaptiveTimeout:
    """How long answers take, and how long it makes sense to wait for one."""

    def __init__(self) -> None:
        self._average = MIN_TIMEOUT / TIMEOUT_FACTOR
        self._timeout = MIN_TIMEOUT

    @property
    def timeout(self) -> timedelta:
        """How long to wait for the next answer."""
        return self._timeout

    def record_answer(self, taken: timedelta) -> None:
        """Take the time of an answer."""
        self._average += SMOOTHING_FACTOR * (taken - self._average)
        self._timeout = max(
            MIN_TIMEOUT, min(MAX_TIMEOUT, TIMEOUT_FACTOR * self._average)
        )

    def record_timeout(self) -> None:
        """Wait longer next time, since the store may be slow."""
        self._timeout = min(MAX_TIMEOUT, 2 * self._timeout)


@define(eq=False)
class _PendingCall:
    """A call under way; ``scope`` ends it early."""

    sent: timedelta
    scope: asyncio.Timeout


class StoreAccess:
    """The store and what is published in it, as one dependency of this process.

    Where the store falls silent it never answers what it was sent meanwhile. As soon
    as it answers a later call, far older ones are given up.
    """

    def __init__(
        self,
        store: RecordStore,
        directory: CellDirectory,
        clock: Clock,
        metrics: JobMetrics,
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        # Where the store is slow, writes take longer than reads.
        self._read_timeout = AdaptiveTimeout()
        self._write_timeout = AdaptiveTimeout()
        self._failing_since: timedelta | None = None
        self._outage_logged = False
        # When the newest call that has been answered was sent.
        self._last_answered_sent = timedelta.min
        self._pending_calls: set[_PendingCall] = set()
        self._probes: set[asyncio.Task[None]] = set()

    @property
    def is_failing(self) -> bool:
        """Whether the newest call that told anything of the store has failed."""
        return self._failing_since is not None

    @property
    def is_unavailable(self) -> bool:
        """Whether the store has served nothing for a while."""
        return self.outage_duration > OUTAGE_THRESHOLD

    @property
    def outage_duration(self) -> timedelta:
        """How long the store has served nothing."""
        if self._failing_since is None:
            return timedelta(0)
        return self._clock.monotonic() - self._failing_since

    def suggest_retry_after(self) -> timedelta:
        """Return when callers should come back: an outage may last as long again."""
        return max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, self.outage_duration))

    async def run_probes(self) -> None:
        """Ask the store for signs of life while it serves nothing."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            if (
                self._failing_since is None
                or len(self._probes) >= MAX_CONCURRENT_PROBES
            ):
                continue
            probe = asyncio.create_task(self._send_probe())
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)

    async def _send_probe(self) -> None:
        """Make one call whose only use is its answer."""
        await self._make_call(
            lambda timeout: self._store.read(
                PROBE_TABLE, "", "", "", min(timeout, PROBE_TIMEOUT)
            )
        )

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction whole or not at all.

        Its conditions make it idempotent: where an answer is late it is sent again,
        and the first answer to either counts.
        """
        times = self._write_timeout
        sent = self._clock.monotonic()
        deadline = min(WRITE_TIMEOUT_FACTOR * times.timeout, MAX_WRITE_TIMEOUT)

        def send() -> WriteAttempt:
            return asyncio.create_task(
                self._make_call(
                    lambda _: self._store.transact(transaction, deadline), times
                )
            )

        attempts = {send()}
        try:
            done, _ = await asyncio.wait(
                attempts, timeout=times.timeout.total_seconds()
            )
            if not done:
                if sent > self._last_answered_sent:
                    self._record_failure("no answer yet")
                attempts.add(send())
            return await _await_first_answer(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return rows of one part in order of their keys, ``end`` excluded."""
        return await self._make_call(
            lambda timeout: self._store.read(table, part, start, end, timeout)
        )

    async def list_partitions(self, table: str) -> Result[list[str], StoreUnavailable]:
        """Return all parts of a table."""
        return await self._make_call(
            lambda timeout: self._store.list_partitions(table, timeout)
        )

    async def follow(
        self, table: str, after: int, wait: timedelta
    ) -> Result[RowChanges, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after a version, as soon as there are any."""
        timeout = wait + self._read_timeout.timeout
        return await self._await_answer(self._store.follow(table, after, wait, timeout))

    async def list_upstreams(self) -> Result[list[UpstreamEntry], StoreUnavailable]:
        """Return the upstreams that are registered now."""
        return await self._make_call(self._directory.list_upstreams)

    async def read_operator_input(self) -> Result[OperatorInput, StoreUnavailable]:
        """Return what operators have published."""
        return await self._make_call(self._directory.read_operator_input)

    def make_wave_row(self, number: int, completed: bool) -> RowPut:
        """Return the row that tells operators how far a maintenance wave has come."""
        return self._directory.make_wave_row(number, completed)

    async def wait_for_change(
        self, wait: timedelta
    ) -> Result[bool, HistoryGone | StoreUnavailable]:
        """Return true as soon as operators have published something new."""
        timeout = wait + self._read_timeout.timeout
        return await self._await_answer(self._directory.wait_for_change(wait, timeout))

    async def _make_call(
        self,
        call: Callable[[timedelta], Awaitable[Result[T, E]]],
        times: AdaptiveTimeout | None = None,
    ) -> Result[T, E | StoreUnavailable]:
        """Make one call, a read unless told, and learn from how long it took."""
        times = times or self._read_timeout
        sent = self._clock.monotonic()
        outcome = await self._await_answer(call(times.timeout))
        taken = self._clock.monotonic() - sent
        failure = outcome.error if outcome.is_error() else None
        self._metrics.record_store_call(taken, type(failure or outcome).__name__)
        if not isinstance(failure, StoreUnavailable):
            times.record_answer(taken)
            self._record_answer(sent, taken)
            return outcome
        if not failure.refused and taken >= times.timeout:
            times.record_timeout()
        # What was sent before an answered call tells nothing of the store now.
        if sent > self._last_answered_sent:
            self._record_failure(failure.reason)
        return outcome

    async def _await_answer(
        self, call: Awaitable[Result[T, E]]
    ) -> Result[T, E | StoreUnavailable]:
        """Await an answer, unless the store answers later calls instead."""
        flight = _PendingCall(self._clock.monotonic(), asyncio.timeout(None))
        self._pending_calls.add(flight)
        try:
            async with flight.scope:
                return await call
        except TimeoutError:
            return Error(CALL_ABANDONED)
        finally:
            self._pending_calls.discard(flight)

    def _record_answer(self, sent: timedelta, taken: timedelta) -> None:
        """Take the answer to a call; after an outage, give up what was swallowed."""
        self._last_answered_sent = max(self._last_answered_sent, sent)
        if self._failing_since is None:
            return
        now = self._clock.monotonic()
        away = now - self._failing_since
        self._failing_since = None
        patience = max(MIN_ABANDON_AGE, ABANDON_FACTOR * taken)
        swallowed = [
            flight for flight in self._pending_calls if now - flight.sent > patience
        ]
        for flight in swallowed:
            flight.scope.reschedule(asyncio.get_running_loop().time())
        if self._outage_logged:
            logger.info(
                "store answers again",
                seconds=away.total_seconds(),
                calls_given_up=len(swallowed),
            )
        self._outage_logged = False

    def _record_failure(self, reason: str) -> None:
        """Take the failure of a call; a loss that lasts is logged once."""
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
        if self.is_unavailable and not self._outage_logged:
            self._outage_logged = True
            logger.warning("store lost", reason=reason)


async def _await_first_answer(attempts: set[WriteAttempt]) -> WriteOutcome:
    """Return the first outcome that tells what was done, or else a failure of all."""
    pending = attempts
    failures: list[StoreUnavailable] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            outcome = attempt.result()
            if outcome.is_ok() or isinstance(outcome.error, ConditionsFailed):
                return outcome
            failures.append(outcome.error)
    # One without an answer may be carried out, whatever became of the other.
    return Error(
        evolve(
            failures[-1],
            not_done=all(failure.not_done for failure in failures),
            refused=all(failure.refused for failure in failures),
        )
    )
