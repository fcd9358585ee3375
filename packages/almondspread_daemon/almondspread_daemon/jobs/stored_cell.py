"""Reads the stored state of the cell, as a new leader needs it."""

import asyncio

from attrs import define, field
from expression import Error, Ok, Result

from almondspread.jobs.job_records import JobRecord
from almondspread.jobs.ports import RowName, StoredRow, StoreUnavailable
from almondspread_daemon.jobs.progress_rows import decode_progress
from almondspread_daemon.jobs.rows import (
    CANCEL_PREFIX,
    CELL_PARTITION,
    CELL_TABLE,
    LEADER_ROW,
    PROGRESS_TABLE,
    SUBMISSIONS_TABLE,
    CancelRow,
    SubmissionRow,
    WatchedUpstream,
    decode_row,
    decode_watched,
)
from almondspread_daemon.jobs.store_access import StoreAccess

# A key with this suffix is the smallest key that sorts after the key itself.
NEXT_KEY_SUFFIX = "\x00"


@define(eq=False)
class StoredCell:
    """All rows of the cell, read from the store by the ``load`` methods.

    ``highest_version`` is the highest store version at which any submissions were read,
    and ``partitions`` the number of partitions that were read or are missing.
    ``missing_partitions`` are partitions of the submissions that could not be read.
    ``row_names`` are those of the progress and of the cell's own rows.
    """

    store: StoreAccess
    highest_version: int = 0
    partitions: int = 0
    missing_partitions: list[str] = field(factory=list)
    submissions: dict[str, SubmissionRow] = field(factory=dict)
    cancelled: list[str] = field(factory=list)
    records: dict[str, JobRecord] = field(factory=dict)
    watched: tuple[WatchedUpstream, ...] = ()
    row_names: list[RowName] = field(factory=list)
    submission_rows: tuple[StoredRow, ...] = ()

    async def load(self) -> Result[None, StoreUnavailable]:
        """Read the submissions, the progress of all jobs and the watched upstreams.

        The reads need not share one version, because only the leader, which makes
        them, writes the progress and the watched upstreams.
        """
        submissions, progress, cell = await asyncio.gather(
            self.load_submissions(),
            self._read_all(PROGRESS_TABLE, CELL_PARTITION),
            self._read_all(CELL_TABLE, CELL_PARTITION),
        )
        if submissions.is_error():
            return Error(submissions.error)
        if progress.is_error():
            return Error(progress.error)
        if cell.is_error():
            return Error(cell.error)
        self.records = decode_progress(progress.ok)
        self.watched = decode_watched(cell.ok)
        self.row_names = [row.name for row in (*progress.ok, *cell.ok)]
        return Ok(None)

    async def read_version(self) -> Result[int, StoreUnavailable]:
        """Return the newest version of the store.

        Partitions that are listed after this call include all that was stored up to
        the version. A partition that is created later is in the changes after it.
        """
        page = await self.store.read(
            LEADER_ROW.table,
            LEADER_ROW.partition,
            LEADER_ROW.key,
            LEADER_ROW.key + NEXT_KEY_SUFFIX,
        )
        return page.map(lambda read: read.version)

    async def load_submissions(
        self, partitions: list[str] | None = None
    ) -> Result[None, StoreUnavailable]:
        """Read the submissions and cancellations of some partitions, by default of all.

        Partitions that cannot be read are added to ``missing_partitions``.
        """
        if partitions is None:
            listed = await self.store.list_partitions(SUBMISSIONS_TABLE)
            if listed.is_error():
                return Error(listed.error)
            partitions = listed.ok
        rows: list[StoredRow] = []
        versions: list[int] = []
        answers = await asyncio.gather(
            *(
                self._read_all(SUBMISSIONS_TABLE, partition, versions)
                for partition in partitions
            )
        )
        for partition, found in zip(partitions, answers, strict=True):
            if found.is_error():
                self.missing_partitions.append(partition)
                continue
            rows.extend(found.ok)
        self.highest_version = max(versions, default=0)
        self.partitions = len(partitions)
        self.submission_rows = tuple(rows)
        for row in rows:
            if row.name.key.startswith(CANCEL_PREFIX):
                cancel = decode_row(row, CancelRow)
                if cancel is not None:
                    self.cancelled.append(cancel.job)
                continue
            submission = decode_row(row, SubmissionRow)
            if submission is not None:
                self.submissions[submission.job] = submission
        return Ok(None)

    async def _read_all(
        self, table: str, partition: str, versions: list[int] | None = None
    ) -> Result[list[StoredRow], StoreUnavailable]:
        """Read all pages of a partition; append the version of each to ``versions``."""
        rows: list[StoredRow] = []
        start = ""
        while True:
            page = await self.store.read(table, partition, start)
            if page.is_error():
                return Error(page.error)
            rows.extend(page.ok.rows)
            if versions is not None:
                versions.append(page.ok.version)
            if not page.ok.has_more or not page.ok.rows:
                return Ok(rows)
            start = page.ok.rows[-1].name.key + NEXT_KEY_SUFFIX
