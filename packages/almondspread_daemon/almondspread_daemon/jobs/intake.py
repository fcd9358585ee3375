"""Passes stored jobs and cancellations from the store to the scheduler."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.cell_state import find_epoch
from almondspread.jobs.job_records import TERMINAL_STATES, JobRecord
from almondspread.jobs.leases import LeaderRow, compute_inherited_lease_time
from almondspread.jobs.messages import Assignment
from almondspread.jobs.ports import HistoryGone, StoredRow
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.retention import SubmissionRows
from almondspread_daemon.jobs.rows import (
    CANCEL_PREFIX,
    SUBMISSIONS_TABLE,
    CancelRow,
    SubmissionRow,
    WatchedUpstream,
    decode_row,
    decode_submission,
    make_watched_entry,
)
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.stored_cell import StoredCell
from almondspread_daemon.jobs.wall_time import NO_OCCURRENCE_DUE

FEED_POLL_TIMEOUT = timedelta(seconds=1)
FEED_STALENESS_MARGIN = timedelta(milliseconds=500)
STORE_RETRY_DELAY = timedelta(milliseconds=200)


class JobIntake:
    """Loads the cell's jobs at a takeover, and follows the jobs stored later.

    ``rows`` tells which rows hold the submissions and cancellations of each job.
    """

    def __init__(
        self,
        claim_version: int,
        scheduler: Scheduler,
        committer: Committer,
        settings: JobSettings,
        store: StoreAccess,
        store_clock: RemoteClock,
        clock: Clock,
        previous: LeaderRow | None = None,
    ) -> None:
        self.is_loaded = False
        self._claim_version = claim_version
        self._version = claim_version
        self._scheduler = scheduler
        self._committer = committer
        self._settings = settings
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._previous = previous
        self._records: dict[str, JobRecord] = {}
        self.rows = SubmissionRows(followed_version=claim_version)
        self._missing_partitions: list[str] = []
        self._last_read_at = clock.monotonic()

    def is_caught_up(self) -> bool:
        """Tell whether this leader knows every job, except ones stored very recently.

        All partitions must be loaded, and the feed must have answered a short time ago.
        """
        is_fresh = (
            self._clock.monotonic() - self._last_read_at
            < FEED_POLL_TIMEOUT + FEED_STALENESS_MARGIN
        )
        return self.is_loaded and self._scheduler.is_complete and is_fresh

    async def load(self) -> bool:
        """Load the cell with retries until the store answers.

        Return ``False`` if the leader lease expires before that.
        """
        while True:
            cell = StoredCell(self._store)
            loaded = await cell.load()
            if loaded.is_ok():
                self._apply_cell(cell)
                return True
            logger.warning(
                "stored jobs not loaded, retrying", reason=loaded.error.reason
            )
            if not self._committer.lease_holds:
                return False
            await self._clock.sleep(STORE_RETRY_DELAY)

    def _apply_cell(self, cell: StoredCell) -> None:
        """Pass the loaded jobs and the watched upstreams to the scheduler."""
        self._records = cell.records
        self.apply_rows(cell.submission_rows)
        if self._scheduler.jobs or cell.missing_partitions:
            self._inherit_upstreams(cell)
        self._missing_partitions = cell.missing_partitions
        self._scheduler.is_complete = not cell.missing_partitions
        if self._scheduler.is_complete:
            self._forget_orphans()
        self._committer.begin_with(cell.row_names)
        self.is_loaded = True
        logger.info(
            "leadership taken",
            epoch=self._scheduler.epoch,
            jobs=len(self._scheduler.jobs),
            watched=len(cell.watched),
            missing_parts=len(cell.missing_partitions),
            version=self._claim_version,
        )

    def _inherit_upstreams(self, cell: StoredCell) -> None:
        """Pass on the upstreams on which earlier leaders may have started runs.

        A lease expiry that an earlier leader stored may be sooner than the general
        bound, and is then used instead.
        """
        for upstream in cell.watched:
            lease_expiry = self._compute_lease_expiry(upstream)
            if upstream.lapse:
                stored_expiry = timedelta(seconds=upstream.lapse)
                lease_expiry = min(
                    lease_expiry, self._store_clock.to_local(stored_expiry)
                )
            self._scheduler.inherit_upstream(
                make_watched_entry(upstream),
                lease_expiry,
                self._make_assignment(upstream),
            )

    def _compute_lease_expiry(self, upstream: WatchedUpstream) -> timedelta:
        """Return when the leases have expired that earlier leaders' executors renewed.

        An upstream whose assignment is older than the epoch before this one has not
        answered in that epoch, so that no lease was renewed there since.
        """
        expiry = self._committer.row.inherited_leases_until
        previous = self._previous
        if previous is not None and previous.inherited_leases_until:
            if 0 < find_epoch(upstream.assignment) < previous.epoch:
                expiry = previous.inherited_leases_until
        if not expiry:
            lease_time = compute_inherited_lease_time(self._settings.lease)
            return self._clock.monotonic() + lease_time
        return self._store_clock.to_local(timedelta(seconds=expiry))

    def _make_assignment(self, upstream: WatchedUpstream) -> Assignment:
        """Return the assignment that a row names, with its time on the local clock."""
        until = timedelta(0)
        if upstream.until:
            until = self._store_clock.to_local(timedelta(seconds=upstream.until))
        return Assignment(
            upstream.assignment, upstream.instance, upstream.process, until
        )

    async def load_missing_partitions(self) -> None:
        """Retry reading the partitions missing at the takeover until all are read."""
        while self._missing_partitions:
            await self._clock.sleep(STORE_RETRY_DELAY)
            cell = StoredCell(self._store)
            loaded = await cell.load_submissions(self._missing_partitions)
            if loaded.is_error():
                continue
            self.apply_rows(cell.submission_rows)
            self._missing_partitions = cell.missing_partitions
        logger.info("all stored jobs loaded", jobs=len(self._scheduler.jobs))
        self._scheduler.is_complete = True
        self._forget_orphans()

    def _forget_orphans(self) -> None:
        """Delete stored progress of ended jobs whose submissions are already deleted.

        An earlier leader ended between these two steps of the retention.
        """
        orphans = []
        for job, record in self._records.items():
            if job not in self._scheduler.jobs and record.state in TERMINAL_STATES:
                orphans.append(job)
        self._scheduler.forget_jobs(orphans)
        self._records = {}

    async def follow(self) -> bool:
        """Apply the next changes of the submissions; return whether there were any."""
        began = self._clock.monotonic()
        changes = await self._store.follow(
            SUBMISSIONS_TABLE, self._version, FEED_POLL_TIMEOUT
        )
        if changes.is_error():
            if isinstance(changes.error, HistoryGone):
                return await self._reload()
            logger.warning(
                "submission feed interrupted, retrying", reason=changes.error.reason
            )
            await self._clock.sleep(STORE_RETRY_DELAY)
            return False
        self.apply_rows(changes.ok.rows)
        self._scheduler.record_read(began)
        self._last_read_at = self._clock.monotonic()
        self._set_version(max(self._version, changes.ok.version))
        return bool(changes.ok.rows)

    async def _reload(self) -> bool:
        """Read all submissions again after the store has dropped the change history.

        The feed goes on from a version that is older than the list of partitions. Those
        that are created during the reads are thus found in the feed.
        """
        logger.warning(
            "submission feed lost its history, reading all submissions",
            version=self._version,
        )
        began = self._clock.monotonic()
        cell = StoredCell(self._store)
        self.rows.begin_reading()
        version = await cell.read_version()
        loaded = await cell.load_submissions()
        rows = self.rows.end_reading(cell.submission_rows)
        if version.is_error() or loaded.is_error() or cell.missing_partitions:
            await self._clock.sleep(STORE_RETRY_DELAY)
            return False
        self.apply_rows(rows)
        self._scheduler.record_read(began)
        self._last_read_at = self._clock.monotonic()
        self._set_version(max(version.ok, self._claim_version))
        logger.info(
            "all submissions read again",
            partitions=cell.partitions,
            rows=len(rows),
            removed_meanwhile=len(cell.submission_rows) - len(rows),
            jobs=len(self._scheduler.jobs),
            follows_from=self._version,
            highest_read=cell.highest_version,
        )
        return True

    def _set_version(self, version: int) -> None:
        """Record up to which version all changes are applied."""
        self._version = self.rows.followed_version = version

    def apply_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Pass rows of submissions and cancellations to the scheduler.

        Cancellations are applied last, so that they find their jobs. Of several states
        of one row, only the last counts.
        """
        now = self._clock.monotonic()
        cancelled = []
        for row in {row.name: row for row in rows}.values():
            self.rows.record_row(row)
            if row.name.key.startswith(CANCEL_PREFIX):
                cancel = decode_row(row, CancelRow)
                if cancel is not None:
                    cancelled.append(cancel.job)
                continue
            submission = decode_row(row, SubmissionRow)
            if submission is None:
                continue
            stored = timedelta(seconds=submission.accepted)
            self._scheduler.accept_job(
                decode_submission(submission),
                min(self._store_clock.to_local(stored), now),
                NO_OCCURRENCE_DUE,
                version=row.version,
                record=self._records.get(submission.job),
            )
        for job in cancelled:
            self._scheduler.cancel_job(job, now)
