"""An instance of the job scheduler, which leads the cell or follows its leader."""

import asyncio
import random
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.leases import LeaderRow, compute_inherited_expiry
from almondspread.jobs.messages import ExecutorReport
from almondspread.jobs.ports import (
    AdviceClient,
    MachineClient,
    OperatorInput,
    UpstreamClient,
)
from almondspread.jobs.waves import MaintenanceWave
from almondspread_daemon.addresses import parse_address
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.follower import Follower
from almondspread_daemon.jobs.job_service import JobService
from almondspread_daemon.jobs.key_check import KeyCheck
from almondspread_daemon.jobs.lasting import run_lasting
from almondspread_daemon.jobs.leader import LeaderSession
from almondspread_daemon.jobs.leader_inquiry import LeaderInquiry
from almondspread_daemon.jobs.leader_messages import LeaderMessageDispatcher
from almondspread_daemon.jobs.leader_row_access import LeaderRowAccess
from almondspread_daemon.jobs.link_messages import (
    AskOperatorRows,
    JobCancelled,
    Leaving,
)
from almondspread_daemon.jobs.link_service import LinkService
from almondspread_daemon.jobs.links import LinkServer
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.operations import OperationsFeed
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.published_input import PublishedInput
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.retention import SWEEP_INTERVAL
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.state_cache import JobStateCache
from almondspread_daemon.jobs.store_access import StoreAccess

POLL_INTERVAL = timedelta(milliseconds=100)
# Instances that detect a leader's failure at the same time claim after random delays.
CLAIM_JITTER = timedelta(milliseconds=80)


class JobInstance:
    """Connects the parts of an instance: job service, executor, follower, leader.

    Every instance serves callers. One instance leads the cell at a time and schedules
    all jobs; the others follow it and execute its orders.
    """

    def __init__(
        self,
        settings: JobSettings,
        incarnation: str,
        store: StoreAccess,
        upstreams: UpstreamClient,
        advice: AdviceClient,
        machines: MachineClient | None,
        clock: Clock,
        metrics: JobMetrics,
        random_source: random.Random,
    ) -> None:
        self.settings = settings
        self.state_cache = JobStateCache()
        admission = self.state_cache.admission
        metrics.observe_load(
            lambda: admission.measure_age(clock.monotonic()),
            lambda: admission.estimate.list_longest_waits(),
        )
        self.store_clock = RemoteClock(clock)
        self._relay = RowRelay(clock)
        self._writer = RowWriter(
            store, clock, settings.instance, self._relay, settings.store_limits
        )
        self._published = PublishedInput(
            store.decode_operator_rows, self._apply_operations, clock, metrics
        )
        self.job_service = JobService(
            store,
            self._writer,
            self.store_clock,
            clock,
            self.state_cache,
            metrics,
            self._notify_leader_of_cancel,
            self._is_configuration_current,
            KeyCheck(
                settings.key_check,
                clock,
                metrics,
                self._is_configuration_current,
                lambda: self._published.age,
            ),
        )
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._operations = OperationsFeed(
            store,
            clock,
            settings.apply_budget,
            self._published.take_all,
            self._published.take_changes,
        )
        self._exchange = OperatorExchange(
            self._published, clock, lambda: store.is_failing
        )
        self._inquiry = LeaderInquiry(
            settings.peer_address,
            settings.contacts,
            clock,
            random_source,
            lambda: AskOperatorRows(self._published.rows.list_versions()),
            self._exchange.take,
        )
        self._machines = machines
        self._waves: tuple[MaintenanceWave, ...] = ()
        self._executor = Executor(upstreams, advice, clock, settings.lease, metrics)
        self._session: LeaderSession | None = None
        self._link_service = LinkService(
            incarnation,
            clock,
            self._exchange,
            lambda: self._session,
            self._find_leader_row,
        )
        self._listener = LinkServer(
            self._link_service.serve, settings.peer_limits, metrics.count_refused_client
        )
        self._stopping = False
        self._candidacy = Candidacy(
            settings.instance, incarnation, clock, self.store_clock
        )
        self._leader_rows = LeaderRowAccess(store, self.store_clock, clock)
        self._dispatcher = LeaderMessageDispatcher(
            self.state_cache,
            self._executor,
            self._relay,
            self._candidacy,
            self._exchange,
            self._inquiry.remember,
            clock,
        )
        self._follower = Follower(
            settings,
            incarnation,
            self._dispatcher,
            self._candidacy,
            self._leader_rows,
            self.store_clock,
            clock,
            self._exchange.stamp,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this instance.

        A ready instance has a configuration, is not shutting down, and reaches the
        store directly or through the leader.
        """
        if self.job_service.configuration is None or self._stopping:
            return False
        return self._relay.is_open or not self._store.is_failing

    def _is_configuration_current(self) -> bool:
        """Tell whether the configuration was the newest within its time to apply."""
        age = self._published.age
        return age is not None and age <= self.settings.apply_budget.limit

    @property
    def is_stopping(self) -> bool:
        """Whether this instance is shutting down."""
        return self._stopping

    async def run(self) -> None:
        """Run until cancelled."""
        host, port = parse_address(
            self.settings.peer_listen_address or self.settings.peer_address
        )
        self._listener.listen(port, host)
        loops = {
            "operations": self._operations.run,
            "probes": self._store.run_probes,
            "writes": self._writer.run,
            "ended jobs": self._remove_ended_jobs,
        }
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_election())
            for name, run in loops.items():
                group.create_task(run_lasting(name, run, self._clock, self._metrics))

    async def _remove_ended_jobs(self) -> None:
        """Remove ended jobs from the cache after the retention for callers."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self.state_cache.remove_ended(
                self._clock.monotonic(), self.settings.status_retention
            )

    async def stop(self) -> None:
        """Release the leadership, or tell the leader that this instance shuts down."""
        self._stopping = True
        if self._session is not None:
            await self._session.release()
        self._follower.send(Leaving())

    def close(self) -> None:
        """Close the links and stop the agents."""
        self._listener.stop()
        self._follower.close()
        self._executor.close()

    # Operations

    def _apply_operations(self, operations: OperatorInput) -> None:
        """Apply the configuration and waves that operators have published."""
        if operations.configuration is not None:
            self._apply_configuration(operations.configuration)
        self._waves = operations.waves
        if self._session is not None:
            self._session.set_waves(operations.waves)
            self._session.send_heartbeat()
        self._follower.send_heartbeat()

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer than the current one."""
        current = self.job_service.configuration
        if current is not None and configuration.version <= current.version:
            return
        logger.info(
            "configuration in force",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        self.job_service.configuration = configuration
        self._metrics.set_configuration_version(configuration.version)
        if self._session is not None:
            self._session.configure(configuration)

    # Leading and following

    async def _run_election(self) -> None:
        """Follow the leader, or claim leadership if there is none; runs until stop.

        An unexpected error ends the following or leading that it occurred in, but not
        the process.
        """
        while not self._stopping:
            try:
                await self._follow_or_lead()
            except Exception as error:
                self._metrics.count_loop_error("election")
                logger.opt(exception=True).error(
                    "election interrupted by an error", reason=str(error)
                )
                await self._clock.sleep(POLL_INTERVAL)

    async def _follow_or_lead(self) -> None:
        """Do what the leader's row asks for: claim, lead, follow or wait."""
        candidacy = self._candidacy
        release = candidacy.consume_release()
        if release is not None:
            await self._claim(release.row, release.version)
        row, version = await self._leader_rows.read()
        if version < 0:
            await self._follow_without_store()
        elif self.job_service.configuration is None:
            await self._clock.sleep(POLL_INTERVAL)
        elif row is None or candidacy.may_claim(row):
            await self._claim_after_delay(row, version)
        elif candidacy.is_own_claim(row):
            await self._lead(row, version)
        elif candidacy.is_unreachable(row):
            # The leader does not answer, but its lease has not expired yet.
            await self._clock.sleep(POLL_INTERVAL)
        else:
            self._inquiry.remember(row.address)
            broke_off = await self._follower.follow(row)
            if broke_off or candidacy.has_release:
                return
            renewal = await self._leader_rows.read_renewal()
            candidacy.record_unreachable(row.incarnation, renewal)
            await self._clock.sleep(POLL_INTERVAL)

    async def _follow_without_store(self) -> None:
        """Follow the leader that other instances know, as the store does not answer.

        It is only followed, never replaced: claims go through the store.
        """
        row = await self._inquiry.find_leader()
        if row is not None and row.incarnation != self._incarnation:
            logger.info("leader named by other instances", leader=row.instance)
            if await self._follower.follow(row):
                return
        await self._clock.sleep(POLL_INTERVAL)

    async def _claim_after_delay(self, row: LeaderRow | None, version: int) -> None:
        """Claim leadership after a delay, unless a chosen successor may claim first."""
        if self._candidacy.must_wait:
            await self._clock.sleep(POLL_INTERVAL)
            return
        jitter = CLAIM_JITTER * self._random.random()
        await self._clock.sleep(self.settings.claim_delay + jitter)
        await self._claim(row, version)

    async def _claim(self, row: LeaderRow | None, version: int) -> None:
        """Try to store a claim to leadership, and lead if that succeeds."""
        assert self.job_service.configuration is not None
        store_time = self.store_clock.now()
        inherited_until = compute_inherited_expiry(
            row, version, store_time, self.settings.lease
        )
        claim = LeaderRow(
            (row.epoch if row is not None else 0) + 1,
            self.settings.instance,
            self._incarnation,
            self.settings.peer_address,
            store_time.total_seconds(),
            started_version=row.started_version if row is not None else 0,
            bounds_leases=True,
            inherited_leases_until=inherited_until.total_seconds(),
        )
        claimed = await self._leader_rows.claim(claim, version)
        if claimed is not None:
            await self._lead(claim, claimed, row)

    async def _lead(
        self, claim: LeaderRow, version: int, previous: LeaderRow | None = None
    ) -> None:
        """Lead under a stored claim, with this instance as the first member."""
        assert self.job_service.configuration is not None
        self._candidacy.record_leadership(claim.epoch)
        session = LeaderSession(
            claim,
            version,
            self.settings,
            self.job_service.configuration,
            self._store,
            self.store_clock,
            self._clock,
            self._metrics,
            self._writer,
            self._machines,
            self._exchange,
            previous,
        )
        session.set_waves(self._waves)

        def dispatch(message: object) -> None:
            # Messages of an ended session must not override its successor's orders.
            if self._session is session:
                self._dispatcher.dispatch(message)

        member = Member(
            self.settings.instance,
            self.settings.failure_domain,
            self.settings.cores,
            dispatch,
            self._clock.monotonic(),
            address=self.settings.peer_address,
            leads=True,
            incarnation=self._incarnation,
        )

        def report(message: ExecutorReport) -> None:
            session.handle_message(member, message)

        self._session = session
        self._executor.report_remembered(report, claim.epoch)
        self._executor.attach_leader(report, claim.epoch, is_bounded=True)
        session.add_member(member)
        try:
            await session.run()
        except* Exception as errors:
            # An error in this session must not keep another instance from leading.
            logger.opt(exception=True).error(
                "leadership ended by an error", reason=str(errors)
            )
        finally:
            self._session = None
            self._metrics.set_load(0)
            self._metrics.set_kind_speeds()
            self._metrics.set_near_waits()
            self._dispatcher.detach()

    def _find_leader_row(self) -> LeaderRow | None:
        """Return the row of the leader that this instance is or follows, if any."""
        if self._session is not None:
            return self._session.row
        return self._follower.leader_row

    def _notify_leader_of_cancel(self, job: str) -> None:
        """Notify the leader of a cancellation.

        The leader also reads the cancellation from the store, so that a lost message
        only delays it.
        """
        if self._follower.is_following:
            self._follower.send(JobCancelled(job))
        elif self._session is not None:
            self._session.cancel_job(job)
