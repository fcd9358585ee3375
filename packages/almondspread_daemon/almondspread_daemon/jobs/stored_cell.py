"""Reads what the store keeps of the cell, as a new leader needs it."""

import asyncio

from attrs import define, field
from expression import Error, Ok, Result

from almondspread.jobs.ports import StoredRow, StoreUnavailable
from almondspread.jobs.progress import JobRecord
from almondspread_daemon.jobs.rows import (
    CANCEL_PREFIX,
    CELL_PART,
    CELL_TABLE,
    PROGRESS_TABLE,
    SUBMISSIONS_TABLE,
    WATCHED_ROW,
    CancelRow,
    SubmissionRow,
    WatchedRow,
    WatchedUpstream,
    decode_progress,
    decode_row,
)
from almondspread_daemon.jobs.store_access import StoreAccess

# The smallest key after another one.
NEXT_KEY_SUFFIX = "\x00"


@define(eq=False)
class StoredCell:
    """All rows of the cell. ``version`` is the oldest at which any were read.

    ``missing_parts`` are parts of the submissions that the store does not give now.
    """

    store: StoreAccess
    version: int = 0
    missing_parts: list[str] = field(factory=list)
    submissions: dict[str, SubmissionRow] = field(factory=dict)
    cancelled: list[str] = field(factory=list)
    records: dict[str, JobRecord] = field(factory=dict)
    watched: tuple[WatchedUpstream, ...] = ()
    submission_rows: tuple[StoredRow, ...] = ()

    async def load(self) -> Result[None, StoreUnavailable]:
        """Read everything; only the leader, which reads, writes the cell's part."""
        submissions, progress, cell = await asyncio.gather(
            self.load_submissions(),
            self._read_all(PROGRESS_TABLE, CELL_PART),
            self._read_all(CELL_TABLE, CELL_PART),
        )
        if submissions.is_error():
            return Error(submissions.error)
        if progress.is_error():
            return Error(progress.error)
        if cell.is_error():
            return Error(cell.error)
        self.records = decode_progress(tuple(progress.ok))
        for row in cell.ok:
            if row.name != WATCHED_ROW:
                continue
            watched = decode_row(row, WatchedRow)
            if watched is not None:
                self.watched = watched.upstreams
        return Ok(None)

    async def load_submissions(
        self, parts: list[str] | None = None
    ) -> Result[None, StoreUnavailable]:
        """Read the submissions and cancellations of some parts, or of all.

        Parts that the store does not give become the missing ones.
        """
        if parts is None:
            listed = await self.store.list_partitions(SUBMISSIONS_TABLE)
            if listed.is_error():
                return Error(listed.error)
            parts = listed.ok
        rows: list[StoredRow] = []
        versions: list[int] = []
        answers = await asyncio.gather(
            *(self._read_all(SUBMISSIONS_TABLE, part, versions) for part in parts)
        )
        for part, found in zip(parts, answers, strict=True):
            if found.is_error():
                self.missing_parts.append(part)
                continue
            rows.extend(found.ok)
        self.version = min(versions, default=0)
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
        self, table: str, part: str, versions: list[int] | None = None
    ) -> Result[list[StoredRow], StoreUnavailable]:
        """Read one part to its end; note the versions at which it was read."""
        rows: list[StoredRow] = []
        start = ""
        while True:
            page = await self.store.read(table, part, start)
            if page.is_error():
                return Error(page.error)
            rows.extend(page.ok.rows)
            if versions is not None:
                versions.append(page.ok.version)
            if not page.ok.has_more or not page.ok.rows:
                return Ok(rows)
            start = page.ok.rows[-1].name.key + NEXT_KEY_SUFFIX
