"""Holds the leases of one upstream, and gives it its orders."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.leases import MAX_CLOCK_DRIFT_FACTOR
from almondspread.jobs.messages import (
    FENCED,
    REFUSED,
    STARTED,
    UNKNOWN,
    EpochFenced,
    ExecutorReport,
    PaceRun,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.ports import (
    CallFailed,
    PaceCall,
    RenewAnswer,
    RenewCall,
    StartCall,
    StopCall,
    UpstreamClient,
)
from almondspread_daemon.jobs.metrics import JobMetrics

HOLD_WAIT = timedelta(milliseconds=500)
CALL_TIMEOUT = timedelta(milliseconds=500)
# Reports carry the whole list of runs so often; ends are reported at once.
FULL_REPORT_INTERVAL = timedelta(milliseconds=400)
# An end that is not acknowledged yet would be listed again at once.
ACKNOWLEDGE_TIMEOUT = timedelta(milliseconds=150)
SILENCE_THRESHOLD = timedelta(milliseconds=1_200)
RETRY_DELAY = timedelta(milliseconds=150)
# A start that is carried out later than this is refused by the upstream.
START_EXPIRY = timedelta(seconds=2)
LEASE_EXPIRY_MARGIN = timedelta(milliseconds=300)

SendReport = Callable[[ExecutorReport], None]


class UpstreamAgent:
    """Holds the leases of one upstream under one epoch, and gives it its orders."""

    def __init__(
        self,
        watch: WatchUpstream,
        client: UpstreamClient,
        clock: Clock,
        lease: timedelta,
        metrics: JobMetrics,
        report: SendReport,
    ) -> None:
        self.watch = watch
        self._client = client
        self._clock = clock
        self._lease = lease
        self._metrics = metrics
        self._report = report
        self._last_acknowledged_end = 0
        self._last_forwarded_end = 0
        self._acknowledged_event = asyncio.Event()
        self._clock_reading: tuple[timedelta, timedelta] | None = None
        self._lease_expiry = (
            clock.monotonic() + lease * MAX_CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN
        )
        self._last_answered = clock.monotonic()
        self._last_hold_number = 0
        self._is_closed = False
        self._full_report_at: timedelta | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._hold_task = asyncio.create_task(self._run_hold_loop())

    def close(self) -> None:
        """Stop holding the leases; what runs there lapses, unless another holds it."""
        self._is_closed = True
        self._hold_task.cancel()

    @property
    def is_running(self) -> bool:
        """Whether the leases are still being held."""
        return not self._hold_task.done()

    def resend_reports(self) -> None:
        """Report everything anew, to a leader that has come back."""
        self._last_forwarded_end = self._last_acknowledged_end
        self._full_report_at = None

    def acknowledge(self, number: int) -> None:
        """Take note that the ends up to ``number`` are stored."""
        self._last_acknowledged_end = max(self._last_acknowledged_end, number)
        self._acknowledged_event.set()

    def start(self, order: StartRun) -> None:
        """Start a run."""
        self._spawn(self._start(order))

    def stop(self, order: StopRun) -> None:
        """Stop a run."""
        self._spawn(self._stop(order))

    def pace(self, order: PaceRun) -> None:
        """Limit the speed of a run."""
        self._spawn(self._pace(order))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run one call beside the others."""
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _read_upstream_clock(self) -> timedelta | None:
        """Return the upstream's steady clock as of now."""
        if self._clock_reading is None:
            return None
        upstream_time, local_time = self._clock_reading
        return upstream_time + (self._clock.monotonic() - local_time)

    async def _run_hold_loop(self) -> None:
        """Ask for what runs and what has ended, again and again."""
        while True:
            if self._last_forwarded_end > self._last_acknowledged_end:
                await self._await_acknowledgement()
            now = self._clock.monotonic()
            until = self._choose_lease_end(now)
            if until is not None:
                self._lease_expiry = (
                    now + self._lease * MAX_CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN
                )
            wait = HOLD_WAIT if until is not None else timedelta(0)
            failure = await self._hold(until, wait)
            if failure is None:
                continue
            if not self._handle_failure(failure):
                return
            await self._clock.sleep(RETRY_DELAY)

    async def _hold(
        self, until: timedelta | None, wait: timedelta
    ) -> CallFailed | None:
        """Hold once and report the answer; return why there is none."""
        self._last_hold_number += 1
        number = self._last_hold_number
        call = RenewCall(self.watch.epoch, self._last_acknowledged_end, until, wait)
        answer = await self._client.renew_leases(
            self.watch.address, self.watch.upstream, call, wait + CALL_TIMEOUT
        )
        if answer.is_error():
            return answer.error
        self._handle_answer(answer.ok, number)
        return None

    async def _poll_now(self) -> None:
        """Report at once all that runs, while a longer hold is under way."""
        self._full_report_at = None
        await self._hold(None, timedelta(0))

    def _choose_lease_end(self, now: timedelta) -> timedelta | None:
        """Return until when to renew leases, by the upstream's clock.

        A silent upstream is only looked at: a renewal that may arrive late would
        put off the time from which on its runs are known to have lapsed.
        """
        upstream_time = self._read_upstream_clock()
        if upstream_time is None or now - self._last_answered >= SILENCE_THRESHOLD:
            return None
        return upstream_time + self._lease

    async def _await_acknowledgement(self) -> None:
        """Wait a little for the ends that were reported to be acknowledged."""
        self._acknowledged_event.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT.total_seconds()):
                await self._acknowledged_event.wait()
        except TimeoutError:
            return

    def _handle_answer(self, answer: RenewAnswer, number: int) -> None:
        """Report what an upstream has answered."""
        now = self._clock.monotonic()
        self._last_answered = now
        overtaken = self._is_stale(answer)
        if not overtaken:
            self._clock_reading = (answer.clock, now)
        after = self._last_forwarded_end
        ends = tuple(end for end in answer.ends if end.number > after)
        for end in ends:
            self._last_forwarded_end = max(self._last_forwarded_end, end.number)
        full = not overtaken and (
            self._full_report_at is None
            or now - self._full_report_at >= FULL_REPORT_INTERVAL
        )
        if full:
            self._full_report_at = now
        if not ends and not full:
            return
        running = answer.running if full else None
        self._report(
            UpstreamReport(
                self.watch.upstream, self.watch.epoch, number, after, ends, running
            )
        )

    def _is_stale(self, answer: RenewAnswer) -> bool:
        """Tell whether a later answer has come first, so that this shows the past."""
        return self._clock_reading is not None and answer.clock < self._clock_reading[0]

    def _handle_failure(self, failure: CallFailed) -> bool:
        """Report a hold without an answer; false where there is nothing to hold."""
        upstream, epoch = self.watch.upstream, self.watch.epoch
        if failure.fenced:
            self._report(EpochFenced(upstream, epoch))
            return False
        if failure.replaced:
            self._report(UpstreamSilent(upstream, epoch, timedelta(0), replaced=True))
            return False
        now = self._clock.monotonic()
        if now - self._last_answered >= SILENCE_THRESHOLD:
            self._full_report_at = None
            self._report(UpstreamSilent(upstream, epoch, self._lease_expiry - now))
        return True

    async def _start(self, order: StartRun) -> None:
        """Start a run and report what came of it."""
        upstream_time = self._read_upstream_clock()
        if upstream_time is None:
            self._report_start(order, REFUSED, "unreachable")
            return
        call = StartCall(
            self.watch.epoch,
            order.task,
            order.run,
            order.payload,
            upstream_time + START_EXPIRY,
            order.checkpoint,
            order.ticket,
        )
        sent = self._clock.monotonic()
        answer = await self._client.start(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )
        outcome = STARTED if answer.is_ok() else "failed"
        self._metrics.record_start(self._clock.monotonic() - sent, outcome)
        if answer.is_ok():
            self._report_start(order, STARTED, "")
            return
        failure = answer.error
        if failure.fenced:
            self._report_start(order, FENCED, failure.reason)
            self._report(EpochFenced(self.watch.upstream, self.watch.epoch))
        elif failure.not_done:
            self._report_start(order, REFUSED, failure.reason)
        else:
            self._report_start(order, UNKNOWN, failure.reason)
            await self._poll_now()

    def _report_start(self, order: StartRun, outcome: str, reason: str) -> None:
        """Report the outcome of a start."""
        self._report(
            StartSettled(self.watch.upstream, order.task, order.run, outcome, reason)
        )

    async def _stop(self, order: StopRun) -> None:
        """Stop a run and report whether the upstream answered."""
        call = StopCall(self.watch.epoch, order.task, order.run)
        answer = await self._client.stop(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )
        if answer.is_error() and answer.error.fenced:
            self._report(EpochFenced(self.watch.upstream, self.watch.epoch))
            return
        if self._is_closed:
            # Another agent numbers the questions now, and is told to stop the run too.
            return
        self._report(
            StopSettled(
                self.watch.upstream,
                order.task,
                order.run,
                answer.is_ok(),
                self._last_hold_number + 1,
            )
        )
        await self._poll_now()

    async def _pace(self, order: PaceRun) -> None:
        """Limit the speed of a run; the next report shows whether it worked."""
        call = PaceCall(self.watch.epoch, order.task, order.run, order.percent)
        answer = await self._client.pace(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )
        if answer.is_error():
            logger.info(
                "pace not set",
                job=order.task.job,
                upstream=order.upstream,
                reason=answer.error.reason,
            )
