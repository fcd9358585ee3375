"""Names and values of the rows that the job system keeps in the store."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

from attrs import define, evolve
from loguru import logger

from almondspread.clock.unix_time import from_unix_ms
from almondspread.codec import decode_message, encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.ports import RowName, StoredRow
from almondspread.jobs.store_limits import StoreLimits
from almondspread.jobs.submissions import Repetition, Step, Submission
from almondspread.jobs.waves import WaveRecord
from almondspread.resources.capacity import Capacity
from almondspread_daemon.jobs.queue_rows import QueueRow, decode_queue, make_queue_row
from almondspread_daemon.jobs.row_chunks import pack_chunks, parse_chunk_key

T = TypeVar("T")

# The store may refuse one partition and still accept writes to another.
PARTITIONS_PER_INSTANCE = 4
CELL_PARTITION = "cell"
SUBMISSIONS_TABLE = "submissions"
CELL_TABLE = "cell"
PROGRESS_TABLE = "progress"
LEADER_ROW = RowName(CELL_TABLE, CELL_PARTITION, "leader")
WATCHED_ROW = RowName(CELL_TABLE, CELL_PARTITION, "watched")
# This row shares a partition with the status that operators read, so that one
# transaction can change both.
MAINTENANCE_ROW = RowName(CELL_TABLE, "", "maintenance")
# These rows are in other partitions than the leader's row, so that the store may accept
# writes to them while it refuses writes to that row.
START_MARK_ROWS = (
    RowName(CELL_TABLE, "marks/0", "started"),
    RowName(CELL_TABLE, "marks/1", "started"),
)
# Room in a row for what comes before the upstreams.
WATCHED_HEADER_BYTES = 64
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"


@define(frozen=True)
class StepRow:
    """A stored step; times are in milliseconds."""

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
    """A stored submission.

    ``accepted`` is in seconds of the store's clock. The times of a repetition are in
    milliseconds, that of the first occurrence since 1970. ``terms`` are those of the
    queue; an earlier release stored none. ``workspace`` is empty without one.
    """

    job: str
    queue: str
    payload: str
    accepted: float
    steps: tuple[StepRow, ...]
    first_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    terms: QueueRow | None = None
    workspace: str = ""


@define(frozen=True)
class CancelRow:
    """A stored cancellation of a job."""

    job: str


@define(frozen=True)
class StartMark:
    """A stored mark of which jobs a leader may have started.

    The leader of ``epoch`` may have started jobs stored up to ``started_version``.
    """

    epoch: int
    started_version: int


@define(frozen=True)
class MaintenanceRow:
    """The progress of maintenance waves, last stored by the leader of ``epoch``.

    Where one row does not hold all waves, there are several.
    """

    epoch: int
    waves: tuple[WaveRecord, ...] = ()


@define(frozen=True)
class WatchedUpstream:
    """An upstream on which runs may have been started.

    If the upstream did not answer, ``lapse`` is the time by which all its leases have
    expired, in seconds of the store's clock; otherwise it is 0. ``identity`` and
    ``started_ms`` tell the incarnation; the latter is in milliseconds since 1970, and 0
    if it is not known. Starts have gone through the executor of ``assignment``, the
    ``process`` of an ``instance``; an earlier release stored none. Executors before it
    may have renewed leases ``until`` a time of the store's clock, in seconds.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    lapse: float = 0.0
    identity: str = ""
    started_ms: int = 0
    assignment: int = 0
    instance: str = ""
    process: str = ""
    until: float = 0.0


@define(frozen=True)
class WatchedRow:
    """Upstreams that the next leader must ask for their runs; one row of them."""

    upstreams: tuple[WatchedUpstream, ...] = ()


def encode_watched(
    watched: tuple[WatchedUpstream, ...], limits: StoreLimits
) -> list[bytes]:
    """Return the values of the rows that hold the watched upstreams.

    Each is within the limits; most cells need one.
    """
    chunks = pack_chunks(
        watched,
        lambda upstream: len(encode_message(upstream)),
        limits.row_bytes - WATCHED_HEADER_BYTES,
    )
    return [encode_message(WatchedRow(tuple(chunk))) for chunk in chunks]


def decode_watched(rows: Iterable[StoredRow]) -> tuple[WatchedUpstream, ...]:
    """Return the watched upstreams in the rows of the cell, other rows left out."""
    watched: list[WatchedUpstream] = []
    for row in rows:
        if parse_chunk_key(row.name.key)[0] != WATCHED_ROW.key:
            continue
        decoded = decode_row(row, WatchedRow)
        if decoded is not None:
            watched.extend(decoded.upstreams)
    return tuple(watched)


def make_watched_entry(upstream: WatchedUpstream) -> UpstreamEntry:
    """Return a watched upstream's entry; its capacity is not stored and set to 0."""
    return UpstreamEntry(
        upstream.name,
        upstream.service,
        upstream.address,
        upstream.failure_domain,
        Capacity(0, 0, 0),
        identity=upstream.identity or upstream.name,
        started_at=from_unix_ms(upstream.started_ms) if upstream.started_ms else None,
    )


def list_write_partitions(instance: str) -> list[str]:
    """Return the partitions that an instance writes to, the preferred one first.

    Each instance has its own partitions, so that its writes do not wait for those of
    other instances.
    """
    return [f"{instance}/{number}" for number in range(PARTITIONS_PER_INSTANCE)]


def make_job_key(job: str) -> str:
    """Return the key of the row of a job's submission."""
    return JOB_PREFIX + job


def make_cancel_key(job: str) -> str:
    """Return the key of the row of a job's cancellation."""
    return CANCEL_PREFIX + job


def parse_job(name: RowName) -> str | None:
    """Return the job of a submission's or cancellation's row, ``None`` for other rows.

    >>> parse_job(RowName(SUBMISSIONS_TABLE, "entry-1/0", "cancel/j"))
    'j'
    """
    for prefix in (JOB_PREFIX, CANCEL_PREFIX):
        if name.key.startswith(prefix):
            return name.key.removeprefix(prefix)
    return None


def make_progress_name(job: str) -> RowName:
    """Return the name of the row of a job's progress."""
    return RowName(PROGRESS_TABLE, CELL_PARTITION, job)


def encode_submission(submission: Submission, accepted: timedelta) -> bytes:
    """Return the value of a submission's row.

    ``accepted`` is a time of the store's clock.
    """
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
        terms=make_queue_row(submission.accepted_queue),
        workspace=submission.workspace,
    )
    repetition = submission.repetition
    if repetition is not None:
        row = evolve(
            row,
            first_ms=round(repetition.first.timestamp() * 1000),
            interval_ms=_to_ms(repetition.interval),
            occurrences=repetition.count,
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
    return Submission(
        row.job,
        row.queue,
        row.payload,
        tuple(steps),
        repetition,
        decode_queue(row.queue, row.terms),
        row.workspace,
    )


def decode_row(row: StoredRow, kind: type[T]) -> T | None:
    """Return the decoded value of a row, ``None`` for a deleted row.

    A value that cannot be decoded is logged and also gives ``None``.
    """
    if row.value is None:
        return None
    try:
        return decode_message(row.value, kind)
    except ValueError as error:
        logger.error(
            "stored row ignored, its value cannot be decoded",
            row=str(row.name),
            reason=str(error),
        )
        return None


def decode_leader(rows: tuple[StoredRow, ...]) -> tuple[LeaderRow | None, int]:
    """Return the leader's row among ``rows``, and its version.

    Without such a row, the result is ``None`` and version 0.
    """
    for row in rows:
        if row.name == LEADER_ROW:
            return decode_row(row, LeaderRow), row.version
    return None, 0


def _to_ms(duration: timedelta) -> int:
    """Return a duration rounded to whole milliseconds."""
    return round(duration / timedelta(milliseconds=1))
