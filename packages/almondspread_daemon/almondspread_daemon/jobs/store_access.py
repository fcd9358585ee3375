"""Calls to the platform's store, with timeouts that adapt to its latency."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from attrs import define, evolve
from expression import Error, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.apply_budget import ApplyBudget
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.operator_rows import OperatorRow, OperatorRowStates
from almondspread.jobs.ports import (
    AnswerTimes,
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
from almondspread.jobs.store_limits import (
    DEFAULT_LIMITS,
    StoreLimits,
    find_excess,
)
from almondspread_daemon.jobs.adaptive_timeout import AdaptiveTimeout
from almondspread_daemon.jobs.metrics import JobMetrics

DEFAULT_BUDGET = ApplyBudget()
NO_TIME = timedelta(0)
T = TypeVar("T")
E = TypeVar("E")

# A configuration with thousands of queues takes this long over a slow link.
OPERATOR_INPUT_TIME = timedelta(milliseconds=1_500)
PROBE_INTERVAL = timedelta(milliseconds=200)
# A silent store answers no probe. Several are sent without awaiting each other, so
# that one of them soon reaches the store after it has recovered.
PROBE_TIMEOUT = timedelta(milliseconds=800)
MAX_CONCURRENT_PROBES = 4
PROBE_TABLE = "probes"
MIN_RETRY_AFTER = timedelta(seconds=1)
MAX_RETRY_AFTER = timedelta(seconds=3)
# The store counts as unavailable only after failures over this time, since a single
# call may be refused or its answer lost.
OUTAGE_THRESHOLD = timedelta(milliseconds=500)
RETRY_DELAY = timedelta(milliseconds=50)
# After an outage, a call that has been pending this many times longer than the first
# answer took is not queued in a slow store: the store will never answer it.
ABANDON_FACTOR = 20
MIN_ABANDON_AGE = timedelta(milliseconds=300)
# A write without an answer fails after this many of the current write timeouts.
WRITE_TIMEOUT_FACTOR = 3
MAX_WRITE_TIMEOUT = timedelta(milliseconds=2_400)
WriteOutcome = Result[Committed, ConditionsFailed | StoreUnavailable]
WriteAttempt = asyncio.Task[WriteOutcome]
CALL_ABANDONED = StoreUnavailable("later calls were answered first", not_done=False)


@define(eq=False)
class _PendingCall:
    """A call that awaits its answer; ``scope`` cancels the call early."""

    sent: timedelta
    scope: asyncio.Timeout


class StoreAccess:
    """Client of the platform's store and directory, which tracks their availability.

    The store never answers calls that it received while it was silent. When the store
    answers again after an outage, this class abandons the calls that are far older than
    the answered one, so that they fail before their timeouts.
    """

    def __init__(
        self,
        store: RecordStore,
        directory: CellDirectory,
        clock: Clock,
        metrics: JobMetrics,
        limits: StoreLimits = DEFAULT_LIMITS,
        budget: ApplyBudget = DEFAULT_BUDGET,
    ) -> None:
        self._limits = limits
        self._store = store
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        # Reads and writes have separate timeouts: a slow store takes longer for writes,
        # and the timeout of fast reads would cut the writes short.
        self._read_timeout = AdaptiveTimeout()
        self._write_timeout = AdaptiveTimeout()
        self._operator_timeout = AdaptiveTimeout(OPERATOR_INPUT_TIME)
        self._budget = budget
        # Until the answer to a call about operators' rows begins, without its wait.
        self._begin_timeout = AdaptiveTimeout(budget.answer_time)
        self._failing_since: timedelta | None = None
        self._outage_logged = False
        # The send time of the newest call that was answered.
        self._last_answered_sent = timedelta.min
        self._pending_calls: set[_PendingCall] = set()
        self._probes: set[asyncio.Task[None]] = set()

    @property
    def is_failing(self) -> bool:
        """Whether the newest call that shows the state of the store has failed."""
        return self._failing_since is not None

    @property
    def is_unavailable(self) -> bool:
        """Whether calls have been failing for longer than ``OUTAGE_THRESHOLD``."""
        return self.outage_duration > OUTAGE_THRESHOLD

    @property
    def outage_duration(self) -> timedelta:
        """The time since calls began to fail, zero if the newest one succeeded."""
        if self._failing_since is None:
            return timedelta(0)
        return self._clock.monotonic() - self._failing_since

    def suggest_retry_after(self) -> timedelta:
        """Return after which time callers should retry.

        An outage is expected to last as long again as it has lasted so far. The
        estimate stays between ``MIN_RETRY_AFTER`` and ``MAX_RETRY_AFTER``.
        """
        return max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, self.outage_duration))

    async def run_probes(self) -> None:
        """Send probes for as long as calls to the store fail; runs until cancelled."""
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
        """Read the probe table, only to learn whether the store answers."""
        await self._make_call(
            lambda timeout: self._store.read(
                PROBE_TABLE, "", "", "", min(timeout, PROBE_TIMEOUT)
            )
        )

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction atomically.

        The conditions of the transaction make it idempotent. If the answer is late, the
        same transaction is sent a second time and the first conclusive answer to either
        attempt is returned. The error tells whether the transaction may have been
        applied. A transaction that exceeds a limit of the store is not sent.
        """
        excess = find_excess(transaction, self._limits)
        if excess:
            # The store would refuse the call, and say only that it is wrong.
            logger.error("call not sent to the store", reason=excess)
            return Error(
                StoreUnavailable(excess, not_done=True, refused=True, permanent=True)
            )
        adaptive_timeout = self._write_timeout
        sent = self._clock.monotonic()
        deadline = min(
            WRITE_TIMEOUT_FACTOR * adaptive_timeout.timeout, MAX_WRITE_TIMEOUT
        )

        def send(repeats: bool) -> WriteAttempt:
            return asyncio.create_task(
                self._make_call(
                    lambda _: self._store.transact(transaction, deadline, repeats),
                    adaptive_timeout,
                )
            )

        attempts = {send(repeats=False)}
        try:
            done, _ = await asyncio.wait(
                attempts, timeout=adaptive_timeout.timeout.total_seconds()
            )
            if not done:
                if sent > self._last_answered_sent:
                    self._record_failure("no answer yet")
                attempts.add(send(repeats=True))
            return await _await_first_answer(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def read(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return the rows of one partition in key order, ``end`` excluded."""
        return await self._make_call(
            lambda timeout: self._store.read(table, partition, start, end, timeout)
        )

    async def list_partitions(self, table: str) -> Result[list[str], StoreUnavailable]:
        """Return the names of all partitions of a table."""
        return await self._make_call(
            lambda timeout: self._store.list_partitions(table, timeout)
        )

    async def follow(
        self, table: str, after: int, wait: timedelta
    ) -> Result[RowChanges, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after a version, as soon as there are any.

        The call waits for changes for at most ``wait`` (long polling).
        """
        timeout = wait + self._read_timeout.timeout
        return await self._await_answer(self._store.follow(table, after, wait, timeout))

    async def list_upstreams(self) -> Result[list[UpstreamEntry], StoreUnavailable]:
        """Return the upstreams that are registered in the cell."""
        return await self._make_call(self._directory.list_upstreams)

    async def read_operator_rows(self) -> Result[OperatorRowStates, StoreUnavailable]:
        """Return all rows that operators have written."""
        begins = max(self._budget.read_time, self._begin_timeout.timeout)
        sent = self._clock.monotonic()
        outcome = await self._make_call(
            lambda whole: self._directory.read_operator_rows(
                AnswerTimes(begins, max(begins, whole))
            ),
            self._operator_timeout,
        )
        if outcome.is_error() and self._clock.monotonic() - sent >= begins:
            self._begin_timeout.record_timeout()
        return outcome

    def make_wave_row(self, number: int, completed: bool) -> RowPut:
        """Return the row that reports the progress of a maintenance wave."""
        return self._directory.make_wave_row(number, completed)

    async def follow_operator_rows(
        self, after: int, wait: timedelta
    ) -> Result[OperatorRowStates, HistoryGone | StoreUnavailable]:
        """Return the rows that operators have changed after a version.

        The call waits for a first change, for at most ``wait``.
        """
        begins = self._begin_timeout.timeout
        if not wait:
            begins = max(begins, self._budget.read_time)
        times = AnswerTimes(wait + begins, wait + self._operator_timeout.timeout)
        sent = self._clock.monotonic()
        outcome = await self._await_answer(
            self._directory.follow_operator_rows(after, wait, times)
        )
        waited = self._clock.monotonic() - sent
        # An answer with rows may take long because it is large.
        if outcome.is_ok() and not outcome.ok.rows:
            self._begin_timeout.record_answer(max(NO_TIME, waited - wait))
        if outcome.is_error() and waited >= times.begins:
            self._begin_timeout.record_timeout()
        return outcome

    def decode_operator_rows(self, rows: tuple[OperatorRow, ...]) -> OperatorInput:
        """Return what rows of operators say, without those that cannot be read."""
        return self._directory.decode_operator_rows(rows)

    async def _make_call(
        self,
        call: Callable[[timedelta], Awaitable[Result[T, E]]],
        adaptive_timeout: AdaptiveTimeout | None = None,
    ) -> Result[T, E | StoreUnavailable]:
        """Make one call and update the timeout, the metrics and the availability.

        Without an ``adaptive_timeout`` the call uses the timeout of reads.
        """
        adaptive_timeout = adaptive_timeout or self._read_timeout
        sent = self._clock.monotonic()
        outcome = await self._await_answer(call(adaptive_timeout.timeout))
        duration = self._clock.monotonic() - sent
        failure = outcome.error if outcome.is_error() else None
        self._metrics.record_store_call(duration, type(failure or outcome).__name__)
        if not isinstance(failure, StoreUnavailable):
            adaptive_timeout.record_answer(duration)
            self._record_answer(sent, duration)
            return outcome
        if not failure.refused and duration >= adaptive_timeout.timeout:
            adaptive_timeout.record_timeout()
        # A failed call that was sent before an answered one does not show that the
        # store is unavailable now.
        if sent > self._last_answered_sent:
            self._record_failure(failure.reason)
        return outcome

    async def _await_answer(
        self, call: Awaitable[Result[T, E]]
    ) -> Result[T, E | StoreUnavailable]:
        """Await the answer to a call, or fail once the call is abandoned."""
        pending_call = _PendingCall(self._clock.monotonic(), asyncio.timeout(None))
        self._pending_calls.add(pending_call)
        try:
            async with pending_call.scope:
                return await call
        except TimeoutError:
            return Error(CALL_ABANDONED)
        finally:
            self._pending_calls.discard(pending_call)

    def _record_answer(self, sent: timedelta, duration: timedelta) -> None:
        """Note that the store answers; after an outage, abandon far older calls."""
        self._last_answered_sent = max(self._last_answered_sent, sent)
        if self._failing_since is None:
            return
        now = self._clock.monotonic()
        outage = now - self._failing_since
        self._failing_since = None
        age_limit = max(MIN_ABANDON_AGE, ABANDON_FACTOR * duration)
        abandoned = [
            pending_call
            for pending_call in self._pending_calls
            if now - pending_call.sent > age_limit
        ]
        for pending_call in abandoned:
            pending_call.scope.reschedule(asyncio.get_running_loop().time())
        if self._outage_logged:
            logger.info(
                "store is available again",
                seconds=outage.total_seconds(),
                calls_given_up=len(abandoned),
            )
        self._outage_logged = False

    def _record_failure(self, reason: str) -> None:
        """Note that a call failed; log an outage once when it lasts."""
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
        if self.is_unavailable and not self._outage_logged:
            self._outage_logged = True
            logger.warning("store is unavailable", reason=reason)


async def _await_first_answer(attempts: set[WriteAttempt]) -> WriteOutcome:
    """Return the first conclusive outcome, or a failure that covers all attempts."""
    pending = attempts
    failures: list[StoreUnavailable] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            outcome = attempt.result()
            if outcome.is_ok() or isinstance(outcome.error, ConditionsFailed):
                return outcome
            failures.append(outcome.error)
    # An attempt without an answer may have been applied, even if the store refused the
    # other one.
    return Error(
        evolve(
            failures[-1],
            not_done=all(failure.not_done for failure in failures),
            refused=all(failure.refused for failure in failures),
            permanent=all(failure.permanent for failure in failures),
        )
    )
