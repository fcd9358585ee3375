"""One instance: follows the leader of the cell, or leads it."""

import asyncio
import random
from datetime import timedelta

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.leases import LeaderRow, has_failed
from almondspread.jobs.maintenance import MaintenanceWave
from almondspread.jobs.messages import ExecutorReport
from almondspread.jobs.ports import (
    AdviceClient,
    MachineClient,
    Operations,
    RowCondition,
    RowPut,
    Transaction,
    UpstreamClient,
)
from almondspread_daemon.jobs.board import JobBoard
from almondspread_daemon.jobs.callers import JobDesk
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.leader import LeaderSession
from almondspread_daemon.jobs.links import (
    Beat,
    Hello,
    JobCancelled,
    LeaderLink,
    Leaving,
    Link,
    LinkServer,
    NotLeading,
    QueueLoads,
    Released,
    Resigned,
    RowWritten,
    SharedMessage,
    StatesChanged,
    StoreReached,
    Welcome,
)
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.operations import OperationsFeed
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.retention import SWEEP_INTERVAL
from almondspread_daemon.jobs.rows import CELL, CELL_PART, LEADER, read_leader
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock
from almondspread_daemon.jobs.writing import RowWriter
from almondspread_daemon.settings import parse_address

CONNECT_TIMEOUT = timedelta(milliseconds=500)
LEADER_SILENCE = timedelta(milliseconds=1_000)
BEAT_INTERVAL = timedelta(milliseconds=300)
POLL_PAUSE = timedelta(milliseconds=100)
# Instances that find the leader gone at the same time do not all claim at once.
CLAIM_JITTER = timedelta(milliseconds=80)
# A leader looks after fewer upstreams than its size allows.
LEADER_SHARE = 0.3


class JobInstance:
    """Ties together what one instance does for callers and for the leader."""

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
        self.board = JobBoard()
        self.store_clock = StoreClock(clock)
        self._relay = RowRelay(clock)
        self._writer = RowWriter(store, clock, settings.instance, self._relay)
        self.desk = JobDesk(
            store,
            self._writer,
            self.store_clock,
            clock,
            self.board,
            metrics,
            self._announce_cancel,
        )
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._operations = OperationsFeed(store, clock, self._take_operations)
        self._machines = machines
        self._waves: tuple[MaintenanceWave, ...] = ()
        self._executor = Executor(upstreams, advice, clock, settings.lease, metrics)
        self._session: LeaderSession | None = None
        self._link: Link | None = None
        self._listener = LinkServer(self._serve_link)
        self._stopping = False
        self._candidacy = Candidacy(
            settings.instance, incarnation, clock, self.store_clock
        )
        self._started = clock.monotonic()
        self._checking: asyncio.Task[None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        if self.desk.configuration is None or self._stopping:
            return False
        return self._relay.is_open or not self._store.is_failing

    @property
    def is_stopping(self) -> bool:
        """Whether this instance is about to end."""
        return self._stopping

    async def run(self) -> None:
        """Work until cancelled; raises what no task of it can go on after."""
        host, port = parse_address(
            self.settings.peer_listen_address or self.settings.peer_address
        )
        self._listener.listen(port, host)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._operations.run())
            group.create_task(self._take_part())
            group.create_task(self._store.probe())
            group.create_task(self._writer.run())
            group.create_task(self._forget_ended_jobs())

    async def _forget_ended_jobs(self) -> None:
        """Keep the states of ended jobs no longer than callers may ask for them."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            self.board.forget_ended(
                self._clock.monotonic(), self.settings.status_retention
            )

    async def stop(self) -> None:
        """Hand over what this instance does for others."""
        self._stopping = True
        if self._session is not None:
            await self._session.release()
        if self._link is not None:
            self._link.send(Leaving())

    def close(self) -> None:
        """End all work."""
        self._listener.stop()
        if self._link is not None:
            self._link.close()
        self._executor.close()

    # What operators ask for

    def _take_operations(self, operations: Operations) -> None:
        """Put in force what operators ask for."""
        if operations.configuration is not None:
            self._configure(operations.configuration)
        self._waves = operations.waves
        if self._session is not None:
            self._session.take_waves(operations.waves)

    def _configure(self, configuration: Configuration) -> None:
        """Put a configuration in force, unless it is not newer."""
        current = self.desk.configuration
        if current is not None and configuration.version <= current.version:
            return
        logger.info(
            "configuration in force",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        self.desk.configuration = configuration
        self._metrics.set_version(configuration.version)
        if self._session is not None:
            self._session.configure(configuration)

    # Leading and following

    async def _take_part(self) -> None:
        """Follow the leader, or lead where there is none."""
        candidacy = self._candidacy
        while not self._stopping:
            release = candidacy.take_succession()
            if release is not None:
                await self._claim(release.row, release.version)
            row, version = await self._read_leader()
            if version < 0 or self.desk.configuration is None:
                await self._clock.sleep(POLL_PAUSE)
            elif row is None or candidacy.may_claim(row):
                await self._contend(row, version)
            elif candidacy.is_own_claim(row):
                await self._lead(row, version)
            elif candidacy.is_unheard(row):
                # Its lease must run out.
                await self._clock.sleep(POLL_PAUSE)
            else:
                await self._follow(row)
                if candidacy.has_release:
                    continue
                candidacy.note_unheard(row.incarnation, await self._read_renewal())
                await self._clock.sleep(POLL_PAUSE)

    async def _contend(self, row: LeaderRow | None, version: int) -> None:
        """Claim the leadership, unless that is left to a successor for now."""
        if self._candidacy.must_wait:
            await self._clock.sleep(POLL_PAUSE)
            return
        jitter = CLAIM_JITTER * self._random.random()
        await self._clock.sleep(self.settings.claim_delay + jitter)
        await self._claim(row, version)

    async def _read_renewal(self) -> int:
        """Return the latest renewal of the leader's row, -1 without an answer."""
        row = (await self._read_leader())[0]
        return row.renewal if row is not None else -1

    async def _read_leader(self) -> tuple[LeaderRow | None, int]:
        """Return the leader's row and version, the version -1 without an answer."""
        page = await self._store.read(CELL, CELL_PART, LEADER.key, LEADER.key + "\x01")
        if page.is_error():
            logger.warning("leader not read", reason=page.error.reason)
            return None, -1
        self.store_clock.observe(page.ok.store_time)
        return read_leader(page.ok.rows)

    async def _claim(self, row: LeaderRow | None, version: int) -> None:
        """Try to become the leader, and lead while that lasts."""
        assert self.desk.configuration is not None
        claim = LeaderRow(
            (row.epoch if row is not None else 0) + 1,
            self.settings.instance,
            self._incarnation,
            self.settings.peer_address,
            self.store_clock.now().total_seconds(),
            started_version=row.started_version if row is not None else 0,
        )
        outcome = await self._store.transact(
            Transaction(
                (RowCondition(LEADER, version),),
                (RowPut(LEADER, encode_message(claim)),),
            )
        )
        if outcome.is_error():
            logger.info("claim refused", epoch=claim.epoch)
            return
        self.store_clock.observe(outcome.ok.store_time)
        await self._lead(claim, outcome.ok.version)

    async def _lead(self, claim: LeaderRow, version: int) -> None:
        """Lead under a claim that is stored, with this instance as the first member."""
        assert self.desk.configuration is not None
        self._candidacy.note_led(claim.epoch)
        session = LeaderSession(
            claim,
            version,
            self.settings,
            self.desk.configuration,
            self._store,
            self.store_clock,
            self._clock,
            self._metrics,
            self._writer,
            self._machines,
        )
        session.take_waves(self._waves)

        def take(message: object) -> None:
            # What an ended session still sends must not undo its successor's orders.
            if self._session is session:
                self._take_message(message)

        member = Member(
            self.settings.instance,
            self.settings.failure_domain,
            self.settings.cores * LEADER_SHARE,
            take,
            self._clock.monotonic(),
        )

        def report(message: ExecutorReport) -> None:
            session.take_message(member, message)

        self._session = session
        self._executor.attach(report)
        session.add_member(member)
        try:
            await session.run()
        except* Exception as errors:
            # A fault of this process must not keep another from leading.
            logger.opt(exception=True).error("leadership failed", reason=str(errors))
        finally:
            self._session = None
            self._metrics.set_load(0, 0, 0)
            self.board.lose_leader()
            self._executor.detach()

    async def _serve_link(self, link: Link) -> None:
        """Take on an instance that has connected, if this one leads."""
        async for message in link.messages():
            session = self._session
            if not isinstance(message, Hello):
                return
            if session is None or not session.is_loaded:
                link.send(NotLeading(self._incarnation))
                return
            member = Member(
                message.instance,
                message.failure_domain,
                message.cores,
                link.send,
                self._clock.monotonic(),
                message.strength,
                self._clock.monotonic() - timedelta(seconds=message.age),
            )
            await session.serve_member(member, link)
            return

    async def _follow(self, row: LeaderRow) -> None:
        """Work for the leader while it shows signs of life."""
        host, port = parse_address(row.address)
        try:
            stream = await TCPClient().connect(host, port, timeout=CONNECT_TIMEOUT)
        except (OSError, TimeoutError, StreamClosedError) as error:
            logger.info("leader not reached", leader=row.instance, reason=str(error))
            if isinstance(error, ConnectionRefusedError):
                # Nothing listens there. Fencing keeps a wrong guess harmless.
                self._candidacy.note_gone(row.incarnation)
            return
        link = Link(stream)
        link.send(
            Hello(
                self.settings.instance,
                self._incarnation,
                self.settings.failure_domain,
                self.settings.cores,
                self.settings.strength,
                (self._clock.monotonic() - self._started).total_seconds(),
            )
        )
        follower = LeaderLink(link, self._clock.monotonic())
        watchdog = asyncio.create_task(self._watch_leader(follower))
        try:
            async for message in link.messages():
                follower.heard = self._clock.monotonic()
                if isinstance(message, NotLeading):
                    if message.incarnation != row.incarnation:
                        self._candidacy.note_gone(row.incarnation)
                    break
                if isinstance(message, Welcome):
                    logger.info("following", leader=row.instance, epoch=message.epoch)
                    self._link = link
                    self._relay.attach(follower)
                    self._executor.attach(link.send)
                    continue
                self._take_message(message)
        finally:
            watchdog.cancel()
            link.close()
            if self._link is link:
                logger.warning("leader lost", leader=row.instance, epoch=row.epoch)
                self._link = None
                self._relay.detach()
                self.board.lose_leader()
                self._executor.detach()

    async def _watch_leader(self, follower: LeaderLink) -> None:
        """Send signs of life, and close the link to a silent leader."""
        while True:
            follower.link.send(Beat())
            silent = self._clock.monotonic() - follower.heard
            if silent > LEADER_SILENCE:
                logger.warning("leader silent", seconds=silent.total_seconds())
                follower.link.close()
                return
            await self._clock.sleep(BEAT_INTERVAL)

    def _take_message(self, message: object) -> None:
        """Take one message of the leader."""
        if isinstance(message, SharedMessage):
            message = message.message
        match message:
            case StatesChanged(whole=True):
                self.board.replace(message.states)
            case StatesChanged():
                self.board.update(message.states)
            case QueueLoads():
                self.board.waits = message.waits
            case Beat():
                self.board.knows_all = message.knows_all
                self._relay.lease_holds = message.lease_holds
                if message.store_lost or not message.lease_holds:
                    self._check_leader()
            case RowWritten():
                self._relay.settle(message)
            case Released():
                self._candidacy.note_release(message)
                if self._link is not None:
                    self._link.close()
            case Resigned():
                self._candidacy.note_resigned(message.epoch)
                if self._link is not None:
                    self._link.close()
            case _:
                self._executor.carry_out(message)  # type: ignore[arg-type]

    def _check_leader(self) -> None:
        """See whether the store, which the leader cannot reach, serves this one."""
        if self._link is not None and self._checking is None:
            self._checking = asyncio.create_task(self._check_store())

    async def _check_store(self) -> None:
        """Leave a leader that has failed to renew; tell others of the store."""
        link = self._link
        row, version = await self._read_leader()
        self._checking = None
        if version < 0 or link is None:
            return
        if has_failed(row, self.store_clock.now()):
            link.close()
            return
        link.send(StoreReached())

    def _announce_cancel(self, job: str) -> None:
        """Tell the leader of a cancellation, which it also reads from the store."""
        if self._link is not None:
            self._link.send(JobCancelled(job))
        elif self._session is not None:
            self._session.cancel_job(job)
