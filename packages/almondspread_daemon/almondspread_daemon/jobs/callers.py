"""What callers ask of jobs: submit, read, cancel, and count those that wait."""

import asyncio
import math
from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.errors import (
    NotFound,
    OutcomeUnknown,
    Problem,
    Unavailable,
)
from almondspread.jobs.admission import decide_admission
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowName,
    RowPut,
    StoredRow,
    StoreUnavailable,
    Transaction,
)
from almondspread.jobs.progress import TERMINAL_STATES, JobRecord, JobState
from almondspread.jobs.submissions import Submission, check_submission
from almondspread_daemon.jobs.board import JobBoard
from almondspread_daemon.jobs.rows import (
    CancelRow,
    encode_submission,
    list_parts,
    name_cancel,
    name_job,
    name_progress,
    read_row,
)
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock

STORE_RETRY_AFTER = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=50)
# A caller that hears early that the outcome is unknown can still try elsewhere.
MAX_STORING_TIME = timedelta(milliseconds=1_200)
# The caller should hear that the outcome is unknown before it gives up.
ANSWER_MARGIN = timedelta(milliseconds=50)
MIN_STORING_TIME = timedelta(milliseconds=50)


class JobDesk:
    """Serves callers' requests about jobs at this instance."""

    def __init__(
        self,
        store: StoreAccess,
        store_clock: StoreClock,
        clock: Clock,
        board: JobBoard,
        announce_cancel: Callable[[str], None],
    ) -> None:
        self.configuration: Configuration | None = None
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._board = board
        self._announce_cancel = announce_cancel

    def find_queue(self, host: str, path: str) -> Result[Queue, Problem]:
        """Return the queue that a request is for."""
        if self.configuration is None:
            return Error(
                Unavailable(
                    "this instance has no configuration yet",
                    "send the request again",
                    not_run=True,
                    retry_after_seconds=STORE_RETRY_AFTER.total_seconds(),
                )
            )
        queue = self.configuration.find_queue(host, path)
        if queue is None:
            return Error(NotFound("no queue has this host and path", "check both"))
        return Ok(queue)

    async def submit(
        self, queue: Queue, submission: Submission, timeout: timedelta
    ) -> Result[JobState, Problem]:
        """Store a job, once however often it is submitted; then it will run."""
        checked = check_submission(submission)
        if checked.is_error():
            return Error(checked.error)
        known = self._board.read(submission.job)
        if known is not None:
            return Ok(known)
        wait = self._board.waits.get(queue.name, 0.0)
        admission = decide_admission(queue, submission, timedelta(seconds=wait))
        if admission is not None:
            self._log(submission.job, "refused", wait=wait)
            return Error(admission)
        if self._store.is_lost:
            failure = StoreUnavailable("it has not answered for a while", True)
            return Error(self._refuse(submission.job, failure))
        time_left = min(timeout - ANSWER_MARGIN, MAX_STORING_TIME)
        if time_left < MIN_STORING_TIME:
            failure = StoreUnavailable("the caller leaves it too little time", True)
            return Error(self._refuse(submission.job, failure))
        try:
            async with asyncio.timeout(time_left.total_seconds()):
                return await self._store_submission(submission)
        except TimeoutError:
            self._log(submission.job, "unknown", reason="the store does not answer")
            return Error(_report_unknown())

    async def _store_submission(
        self, submission: Submission
    ) -> Result[JobState, Problem]:
        """Write the submission's row into the first part that takes it.

        Once a write may have been done, only the same part is tried again.
        """
        value = encode_submission(submission, self._store_clock.now())
        failure = StoreUnavailable("no part takes the job", not_done=True)
        for part in list_parts(submission.job):
            name = name_job(submission.job, part)
            transaction = Transaction((RowCondition(name, 0),), (RowPut(name, value),))
            while True:
                outcome = await self._store.transact(transaction)
                if outcome.is_ok():
                    self._log(submission.job, "accepted", version=outcome.ok.version)
                    return Ok(JobState.QUEUED)
                if isinstance(outcome.error, ConditionsFailed):
                    self._log(submission.job, "accepted", reason="stored before")
                    return Ok(JobState.QUEUED)
                failure = outcome.error
                if failure.not_done:
                    break
                await self._clock.sleep(RETRY_PAUSE)
        return Error(self._refuse(submission.job, failure))

    def _refuse(self, job: str, failure: StoreUnavailable) -> Problem:
        """Return the problem of a job that has surely not been stored."""
        self._log(job, "refused", reason=failure.reason)
        return _report_store_away(failure)

    async def read_state(self, job: str) -> Result[JobState, Problem]:
        """Return the state of a job."""
        known = self._board.read(job)
        if known is not None and (self._board.is_current or known in TERMINAL_STATES):
            return Ok(known)
        stored = await self._read_stored_state(job)
        if stored.is_error() and known is not None:
            return Ok(known)
        return stored

    async def _read_stored_state(self, job: str) -> Result[JobState, Problem]:
        """Return the state of a job by the store's rows."""
        state = None
        row = await self._read_one(name_progress(job))
        if row.is_error():
            return Error(_report_store_away(row.error))
        if row.ok is not None:
            record = read_row(row.ok, JobRecord)
            state = JobState(record.state) if record is not None else JobState.QUEUED
        if state in TERMINAL_STATES:
            assert state is not None
            return Ok(state)
        for part in list_parts(job):
            found = await self._read_part(job, part)
            if found.is_error():
                return Error(_report_store_away(found.error))
            if found.ok is JobState.CANCELLED:
                return Ok(found.ok)
            state = state or found.ok
        if state is None:
            self._log(job, "not found")
            return Error(_report_gone(job))
        return Ok(state)

    async def _read_part(
        self, job: str, part: str
    ) -> Result[JobState | None, StoreUnavailable]:
        """Return what one part says of a job."""
        cancel = await self._read_one(name_cancel(job, part))
        if cancel.is_error():
            return Error(cancel.error)
        if cancel.ok is not None:
            return Ok(JobState.CANCELLED)
        row = await self._read_one(name_job(job, part))
        if row.is_error():
            return Error(row.error)
        return Ok(JobState.QUEUED if row.ok is not None else None)

    async def cancel(self, job: str) -> Result[JobState, Problem]:
        """Cancel a job for good."""
        known = self._board.read(job)
        if known in TERMINAL_STATES:
            assert known is not None
            return Ok(known)
        if known is None:
            stored = await self._read_stored_state(job)
            if stored.is_error():
                return Error(stored.error)
        value = encode_message(CancelRow(job))
        failure = ""
        for part in list_parts(job):
            put = RowPut(name_cancel(job, part), value)
            outcome = await self._store.transact(Transaction(puts=(put,)))
            if outcome.is_ok():
                self._log(job, "cancelled", version=outcome.ok.version)
                self._announce_cancel(job)
                return Ok(JobState.CANCELLED)
            failure = str(outcome.error)
        self._log(job, "cancel not stored", reason=failure)
        return Error(_report_cancel_unknown())

    def count_queued(self, queue: Queue) -> Result[int, Problem]:
        """Return how many accepted jobs of a queue have not begun."""
        if not self._board.is_current:
            return Error(
                Unavailable(
                    "this instance does not hear from the leader",
                    "ask again later",
                    retry_after_seconds=math.ceil(STORE_RETRY_AFTER.total_seconds()),
                )
            )
        return Ok(self._board.count_queued(queue.name))

    async def _read_one(
        self, name: RowName
    ) -> Result[StoredRow | None, StoreUnavailable]:
        """Return one row, ``None`` where it is not there."""
        # No key of the product's has a byte below the blank.
        page = await self._store.read(
            name.table, name.part, name.key, name.key + "\x01"
        )
        if page.is_error():
            return Error(page.error)
        self._store_clock.observe(page.ok.store_time)
        return Ok(page.ok.rows[0] if page.ok.rows else None)

    def _log(self, job: str, outcome: str, **inputs: object) -> None:
        """Log what was decided on a request."""
        version = self.configuration.version if self.configuration else None
        logger.info(
            "request", job=job, outcome=outcome, configuration=version, **inputs
        )


def _report_store_away(failure: StoreUnavailable) -> Problem:
    """Return the problem of a store that does not answer."""
    return Unavailable(
        f"the platform's store is not available: {failure.reason}",
        "send the request again",
        not_run=True,
        retry_after_seconds=STORE_RETRY_AFTER.total_seconds(),
    )


def _report_gone(job: str) -> Problem:
    """Return the problem of a job that does not exist."""
    return NotFound(f"there is no job {job}", "submit it")


def _report_unknown() -> Problem:
    """Return the problem of a job that may have been stored."""
    return OutcomeUnknown(
        "the job may or may not have been stored", "submit it again under the same id"
    )


def _report_cancel_unknown() -> Problem:
    """Return the problem of a cancellation that may not have been stored."""
    return OutcomeUnknown("the job may or may not be cancelled", "cancel it again")
