"""Drops the rows of jobs that ended long ago."""

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
from almondspread_daemon.jobs.store_access import StoreAccess

SWEEP_INTERVAL = timedelta(seconds=5)
# Callers may ask until the retention is over, by a clock that differs from this one.
RETENTION_MARGIN = timedelta(seconds=10)
# A few transactions at a time leave the store to the work at hand.
MAX_JOBS_PER_SWEEP = 400
MAX_ROWS_PER_TRANSACTION = 50


@define(eq=False)
class SubmissionRows:
    """Which rows hold the submissions and cancellations of each job.

    One job may have been stored by several instances, each in parts of its own.
    """

    _rows: dict[str, dict[RowName, int]] = field(factory=dict)

    def record_row(self, row: StoredRow) -> None:
        """Take a row as it was read, or its removal."""
        job = parse_job(row.name)
        if job is None:
            return
        if row.value is None:
            self.drop(row.name)
            return
        self._rows.setdefault(job, {})[row.name] = row.version

    def list_rows(self, job: str) -> list[RowCondition]:
        """Return the rows of a job that are stored, each at its version."""
        rows = self._rows.get(job, {})
        return [RowCondition(name, version) for name, version in rows.items()]

    def drop(self, name: RowName) -> None:
        """Forget a row that is not stored any more."""
        job = parse_job(name)
        rows = self._rows.get(job or "", {})
        rows.pop(name, None)
        if job is not None and not rows:
            self._rows.pop(job, None)


class Retention:
    """Forgets jobs once callers can no longer ask for them.

    Submissions are removed first, and progress only after the store has confirmed
    that. In the other order, a new leader could find a job without its progress, and
    run it again.
    """

    def __init__(
        self,
        retention: timedelta,
        rows: SubmissionRows,
        scheduler: Scheduler,
        store: StoreAccess,
        clock: Clock,
    ) -> None:
        self._retention = retention + RETENTION_MARGIN
        self._rows = rows
        self._scheduler = scheduler
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Sweep again and again until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL)
            await self.sweep()

    async def sweep(self) -> None:
        """Forget the jobs whose retention is over."""
        if not self._scheduler.is_complete:
            return
        now = self._clock.monotonic()
        expired = self._scheduler.list_expired_jobs(now, self._retention)
        expired = expired[:MAX_JOBS_PER_SWEEP]
        if not expired:
            return
        await self._remove_rows(expired)
        forgotten = [job for job in expired if not self._rows.list_rows(job)]
        self._scheduler.forget_jobs(forgotten)
        logger.info("jobs forgotten", jobs=len(forgotten), expired=len(expired))

    async def _remove_rows(self, jobs: list[str]) -> None:
        """Remove the rows of some jobs, unless they have been written anew."""
        by_part: dict[str, list[RowCondition]] = {}
        for job in jobs:
            for stored in self._rows.list_rows(job):
                by_part.setdefault(stored.name.partition, []).append(stored)
        for rows in by_part.values():
            for start in range(0, len(rows), MAX_ROWS_PER_TRANSACTION):
                await self._remove_batch(rows[start : start + MAX_ROWS_PER_TRANSACTION])

    async def _remove_batch(self, rows: list[RowCondition]) -> None:
        """Remove rows of one part; those that are surely gone are dropped here."""
        names = tuple(row.name for row in rows)
        outcome = await self._store.transact(Transaction(tuple(rows), removals=names))
        there: set[RowName] = set()
        if outcome.is_error():
            logger.warning(
                "rows not removed", rows=len(rows), reason=str(outcome.error)
            )
            if not isinstance(outcome.error, ConditionsFailed):
                return
            for row in outcome.error.rows:
                self._rows.record_row(row)
                if row.value is not None:
                    there.add(row.name)
        for name in names:
            if name not in there:
                self._rows.drop(name)
