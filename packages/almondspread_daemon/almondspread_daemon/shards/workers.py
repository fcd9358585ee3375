"""Periodic exchanges of a scheduling shard with one worker."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.interfaces import WorkerExchange, WorkerGateway, WorkerReport
from almondspread.ownership import Authority
from almondspread.scheduling import Scheduler
from almondspread.scheduling.leases import WorkerLeases
from almondspread_daemon.background import Waker

FAILURES_BEFORE_UNREACHABLE = 3


@define(frozen=True)
class ExchangeIntervals:
    """Intervals between exchanges with a worker.

    ``busy`` applies while tasks wait to be placed, or while the worker does not answer
    or has not reported yet; ``idle`` applies otherwise.
    """

    busy: timedelta
    idle: timedelta


class WorkerLink:
    """Sends a worker its run list and passes the worker's reports to the scheduler.

    ``has_reported`` is set after the first report of the worker. ``unreachable`` is set
    after ``FAILURES_BEFORE_UNREACHABLE`` failed exchanges in a row. ``wake_shard`` is
    called when the shard should decide again.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        scheduler: Scheduler,
        leases: WorkerLeases,
        gateway: WorkerGateway,
        clock: Clock,
        intervals: ExchangeIntervals,
        authority: Authority,
        wake_shard: Callable[[], None],
    ) -> None:
        self.worker = worker
        self.address = address
        self.unreachable = False
        self.has_reported = False
        self._scheduler = scheduler
        self._leases = leases
        self._gateway = gateway
        self._clock = clock
        self._intervals = intervals
        self._authority = authority
        self._wake_shard = wake_shard
        self._waker = Waker(clock)
        self._incarnation = ""
        self._consecutive_failures = 0
        self._reported_ends: set[str] = set()
        self._ends_to_acknowledge: set[str] = set()

    def wake(self) -> None:
        """Start the next exchange without waiting for the interval to end."""
        self._waker.wake()

    def acknowledge_end(self, attempt: str) -> None:
        """Acknowledge a committed end in the next exchange if the worker reports it."""
        if attempt in self._reported_ends:
            self._ends_to_acknowledge.add(attempt)

    async def run(self) -> None:
        """Exchange with the worker until cancelled."""
        while True:
            # The shard may have got another owner while this process was paused.
            if self._authority.is_valid(self._clock.monotonic()):
                await self._exchange()
            await self._waker.wait(self._get_interval())

    def _get_interval(self) -> timedelta:
        """Return the time until the next exchange if the link is not woken before.

        While tasks wait to be placed or the worker does not answer, its reports are
        needed soon; otherwise the exchanges only have to renew the leases in time.
        """
        if (
            self._consecutive_failures
            or not self.has_reported
            or self._scheduler.count_waiting()
        ):
            return self._intervals.busy
        return self._intervals.idle

    async def _exchange(self) -> None:
        """Send one message to the worker and process its report or the failure."""
        # The expiry is set before the renewal is recorded. A pause in between makes
        # the recorded expiry later than the real one, never earlier.
        message = self._make_exchange()
        if message.renewals or message.starts:
            self._leases.record_renewal(self.worker, self._clock.monotonic())
        outcome = await self._gateway.exchange(self.address, message)
        if outcome.is_error():
            self._record_failure(outcome.error.reason)
            return
        self._handle_report(message, outcome.ok)

    def _make_exchange(self) -> WorkerExchange:
        """Return the next message to the worker.

        Before the worker's first report, and while it is unreachable, the message only
        asks for a report: a renewal that may still reach the worker would postpone the
        time at which its leases are known to have expired.
        """
        now = self._clock.now().timestamp()
        acknowledged = tuple(self._ends_to_acknowledge)
        message = self._scheduler.compose_exchange(self.worker, now, acknowledged)
        if not self._incarnation or self.unreachable:
            return WorkerExchange(
                incarnation=self._incarnation, expires=message.expires
            )
        return evolve(message, incarnation=self._incarnation)

    def _handle_report(self, message: WorkerExchange, report: WorkerReport) -> None:
        """Pass a report to the scheduler and update the state of the link."""
        self.has_reported = True
        known_ends = self._scheduler.handle_report(self.worker, report)
        self._reported_ends = {end.attempt for end in report.ended}
        if report.incarnation != self._incarnation:
            # The worker process has restarted; earlier acknowledgements are obsolete.
            self._incarnation = report.incarnation
            self._ends_to_acknowledge.clear()
            self._waker.wake()
            self._wake_shard()
        elif report.refused:
            # The worker's clock is wrong, so the worker starts and renews nothing. The
            # exchange counts as failed, as if the worker had not answered.
            self._record_failure(report.refused)
            return
        else:
            self._ends_to_acknowledge.difference_update(message.acknowledged)
        self._ends_to_acknowledge.update(known_ends)
        self._record_success()
        if report.ended or message.starts:
            self._wake_shard()

    def _record_success(self) -> None:
        """Record a successful exchange; an unreachable worker is reachable again."""
        self._consecutive_failures = 0
        if not self.unreachable:
            return
        logger.info("worker {} is reachable again", self.worker)
        self.unreachable = False
        self._waker.wake()
        self._wake_shard()

    def _record_failure(self, reason: str) -> None:
        """Record an exchange without an answer or one that the worker refused."""
        self._consecutive_failures += 1
        if self._consecutive_failures == FAILURES_BEFORE_UNREACHABLE:
            logger.warning("worker {} is unreachable: {}", self.worker, reason)
            self.unreachable = True
            self._wake_shard()
