"""The exchange with one worker: one task, for as long as the shard is owned."""

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
    """How often a worker is exchanged with, while work waits for room and else."""

    busy: timedelta
    idle: timedelta


class WorkerLink:
    """Carries a worker's run list to it and its report back.

    ``has_reported`` is set once the worker has told what runs on it.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        scheduler: Scheduler,
        leases: WorkerLeases,
        gateway: WorkerGateway,
        clock: Clock,
        pace: ExchangeIntervals,
        authority: Authority,
        wake_owner: Callable[[], None],
    ) -> None:
        self.worker = worker
        self.address = address
        self.unreachable = False
        self.has_reported = False
        self._scheduler = scheduler
        self._leases = leases
        self._gateway = gateway
        self._clock = clock
        self._intervals = pace
        self._authority = authority
        self._wake_shard = wake_owner
        self._waker = Waker(clock)
        self._incarnation = ""
        self._consecutive_failures = 0
        self._reported_ends: set[str] = set()
        self._committed_ends: set[str] = set()

    def wake(self) -> None:
        """Have the next exchange happen at once."""
        self._waker.wake()

    def acknowledge_end(self, attempt: str) -> None:
        """Acknowledge an end that the journal has committed, if it is reported here."""
        if attempt in self._reported_ends:
            self._committed_ends.add(attempt)

    async def run(self) -> None:
        """Exchange with the worker until cancelled."""
        while True:
            # A process that was paused may have lost the shard in the meantime.
            if self._authority.is_valid(self._clock.monotonic()):
                await self._exchange()
            await self._waker.wait(self._get_interval())

    def _get_interval(self) -> timedelta:
        """Return how long to wait for the next exchange, if nothing wakes it.

        While work waits for room, or the worker does not answer, its reports are
        wanted soon; else they only have to renew the leases in time.
        """
        if (
            self._consecutive_failures
            or not self.has_reported
            or self._scheduler.count_waiting()
        ):
            return self._intervals.busy
        return self._intervals.idle

    async def _exchange(self) -> None:
        """Carry out one exchange."""
        # The expiry is set before the renewal is noted: a pause between the two makes
        # the leases seem to last longer, never shorter.
        message = self._make_exchange()
        if message.renewals or message.starts:
            self._leases.record_renewal(self.worker, self._clock.monotonic())
        outcome = await self._gateway.exchange(self.address, message)
        if outcome.is_error():
            self._record_failure(outcome.error.reason)
            return
        self._handle_report(message, outcome.ok)

    def _make_exchange(self) -> WorkerExchange:
        """Return what to tell the worker now.

        Before its first report, and while it does not answer, it is only asked for a
        report: what might still reach it would put off when its leases have lapsed.
        """
        now = self._clock.now().timestamp()
        acknowledged = tuple(self._committed_ends)
        message = self._scheduler.compose_exchange(self.worker, now, acknowledged)
        if not self._incarnation or self.unreachable:
            return WorkerExchange(
                incarnation=self._incarnation, expires=message.expires
            )
        return evolve(message, incarnation=self._incarnation)

    def _handle_report(self, message: WorkerExchange, report: WorkerReport) -> None:
        """Pass a report on to the scheduler."""
        self.has_reported = True
        settled = self._scheduler.handle_report(self.worker, report)
        self._reported_ends = {end.attempt for end in report.ended}
        if report.incarnation != self._incarnation:
            # What the worker was told before says nothing to this start of it.
            self._incarnation = report.incarnation
            self._committed_ends.clear()
            self._waker.wake()
            self._wake_shard()
        elif report.refused:
            # Its clock is off: it starts and renews nothing, as if it were away.
            self._record_failure(report.refused)
            return
        else:
            self._committed_ends.difference_update(message.acknowledged)
        self._committed_ends.update(settled)
        self._record_success()
        if report.ended or message.starts:
            self._wake_shard()

    def _record_success(self) -> None:
        """Note that the worker does what it is asked."""
        self._consecutive_failures = 0
        if not self.unreachable:
            return
        logger.info("worker {} answers again", self.worker)
        self.unreachable = False
        self._waker.wake()
        self._wake_shard()

    def _record_failure(self, reason: str) -> None:
        """Count an exchange without an answer, or one that was refused."""
        self._consecutive_failures += 1
        if self._consecutive_failures == FAILURES_BEFORE_UNREACHABLE:
            logger.warning("worker {} does not answer: {}", self.worker, reason)
            self.unreachable = True
            self._wake_shard()
