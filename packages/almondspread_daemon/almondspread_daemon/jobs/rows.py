"""The product's own rows in the store: their names and their values."""

from datetime import UTC, datetime, timedelta
from typing import TypeVar

from attrs import define
from loguru import logger

from almondspread.codec import decode_message, encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.maintenance import WaveRecord
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.ports import RowName, StoredRow
from almondspread.jobs.progress import JobRecord
from almondspread.jobs.submissions import Repetition, Step, Submission
from almondspread.resources.capacity import Capacity

T = TypeVar("T")

# Where the store refuses one part it may still take another.
PARTS_PER_INSTANCE = 4
CELL_PART = "cell"
SUBMISSIONS_TABLE = "submissions"
CELL_TABLE = "cell"
PROGRESS_TABLE = "progress"
LEADER_ROW = RowName(CELL_TABLE, CELL_PART, "leader")
WATCHED_ROW = RowName(CELL_TABLE, CELL_PART, "watched")
# In the part of what operators read, so that both change in one transaction.
MAINTENANCE_ROW = RowName(CELL_TABLE, "", "maintenance")
# Beside the leader's row, in parts that the store may take while it refuses that one.
START_MARK_ROWS = (
    RowName(CELL_TABLE, "marks/0", "started"),
    RowName(CELL_TABLE, "marks/1", "started"),
)
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"


@define(frozen=True)
class StepRow:
    """A step as it is stored; times are milliseconds."""

    count: int
    cpu_millis: int
    memory_mib: int
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    spread_limit: int = 0
    duplicates: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: int = 0
    opportunistic: bool = False
    unavailable_limit: int = 0


@define(frozen=True)
class SubmissionRow:
    """A submission as it is stored; ``accepted`` is seconds of the store's clock.

    Times are milliseconds, the first occurrence's since 1970.
    """

    job: str
    queue: str
    payload: str
    accepted: float
    steps: tuple[StepRow, ...]
    first_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0


@define(frozen=True)
class CancelRow:
    """Marks a job as cancelled."""

    job: str


@define(frozen=True)
class StartMark:
    """The leader of ``epoch`` may have started jobs stored up to a version."""

    epoch: int
    started_version: int


@define(frozen=True)
class MaintenanceRow:
    """All maintenance waves as the leader of ``epoch`` left them."""

    epoch: int
    waves: tuple[WaveRecord, ...] = ()


@define(frozen=True)
class WatchedUpstream:
    """An upstream on which runs may have been started.

    Where it did not answer, ``lapse`` is when its leases have surely run out, in
    seconds of the store's clock.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    lapse: float = 0.0


@define(frozen=True)
class WatchedRow:
    """The upstreams that the next leader must ask for their runs."""

    upstreams: tuple[WatchedUpstream, ...] = ()


def encode_watched(watched: tuple[WatchedUpstream, ...]) -> bytes:
    """Return the row of the watched upstreams."""
    return encode_message(WatchedRow(watched))


def make_watched_entry(upstream: WatchedUpstream) -> UpstreamEntry:
    """Return the entry of a watched upstream, whose capacity is not known."""
    return UpstreamEntry(
        upstream.name,
        upstream.service,
        upstream.address,
        upstream.failure_domain,
        Capacity(0, 0, 0),
    )


def list_write_parts(instance: str) -> list[str]:
    """Return the parts into which an instance writes, the usual one first.

    Each instance has parts of its own, so that none waits for the writes of others.
    """
    return [f"{instance}/{number}" for number in range(PARTS_PER_INSTANCE)]


def make_job_key(job: str) -> str:
    """Return the key of a job's submission."""
    return JOB_PREFIX + job


def make_cancel_key(job: str) -> str:
    """Return the key of the row that marks a job as cancelled."""
    return CANCEL_PREFIX + job


def parse_job(name: RowName) -> str | None:
    """Return the job that a row of the submissions is about, if any.

    >>> parse_job(RowName(SUBMISSIONS_TABLE, "entry-1/0", "cancel/j"))
    'j'
    """
    for prefix in (JOB_PREFIX, CANCEL_PREFIX):
        if name.key.startswith(prefix):
            return name.key.removeprefix(prefix)
    return None


def make_progress_name(job: str) -> RowName:
    """Return the row of a job's progress."""
    return RowName(PROGRESS_TABLE, CELL_PART, job)


def encode_submission(submission: Submission, accepted: timedelta) -> bytes:
    """Return a submission's row."""
    steps = []
    for step in submission.steps:
        steps.append(
            StepRow(
                step.count,
                step.size.cpu_millis,
                step.size.memory_mib,
                step.size.accelerators,
                _to_ms(step.estimate),
                step.after,
                step.checkpointing,
                step.gang,
                step.same_rack,
                step.required_label,
                step.preferred_rack,
                step.spread_limit,
                step.duplicates,
                step.lasting,
                step.image,
                _to_ms(step.latency_target),
                step.opportunistic,
                step.unavailable_limit,
            )
        )
    row = SubmissionRow(
        submission.job,
        submission.queue,
        submission.payload,
        accepted.total_seconds(),
        tuple(steps),
    )
    repetition = submission.repetition
    if repetition is not None:
        row = SubmissionRow(
            row.job,
            row.queue,
            row.payload,
            row.accepted,
            row.steps,
            round(repetition.first.timestamp() * 1000),
            _to_ms(repetition.interval),
            repetition.count,
        )
    return encode_message(row)


def decode_submission(row: SubmissionRow) -> Submission:
    """Return the submission that a row holds."""
    steps = []
    for step in row.steps:
        steps.append(
            Step(
                step.count,
                Capacity(step.cpu_millis, step.memory_mib, step.accelerators),
                timedelta(milliseconds=step.estimate_ms),
                step.after,
                step.checkpointing,
                step.gang,
                step.same_rack,
                step.required_label,
                step.preferred_rack,
                step.spread_limit,
                step.duplicates,
                step.lasting,
                step.image,
                timedelta(milliseconds=step.latency_target_ms),
                step.opportunistic,
                step.unavailable_limit,
            )
        )
    repetition = None
    if row.occurrences:
        first = datetime.fromtimestamp(row.first_ms / 1000, UTC)
        interval = timedelta(milliseconds=row.interval_ms)
        repetition = Repetition(first, interval, row.occurrences)
    return Submission(row.job, row.queue, row.payload, tuple(steps), repetition)


def decode_row(row: StoredRow, kind: type[T]) -> T | None:
    """Return a row's value; ``None`` for a dropped row, or one that cannot be read."""
    if row.value is None:
        return None
    try:
        return decode_message(row.value, kind)
    except ValueError as error:
        logger.error("row left out", row=str(row.name), reason=str(error))
        return None


def decode_leader(rows: tuple[StoredRow, ...]) -> tuple[LeaderRow | None, int]:
    """Return the leader's row among others, and its version."""
    for row in rows:
        if row.name == LEADER_ROW:
            return decode_row(row, LeaderRow), row.version
    return None, 0


def decode_progress(rows: tuple[StoredRow, ...]) -> dict[str, JobRecord]:
    """Return the progress rows by job."""
    records = {}
    for row in rows:
        record = decode_row(row, JobRecord)
        if record is not None:
            records[record.job] = record
    return records


def _to_ms(duration: timedelta) -> int:
    """Return whole milliseconds."""
    return round(duration / timedelta(milliseconds=1))
