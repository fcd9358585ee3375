"""Stores what the leader decides; each commit also renews its lease."""

import asyncio
import math
from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.leases import LEADER_GRACE, LEADER_LEASE, LeaderRow
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowPut,
    StoredRow,
    Transaction,
)
from almondspread.jobs.scheduler import PendingChanges, Scheduler
from almondspread_daemon.jobs.rows import (
    LEADER_ROW,
    WATCHED_ROW,
    WatchedUpstream,
    decode_leader,
    encode_watched,
    make_progress_name,
)
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock

# A refusal that is older says nothing of the store now.
REFUSAL_AGE = timedelta(seconds=1)
# Longer than commits take at a store that is well.
SLOW_COMMIT = timedelta(milliseconds=150)
MAX_AHEAD = timedelta(seconds=2)
# One transaction also holds the leader's row and that of the watched upstreams.
MAX_RECORDS_PER_COMMIT = 90


@define(eq=False)
class CommitPace:
    """How long commits take, and how fast the store's version rises meanwhile."""

    version: int
    noted: timedelta
    margin: int = 0

    def note(self, version: int, sent: timedelta, now: timedelta) -> None:
        """Take a commit that was sent and answered then.

        Where commits are slow, ``margin`` is by how much the version rises until the
        second one from now on; otherwise it is 0.
        """
        passed = max(now - self.noted, timedelta(milliseconds=1))
        rate = (version - self.version) / passed.total_seconds()
        self.version, self.noted = version, now
        self.margin = 0
        if now - sent > SLOW_COMMIT:
            ahead = min(2 * (now - sent), MAX_AHEAD)
            self.margin = math.ceil(rate * ahead.total_seconds())


@define(frozen=True)
class _Attempt:
    """One commit: what it stores, and when it was sent."""

    row: LeaderRow
    changes: PendingChanges
    watched: tuple[WatchedUpstream, ...]
    sent: timedelta


class Committer:
    """Writes under the condition that the leader's row is still its own."""

    def __init__(
        self,
        row: LeaderRow,
        version: int,
        scheduler: Scheduler,
        store: StoreAccess,
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        self.row = row
        self.is_superseded = False
        self._version = version
        self._pace = CommitPace(version, clock.monotonic())
        self._scheduler = scheduler
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._lease_until = clock.monotonic() + LEADER_LEASE
        self._refused_at: timedelta | None = None
        self._watched: tuple[WatchedUpstream, ...] | None = None
        self._turn = asyncio.Lock()
        self._released = False

    @property
    def version(self) -> int:
        """The version of the leader's row."""
        return self._version

    @property
    def lease_holds(self) -> bool:
        """Whether the store has confirmed the leadership recently enough."""
        return self._clock.monotonic() < self._lease_until

    @property
    def is_grace_over(self) -> bool:
        """Whether the leader has gone on without the store for too long."""
        if self.is_refused:
            return False
        return self._clock.monotonic() > self._lease_until + LEADER_GRACE

    @property
    def is_refused(self) -> bool:
        """Whether the store has just refused a commit."""
        if self._refused_at is None:
            return False
        return self._clock.monotonic() - self._refused_at < REFUSAL_AGE

    async def commit(self, *, released: bool = False) -> bool:
        """Store what has changed; false where the store did not take it.

        Commits take turns, since each has the version of the one before as condition.
        """
        async with self._turn:
            if self._released:
                # A commit that waited for its turn would take the release back.
                return False
            stored = await self._commit(released)
            self._released = released and stored
            return stored

    async def _commit(self, released: bool) -> bool:
        """Make one commit."""
        attempt = self._prepare(released)
        outcome = await self._store.transact(
            self._make_transaction(attempt.changes, attempt.watched)
        )
        if outcome.is_ok():
            self._store_clock.observe(outcome.ok.store_time)
            self._note_stored(attempt, outcome.ok.version)
            return True
        if isinstance(outcome.error, ConditionsFailed):
            return self._resolve_conflict(attempt, outcome.error.rows)
        self._scheduler.requeue_changes(attempt.changes)
        refused = outcome.error.refused
        self._refused_at = self._clock.monotonic() if refused else None
        logger.warning("commit failed", reason=outcome.error.reason)
        return False

    def _prepare(self, released: bool) -> _Attempt:
        """Return what is to be stored now."""
        started_version = max(self.row.started_version, self._scheduler.newest_version)
        if self._pace.margin:
            # Jobs that come while this commit is under way need not wait for the next.
            ahead = self._version + self._pace.margin
            started_version = max(started_version, ahead)
        self.row = evolve(
            self.row,
            renewed=self._store_clock.now().total_seconds(),
            renewal=self.row.renewal + 1,
            released=released,
            started_version=started_version,
        )
        return _Attempt(
            self.row,
            self._scheduler.take_changes(MAX_RECORDS_PER_COMMIT),
            self._describe_watched(),
            self._clock.monotonic(),
        )

    def _note_stored(self, attempt: _Attempt, version: int) -> None:
        """Take a commit that is stored."""
        self._refused_at = None
        self._version = version
        self._pace.note(version, attempt.sent, self._clock.monotonic())
        self._lease_until = attempt.sent + LEADER_LEASE
        self._watched = attempt.watched
        # With a lapse that is stored, a successor would count on it.
        names = frozenset(each.name for each in attempt.watched if not each.lapse)
        self._scheduler.update_recorded(names)
        self._scheduler.confirm_changes(attempt.changes)
        self._scheduler.allow_starts(attempt.row.started_version)

    def _make_transaction(
        self, changes: PendingChanges, watched: tuple[WatchedUpstream, ...]
    ) -> Transaction:
        """Return the transaction that renews the lease and stores the changes."""
        puts = [RowPut(LEADER_ROW, encode_message(self.row))]
        if watched != self._watched:
            puts.append(RowPut(WATCHED_ROW, encode_watched(watched)))
        for record in changes.records:
            puts.append(RowPut(make_progress_name(record.job), encode_message(record)))
        removals = tuple(make_progress_name(job) for job in changes.forgotten)
        return Transaction(
            (RowCondition(LEADER_ROW, self._version),), tuple(puts), removals
        )

    def _resolve_conflict(self, attempt: _Attempt, rows: tuple[StoredRow, ...]) -> bool:
        """Tell a superseded epoch from an own write without its answer.

        Return whether that write was this attempt.
        """
        stored, version = decode_leader(rows)
        if stored is None or stored.incarnation != self.row.incarnation:
            self._scheduler.requeue_changes(attempt.changes)
            self.is_superseded = True
            return False
        if stored.renewal == attempt.row.renewal:
            self._note_stored(attempt, version)
            return True
        self._scheduler.requeue_changes(attempt.changes)
        self._version = version
        return False

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
