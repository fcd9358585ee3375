"""One instance's time as the leader: from its claim to the loss of its epoch."""

import asyncio
import math
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.leases import (
    LEADER_GRACE,
    LEADER_LEASE,
    LeaderRow,
    measure_abandoned_hold,
    measure_inherited_hold,
)
from almondspread.jobs.messages import (
    AskPermits,
    EpochFenced,
    ExecutorReport,
    PermitsAnswered,
    StartSettled,
    StopSettled,
    UnwatchUpstream,
    UpstreamOrder,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.ports import (
    ConditionsFailed,
    HistoryGone,
    RowCondition,
    RowPut,
    StoredRow,
    Transaction,
)
from almondspread.jobs.progress import JobRecord
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.links import (
    Beat,
    JobCancelled,
    Leaving,
    Link,
    QueueLoads,
    StatesChanged,
    Welcome,
)
from almondspread_daemon.jobs.loading import StoredCell
from almondspread_daemon.jobs.members import Member, Members
from almondspread_daemon.jobs.rows import (
    CANCEL_PREFIX,
    LEADER,
    SUBMISSIONS,
    WATCHED,
    CancelRow,
    SubmissionRow,
    WatchedUpstream,
    decode_submission,
    decode_watched,
    encode_watched,
    name_progress,
    read_leader,
    read_row,
)
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock

COMMIT_INTERVAL = timedelta(milliseconds=50)
RENEW_INTERVAL = timedelta(milliseconds=400)
DIRECTORY_INTERVAL = timedelta(milliseconds=500)
FEED_WAIT = timedelta(seconds=1)
FEED_MARGIN = timedelta(milliseconds=500)
# A refusal that is older says nothing of the store now.
REFUSAL_AGE = timedelta(seconds=1)
STORE_PAUSE = timedelta(milliseconds=200)
# Decisions wait this long for more events, so that one pass serves them all.
GATHER_TIME = timedelta(milliseconds=4)
IDLE_PASS_INTERVAL = timedelta(milliseconds=100)
BEAT_INTERVAL = timedelta(milliseconds=300)
LOAD_INTERVAL = timedelta(seconds=1)
MEMBER_SILENCE = timedelta(milliseconds=1_400)
# One transaction also holds the leader's row and that of the watched upstreams.
MAX_RECORDS_PER_COMMIT = 90


class LeaderSession:
    """Runs the scheduler of one epoch, and stores and tells what it decides."""

    def __init__(
        self,
        row: LeaderRow,
        version: int,
        settings: JobSettings,
        configuration: Configuration,
        store: StoreAccess,
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        now = clock.monotonic()
        self.row = row
        self._version = version
        self._claim_version = version
        self._settings = settings
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._lease_until = now + LEADER_LEASE
        self._scheduler = Scheduler(
            row.epoch,
            configuration,
        )
        self._members = Members()
        self._dirty = asyncio.Event()
        self._commit_wanted = asyncio.Event()
        self._watched_stored: tuple[WatchedUpstream, ...] = ()
        self._missing_parts: list[str] = []
        self._records: dict[str, JobRecord] = {}
        self._ended = asyncio.Event()
        self._feed_heard = now
        self._refused_at: timedelta | None = None
        self._feed_version = version
        self.is_loaded = False

    # The session

    async def run(self) -> None:
        """Lead until the epoch is lost or the session is ended."""
        if not await self._load():
            return
        async with asyncio.TaskGroup() as group:
            works = [
                group.create_task(self._commit()),
                group.create_task(self._follow_submissions()),
                group.create_task(self._follow_upstreams()),
                group.create_task(self._decide()),
                group.create_task(self._log_load()),
                group.create_task(self._load_missing_parts()),
                group.create_task(self._beat()),
            ]
            await self._ended.wait()
            for work in works:
                work.cancel()

    def end(self, reason: str) -> None:
        """Stop leading."""
        if not self._ended.is_set():
            logger.warning("leadership ended", epoch=self.row.epoch, reason=reason)
        self._ended.set()

    async def release(self) -> None:
        """Store what is known and let another instance take over at once."""
        if self._ended.is_set():
            return
        await self._commit_once(released=True)
        self.end("released")

    def _knows_all(self, now: timedelta) -> bool:
        """Whether every job that has been stored for a while is known here."""
        fresh = now - self._feed_heard < FEED_WAIT + FEED_MARGIN
        return self.is_loaded and self._scheduler.is_complete and fresh

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self._scheduler.configure(configuration)
        self._dirty.set()

    def cancel_job(self, job: str) -> None:
        """Cancel a job whose cancellation is stored."""
        self._scheduler.cancel_job(job, self._clock.monotonic())
        self._dirty.set()

    @property
    def _is_refused(self) -> bool:
        """Whether the store refuses the part of the leader's row, but is there.

        Then no other instance can claim the leadership either.
        """
        return self._refused_at is not None and (
            self._clock.monotonic() - self._refused_at < REFUSAL_AGE
        )

    @property
    def lease_holds(self) -> bool:
        """Whether the store has confirmed the leadership recently enough."""
        return self._clock.monotonic() < self._lease_until

    async def _load(self) -> bool:
        """Read the cell's rows, again until the store answers or the epoch is old."""
        while not self._ended.is_set():
            cell = StoredCell(self._store)
            loaded = await cell.load()
            if loaded.is_ok():
                self._take_cell(cell)
                return True
            logger.warning("cell not loaded", reason=loaded.error.reason)
            if self._clock.monotonic() > self._lease_until:
                self.end("the store does not answer")
                break
            await self._clock.sleep(STORE_PAUSE)
        return False

    def _take_cell(self, cell: StoredCell) -> None:
        """Take over all jobs, and the upstreams that may run their tasks."""
        self._records = cell.records
        self._take_rows(cell.submission_rows)
        if self._scheduler.jobs or cell.missing_parts:
            self._inherit_upstreams(cell.watched)
        self._missing_parts = cell.missing_parts
        self._scheduler.is_complete = not cell.missing_parts
        for entry in cell.watched:
            self._assign(entry.name)
        # All that is stored later than the claim comes by the feed.
        self._feed_version = self._claim_version
        self.is_loaded = True
        states = StatesChanged(tuple(self._scheduler.announce_all()), whole=True)
        for member in self._members.members.values():
            member.send(states)
        logger.info(
            "leadership taken",
            epoch=self.row.epoch,
            jobs=len(self._scheduler.jobs),
            watched=len(cell.watched),
            missing_parts=len(cell.missing_parts),
            version=cell.version,
        )

    def _inherit_upstreams(self, watched: tuple[WatchedUpstream, ...]) -> None:
        """Take over the upstreams on which an earlier leader may have started runs."""
        held = measure_inherited_hold(self._settings.lease)
        for upstream in watched:
            lapse = self._clock.monotonic() + held
            if upstream.lapse:
                known = timedelta(seconds=upstream.lapse)
                lapse = min(lapse, self._store_clock.to_local(known))
            self._scheduler.inherit_upstream(decode_watched(upstream), lapse)

    def _describe_watched(self) -> tuple[WatchedUpstream, ...]:
        """Return the upstreams that the next leader must ask for their runs."""
        watched = []
        for upstream in self._scheduler.list_watched():
            lapse = 0.0
            if upstream.lapse_at is not None:
                lapse = self._store_clock.from_local(upstream.lapse_at).total_seconds()
            entry = upstream.entry
            watched.append(
                WatchedUpstream(
                    entry.name,
                    entry.service,
                    entry.address,
                    entry.failure_domain,
                    # Small shifts of the clock must not change the row.
                    math.ceil(lapse),
                )
            )
        return tuple(sorted(watched, key=lambda upstream: upstream.name))

    async def _load_missing_parts(self) -> None:
        """Read the parts that were missing at the takeover, as soon as they are there.

        Upstreams then report anew, since ends of jobs that were not known before
        could not be noted.
        """
        while self._missing_parts:
            await self._clock.sleep(STORE_PAUSE)
            cell = StoredCell(self._store)
            loaded = await cell.load_submissions(self._missing_parts)
            if loaded.is_error():
                continue
            self._take_rows(cell.submission_rows)
            self._missing_parts = cell.missing_parts
        logger.info("cell complete", jobs=len(self._scheduler.jobs))
        self._scheduler.is_complete = True
        for name in self._scheduler.ledger.upstreams:
            self._watch_again(name)

    def _watch_again(self, name: str) -> None:
        """Have an upstream's executor report everything anew."""
        upstream = self._scheduler.ledger.upstreams[name]
        member = self._members.find(name)
        if member is not None:
            member.send(WatchUpstream(name, upstream.entry.address, self.row.epoch))

    # Members

    async def serve_member(self, member: Member, link: Link) -> None:
        """Serve one instance until its link closes."""
        superseded = self._members.members.get(member.instance)
        if superseded is not None:
            self._drop_member(superseded)
        self.add_member(member)
        link.send(Welcome(self.row.epoch))
        link.send(StatesChanged(tuple(self._scheduler.announce_all()), whole=True))
        try:
            async for message in link.messages():
                if self._ended.is_set():
                    break
                member.heard = self._clock.monotonic()
                self.take_message(member, message)
        finally:
            self._drop_member(member)
            link.close()

    def add_member(self, member: Member) -> None:
        """Take on an instance, and give it its share of the upstreams."""
        logger.info("member joined", member=member.instance, epoch=self.row.epoch)
        self._members.add(member)
        self._rebalance()

    def _drop_member(self, member: Member) -> None:
        """Give an instance's upstreams to others."""
        if self._members.members.get(member.instance) is not member:
            return
        orphans = self._members.remove(member)
        logger.warning(
            "member lost",
            member=member.instance,
            upstreams=len(orphans),
            leaving=member.leaving,
        )
        held = measure_abandoned_hold(self._settings.lease)
        self._scheduler.abandon_upstreams(orphans, self._clock.monotonic() + held)
        for name in orphans:
            self._assign(name)

    def take_message(self, member: Member, message: object) -> None:
        """Take one message of a member."""
        now = self._clock.monotonic()
        match message:
            case UpstreamReport() | UpstreamSilent() | StopSettled():
                # Only the member that looks after an upstream speaks for it.
                if self._members.find(message.upstream) is member:
                    self._take_report(message, now)
            case StartSettled() | EpochFenced():
                self._take_report(message, now)
            case PermitsAnswered():
                member.questions -= 1
                self._take_report(message, now)
            case JobCancelled():
                self.cancel_job(message.job)
            case Leaving():
                member.leaving = True
                for name in list(member.upstreams):
                    self._reassign(name)
            case Beat():
                return
        self._dirty.set()

    def _take_report(self, report: ExecutorReport, now: timedelta) -> None:
        """Take a report about an upstream."""
        if isinstance(report, EpochFenced):
            if report.epoch >= self.row.epoch:
                self.end(f"upstream {report.upstream} has seen a higher epoch")
            return
        self._scheduler.observe(report, now)
        if isinstance(report, UpstreamReport) and report.ends:
            self._commit_wanted.set()

    def _assign(self, name: str) -> None:
        """Have a member look after an upstream."""
        upstream = self._scheduler.ledger.upstreams.get(name)
        if upstream is None:
            return
        self._scheduler.forget_stop_answers(name)
        member = self._members.assign(name, upstream.entry.failure_domain)
        if member is not None:
            member.send(WatchUpstream(name, upstream.entry.address, self.row.epoch))

    def _reassign(self, name: str) -> None:
        """Have another member look after an upstream."""
        owner = self._members.find(name)
        self._assign(name)
        if owner is not None and self._members.find(name) is not owner:
            owner.send(UnwatchUpstream(name))

    def _rebalance(self) -> None:
        """Move upstreams to members that are nearer or have fewer."""
        upstreams = self._scheduler.ledger.upstreams
        for name in upstreams:
            if self._members.find(name) is None:
                self._assign(name)
        owners = {name: self._members.find(name) for name in upstreams}
        domains = [
            (name, upstream.entry.failure_domain)
            for name, upstream in upstreams.items()
        ]
        for name, member in self._members.choose_moves(domains):
            owner = owners[name]
            if owner is not None:
                owner.send(UnwatchUpstream(name))
            self._scheduler.forget_stop_answers(name)
            address = upstreams[name].entry.address
            member.send(WatchUpstream(name, address, self.row.epoch))

    async def _beat(self) -> None:
        """Show signs of life, and drop members that show none."""
        while True:
            now = self._clock.monotonic()
            for member in list(self._members.members.values()):
                if member.instance == self.row.instance:
                    member.send(Beat(True, self._knows_all(now)))
                    continue
                if now - member.heard > MEMBER_SILENCE:
                    self._drop_member(member)
                    continue
                member.send(Beat(self.lease_holds, self._knows_all(now)))
                member.send(QueueLoads(self._scheduler.estimate_waits(now)))
            if now > self._lease_until + LEADER_GRACE:
                self.end("the store has not confirmed the epoch")
            await self._clock.sleep(BEAT_INTERVAL)

    # Decisions

    async def _decide(self) -> None:
        """Decide whenever something has happened, and from time to time."""
        while True:
            try:
                async with asyncio.timeout(IDLE_PASS_INTERVAL.total_seconds()):
                    await self._dirty.wait()
                await self._clock.sleep(GATHER_TIME)
            except TimeoutError:
                pass
            self._dirty.clear()
            self.decide()

    def decide(self) -> None:
        """Run one pass of the scheduler; send its orders and what has changed."""
        orders = self._scheduler.schedule(
            self._clock.monotonic(),
            self._clock.now(),
            self._members.count_question_slots(),
        )
        for order in orders:
            self._send_order(order)
        states = self._scheduler.take_announcements()
        if states:
            self._commit_wanted.set()
            for member in self._members.members.values():
                member.send(StatesChanged(tuple(states)))

    def _send_order(self, order: UpstreamOrder | AskPermits) -> None:
        """Send an order to the member that carries it out."""
        if isinstance(order, AskPermits):
            adviser = self._members.choose_adviser()
            if adviser is not None:
                adviser.questions += 1
                adviser.send(order)
            return
        member = self._members.find(order.upstream)
        if member is not None:
            member.send(order)
        if isinstance(order, UnwatchUpstream):
            self._members.forget(order.upstream)

    async def _log_load(self) -> None:
        """Log how much waits and how full the upstreams are."""
        while True:
            load = self._scheduler.measure_load(self._clock.monotonic())
            logger.info(
                "load",
                epoch=self.row.epoch,
                waiting_steps=load.waiting_steps,
                unseen_upstreams=load.unseen_upstreams,
                waiting_tasks=load.waiting_tasks,
                without_permits=load.without_permits,
                used_millis=load.used_millis,
                usable_millis=load.usable_millis,
                question_slots=self._members.count_question_slots(),
            )
            await self._clock.sleep(LOAD_INTERVAL)

    # The store

    async def _commit(self) -> None:
        """Store changes in groups; each commit also renews the lease."""
        while True:
            try:
                async with asyncio.timeout(RENEW_INTERVAL.total_seconds()):
                    await self._commit_wanted.wait()
            except TimeoutError:
                pass
            self._commit_wanted.clear()
            if not await self._commit_once():
                await self._clock.sleep(STORE_PAUSE)
            await self._clock.sleep(COMMIT_INTERVAL)

    async def _commit_once(self, released: bool = False) -> bool:
        """Store what has changed; false where the store did not take it."""
        changes = self._scheduler.take_changes(MAX_RECORDS_PER_COMMIT)
        watched = self._describe_watched()
        sent = self._clock.monotonic()
        self.row = LeaderRow(
            self.row.epoch,
            self.row.instance,
            self.row.incarnation,
            self.row.address,
            self._store_clock.now().total_seconds(),
            self.row.renewal + 1,
            released,
        )
        puts = [RowPut(LEADER, encode_message(self.row))]
        if watched != self._watched_stored:
            puts.append(RowPut(WATCHED, encode_watched(watched)))
        for record in changes.records:
            puts.append(RowPut(name_progress(record.job), encode_message(record)))
        outcome = await self._store.transact(
            Transaction((RowCondition(LEADER, self._version),), tuple(puts))
        )
        if outcome.is_ok():
            self._refused_at = None
            self._version = outcome.ok.version
            self._store_clock.observe(outcome.ok.store_time)
            self._lease_until = sent + LEADER_LEASE
            self._watched_stored = watched
            names = frozenset(upstream.name for upstream in watched)
            self._scheduler.record_upstreams(names)
            self._scheduler.confirm_changes(changes)
            self._dirty.set()
            return True
        self._scheduler.return_changes(changes)
        if isinstance(outcome.error, ConditionsFailed):
            self._resolve_conflict(outcome.error.rows)
        else:
            refused = outcome.error.refused
            self._refused_at = self._clock.monotonic() if refused else None
            logger.warning("commit failed", reason=outcome.error.reason)
        return False

    def _resolve_conflict(self, rows: tuple[StoredRow, ...]) -> None:
        """Tell a superseded epoch from an own write whose answer was lost."""
        stored, version = read_leader(rows)
        if stored is not None and stored.incarnation == self.row.incarnation:
            self._version = version
            self._commit_wanted.set()
            return
        self.end("another instance has claimed the leadership")

    async def _follow_submissions(self) -> None:
        """Take on jobs and cancellations as they are stored."""
        while True:
            changes = await self._store.follow(
                SUBMISSIONS, self._feed_version, FEED_WAIT
            )
            if changes.is_ok() and not (self.lease_holds or self._is_refused):
                # The next leader may have placed the tasks of these jobs already.
                await self._clock.sleep(STORE_PAUSE)
                continue
            if changes.is_ok():
                self._take_rows(changes.ok.rows)
                self._feed_heard = self._clock.monotonic()
                self._feed_version = max(self._feed_version, changes.ok.version)
                continue
            if isinstance(changes.error, HistoryGone):
                await self._reload_submissions()
                continue
            logger.warning("feed interrupted", reason=changes.error.reason)
            await self._clock.sleep(STORE_PAUSE)

    async def _reload_submissions(self) -> None:
        """Read all submissions where the store has forgotten what changed."""
        logger.warning("feed lost its history", version=self._feed_version)
        cell = StoredCell(self._store)
        loaded = await cell.load_submissions()
        if loaded.is_error() or cell.missing_parts:
            await self._clock.sleep(STORE_PAUSE)
            return
        self._take_rows(cell.submission_rows)
        self._feed_version = max(cell.version, self._claim_version)

    def _take_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take rows of submissions and cancellations."""
        now, wall = self._clock.monotonic(), self._clock.now()
        cancelled = []
        for row in rows:
            if row.name.key.startswith(CANCEL_PREFIX):
                cancel = read_row(row, CancelRow)
                if cancel is not None:
                    cancelled.append(cancel.job)
                continue
            submission = read_row(row, SubmissionRow)
            if submission is None:
                continue
            accepted = self._store_clock.to_local(
                timedelta(seconds=submission.accepted)
            )
            self._scheduler.accept_job(
                decode_submission(submission),
                min(accepted, now),
                wall,
                record=self._records.get(submission.job),
                inherited=row.version <= self._claim_version,
            )
        for job in cancelled:
            self._scheduler.cancel_job(job, now)
        if rows:
            self._dirty.set()

    async def _follow_upstreams(self) -> None:
        """Read the list of upstreams again and again."""
        while True:
            listed = await self._store.list_upstreams()
            if listed.is_ok():
                now = self._clock.monotonic()
                added = self._scheduler.list_upstreams(listed.ok, now)
                for name in added:
                    self._assign(name)
                if added:
                    self._commit_wanted.set()
                self._rebalance()
                self._dirty.set()
            else:
                logger.warning("upstreams not read", reason=listed.error.reason)
            await self._clock.sleep(DIRECTORY_INTERVAL)
