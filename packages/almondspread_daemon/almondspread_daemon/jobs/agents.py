"""Renews the leases of one upstream's runs and sends the upstream its orders."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.crashes import MAX_LOGGED_TASKS, format_task
from almondspread.jobs.incarnations import find_next_token
from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread.jobs.messages import (
    FENCED,
    LEASE_REASON,
    REFUSED,
    STARTED,
    UNKNOWN,
    AssignedReport,
    EpochFenced,
    ExecutorReport,
    PaceRun,
    RunId,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UpstreamReport,
    UpstreamRestarted,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.polling import (
    FULL_REPORT_SHARE,
    IDLE_WAIT,
    choose_renew_wait,
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
from almondspread.jobs.possible_runs import PossibleRuns
from almondspread.jobs.submissions import TaskId
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.upstream_clock import UpstreamClock

CALL_TIMEOUT = timedelta(milliseconds=500)
# The next renew call waits this long for the leader to acknowledge reported ends.
# Otherwise the upstream would answer at once and list the same ends again.
ACKNOWLEDGE_TIMEOUT = timedelta(milliseconds=150)
SILENCE_THRESHOLD = timedelta(milliseconds=1_200)
RETRY_DELAY = timedelta(milliseconds=150)
# So long calls wait for runs to end while they must not renew leases.
FORBIDDEN_RENEWAL_WAIT = timedelta(milliseconds=200)
# The upstream refuses a start that reaches it later than this after it was sent.
START_EXPIRY = timedelta(seconds=2)
# The estimate of an upstream's clock is less than this behind the clock itself.
STOP_SETTLE_TIME = timedelta(seconds=1)
# Runs that have ended are forgotten only beyond this number: the answer to a renew call
# may be older than the start of a run.
MAX_REMEMBERED_RUNS = 200

SendReport = Callable[[ExecutorReport], None]


class UpstreamAgent:
    """Renews the leases of one upstream's runs for the leader of one epoch.

    The agent repeats renew calls, which also wait for runs to end (long polling). The
    agent reports the runs and their ends to the leader, and sends the leader's orders
    to the upstream.
    """

    def __init__(
        self,
        watch: WatchUpstream,
        client: UpstreamClient,
        clock: Clock,
        lease: timedelta,
        metrics: JobMetrics,
        report: SendReport,
        renewable_until: timedelta | None = None,
    ) -> None:
        self.watch = watch
        self._client = client
        self._clock = clock
        now = clock.monotonic()
        self.leases = LeaseRenewal(
            lease, now, watch.leases_left, watch.orphaned_left, renewable_until
        )
        if not watch.renews:
            self.leases.set_limit(now)
        self._metrics = metrics
        self._report = report
        self._last_acknowledged_end = 0
        self._last_forwarded_end = 0
        self._is_confirmed = False
        self._has_answered = False
        self._acknowledgement = asyncio.Event()
        self._upstream_clock = UpstreamClock(clock)
        self._last_answered = clock.monotonic()
        self._last_renew_number = 0
        self._has_ended = False
        self._is_silent = False
        self._renew_wait = IDLE_WAIT
        self._unpaced_runs: set[tuple[TaskId, int]] = set()
        self._last_full_report: timedelta | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self.possible_runs = PossibleRuns()
        if watch.knows_runs:
            self.possible_runs.adopt(watch.confirmed_runs, watch.unconfirmed_runs)
        self._renew_task = asyncio.create_task(self._run_renew_loop())

    def close(self) -> None:
        """Stop renewing leases; they expire unless another agent renews them."""
        self._has_ended = True
        self._renew_task.cancel()

    @property
    def is_running(self) -> bool:
        """Whether the agent still renews the leases."""
        return not self._renew_task.done()

    def limit_leases(self, limit: timedelta) -> None:
        """Renew no lease beyond a time, as the leader of this epoch is lost."""
        self.leases.set_limit(limit)

    def extend_leases(self, renewable_until: timedelta) -> None:
        """Renew leases up to a time, as the leader's own lease lasts until later."""
        self.leases.extend(renewable_until)

    def allow_renewals(self) -> None:
        """Renew the leases from now on, without a limit."""
        self.leases.lift_limit()

    def resend_reports(self) -> None:
        """Report all runs and unacknowledged ends again, when a leader asks for it.

        The pending renew call may wait for long, or on a connection that is silent.
        """
        self._last_forwarded_end = self._last_acknowledged_end
        self._spawn(self._poll_twice())

    def acknowledge(self, number: int) -> None:
        """Note that the leader has stored all ends up to ``number``."""
        self._last_acknowledged_end = max(self._last_acknowledged_end, number)
        self._acknowledgement.set()

    def start(self, order: StartRun) -> None:
        """Start a run at the upstream, without waiting for the outcome."""
        self.possible_runs.record_order(RunId(order.task, order.run))
        self._spawn(self._start(order))

    def stop(self, order: StopRun) -> None:
        """Stop a run at the upstream, without waiting for the outcome."""
        self._spawn(self._stop(order))

    def pace(self, order: PaceRun) -> None:
        """Throttle a run at the upstream, without waiting for the outcome."""
        self._spawn(self._pace(order))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run one call concurrently with the others."""
        task = asyncio.create_task(work)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _run_renew_loop(self) -> None:
        """Repeat renew calls until the upstream rejects the epoch or is replaced."""
        while True:
            if self._last_forwarded_end > self._last_acknowledged_end:
                await self._await_acknowledgement()
            now = self._clock.monotonic()
            until = self._choose_lease_end(now)
            if until is not None:
                self.leases.record_renewal(now)
            wait = self._choose_wait(until, now)
            try:
                failure = await self._renew(until, wait)
            except Exception as error:
                # Without this agent, the upstream's leases would expire.
                logger.opt(exception=True).error(
                    "renew call ended by an error",
                    upstream=self.watch.upstream,
                    reason=str(error),
                )
                failure = CallFailed(str(error), not_done=False)
            if failure is None:
                continue
            if not self._handle_failure(failure):
                if failure.restarted:
                    await self._fence_late_calls()
                return
            await self._clock.sleep(RETRY_DELAY)

    async def _renew(
        self, until: timedelta | None, wait: timedelta, reports_all: bool = False
    ) -> CallFailed | None:
        """Make one renew call and report its answer; return its failure if it fails.

        The upstream renews the leases up to its time ``until``, or no lease if that is
        ``None``. With ``reports_all``, the report has all runs in any case.
        """
        self._last_renew_number += 1
        number = self._last_renew_number
        acknowledged = self._last_acknowledged_end
        if not self._is_confirmed:
            # Another incarnation may answer, of which these ends are not.
            acknowledged, wait = 0, timedelta(0)
        call = RenewCall(self.watch.fencing_token, acknowledged, until, wait)
        answer = await self._client.renew_leases(
            self.watch.address, self.watch.upstream, call, wait + CALL_TIMEOUT
        )
        self._is_confirmed = answer.is_ok()
        if answer.is_error():
            return answer.error
        self._handle_answer(answer.ok, number, reports_all)
        return None

    async def _fence_late_calls(self) -> None:
        """Have the next incarnation refuse late calls that are for this one.

        It knows no token yet, nor the runs that were stopped here.
        """
        token = find_next_token(self.watch.fencing_token)
        call = RenewCall(token, 0, None, timedelta(0))
        await self._client.renew_leases(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )

    async def _poll_now(self) -> CallFailed | None:
        """Report all runs now, without waiting for the pending renew call."""
        if self._has_ended:
            return CallFailed("its renewals have ended", not_done=True)
        failure = await self._renew(None, timedelta(0), reports_all=True)
        if failure is not None and failure.restarted:
            self._end_by_restart(failure)
        return failure

    def _end_by_restart(self, failure: CallFailed) -> None:
        """End the renewals, as a call beside them has met another incarnation.

        The pending renew call would tell of it only once it has timed out.
        """
        if self._has_ended:
            return
        self._renew_task.cancel()
        self._is_confirmed = False
        self._handle_failure(failure)
        self._spawn(self._fence_late_calls())

    async def _poll_twice(self) -> None:
        """Report all runs now; the second call uses a new connection."""
        if await self._poll_now() is not None:
            await self._poll_now()

    def _choose_lease_end(self, now: timedelta) -> timedelta | None:
        """Return until when to renew the leases, by the upstream's clock.

        The result is ``None`` until the first answer shows the upstream's clock, beyond
        the limit of the leases, and for a silent upstream, so that calls renew nothing:
        a renewal that arrives late would postpone the time at which the leases have
        certainly expired.
        """
        upstream_time = self._upstream_clock.read()
        lease = self.leases.choose_lease(now)
        if upstream_time is None or self._is_silent or lease is None:
            return None
        if now - self._last_answered >= SILENCE_THRESHOLD:
            # This process was paused, so the leader may have counted the leases out.
            return None
        return upstream_time + lease

    def _choose_wait(self, until: timedelta | None, now: timedelta) -> timedelta:
        """Return how long the next renew call waits for runs to end."""
        lease = self.leases.choose_lease(now)
        if until is not None and lease is not None:
            # A lease that must not be renewed at full length ends before long.
            return min(self._renew_wait, max(FORBIDDEN_RENEWAL_WAIT, lease / 2))
        if lease is None and not self._is_silent:
            # The leader may allow renewals at any time.
            return min(self._renew_wait, FORBIDDEN_RENEWAL_WAIT)
        return timedelta(0)

    async def _await_acknowledgement(self) -> None:
        """Wait for an acknowledgement of ends, up to ``ACKNOWLEDGE_TIMEOUT``."""
        self._acknowledgement.clear()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT.total_seconds()):
                await self._acknowledgement.wait()
        except TimeoutError:
            return

    def _handle_answer(
        self, answer: RenewAnswer, number: int, reports_all: bool
    ) -> None:
        """Report new ends, and all runs if a full report is asked for or due.

        A stale answer still shows ends, but not what runs at the upstream now.
        """
        now = self._clock.monotonic()
        self._last_answered = now
        self._is_silent = False
        if not self._has_answered:
            self._has_answered = True
            self.leases.record_first_answer(now)
        is_stale = not self._upstream_clock.observe(answer.clock)
        after = self._last_forwarded_end
        ends = tuple(end for end in answer.ends if end.number > after)
        for end in ends:
            self._last_forwarded_end = max(self._last_forwarded_end, end.number)
        full = not is_stale and (
            reports_all
            or self._last_full_report is None
            or now - self._last_full_report >= self._renew_wait * FULL_REPORT_SHARE
        )
        if not is_stale:
            self.possible_runs.record_answer(answer)
            self._update_renew_wait(answer)
        if full:
            # The first answer that lists all ends is reported in full again.
            self._last_full_report = now if answer.lists_all_ends else None
        if not ends and not full:
            return
        running = answer.running if full else None
        self._report_state(
            UpstreamReport(
                self.watch.upstream,
                self.watch.epoch,
                number,
                after,
                ends,
                running,
                answer.lists_all_ends,
                self.watch.fencing_token,
            )
        )

    def _update_renew_wait(self, answer: RenewAnswer) -> None:
        """Choose the wait of the next renew call by the runs of the newest answer."""
        running = {(sighting.task, sighting.run) for sighting in answer.running}
        self._renew_wait = choose_renew_wait(answer.running, self._unpaced_runs)
        if len(self._unpaced_runs) > MAX_REMEMBERED_RUNS:
            self._unpaced_runs &= running

    def _handle_failure(self, failure: CallFailed) -> bool:
        """Report a failed renew call; return whether to make further ones.

        The agent ends when the upstream rejects its token, has been replaced or has
        restarted.
        """
        upstream, epoch = self.watch.upstream, self.watch.epoch
        if failure.fenced or failure.replaced or failure.restarted:
            self._has_ended = True
        if failure.fenced:
            self._report(EpochFenced(upstream, epoch))
            return False
        if failure.replaced:
            self._report(UpstreamSilent(upstream, epoch, timedelta(0), replaced=True))
            return False
        if failure.restarted:
            logger.warning(
                "upstream has restarted",
                upstream=upstream,
                reason=failure.reason,
                acknowledged=self._last_acknowledged_end,
                forwarded=self._last_forwarded_end,
                answered_before=self._measure_silence().total_seconds(),
                **self._describe_unsettled_starts(),
            )
            self.leases.has_restarted = True
            self._report(UpstreamRestarted(upstream, epoch))
            return False
        if self._clock.monotonic() - self._last_answered >= SILENCE_THRESHOLD:
            self._report_silence()
        return True

    def _measure_silence(self) -> timedelta:
        """Return how long ago the upstream last answered a renew call."""
        return self._clock.monotonic() - self._last_answered

    def _describe_unsettled_starts(self) -> dict[str, Any]:
        """Return for logs the starts that no answer of the upstream has settled."""
        runs = self.possible_runs.list_unsettled()
        names = [f"{format_task(run.task)} run {run.run}" for run in runs]
        return {"unsettled": len(runs), "starts": names[:MAX_LOGGED_TASKS]}

    def _report_silence(self) -> None:
        """Report that the upstream does not answer; its leases are not renewed.

        An agent that has ended tells no more of its incarnation.
        """
        if self._has_ended:
            return
        left = self.leases.expiry - self._clock.monotonic()
        if not self._is_silent:
            logger.info(
                "upstream does not answer",
                upstream=self.watch.upstream,
                lapse_in=left.total_seconds(),
                **self._describe_unsettled_starts(),
            )
        self._is_silent = True
        self._last_full_report = None
        self._report(UpstreamSilent(self.watch.upstream, self.watch.epoch, left))

    async def _start(self, order: StartRun) -> None:
        """Start a run and report the outcome.

        After a failed call, the upstream must first confirm that the same incarnation
        answers: another one would neither refuse a superseded leader nor know which
        runs were stopped.
        """
        if not self._is_confirmed:
            await self._poll_now()
        upstream_time = self._upstream_clock.read()
        run = RunId(order.task, order.run)
        if upstream_time is None or not self._is_confirmed:
            self.possible_runs.record_refusal(run)
            self._report_start(order, REFUSED, "unreachable")
            return
        if not self.leases.may_grant(self._clock.monotonic(), START_EXPIRY):
            self.possible_runs.record_refusal(run)
            self._report_start(order, REFUSED, LEASE_REASON)
            return
        self.possible_runs.record_expiry(run, upstream_time + START_EXPIRY)
        call = StartCall(
            self.watch.fencing_token,
            order.task,
            order.run,
            order.payload,
            upstream_time + START_EXPIRY,
            order.checkpoint,
            order.ticket,
            self._may_send_start,
        )
        if not order.paced:
            self._unpaced_runs.add((order.task, order.run))
        sent = self._clock.monotonic()
        self.leases.record_start(sent, START_EXPIRY)
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
            self.possible_runs.record_refusal(run)
            self._report_start(order, REFUSED, failure.reason)
            if failure.restarted:
                self._end_by_restart(failure)
        else:
            self._is_confirmed = False
            self._report_start(order, UNKNOWN, failure.reason)
            if await self._poll_now() is not None and self._last_answered < sent:
                # Neither call was answered; the pending renew call may wait longer.
                self._report_silence()

    def _may_send_start(self) -> bool:
        """Tell whether the same incarnation has answered the last call.

        A start may have waited for a connection while calls before it failed.
        """
        return self._is_confirmed and not self._has_ended

    def _report_state(self, report: AssignedReport) -> None:
        """Report what the upstream answers, unless this agent has ended.

        The agent that replaces it numbers its own calls, and knows its own leases; and
        late answers of an upstream that has restarted tell nothing of the next one.
        """
        if not self._has_ended:
            self._report(report)

    def _report_start(self, order: StartRun, outcome: str, reason: str) -> None:
        """Report the outcome of a start to the leader."""
        self._report(
            StartSettled(self.watch.upstream, order.task, order.run, outcome, reason)
        )

    async def _stop(self, order: StopRun) -> None:
        """Stop a run and report whether the upstream has answered.

        The report holds the number of the next renew call, whose answer shows the state
        after the stop.
        """
        call = StopCall(self.watch.fencing_token, order.task, order.run)
        answer = await self._client.stop(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )
        if answer.is_error() and answer.error.fenced:
            self._report(EpochFenced(self.watch.upstream, self.watch.epoch))
            return
        self._record_stop(order, answer.is_ok())
        self._report_state(
            StopSettled(
                self.watch.upstream,
                order.task,
                order.run,
                answer.is_ok(),
                self._last_renew_number + 1,
            )
        )
        if not self._has_ended:
            await self._poll_now()

    def _record_stop(self, order: StopRun, answered: bool) -> None:
        """Record that a run cannot start any more, if its stop was answered."""
        upstream_time = self._upstream_clock.read()
        if answered and upstream_time is not None:
            self.possible_runs.record_stop(
                RunId(order.task, order.run), upstream_time + STOP_SETTLE_TIME
            )

    async def _pace(self, order: PaceRun) -> None:
        """Throttle a run; the next full report shows whether that worked."""
        call = PaceCall(self.watch.fencing_token, order.task, order.run, order.percent)
        answer = await self._client.pace(
            self.watch.address, self.watch.upstream, call, CALL_TIMEOUT
        )
        if answer.is_error():
            logger.info(
                "upstream did not throttle run",
                job=order.task.job,
                upstream=order.upstream,
                reason=answer.error.reason,
            )
