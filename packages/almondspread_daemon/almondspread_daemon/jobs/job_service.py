"""Callers' requests about jobs: submit, read, cancel and count queued jobs."""

from collections.abc import Callable
from datetime import timedelta

from attrs import evolve
from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.errors import (
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    Problem,
    Unavailable,
)
from almondspread.jobs.access import Allowed
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.job_records import TERMINAL_STATES, JobRecord, JobState
from almondspread.jobs.job_table import Announcement
from almondspread.jobs.ports import (
    RowName,
    StoredRow,
    StoreUnavailable,
)
from almondspread.jobs.submissions import Submission, check_submission
from almondspread_daemon.jobs.key_check import KeyCheck
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.rows import (
    CancelRow,
    decode_row,
    encode_submission,
    make_cancel_key,
    make_job_key,
    make_progress_name,
)
from almondspread_daemon.jobs.state_cache import JobStateCache
from almondspread_daemon.jobs.store_access import StoreAccess

DEFAULT_RETRY_AFTER = timedelta(seconds=1)
# A caller that learns early that the outcome is unknown can still retry at another
# instance before its own timeout.
MAX_STORE_WAIT = timedelta(milliseconds=2_600)
# The answer that the outcome is unknown should reach the caller before its timeout.
ANSWER_MARGIN = timedelta(milliseconds=50)
MIN_STORE_WAIT = timedelta(milliseconds=50)


class JobService:
    """Handles callers' requests about jobs at this instance.

    ``is_configuration_current`` tells whether the configuration was the newest so
    recently that an instance may still use it.
    """

    def __init__(
        self,
        store: StoreAccess,
        writer: RowWriter,
        store_clock: RemoteClock,
        clock: Clock,
        state_cache: JobStateCache,
        metrics: JobMetrics,
        announce_cancel: Callable[[str], None],
        is_configuration_current: Callable[[], bool],
        key_check: KeyCheck,
    ) -> None:
        self.configuration: Configuration | None = None
        self._is_configuration_current = is_configuration_current
        self._store = store
        self._writer = writer
        self._store_clock = store_clock
        self._clock = clock
        self._state_cache = state_cache
        self._metrics = metrics
        self._announce_cancel = announce_cancel
        self._key_check = key_check

    def find_queue(self, host: str, path: str) -> Result[Queue, Problem]:
        """Return the queue with the longest path prefix that matches a request."""
        if self.configuration is None:
            return Error(_make_unconfigured())
        queue = self.configuration.find_queue(host, path)
        if queue is None and not self._is_configuration_current():
            # The queue may have been added since.
            return Error(
                Unavailable(
                    "no queue is known to have this host and path, and the "
                    "configuration may be out of date",
                    "send the request again, also to another instance",
                    not_run=True,
                    retry_after_seconds=DEFAULT_RETRY_AFTER.total_seconds(),
                )
            )
        if queue is None:
            return Error(NotFound("no queue has this host and path", "check both"))
        return Ok(queue)

    def check_key(self, queue: Queue, key: str) -> Result[Allowed, Problem]:
        """Return as whom a caller may use a queue; the key is empty if it sent none."""
        if self.configuration is None:
            return Error(_make_unconfigured())
        return self._key_check.check_key(self.configuration, queue, key)

    def _check_owner(self, caller: Allowed, job: str, owner: str) -> Problem | None:
        """Return why a caller may not ask about a job of a workspace, if it may not."""
        return self._key_check.check_owner(self.configuration, caller, job, owner)

    async def submit(
        self, queue: Queue, submission: Submission, timeout: timedelta, caller: Allowed
    ) -> Result[JobState, Problem]:
        """Store a job; the scheduler will run a job that is stored.

        Submitting is idempotent: a job that is submitted repeatedly is stored once. The
        problem tells whether the job certainly has not been stored. The job belongs to
        the workspace of the caller.
        """
        submission = evolve(submission, workspace=caller.workspace)
        checked = check_submission(submission)
        if checked.is_error():
            return Error(checked.error)
        owner = self._state_cache.find_workspace(submission.job)
        problem = self._check_owner(caller, submission.job, owner)
        if problem is not None:
            return Error(evolve(problem, not_run=True))
        known = self._state_cache.find_state(submission.job)
        if known is not None:
            return Ok(known)
        refusal = self._decide_admission(queue, submission)
        if refusal is not None:
            return Error(refusal)
        time_left = min(timeout - ANSWER_MARGIN, MAX_STORE_WAIT)
        if time_left < MIN_STORE_WAIT:
            failure = StoreUnavailable(
                "the caller's timeout leaves the store too little time", True
            )
            return Error(self._reject(submission.job, failure))
        key = make_job_key(submission.job)
        stored = evolve(submission, accepted_queue=queue)
        value = encode_submission(stored, self._store_clock.now())
        if len(value) > self._writer.max_value_bytes:
            self._record_outcome(submission.job, "invalid", bytes=len(value))
            return Error(_make_too_large(len(value), self._writer.max_value_bytes))
        written = await self._writer.write(key, value, time_left)
        if written.is_error() and written.error.not_done:
            return Error(self._reject(submission.job, written.error))
        if written.is_error():
            self._record_outcome(submission.job, "unknown", reason=written.error.reason)
            return Error(_make_submit_unknown())
        if not written.ok and not owner:
            # The job was stored before, maybe by another workspace.
            problem = await self._check_stored_owner(caller, submission.job)
            if problem is not None:
                return Error(evolve(problem, not_run=True))
        self._record_outcome(
            submission.job, "accepted", queue=queue.name, version=written.ok
        )
        self._state_cache.add_queued(
            submission.job, queue.name, submission.workspace if written.ok else ""
        )
        return Ok(JobState.QUEUED)

    def _decide_admission(self, queue: Queue, submission: Submission) -> Problem | None:
        """Return the problem of a job that is not admitted, and record the refusal."""
        if self.configuration is None:
            return None
        now = self._clock.monotonic()
        admission = self._state_cache.admission
        refusal = admission.decide(queue, submission, self.configuration, now)
        if refusal is None:
            return None
        self._metrics.count_refusal(refusal.reason, submission.workspace)
        self._record_outcome(
            submission.job,
            "refused",
            queue=queue.name,
            workspace=submission.workspace,
            reason=str(refusal.reason),
            wait=round(refusal.outlook.wait_seconds, 2),
            late_wait=round(refusal.outlook.late_seconds, 2),
            estimate_age=admission.measure_age(now),
            retry_after=refusal.problem.retry_after_seconds,
        )
        return refusal.problem

    def _reject(self, job: str, failure: StoreUnavailable) -> Problem:
        """Record and return the problem of a job that certainly is not stored."""
        self._record_outcome(job, "refused", reason=failure.reason)
        return _make_store_unavailable(failure, self._store.suggest_retry_after())

    async def read_state(self, job: str, caller: Allowed) -> Result[JobState, Problem]:
        """Return the state of a job.

        If the cache does not know the current state, the stored progress of the job
        tells the state.
        """
        owner = self._state_cache.find_workspace(job)
        problem = self._check_owner(caller, job, owner)
        if problem is not None:
            return Error(problem)
        known = self._state_cache.find_state(job)
        if known is not None and (
            self._state_cache.is_current or known in TERMINAL_STATES
        ):
            return Ok(known)
        knows_all = self._state_cache.knows_all
        read = await self._read_record(job)
        record = read.ok if read.is_ok() else None
        if record is not None:
            state = self._remember_record(record)
            problem = self._check_owner(caller, job, record.workspace)
            return Ok(state) if problem is None else Error(problem)
        if known is not None:
            return Ok(known)
        if read.is_ok() and knows_all:
            self._record_outcome(job, "not found")
            return Error(NotFound(f"there is no job {job}", "submit it"))
        return Error(_make_leader_unreachable())

    def _remember_record(self, record: JobRecord) -> JobState:
        """Return the state in a stored record, and keep a final one in the cache."""
        state = JobState(record.state)
        if state in TERMINAL_STATES:
            ended = Announcement(
                record.job, record.queue, record.state, record.workspace
            )
            self._state_cache.update((ended,))
        return state

    async def _check_stored_owner(self, caller: Allowed, job: str) -> Problem | None:
        """Return why a caller may not ask about a job, by its stored progress.

        A job of which nothing is stored or can be read is not refused.
        """
        if not caller.checks_owner:
            return None
        read = await self._read_record(job)
        if read.is_error() or read.ok is None:
            return None
        return self._check_owner(caller, job, read.ok.workspace)

    async def cancel(self, job: str, caller: Allowed) -> Result[JobState, Problem]:
        """Store the cancellation of a job, unless the job has ended.

        The job may be one whose submission is not known to this instance yet.
        """
        owner = self._state_cache.find_workspace(job)
        problem = self._check_owner(caller, job, owner)
        if problem is None and not owner:
            problem = await self._check_stored_owner(caller, job)
        if problem is not None:
            return Error(problem)
        known = self._state_cache.find_state(job)
        if known is not None and known in TERMINAL_STATES:
            return Ok(known)
        value = encode_message(CancelRow(job))
        written = await self._writer.write(make_cancel_key(job), value, MAX_STORE_WAIT)
        if written.is_error() and written.error.not_done:
            self._record_outcome(job, "cancel refused", reason=written.error.reason)
            return Error(
                _make_store_unavailable(
                    written.error, self._store.suggest_retry_after()
                )
            )
        if written.is_error():
            self._record_outcome(job, "cancel unknown", reason=written.error.reason)
            return Error(_make_cancel_unknown())
        self._record_outcome(job, "cancelled", version=written.ok)
        self._announce_cancel(job)
        return Ok(JobState.CANCELLED)

    def count_queued(self, queue: Queue) -> Result[int, Problem]:
        """Return how many accepted jobs of a queue have not started."""
        if not self._state_cache.is_current:
            return Error(_make_leader_unreachable())
        return Ok(self._state_cache.count_queued(queue.name))

    async def _read_record(
        self, job: str
    ) -> Result[JobRecord | None, StoreUnavailable]:
        """Return the stored progress of a job, ``None`` if there is none."""
        read = await self._read_one(make_progress_name(job))
        if read.is_error():
            return Error(read.error)
        return Ok(decode_row(read.ok, JobRecord) if read.ok is not None else None)

    async def _read_one(
        self, name: RowName
    ) -> Result[StoredRow | None, StoreUnavailable]:
        """Return one row, ``None`` if it does not exist."""
        asked_at = self._clock.monotonic()
        # Keys of this system contain no byte below the space character.
        page = await self._store.read(
            name.table, name.partition, name.key, name.key + "\x01"
        )
        if page.is_error():
            return Error(page.error)
        self._store_clock.observe(page.ok.store_time, asked_at)
        return Ok(page.ok.rows[0] if page.ok.rows else None)

    def _record_outcome(self, job: str, outcome: str, **inputs: object) -> None:
        """Count and log the outcome of a request."""
        version = self.configuration.version if self.configuration else None
        self._metrics.count_request(outcome)
        logger.info(
            "request", job=job, outcome=outcome, configuration=version, **inputs
        )


def _make_unconfigured() -> Problem:
    """Return the problem of an instance that has no configuration yet."""
    return Unavailable(
        "this instance has no configuration yet",
        "send the request again",
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER.total_seconds(),
    )


def _make_too_large(size: int, limit: int) -> Problem:
    """Return the problem of a job that does not fit into a row of the store."""
    return InvalidInput(
        f"the job takes {size} bytes, and the store takes {limit}",
        "submit fewer steps, or shorter texts",
    )


def _make_store_unavailable(
    failure: StoreUnavailable, retry_after: timedelta
) -> Problem:
    """Return the problem of a store that is unavailable."""
    return Unavailable(
        f"the platform's store is not available: {failure.reason}",
        "send the request again",
        not_run=True,
        retry_after_seconds=retry_after.total_seconds(),
    )


def _make_leader_unreachable() -> Problem:
    """Return the problem of an instance that receives nothing from the leader."""
    return Unavailable(
        "this instance does not hear from the leader",
        "ask again, also another instance",
        retry_after_seconds=DEFAULT_RETRY_AFTER.total_seconds(),
    )


def _make_submit_unknown() -> Problem:
    """Return the problem of a job that may have been stored."""
    return OutcomeUnknown(
        "the job may or may not have been stored", "submit it again under the same id"
    )


def _make_cancel_unknown() -> Problem:
    """Return the problem of a cancellation that may not have been stored."""
    return OutcomeUnknown("the job may or may not be cancelled", "cancel it again")
