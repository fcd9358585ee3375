"""What is stored with a job of the queue that it was submitted to."""

from datetime import timedelta

from attrs import define

from almondspread.jobs.configuration import AdviceTiming, Queue

# How many times the advice of a queue has.
ADVICE_TIMES = 3
MILLISECOND = timedelta(milliseconds=1)


@define(frozen=True)
class QueueRow:
    """What a stored job needs of its queue, as it was when the job was accepted.

    ``advice_ms`` has the three times of the advice service, and is empty without one.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    advice_ms: tuple[float, ...] = ()


def make_queue_row(queue: Queue | None) -> QueueRow | None:
    """Return what a job needs of its queue."""
    if queue is None:
        return None
    advice: tuple[float, ...] = ()
    if queue.advice is not None:
        times = queue.advice
        advice = tuple(
            duration / MILLISECOND
            for duration in (
                times.decision_time,
                times.time_per_upstream,
                times.validity,
            )
        )
    return QueueRow(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        round(queue.target_latency / MILLISECOND),
        advice,
    )


def decode_queue(name: str, row: QueueRow | None) -> Queue | None:
    """Return the queue of a stored job; no path leads to it any more."""
    if row is None:
        return None
    advice = None
    if len(row.advice_ms) == ADVICE_TIMES:
        advice = AdviceTiming(*(value * MILLISECOND for value in row.advice_ms))
    return Queue(
        name,
        "",
        "",
        row.service,
        row.priority,
        row.max_attempts,
        row.stretch,
        row.target_latency_ms * MILLISECOND,
        advice=advice,
    )
