"""The rows of the stored progress of jobs: one for most, several for large ones."""

from collections.abc import Callable, Iterable

from attrs import define, evolve
from loguru import logger

from almondspread.codec import encode_message
from almondspread.jobs.job_records import JobRecord, StepRecord
from almondspread.jobs.ports import StoredRow
from almondspread.jobs.store_limits import StoreLimits
from almondspread_daemon.jobs.row_chunks import pack_chunks, parse_chunk_key
from almondspread_daemon.jobs.rows import decode_row

# Room in a row for what comes before the steps, besides the finished occurrences.
HEADER_BYTES = 1_024
# Room in a call for the rows of the leader, besides the progress of one job.
OTHER_ROWS_BYTES = 2_048


@define(frozen=True)
class StepsRow:
    """Further steps of a job's progress that its first row has no room for."""

    steps: tuple[StepRecord, ...]


def encode_progress(record: JobRecord, limits: StoreLimits) -> list[bytes]:
    """Return the values of the rows of a job's progress, each within the limits.

    All of them fit into one call as well. From a record that is too large even for
    that, these are left out as far as needed, in this order: the checkpoints, the lost
    upstreams and the failed runs. Which tasks are done is always kept.
    """
    whole = encode_message(record)
    if len(whole) <= limits.row_bytes:
        return [whole]
    most = limits.values_bytes - OTHER_ROWS_BYTES
    most_rows = limits.call_entries // 2
    for reduce in (_keep_all, _drop_checkpoints, _drop_losses, _drop_failed_runs):
        reduced = reduce(record)
        values = _encode_chunks(reduced, limits.row_bytes)
        fits = all(len(value) <= limits.row_bytes for value in values)
        if fits and len(values) <= most_rows and sum(map(len, values)) <= most:
            break
    if reduced is not record:
        logger.error(
            "progress of a job is too large to be stored whole",
            job=record.job,
            bytes=len(whole),
            limit=most,
            kept=sum(map(len, values)),
        )
    return values


def _encode_chunks(record: JobRecord, row_bytes: int) -> list[bytes]:
    """Return the values of rows of about ``row_bytes`` that hold a record's steps."""
    header = HEADER_BYTES + len(record.finished)
    most = row_bytes - header
    pieces: list[tuple[StepRecord, int]] = []
    for step in record.steps:
        pieces.extend(_split_step(step, most))
    chunks = pack_chunks(pieces, lambda piece: piece[1], most)
    values = []
    for number, chunk in enumerate(chunks):
        steps = tuple(step for step, _ in chunk)
        row = StepsRow(steps) if number else evolve(record, steps=steps)
        values.append(encode_message(row))
    return values


def _split_step(step: StepRecord, most: int) -> list[tuple[StepRecord, int]]:
    """Return a step's record in pieces of at most ``most`` bytes, with their sizes.

    What is recorded of a single task is not split.
    """
    size = len(encode_message(step))
    indexes = sorted({*step.failed_runs, *step.checkpoints, *step.losses})
    if size <= most or len(indexes) < 2:
        return [(step, size)]
    middle = indexes[len(indexes) // 2]
    first = _select_tasks(step, lambda index: index < middle)
    second = _select_tasks(step, lambda index: index >= middle)
    return [
        *_split_step(first, most),
        *_split_step(evolve(second, done=b""), most),
    ]


def _select_tasks(step: StepRecord, wanted: Callable[[int], bool]) -> StepRecord:
    """Return a step's record with the failures and checkpoints of some tasks."""
    return evolve(
        step,
        failed_runs={k: runs for k, runs in step.failed_runs.items() if wanted(k)},
        checkpoints={k: text for k, text in step.checkpoints.items() if wanted(k)},
        losses={k: lost for k, lost in step.losses.items() if wanted(k)},
    )


def _keep_all(record: JobRecord) -> JobRecord:
    """Return the record as it is."""
    return record


def _drop_checkpoints(record: JobRecord) -> JobRecord:
    """Return the record without checkpoints, so that tasks begin anew."""
    steps = tuple(evolve(step, checkpoints={}) for step in record.steps)
    return evolve(record, steps=steps)


def _drop_losses(record: JobRecord) -> JobRecord:
    """Return the record without checkpoints and lost upstreams."""
    steps = tuple(evolve(step, checkpoints={}, losses={}) for step in record.steps)
    return evolve(record, steps=steps)


def _drop_failed_runs(record: JobRecord) -> JobRecord:
    """Return the record with nothing but which tasks are done."""
    steps = tuple(
        StepRecord(step.occurrence, step.step, step.done) for step in record.steps
    )
    return evolve(record, steps=steps)


def decode_progress(rows: Iterable[StoredRow]) -> dict[str, JobRecord]:
    """Return the progress records in some rows, by job.

    Rows that cannot be decoded are left out.
    """
    records: dict[str, JobRecord] = {}
    further: dict[str, list[StepRecord]] = {}
    for row in rows:
        job, number = parse_chunk_key(row.name.key)
        if number:
            chunk = decode_row(row, StepsRow)
            if chunk is not None:
                further.setdefault(job, []).extend(chunk.steps)
            continue
        record = decode_row(row, JobRecord)
        if record is not None:
            records[record.job] = record
    for job, steps in further.items():
        if job in records:
            record = records[job]
            records[job] = evolve(record, steps=_merge_steps([*record.steps, *steps]))
    return records


def _merge_steps(pieces: list[StepRecord]) -> tuple[StepRecord, ...]:
    """Return one record for each step from the pieces that it was split into."""
    merged: dict[tuple[int, int], StepRecord] = {}
    for piece in pieces:
        key = (piece.occurrence, piece.step)
        known = merged.get(key)
        if known is None:
            merged[key] = piece
            continue
        merged[key] = evolve(
            known,
            done=known.done or piece.done,
            failed_runs={**known.failed_runs, **piece.failed_runs},
            checkpoints={**known.checkpoints, **piece.checkpoints},
            losses={**known.losses, **piece.losses},
        )
    return tuple(merged.values())
