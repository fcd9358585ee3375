"""Access to the platform's store with timeouts that follow its speed."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from expression import Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.ports import (
    CellDirectory,
    Changes,
    Committed,
    ConditionsFailed,
    HistoryGone,
    RecordStore,
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
# A refusal, or a single lost answer, does not make the store count as lost.
PROBE_INTERVAL = timedelta(milliseconds=200)
PROBED_TABLE = "probes"
MIN_RETURN = timedelta(seconds=1)
MAX_RETURN = timedelta(seconds=3)
LOSS_PATIENCE = timedelta(milliseconds=500)
RETRY_PAUSE = timedelta(milliseconds=50)
SMOOTHING = 0.2


class AnswerTimes:
    """How long answers take, and how long it makes sense to wait for one."""

    def __init__(self) -> None:
        self._usual = MIN_TIMEOUT / TIMEOUT_FACTOR
        self._timeout = MIN_TIMEOUT

    @property
    def timeout(self) -> timedelta:
        """How long to wait for the next answer."""
        return self._timeout

    def note_answer(self, taken: timedelta) -> None:
        """Take the time of an answer."""
        self._usual += SMOOTHING * (taken - self._usual)
        self._timeout = max(MIN_TIMEOUT, min(MAX_TIMEOUT, TIMEOUT_FACTOR * self._usual))

    def note_timeout(self) -> None:
        """Wait longer next time, since the store may be slow."""
        self._timeout = min(MAX_TIMEOUT, 2 * self._timeout)


class StoreAccess:
    """The store and what is published in it, as one dependency of this process."""

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
        self._times = AnswerTimes()
        self._lost_since: timedelta | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the store has answered nothing for a while."""
        if self._lost_since is None:
            return False
        return self._clock.monotonic() - self._lost_since > LOSS_PATIENCE

    def suggest_return(self) -> timedelta:
        """Return when callers should come back: an outage may last as long again."""
        if self._lost_since is None:
            return MIN_RETURN
        lost_for = self._clock.monotonic() - self._lost_since
        return max(MIN_RETURN, min(MAX_RETURN, lost_for))

    async def probe(self) -> None:
        """Ask the store for signs of life while it counts as lost."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL)
            if self._lost_since is not None:
                await self.read(PROBED_TABLE, "")

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction whole or not at all."""
        return await self._time(
            lambda timeout: self._store.transact(transaction, timeout)
        )

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return rows of one part in order of their keys, ``end`` excluded."""
        return await self._time(
            lambda timeout: self._store.read(table, part, start, end, timeout)
        )

    async def list_parts(self, table: str) -> Result[list[str], StoreUnavailable]:
        """Return all parts of a table."""
        return await self._time(lambda timeout: self._store.list_parts(table, timeout))

    async def follow(
        self, table: str, after: int, wait: timedelta
    ) -> Result[Changes, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after a version, as soon as there are any."""
        timeout = wait + self._times.timeout
        return await self._store.follow(table, after, wait, timeout)

    async def list_upstreams(self) -> Result[list[UpstreamEntry], StoreUnavailable]:
        """Return the upstreams that are registered now."""
        return await self._time(self._directory.list_upstreams)

    async def read_configuration(
        self,
    ) -> Result[Configuration | None, StoreUnavailable]:
        """Return the newest configuration, ``None`` where there is none yet."""
        return await self._time(self._directory.read_configuration)

    async def wait_for_change(
        self, wait: timedelta
    ) -> Result[bool, HistoryGone | StoreUnavailable]:
        """Return true as soon as operators have published something new."""
        return await self._directory.wait_for_change(wait, wait + self._times.timeout)

    async def _time(
        self, call: Callable[[timedelta], Awaitable[Result[T, E]]]
    ) -> Result[T, E]:
        """Make one call and learn from how long it took."""
        sent = self._clock.monotonic()
        outcome = await call(self._times.timeout)
        taken = self._clock.monotonic() - sent
        failure = outcome.error if outcome.is_error() else None
        self._metrics.time_store_call(taken, type(failure or outcome).__name__)
        if not isinstance(failure, StoreUnavailable):
            self._times.note_answer(taken)
            self._note_reached()
            return outcome
        if failure.refused:
            return outcome
        if taken >= self._times.timeout:
            self._times.note_timeout()
        self._note_lost(failure.reason)
        return outcome

    def _note_reached(self) -> None:
        """Log that the store answers again."""
        if self._lost_since is None:
            return
        away = self._clock.monotonic() - self._lost_since
        self._lost_since = None
        logger.info("store answers again", seconds=away.total_seconds())

    def _note_lost(self, reason: str) -> None:
        """Log that the store does not answer, once."""
        if self._lost_since is None:
            self._lost_since = self._clock.monotonic()
            logger.warning("store lost", reason=reason)
