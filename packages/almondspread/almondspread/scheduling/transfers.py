"""Transfers of waiting tasks from one shard to another.

The sending shard commits one transaction under its own epoch that removes the tasks
from the shard and writes a row that holds them. The receiving shard commits one
transaction under its own epoch that adds the tasks and deletes the row. A task is
therefore in exactly one of the two shards or in the row at any time, whichever
responses are lost, and the owners exchange no messages. If the receiver does not take
the row within a timeout, the sender reclaims the tasks by the same transaction; only
one of the two shards can delete the row.
"""

from datetime import timedelta

from attrs import define

from almondspread.codec import TaggedCodec
from almondspread.interfaces import Condition, Row, Write
from almondspread.journal import ExtraOperations
from almondspread.scheduling.events import MovedTask, TasksReceived, TasksSent
from almondspread.scheduling.tasks import WorkloadState

TRANSFER_PREFIX = "transfer/"
# The sender reclaims the tasks of a row that the receiver has not taken for this long.
RECLAIM_TIMEOUT = timedelta(seconds=30)


@define(frozen=True)
class Transfer:
    """Tasks that have left one shard and that another shard has not received.

    ``sent`` is in UTC seconds by the sender's clock.
    """

    name: str
    source: str
    destination: str
    sent: float
    content: TasksReceived


TRANSFER_CODEC = TaggedCodec((Transfer,))


@define(frozen=True)
class TaskMove:
    """A planned transfer of some tasks of a workload to another shard."""

    workload: str
    indices: tuple[int, ...]
    destination: str


def make_transfer_key(transfer: Transfer) -> str:
    """Return the key of the row that holds a transfer."""
    return f"{TRANSFER_PREFIX}{transfer.destination}/{transfer.name}"


def compose_transfer(
    state: WorkloadState, move: TaskMove, source: str, name: str, now: float
) -> Transfer:
    """Return the transfer of a planned move, while this shard still has the tasks."""
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
    """Return the event that removes the tasks from their shard, and the transfer row.

    The caller commits both in one transaction.
    """
    indices = tuple(task.index for task in transfer.content.tasks)
    event = TasksSent(transfer.content.workload, indices)
    return event, Write(make_transfer_key(transfer), TRANSFER_CODEC.encode(transfer))


def prepare_receive(row: Row) -> ExtraOperations:
    """Return the deletion of a transfer row, on condition that it is unchanged.

    The caller commits it in one transaction with the event that adds the tasks.
    """
    return ExtraOperations((Condition(row.key, row.version),), (Write(row.key, None),))


def decode_transfer(row: Row) -> Transfer:
    """Return the transfer that a row holds.

    Raises ``ValueError`` if the row does not decode or holds something else.
    """
    transfer = TRANSFER_CODEC.decode(row.value)
    if not isinstance(transfer, Transfer):
        raise ValueError(f"row {row.key} does not hold a transfer")
    return transfer


def should_receive(transfer: Transfer, shard: str, now: float) -> bool:
    """Tell whether a shard should receive the tasks of a transfer now.

    The destination may always receive the tasks, the source only after
    ``RECLAIM_TIMEOUT``. ``now`` is in UTC seconds.
    """
    if transfer.destination == shard:
        return True
    overdue = now - transfer.sent >= RECLAIM_TIMEOUT.total_seconds()
    return transfer.source == shard and overdue
