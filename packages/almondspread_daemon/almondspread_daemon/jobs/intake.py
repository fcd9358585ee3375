"""Brings the stored jobs and cancellations to the scheduler."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.leases import compute_inherited_lease_time
from almondspread.jobs.ports import HistoryGone, StoredRow
from almondspread.jobs.progress import TERMINAL_STATES, JobRecord
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.retention import SubmissionRows
from almondspread_daemon.jobs.rows import (
    CANCEL_PREFIX,
    SUBMISSIONS_TABLE,
    CancelRow,
    SubmissionRow,
    decode_row,
    decode_submission,
    make_watched_entry,
)
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock
from almondspread_daemon.jobs.stored_cell import StoredCell

FEED_WAIT = timedelta(seconds=1)
FEED_MARGIN = timedelta(milliseconds=500)
STORE_RETRY_DELAY = timedelta(milliseconds=200)


class JobIntake:
    """Loads what the cell has at a takeover, and follows what is stored later."""

    def __init__(
        self,
        claim_version: int,
        scheduler: Scheduler,
        committer: Committer,
        settings: JobSettings,
        store: StoreAccess,
        store_clock: StoreClock,
        clock: Clock,
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
        self._records: dict[str, JobRecord] = {}
        self.rows = SubmissionRows()
        self._missing_parts: list[str] = []
        self._heard = clock.monotonic()

    def is_caught_up(self) -> bool:
        """Tell whether every job that has been stored for a while is known here."""
        fresh = self._clock.monotonic() - self._heard < FEED_WAIT + FEED_MARGIN
        return self.is_loaded and self._scheduler.is_complete and fresh

    async def load(self) -> bool:
        """Load the cell; false where the lease runs out before the store answers."""
        while True:
            cell = StoredCell(self._store)
            loaded = await cell.load()
            if loaded.is_ok():
                self._take_cell(cell)
                return True
            logger.warning("cell not loaded", reason=loaded.error.reason)
            if not self._committer.lease_holds:
                return False
            await self._clock.sleep(STORE_RETRY_DELAY)

    def _take_cell(self, cell: StoredCell) -> None:
        """Take over all jobs, and the upstreams that may run their tasks."""
        self._records = cell.records
        self.take_rows(cell.submission_rows)
        if self._scheduler.jobs or cell.missing_parts:
            self._inherit_upstreams(cell)
        self._missing_parts = cell.missing_parts
        self._scheduler.is_complete = not cell.missing_parts
        if self._scheduler.is_complete:
            self._forget_orphans()
        self.is_loaded = True
        logger.info(
            "leadership taken",
            epoch=self._scheduler.epoch,
            jobs=len(self._scheduler.jobs),
            watched=len(cell.watched),
            missing_parts=len(cell.missing_parts),
            version=cell.version,
        )

    def _inherit_upstreams(self, cell: StoredCell) -> None:
        """Take over the upstreams on which an earlier leader may have started runs."""
        held = compute_inherited_lease_time(self._settings.lease)
        for upstream in cell.watched:
            lapse = self._clock.monotonic() + held
            if upstream.lapse:
                known = timedelta(seconds=upstream.lapse)
                lapse = min(lapse, self._store_clock.to_local(known))
            self._scheduler.inherit_upstream(make_watched_entry(upstream), lapse)

    async def load_missing_parts(self) -> None:
        """Read the parts that were missing at the takeover, once they are there."""
        while self._missing_parts:
            await self._clock.sleep(STORE_RETRY_DELAY)
            cell = StoredCell(self._store)
            loaded = await cell.load_submissions(self._missing_parts)
            if loaded.is_error():
                continue
            self.take_rows(cell.submission_rows)
            self._missing_parts = cell.missing_parts
        logger.info("cell complete", jobs=len(self._scheduler.jobs))
        self._scheduler.is_complete = True
        self._forget_orphans()

    def _forget_orphans(self) -> None:
        """Have progress dropped whose job an earlier leader was about to forget."""
        orphans = []
        for job, record in self._records.items():
            if job not in self._scheduler.jobs and record.state in TERMINAL_STATES:
                orphans.append(job)
        self._scheduler.forget_jobs(orphans)
        self._records = {}

    async def follow(self) -> bool:
        """Take on what is stored next; return whether anything was."""
        changes = await self._store.follow(SUBMISSIONS_TABLE, self._version, FEED_WAIT)
        if changes.is_error():
            if isinstance(changes.error, HistoryGone):
                return await self._reload()
            logger.warning("feed interrupted", reason=changes.error.reason)
            await self._clock.sleep(STORE_RETRY_DELAY)
            return False
        self.take_rows(changes.ok.rows)
        self._heard = self._clock.monotonic()
        self._version = max(self._version, changes.ok.version)
        return bool(changes.ok.rows)

    async def _reload(self) -> bool:
        """Read all submissions where the store has forgotten what changed."""
        logger.warning("feed lost its history", version=self._version)
        cell = StoredCell(self._store)
        loaded = await cell.load_submissions()
        if loaded.is_error() or cell.missing_parts:
            await self._clock.sleep(STORE_RETRY_DELAY)
            return False
        self.take_rows(cell.submission_rows)
        self._heard = self._clock.monotonic()
        self._version = max(cell.version, self._claim_version)
        return True

    def take_rows(self, rows: tuple[StoredRow, ...]) -> None:
        """Take rows of submissions and cancellations."""
        now, wall = self._clock.monotonic(), self._clock.now()
        cancelled = []
        for row in rows:
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
                wall,
                version=row.version,
                record=self._records.get(submission.job),
            )
        for job in cancelled:
            self._scheduler.cancel_job(job, now)
