"""Runs one leadership epoch of an instance, from its claim to the end of the epoch."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.holds import ANY_VERSION
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.messages import (
    AssignedReport,
    EpochFenced,
    ExecutorReport,
    PermitsAnswered,
    RunsRemembered,
    StartSettled,
    UpstreamReport,
    UpstreamRestarted,
)
from almondspread.jobs.ports import MachineClient
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.waves import MaintenanceWave
from almondspread_daemon.jobs.announcer import StateAnnouncer
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.heartbeats import LeaderHeartbeats
from almondspread_daemon.jobs.intake import STORE_RETRY_DELAY, JobIntake
from almondspread_daemon.jobs.lasting import run_lasting
from almondspread_daemon.jobs.link_messages import (
    AskClock,
    Beat,
    ClockTold,
    JobCancelled,
    Leaving,
    Released,
    Resigned,
    StoreReached,
    Welcome,
    WriteRow,
)
from almondspread_daemon.jobs.links import Link
from almondspread_daemon.jobs.load_log import LoadLog
from almondspread_daemon.jobs.maintenance import MaintenanceController
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.pass_loop import PassLoop
from almondspread_daemon.jobs.relay_service import RelayService
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.resignation import Resignation
from almondspread_daemon.jobs.retention import Retention
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.start_marks import StartMarks, StartPermission
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.upstream_list import UpstreamList
from almondspread_daemon.jobs.wait_log import WaitLog
from almondspread_daemon.jobs.wall_time import measure_offset

COMMIT_INTERVAL = timedelta(milliseconds=50)
RENEW_INTERVAL = timedelta(milliseconds=400)
HEARTBEAT_INTERVAL = timedelta(milliseconds=300)


class LeaderSession:
    """Runs the scheduler of one epoch, stores its decisions and sends them to members.

    A member is an instance that carries out this leader's orders. The leader's own
    instance is one of them. ``previous`` is the row before the claim, if it is known.
    """

    def __init__(
        self,
        row: LeaderRow,
        version: int,
        settings: JobSettings,
        configuration: Configuration,
        store: StoreAccess,
        store_clock: RemoteClock,
        clock: Clock,
        metrics: JobMetrics,
        writer: RowWriter,
        machines: MachineClient | None,
        exchange: OperatorExchange,
        previous: LeaderRow | None = None,
    ) -> None:
        self.epoch = row.epoch
        self._exchange = exchange
        self._instance = row.instance
        self._store = store
        self._clock = clock
        self._metrics = metrics
        # Until the start marks are fenced, an earlier leader may have started any job.
        self._scheduler = Scheduler(
            row.epoch,
            configuration,
            ANY_VERSION,
            settings.max_entry_age,
            settings.upstream_max_lease,
            settings.lease,
            settings.remote_factor,
        )
        self._scheduler.allow_starts(row.started_version)
        self._committer = Committer(
            row,
            version,
            self._scheduler,
            store,
            store_clock,
            clock,
            settings.store_limits,
        )
        self._intake = JobIntake(
            version,
            self._scheduler,
            self._committer,
            settings,
            store,
            store_clock,
            clock,
            previous,
        )
        self._start_permission = StartPermission(
            StartMarks(row.epoch, row.started_version, store),
            self._committer,
            self._scheduler,
        )
        self._retention = Retention(
            settings, self._intake.rows, self._scheduler, store, clock
        )
        self._assignments = Assignments(
            self._scheduler, settings, clock, lambda: self._committer.lease_holds
        )
        self._heartbeats = LeaderHeartbeats(
            self._scheduler,
            self._assignments,
            self._committer,
            self._intake,
            store,
            exchange,
            clock,
        )
        self._announcer = StateAnnouncer(self._scheduler, self._assignments, clock)
        self._commit_wanted = asyncio.Event()
        self._passes = PassLoop(
            row.instance,
            self._scheduler,
            self._assignments,
            self._committer,
            self._announcer,
            self._commit_wanted.set,
            clock,
        )
        self._upstream_list = UpstreamList(
            self._scheduler, self._assignments, store, clock, self._note_upstreams
        )
        self._load_log = LoadLog(self._scheduler, self._assignments, metrics, clock)
        self._wait_log = WaitLog(self._scheduler, clock)
        self._relay_service = RelayService(writer)
        self._maintenance: MaintenanceController | None = None
        if machines is not None:
            self._maintenance = MaintenanceController(
                self._committer,
                self._scheduler,
                settings,
                store,
                store_clock,
                machines,
                clock,
            )
        self._resignation = Resignation(store, clock, self._resign)
        self._ended = asyncio.Event()

    @property
    def row(self) -> LeaderRow:
        """The leader's row, as this session has written it last."""
        return self._committer.row

    @property
    def is_loaded(self) -> bool:
        """Whether the stored jobs are loaded, so that members can join."""
        return self._intake.is_loaded

    async def run(self) -> None:
        """Lead the cell until ``end`` is called or loading the stored jobs fails."""
        loaded, _ = await asyncio.gather(
            self._intake.load(), self._start_permission.update_inherited_version()
        )
        if not loaded:
            self.end("the store did not answer before the leader lease expired")
            return
        self._assignments.rebalance()
        self._assignments.broadcast(self._announcer.describe_all())
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run_commits()),
                group.create_task(self._follow_submissions()),
                group.create_task(self._load_missing_partitions()),
                group.create_task(self._fence_marks()),
                group.create_task(self._passes.run()),
                group.create_task(self._announcer.run()),
                group.create_task(self._send_heartbeats()),
            ]
            for name, run in self._list_independent_loops().items():
                lasting = run_lasting(name, run, self._clock, self._metrics)
                tasks.append(group.create_task(lasting))
            await self._ended.wait()
            for task in tasks:
                task.cancel()
        self._resignation.close()

    def _list_independent_loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the loops that go on after an error, by their names.

        An error in another loop may leave it unclear what was decided, stored or told,
        and ends the epoch; the next leader begins from what is stored.
        """
        loops = {
            "upstream list": self._upstream_list.run,
            "load log": self._load_log.run,
            "wait log": self._wait_log.run,
            "retention": self._retention.run,
        }
        if self._maintenance is not None:
            loops["maintenance"] = self._maintenance.run
        return loops

    def end(self, reason: str) -> None:
        """Tell ``run`` to end the epoch; log the reason on the first call."""
        if not self._ended.is_set():
            logger.warning("leader epoch ended", epoch=self.epoch, reason=reason)
        self._ended.set()

    async def release(self) -> None:
        """Store pending changes, give up the lease and announce a successor.

        If the store does not take the commit, the epoch ends without a named
        successor.
        """
        if self._ended.is_set():
            return
        stored = await self._committer.commit(released=True)
        if self._ended.is_set():
            return
        if stored:
            self._announcer.announce()
            successor = self._assignments.members.choose_successor(self._instance)
            logger.info(
                "leadership released",
                epoch=self.epoch,
                successor=successor,
            )
            self._assignments.broadcast(
                Released(self._committer.row, self._committer.version, successor)
            )
        self.end("released")

    def _resign(self, served_instance: str) -> None:
        """Step down, because the store serves ``served_instance`` but not this one."""
        if self._ended.is_set():
            return
        self._assignments.broadcast(Resigned(self.epoch))
        self.end(f"the store serves {served_instance} but not this instance")

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration from the next scheduler pass on."""
        self._scheduler.configure(configuration)
        self._passes.request()

    def cancel_job(self, job: str) -> None:
        """Cancel a job in the scheduler; the caller has stored the cancellation."""
        self._scheduler.cancel_job(job, self._clock.monotonic())
        self._passes.request()

    def set_waves(self, waves: tuple[MaintenanceWave, ...]) -> None:
        """Replace the maintenance waves that operators have requested."""
        if self._maintenance is not None:
            self._maintenance.waves = waves

    # Members

    def add_member(self, member: Member) -> None:
        """Add a member and assign it a share of the upstreams."""
        if not member.bounds_leases:
            self._committer.record_unbounded_leases()
        self._assignments.add_member(member)

    async def serve_member(self, member: Member, link: Link) -> None:
        """Add a member; handle its messages until its link closes or the epoch ends."""
        clock = self._clock.monotonic().total_seconds()
        link.send(Welcome(self.epoch, asks_runs=True, clock=clock))
        self.add_member(member)
        self._heartbeats.send_to(member.instance)
        link.send(self._announcer.describe_all())
        try:
            async for message in link.receive_messages():
                if self._ended.is_set():
                    break
                member.last_heard = self._clock.monotonic()
                self.handle_message(member, message)
        finally:
            if not self._ended.is_set():
                self._assignments.remove_member(member)
            link.close()

    def handle_message(self, member: Member, message: object) -> None:
        """Handle one message of a member and request a scheduler pass."""
        self._exchange.handle(message, member.instance, member.send)
        if isinstance(message, AssignedReport):
            if self._assignments.members.find_owner(message.upstream) is member:
                self._handle_report(message)
        match message:
            case StartSettled() | UpstreamRestarted() | RunsRemembered():
                self._handle_report(message)
            case EpochFenced():
                if self._scheduler.is_superseded_by(message):
                    self.end(f"upstream {message.upstream} has seen a higher epoch")
            case PermitsAnswered():
                member.record_advice_answer(message)
                self._handle_report(message)
            case JobCancelled():
                self.cancel_job(message.job)
            case WriteRow():
                self._relay_service.handle_write(message, member.send)
            case StoreReached():
                self._resignation.handle_store_reached(member.instance)
            case Leaving():
                self._assignments.drain_member(member)
            case Beat() | AskClock():
                self._handle_clock(member, message)
                return
        self._passes.request()

    def _handle_clock(self, member: Member, message: Beat | AskClock) -> None:
        """Note a member's time of day, or tell it this leader's monotonic time."""
        now = self._clock.monotonic()
        if isinstance(message, AskClock):
            member.send(ClockTold(message.asked_at, now.total_seconds()))
            return
        member.wall_offset = measure_offset(message.unix_seconds, now)

    def _handle_report(self, report: ExecutorReport) -> None:
        """Pass an executor's report to the scheduler; store ended runs soon."""
        self._scheduler.handle_report(report, self._clock.monotonic())
        if isinstance(report, UpstreamReport) and report.ends:
            self._commit_wanted.set()

    def send_heartbeat(self) -> None:
        """Send all members a heartbeat at once."""
        self._heartbeats.send()

    def send_heartbeat_to(self, instance: str) -> None:
        """Send one member a heartbeat at once."""
        self._heartbeats.send_to(instance)

    async def _send_heartbeats(self) -> None:
        """Send heartbeats and the waits to expect, and drop members that time out.

        The epoch ends here if the lease could not be renewed for the grace period.
        """
        while True:
            self._heartbeats.send_with_loads()
            self._assignments.remove_silent_members(self._instance)
            if self._committer.is_grace_over:
                self.end(
                    "the store has not renewed the leader lease within the grace period"
                )
            await self._clock.sleep(HEARTBEAT_INTERVAL)

    # The store

    async def _run_commits(self) -> None:
        """Commit changes in batches, and renew the lease when there are no changes."""
        while True:
            try:
                async with asyncio.timeout(RENEW_INTERVAL.total_seconds()):
                    await self._commit_wanted.wait()
            except TimeoutError:
                pass
            self._commit_wanted.clear()
            held = self._committer.lease_holds
            if await self._committer.commit():
                self._passes.request()
                if not held:
                    # Members renew leases again as soon as they are told.
                    self._heartbeats.send()
            else:
                self._commit_wanted.set()
                if await self._start_permission.mark_if_refused():
                    self._passes.request()
                await self._clock.sleep(STORE_RETRY_DELAY)
            if self._committer.is_superseded:
                self.end("another instance has claimed the leadership")
            await self._clock.sleep(COMMIT_INTERVAL)

    async def _fence_marks(self) -> None:
        """Retry until no earlier leader can mark further jobs as started."""
        while not self._start_permission.is_final:
            await self._clock.sleep(STORE_RETRY_DELAY)
            await self._start_permission.update_inherited_version()
        self._passes.request()

    async def _follow_submissions(self) -> None:
        """Apply jobs and cancellations to the scheduler as they are stored."""
        while True:
            if await self._intake.follow():
                self._passes.request()
                if self._scheduler.has_unstartable_jobs:
                    self._commit_wanted.set()

    async def _load_missing_partitions(self) -> None:
        """Load the partitions missing at the takeover, then request full reports.

        Upstreams report all their runs again, because the scheduler could not match
        reports on jobs that it did not know.
        """
        await self._intake.load_missing_partitions()
        self._assignments.resend_watch_orders()
        self._passes.request()

    def _note_upstreams(self, has_new: bool) -> None:
        """Have a pass use the newest list, and new upstreams recorded in the store."""
        if has_new:
            self._commit_wanted.set()
        self._passes.request()
