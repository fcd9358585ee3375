"""Executes the leader's orders at the upstreams assigned to this instance."""

import asyncio
from datetime import timedelta

from expression import Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.advice_pace import MAX_QUESTION_TIME, AdvicePace
from almondspread.jobs.leases import EXECUTOR_GRACE
from almondspread.jobs.messages import (
    REFUSED,
    AcknowledgeEnds,
    AskPermits,
    ExecutorReport,
    PaceRun,
    PermitsAnswered,
    StartRun,
    StartSettled,
    StopRun,
    UnwatchUpstream,
    UpstreamOrder,
    WatchUpstream,
)
from almondspread.jobs.ports import (
    Advice,
    AdviceClient,
    CallFailed,
    UpstreamClient,
)
from almondspread_daemon.jobs.agents import SendReport, UpstreamAgent
from almondspread_daemon.jobs.assignment_memory import AssignmentMemory
from almondspread_daemon.jobs.metrics import JobMetrics


class Executor:
    """Runs an agent for each upstream that the leader assigned to this instance.

    Without a leader, the agents go on renewing leases for ``EXECUTOR_GRACE``, so that
    runs survive a change of leader.
    """

    def __init__(
        self,
        client: UpstreamClient,
        advice: AdviceClient,
        clock: Clock,
        lease: timedelta,
        metrics: JobMetrics,
    ) -> None:
        self._client = client
        self._advice = advice
        self._clock = clock
        self._lease = lease
        self._metrics = metrics
        self._agents: dict[str, UpstreamAgent] = {}
        self._memory = AssignmentMemory(clock)
        self._told_epoch = 0
        self._leader_epoch = 0
        self._report: SendReport = _drop_report
        self._calls: set[asyncio.Task[None]] = set()
        self._advice_lock = asyncio.Lock()
        self._advice_pace = AdvicePace()
        self._expiry_task: asyncio.Task[None] | None = None
        self._renewable_until: timedelta | None = None

    def attach_leader(
        self, report: SendReport, epoch: int, *, is_bounded: bool = False
    ) -> None:
        """Send reports to the leader of an epoch, and keep renewing leases.

        Where it ``is_bounded``, the leader tells how long its own lease lasts, and
        nothing is renewed for it before it does. Others renew leases without that.
        """
        self._report = report
        self._leader_epoch = epoch
        now = self._clock.monotonic()
        self._renewable_until = now if is_bounded else None
        for agent in self._agents.values():
            # Orders of the leader may arrive before it has accepted this instance.
            if agent.watch.epoch == epoch and is_bounded:
                agent.leases.begin_bound(now)
            elif agent.watch.epoch == epoch:
                agent.leases.end_bound()
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            self._expiry_task = None

    def extend_leases(self, lease_until: timedelta) -> None:
        """Renew leases as long as the leader's own lasts, and one lease beyond.

        A leader that cannot renew its lease may have been replaced. Its successor
        counts the leases of its executors from the last renewal of its own.
        """
        if self._renewable_until is None:
            return
        until = max(self._renewable_until, lease_until + self._lease)
        self._renewable_until = until
        for agent in self._agents.values():
            if agent.watch.epoch == self._leader_epoch:
                agent.extend_leases(until)

    def report_remembered(self, report: SendReport, epoch: int) -> None:
        """Tell the leader of an epoch what upstreams may run by orders of earlier ones.

        No such order is carried out from now on, and no lease renewed under one, as the
        leader is told which runs are possible and when the leases expire.
        """
        self._told_epoch = max(self._told_epoch, epoch)
        now = self._clock.monotonic()
        for agent in self._agents.values():
            if agent.watch.epoch < epoch:
                agent.limit_leases(now)
                self._memory.keep(agent.watch, agent.possible_runs, agent.leases)
        for message in self._memory.describe_all():
            report(message)

    def detach_leader(self) -> None:
        """Drop reports, and stop renewing leases after ``EXECUTOR_GRACE``.

        Nothing is renewed beyond one lease from now before a leader allows it.
        """
        self._report = _drop_report
        limit = self._clock.monotonic() + self._lease
        for agent in self._agents.values():
            agent.limit_leases(limit)
        if self._expiry_task is None:
            self._expiry_task = asyncio.create_task(self._expire_leases())

    async def _expire_leases(self) -> None:
        """Stop renewing leases after ``EXECUTOR_GRACE`` without a leader."""
        await self._clock.sleep(EXECUTOR_GRACE)
        logger.warning(
            "no leader in time, no longer renewing leases", upstreams=len(self._agents)
        )
        self.close()

    def close(self) -> None:
        """Stop the agents of all upstreams."""
        for agent in self._agents.values():
            self._end_assignment(agent)
        self._agents.clear()

    def _end_assignment(self, agent: UpstreamAgent) -> None:
        """Stop the agent of an upstream, and remember what may run there."""
        agent.close()
        self._memory.keep(agent.watch, agent.possible_runs, agent.leases)

    def send_report(self, report: ExecutorReport) -> None:
        """Send a report to the leader; drop the report if there is no leader."""
        self._report(report)

    def execute_order(self, order: UpstreamOrder | AskPermits) -> None:
        """Begin to execute one order of the leader."""
        match order:
            case WatchUpstream():
                self._watch(order)
            case UnwatchUpstream():
                agent = self._agents.pop(order.upstream, None)
                if agent is not None:
                    self._end_assignment(agent)
            case AskPermits():
                task = asyncio.create_task(self._ask_permits(order))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)
            case _:
                self._forward_order(order)

    def _watch(self, order: WatchUpstream) -> None:
        """Start an agent for an upstream, or have a running one report all again.

        An order of an earlier epoch is ignored, since a session that has ended could
        otherwise take the upstream back.
        """
        agent = self._agents.get(order.upstream)
        newest = max(self._told_epoch, agent.watch.epoch if agent is not None else 0)
        if order.epoch < newest:
            logger.warning(
                "ignoring order of an earlier epoch", upstream=order.upstream
            )
            return
        if (
            agent is not None
            and agent.is_running
            and agent.watch.is_same_assignment(order)
        ):
            if order.renews:
                agent.allow_renewals()
            agent.resend_reports()
            return
        if agent is not None:
            self._end_assignment(agent)
        self._agents[order.upstream] = UpstreamAgent(
            order,
            self._client,
            self._clock,
            self._lease,
            self._metrics,
            self.send_report,
            self._renewable_until,
        )

    def _forward_order(
        self, order: StartRun | StopRun | PaceRun | AcknowledgeEnds
    ) -> None:
        """Pass an order to the agent of its upstream, if there is one."""
        agent = self._agents.get(order.upstream)
        match order:
            case StartRun() if agent is None or self._leader_epoch < self._told_epoch:
                self.send_report(
                    StartSettled(
                        order.upstream, order.task, order.run, REFUSED, "unreachable"
                    )
                )
            case StartRun() if agent is not None:
                agent.start(order)
            case StopRun() if agent is not None:
                agent.stop(order)
            case PaceRun() if agent is not None:
                agent.pace(order)
            case AcknowledgeEnds() if agent is not None:
                agent.acknowledge(order.number)

    async def _ask_permits(self, order: AskPermits) -> None:
        """Ask the advice service for permits, one request at a time."""
        async with self._advice_lock:
            answer = await self._ask_again_if_lost(order)
        tickets = None
        validity = timedelta(0)
        if answer.is_ok():
            tickets = answer.ok.tickets
            validity = answer.ok.validity
        else:
            logger.warning(
                "advice service gave no permits",
                job=order.job,
                reason=answer.error.reason,
            )
        self.send_report(
            PermitsAnswered(order.job, order.occurrence, order.step, tickets, validity)
        )

    async def _ask_again_if_lost(self, order: AskPermits) -> Result[Advice, CallFailed]:
        """Ask the advice service, a second time if the answer is far too late.

        The second call uses a new connection, and all the time that remains.
        """
        expected = timedelta(seconds=order.duration_seconds)
        timeout = self._advice_pace.choose_timeout(expected)
        answer = await self._ask_once(order, timeout)
        remaining = MAX_QUESTION_TIME - timeout
        if answer.is_ok() or answer.error.not_done or not remaining:
            return answer
        logger.info(
            "advice service asked again",
            job=order.job,
            seconds=timeout.total_seconds(),
            reason=answer.error.reason,
        )
        return await self._ask_once(order, remaining)

    async def _ask_once(
        self, order: AskPermits, timeout: timedelta
    ) -> Result[Advice, CallFailed]:
        """Make one call to the advice service, and note how long an answer takes."""
        sent = self._clock.monotonic()
        answer = await self._advice.request_permits(
            order.job, order.occurrence, order.step, order.upstreams, timeout
        )
        if answer.is_ok():
            expected = timedelta(seconds=order.duration_seconds)
            self._advice_pace.record_answer(expected, self._clock.monotonic() - sent)
        return answer


def _drop_report(_: ExecutorReport) -> None:
    """Drop a report without a leader; the next leader has all reports sent again."""
