"""Commits the leader's decisions to the store; each commit also renews the lease."""

import asyncio
import math
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.clock.unix_time import to_unix_ms
from almondspread.codec import encode_message
from almondspread.jobs.job_records import TERMINAL_STATES, JobRecord
from almondspread.jobs.leases import LEADER_GRACE, LEADER_LEASE, LeaderRow
from almondspread.jobs.pending_changes import PendingChanges
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowName,
    RowPut,
    StoredRow,
    StoreUnavailable,
    Transaction,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.store_limits import StoreLimits
from almondspread.jobs.upstreams import Upstream
from almondspread_daemon.jobs.commit_draft import CommitDraft
from almondspread_daemon.jobs.commit_pace import CommitPace
from almondspread_daemon.jobs.progress_rows import encode_progress
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.row_chunks import RowChange, StoredChunks
from almondspread_daemon.jobs.rows import (
    LEADER_ROW,
    WATCHED_ROW,
    WatchedUpstream,
    decode_leader,
    encode_watched,
    make_progress_name,
)
from almondspread_daemon.jobs.store_access import StoreAccess

# An older refusal does not show that the store still refuses commits.
REFUSAL_MAX_AGE = timedelta(seconds=1)
# The store is asked again so much later to take a list of upstreams that it refused.
WATCHED_RETRY_DELAY = timedelta(seconds=5)


@define(frozen=True)
class _Attempt:
    """What one commit stores, and the monotonic time at which it was sent.

    ``watched`` is ``None`` if the commit leaves the watched upstreams as they are.
    """

    row: LeaderRow
    draft: CommitDraft
    changes: PendingChanges
    watched: tuple[WatchedUpstream, ...] | None
    sent_at: timedelta

    @property
    def writes_watched(self) -> bool:
        """Whether the commit writes rows of the watched upstreams."""
        return any(change.name == WATCHED_ROW for change in self.draft.changes)

    @property
    def size(self) -> int:
        """The number of jobs whose rows the commit writes or removes."""
        return len(self.changes.records) + len(self.changes.forgotten)


class Committer:
    """Commits changes on the condition that the leader's row has not changed.

    The condition fences this leader: once another instance has claimed the leadership,
    no commit of this epoch succeeds. Until ``begin_with`` is called, the scheduler does
    not know which upstreams may run tasks, and commits leave what is stored of them.
    """

    def __init__(
        self,
        row: LeaderRow,
        version: int,
        scheduler: Scheduler,
        store: StoreAccess,
        store_clock: RemoteClock,
        clock: Clock,
        limits: StoreLimits,
    ) -> None:
        self.row = row
        self.is_superseded = False
        self.is_cell_loaded = False
        self._version = version
        self._pace = CommitPace(version, clock.monotonic())
        self._scheduler = scheduler
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._limits = limits
        self._max_jobs = limits.call_entries
        self._chunks = StoredChunks()
        self._lease_expires_at = clock.monotonic() + LEADER_LEASE
        self._stored_renewal = timedelta(seconds=row.renewed)
        self._refused_at: timedelta | None = None
        self._watched: tuple[WatchedUpstream, ...] | None = None
        self._watched_values: list[bytes] = []
        self._watched_refused_at: timedelta | None = None
        self._renewed_alone_at: timedelta | None = None
        self._commit_lock = asyncio.Lock()
        self._released = False

    def begin_with(self, row_names: Iterable[RowName]) -> None:
        """Take over the rows of earlier leaders, once they have been read."""
        self._chunks.restore(row_names)
        self.is_cell_loaded = True

    @property
    def version(self) -> int:
        """The version of the leader's row."""
        return self._version

    @property
    def lease_holds(self) -> bool:
        """Whether the last stored commit still keeps the leader lease valid."""
        return self._clock.monotonic() < self._lease_expires_at

    @property
    def lease_until(self) -> timedelta:
        """Until when the lease lasts that the store has, on the local clock.

        The next leader knows the renewal by the store's clock. An answer that took long
        leaves open what that shows here, and the earlier time counts.
        """
        renewed = self._store_clock.to_earliest_local(self._stored_renewal)
        return renewed + LEADER_LEASE

    def record_unbounded_leases(self) -> None:
        """Record that executors renew leases without regard to the leader's lease."""
        self.row = evolve(self.row, bounds_leases=False)

    @property
    def is_grace_over(self) -> bool:
        """Whether the lease expired so long ago that the leader must stop.

        The leader goes on while the store still answers its commits with refusals.
        """
        if self.is_refused:
            return False
        return self._clock.monotonic() > self._lease_expires_at + LEADER_GRACE

    @property
    def is_refused(self) -> bool:
        """Whether the store refused the last commit a short time ago."""
        if self._refused_at is None:
            return False
        return self._clock.monotonic() - self._refused_at < REFUSAL_MAX_AGE

    async def commit(self, *, released: bool = False) -> bool:
        """Store pending changes; return whether the commit is known to be stored.

        One commit holds as many changes as one call to the store may. Commits run one
        at a time, because each is conditional on the version that the previous one
        wrote. With ``released``, the commit also gives up the leadership;
        once that is stored, later calls write nothing and return ``False``.
        """
        async with self._commit_lock:
            if self._released:
                # A commit that waited for the lock would undo the release.
                return False
            stored = await self._commit(released)
            self._released = released and stored
            return stored

    async def _commit(self, released: bool) -> bool:
        """Make one commit; the caller holds the lock.

        If the store will never take its rows, commits with fewer follow at once, so
        that the others are stored and the lease is renewed.
        """
        while True:
            attempt = self._prepare(released)
            transaction = attempt.draft.make_transaction()
            sent_at = self._clock.monotonic()
            outcome = await self._store.transact(transaction)
            if outcome.is_ok():
                self._store_clock.observe(outcome.ok.store_time, sent_at)
                self._record_stored(attempt, outcome.ok.version)
                return True
            if isinstance(outcome.error, ConditionsFailed):
                return self._resolve_conflict(attempt, outcome.error.rows)
            self._requeue(attempt)
            _log_failed_commit(transaction, outcome.error)
            if not outcome.error.permanent or not attempt.draft.changes:
                break
            self._narrow(attempt)
        refused = outcome.error.refused
        self._refused_at = self._clock.monotonic() if refused else None
        return False

    def _prepare(self, released: bool) -> _Attempt:
        """Update the leader's row and collect the changes for one commit."""
        started_version = max(self.row.started_version, self._scheduler.newest_version)
        if self._pace.margin:
            # Jobs stored while this commit is in progress need not wait for the next.
            ahead = self._version + self._pace.margin
            started_version = max(started_version, ahead)
        self.row = evolve(
            self.row,
            renewed=self._store_clock.now().total_seconds(),
            renewal=self.row.renewal + 1,
            released=released,
            started_version=started_version,
        )
        draft = CommitDraft(
            RowCondition(LEADER_ROW, self._version),
            RowPut(LEADER_ROW, encode_message(self.row)),
            self._limits,
        )
        watched = self._add_watched(draft)
        changes = self._scheduler.changes.take(
            self._max_jobs,
            lambda record: draft.add(self._plan_record(record)),
            lambda job: draft.add(self._chunks.plan_removal(make_progress_name(job))),
        )
        for change in draft.changes:
            self._chunks.record_sent(change)
        return _Attempt(self.row, draft, changes, watched, self._clock.monotonic())

    def _plan_record(self, record: JobRecord) -> RowChange:
        """Return the change that stores the progress of a job."""
        values = encode_progress(record, self._limits)
        return self._chunks.plan_write(make_progress_name(record.job), values)

    def _add_watched(self, draft: CommitDraft) -> tuple[WatchedUpstream, ...] | None:
        """Add the watched upstreams where they have changed, and return them.

        The result is ``None`` if the commit leaves what is stored of them.
        """
        if not self.is_cell_loaded:
            return None
        watched = self._list_watched()
        if watched == self._watched:
            return watched
        now = self._clock.monotonic()
        refused_at = self._watched_refused_at
        if refused_at is not None and now - refused_at < WATCHED_RETRY_DELAY:
            return None
        change = self._chunks.plan_write(
            WATCHED_ROW, encode_watched(watched, self._limits)
        )
        if draft.add(_omit_stored(change, self._watched_values)):
            return watched
        self._watched_refused_at = now
        logger.error(
            "too many upstreams to be stored, new ones are not used",
            upstreams=len(watched),
            bytes=change.size,
            limit=self._limits.values_bytes,
        )
        return None

    def _narrow(self, attempt: _Attempt) -> None:
        """Find out which rows the store will never take, by leaving some out."""
        if attempt.size > 1:
            self._max_jobs = attempt.size // 2
            return
        if attempt.writes_watched:
            self._watched_refused_at = self._clock.monotonic()
            return
        if not self._has_renewed_lately():
            # The store may refuse all calls. Only if it takes the leader's row alone do
            # the rows of the job cause the refusal.
            self._max_jobs = 0
            return
        for record in attempt.changes.records:
            if record.state in TERMINAL_STATES:
                logger.error("the store refuses the end of a job", job=record.job)
                self._scheduler.changes.abandon(record.job)
                continue
            # The record of an ended job holds nothing that could be too large.
            self._scheduler.fail_job(
                record.job,
                "the store refuses its progress",
                self._clock.monotonic(),
            )
        for job in attempt.changes.forgotten:
            logger.error("the store refuses to remove a job", job=job)
            self._scheduler.changes.abandon(job)

    def _has_renewed_lately(self) -> bool:
        """Return whether the store has just taken the leader's row without others."""
        if self._renewed_alone_at is None:
            return False
        return self._clock.monotonic() - self._renewed_alone_at < REFUSAL_MAX_AGE

    def _requeue(self, attempt: _Attempt) -> None:
        """Queue the changes of a commit again that may not be stored."""
        self._scheduler.changes.requeue(attempt.changes)
        if attempt.writes_watched:
            # The store may hold these upstreams or the ones before.
            self._watched, self._watched_values = None, []

    def _record_stored(self, attempt: _Attempt, version: int) -> None:
        """Update the lease, the version and the scheduler after a stored commit."""
        self._refused_at = None
        if not attempt.draft.changes:
            self._renewed_alone_at = self._clock.monotonic()
        self._version = version
        self._max_jobs = min(self._limits.call_entries, 2 * self._max_jobs + 1)
        self._pace.record_commit(version, attempt.sent_at, self._clock.monotonic())
        self._lease_expires_at = attempt.sent_at + LEADER_LEASE
        self._stored_renewal = timedelta(seconds=attempt.row.renewed)
        for change in attempt.draft.changes:
            self._chunks.record_stored(change)
        self._record_watched(attempt.watched)
        self._scheduler.changes.confirm(attempt.changes)
        self._scheduler.allow_starts(attempt.row.started_version)

    def _record_watched(self, watched: tuple[WatchedUpstream, ...] | None) -> None:
        """Tell the scheduler which upstreams are stored as ones that may run tasks."""
        if watched is None:
            return
        if watched != self._watched:
            self._watched = watched
            self._watched_values = encode_watched(watched, self._limits)
        # The next leader trusts a stored lease expiry, so no new runs may start on an
        # upstream that is stored with one.
        assignments = {each.name: each.assignment for each in watched if not each.lapse}
        self._scheduler.update_recorded(assignments, self._clock.monotonic())

    def _resolve_conflict(self, attempt: _Attempt, rows: tuple[StoredRow, ...]) -> bool:
        """Handle a changed leader's row; return whether this very attempt is stored.

        Either another instance has claimed the leadership, or an earlier write of this
        incarnation was stored although its answer was lost.
        """
        stored, version = decode_leader(rows)
        if stored is None or stored.incarnation != self.row.incarnation:
            self._requeue(attempt)
            self.is_superseded = True
            return False
        if stored.renewal == attempt.row.renewal:
            self._record_stored(attempt, version)
            return True
        self._requeue(attempt)
        self._version = version
        return False

    def _describe_assignment(self, upstream: Upstream) -> tuple[int, str, str, int]:
        """Return what the row of an upstream tells of its assignment."""
        assignment = self._scheduler.find_stored_assignment(upstream)
        until = 0
        if assignment.until:
            stored = self._store_clock.from_local(assignment.until)
            until = math.ceil(stored.total_seconds())
        return assignment.number, assignment.instance, assignment.process, until

    def _list_watched(self) -> tuple[WatchedUpstream, ...]:
        """Return, sorted by name, the upstreams the next leader must ask for runs."""
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
                    # Rounded up, so that small clock shifts do not change the row.
                    math.ceil(lapse),
                    entry.identity,
                    to_unix_ms(entry.started_at) if entry.started_at else 0,
                    *self._describe_assignment(upstream),
                )
            )
        return tuple(sorted(watched, key=lambda upstream: upstream.name))


def _omit_stored(change: RowChange, stored: list[bytes]) -> RowChange:
    """Return a change without the rows that the store is known to hold already."""
    puts = []
    for number, put in enumerate(change.puts):
        if number >= len(stored) or stored[number] != put.value:
            puts.append(put)
    return evolve(change, puts=tuple(puts))


def _log_failed_commit(transaction: Transaction, failure: StoreUnavailable) -> None:
    """Log why a commit failed, with its size and its largest row."""
    largest = max(transaction.puts, key=lambda put: len(put.value))
    logger.warning(
        "commit failed",
        reason=failure.reason,
        puts=len(transaction.puts),
        removals=len(transaction.removals),
        bytes=sum(len(put.value) for put in transaction.puts),
        largest_row=f"{largest.name.table}/{largest.name.key}",
        largest_bytes=len(largest.value),
        permanent=failure.permanent,
    )
