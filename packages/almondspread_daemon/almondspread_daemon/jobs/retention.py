"""Deletes the stored rows of jobs whose retention time is over."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowName,
    StoredRow,
    Transaction,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.rows import parse_job
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess

SWEEP_INTERVAL = timedelta(seconds=5)
# Callers may query a job until its retention ends by their own, different clock.
RETENTION_MARGIN = timedelta(seconds=10)
# A sweep makes only a few transactions, so that it does not slow other store calls.
MAX_JOBS_PER_SWEEP = 400


@define(eq=False)
class SubmissionRows:
    """Tracks which rows hold the submissions and cancellations of each job.

    Several instances may have stored the same job, each in its own partitions. All
    changes up to ``followed_version`` have been applied, so that no row of up to that
    version can come again from the feed. ``_removed`` has the rows that are removed
    while all rows are read again; what was read of them is outdated.
    """

    followed_version: int = 0
    _rows: dict[str, dict[RowName, int]] = field(factory=dict)
    _removed: set[RowName] | None = None

    def begin_reading(self) -> None:
        """Note from now on which rows are removed, as all are being read again."""
        self._removed = set()

    def end_reading(self, rows: Iterable[StoredRow]) -> tuple[StoredRow, ...]:
        """Return the rows that were read, without those removed since the beginning."""
        removed, self._removed = self._removed or set(), None
        return tuple(row for row in rows if row.name not in removed)

    def may_remove(self, job: str) -> bool:
        """Return whether no row of a job can come again from the feed."""
        versions = self._rows.get(job, {}).values()
        return all(version <= self.followed_version for version in versions)

    def record_row(self, row: StoredRow) -> None:
        """Track a row as read from the store; a row without a value was deleted."""
        job = parse_job(row.name)
        if job is None:
            return
        if row.value is None:
            self.remove_row(row.name)
            return
        self._rows.setdefault(job, {})[row.name] = row.version

    def list_rows(self, job: str) -> list[RowCondition]:
        """Return the stored rows of a job, as conditions on their versions."""
        rows = self._rows.get(job, {})
        return [RowCondition(name, version) for name, version in rows.items()]

    def remove_row(self, name: RowName) -> None:
        """Stop tracking a row that is no longer stored."""
        if self._removed is not None:
            self._removed.add(name)
        job = parse_job(name)
        rows = self._rows.get(job or "", {})
        rows.pop(name, None)
        if job is not None and not rows:
            self._rows.pop(job, None)


class Retention:
    """Deletes jobs once callers can no longer query them.

    Submissions are deleted first, and progress only after the store has confirmed
    that. In the opposite order, a new leader could find a job without its progress and
    run the job again.
    """

    def __init__(
        self,
        settings: JobSettings,
        rows: SubmissionRows,
        scheduler: Scheduler,
        store: StoreAccess,
        clock: Clock,
    ) -> None:
        self._rows_per_call = settings.store_limits.conditional_rows
        self._retention = settings.status_retention + RETENTION_MARGIN
        self._rows = rows
        self._scheduler = scheduler
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Sweep at regular intervals until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            await self.sweep()

    async def sweep(self) -> None:
        """Delete the jobs whose retention is over, up to a maximum per sweep.

        Jobs with a row that could not be deleted, or that the feed may still deliver,
        are left to a later sweep.
        """
        if not self._scheduler.is_complete:
            return
        now = self._clock.monotonic()
        expired = []
        for job in self._scheduler.list_expired_jobs(now, self._retention):
            if self._rows.may_remove(job):
                expired.append(job)
        expired = expired[:MAX_JOBS_PER_SWEEP]
        if not expired:
            return
        await self._remove_rows(expired)
        forgotten = [job for job in expired if not self._rows.list_rows(job)]
        self._scheduler.forget_jobs(forgotten)
        logger.info("expired jobs deleted", jobs=len(forgotten), expired=len(expired))

    async def _remove_rows(self, jobs: list[str]) -> None:
        """Delete the rows of some jobs, except rows changed since they were read."""
        by_partition: dict[str, list[RowCondition]] = {}
        for job in jobs:
            for condition in self._rows.list_rows(job):
                by_partition.setdefault(condition.name.partition, []).append(condition)
        for rows in by_partition.values():
            for start in range(0, len(rows), self._rows_per_call):
                await self._remove_batch(rows[start : start + self._rows_per_call])

    async def _remove_batch(self, rows: list[RowCondition]) -> None:
        """Delete rows of one partition; untrack the rows that are certainly deleted."""
        names = tuple(row.name for row in rows)
        outcome = await self._store.transact(Transaction(tuple(rows), removals=names))
        still_stored: set[RowName] = set()
        if outcome.is_error():
            logger.warning(
                "rows of expired jobs not deleted",
                rows=len(rows),
                reason=str(outcome.error),
            )
            if not isinstance(outcome.error, ConditionsFailed):
                return
            for row in outcome.error.rows:
                self._rows.record_row(row)
                if row.value is not None:
                    still_stored.add(row.name)
        for name in names:
            if name not in still_stored:
                self._rows.remove_row(name)
