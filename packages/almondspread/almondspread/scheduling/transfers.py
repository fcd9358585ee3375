"""Moving tasks that wait from one shard to another.

The shard that has the tasks commits, in one transaction under its own epoch, that they
have left and a row that holds them. The shard they go to commits, under its own epoch,
that it has them and the end of that row. So exactly one of the two shards or the row
has a task at any time, whatever answers are lost, and the owners need no word of one
another. A row that is not taken for some time is taken back by its sender, by the same
transaction; only one of the two can end the row.
"""

from datetime import timedelta

from attrs import define

from almondspread.codec import TaggedCodec
from almondspread.interfaces import Condition, Row, Write
from almondspread.journal import ExtraOperations
from almondspread.scheduling.events import MovedTask, TasksReceived, TasksSent
from almondspread.scheduling.tasks import WorkloadState

TRANSFER_PREFIX = "transfer/"
# How long a row waits for the shard it goes to before its sender takes it back.
RECLAIM_TIMEOUT = timedelta(seconds=30)


@define(frozen=True)
class Transfer:
    """Tasks on their way; ``sent`` is UTC seconds by the sender's clock."""

    name: str
    source: str
    destination: str
    sent: float
    content: TasksReceived


TRANSFER_CODEC = TaggedCodec((Transfer,))


@define(frozen=True)
class TaskMove:
    """Tasks of a workload that are to go to another shard."""

    workload: str
    indices: tuple[int, ...]
    destination: str


def make_transfer_key(transfer: Transfer) -> str:
    """Return the key of the row that holds a transfer."""
    return f"{TRANSFER_PREFIX}{transfer.destination}/{transfer.name}"


def compose_transfer(
    state: WorkloadState, move: TaskMove, source: str, name: str, now: float
) -> Transfer:
    """Return the transfer that carries out a move, before the tasks are given up."""
    moved = []
    for index in move.indices:
        task = state.tasks[index]
        moved.append(
            MovedTask(
                task.index,
                task.attempt_number,
                task.failures,
                task.checkpoint,
                task.waiting_since,
                task.retry_at,
            )
        )
    content = TasksReceived(
        state.workload,
        state.created_revision,
        state.document,
        state.added_at,
        tuple(moved),
    )
    return Transfer(name, source, move.destination, now, content)


def prepare_send(transfer: Transfer) -> tuple[TasksSent, Write]:
    """Return the event that gives the tasks up and the row that holds them."""
    indices = tuple(task.index for task in transfer.content.tasks)
    event = TasksSent(transfer.content.workload, indices)
    return event, Write(make_transfer_key(transfer), TRANSFER_CODEC.encode(transfer))


def prepare_receive(row: Row) -> ExtraOperations:
    """Return what is to be committed beside the event that takes the tasks over."""
    return ExtraOperations((Condition(row.key, row.version),), (Write(row.key, None),))


def decode_transfer(row: Row) -> Transfer:
    """Return the transfer that a row holds; raises ``ValueError``."""
    transfer = TRANSFER_CODEC.decode(row.value)
    if not isinstance(transfer, Transfer):
        raise ValueError(f"{row.key} holds no transfer")
    return transfer


def should_receive(transfer: Transfer, shard: str, now: float) -> bool:
    """Tell whether a shard should take the tasks of a row over now."""
    if transfer.destination == shard:
        return True
    overdue = now - transfer.sent >= RECLAIM_TIMEOUT.total_seconds()
    return transfer.source == shard and overdue
