"""Events of a scheduling shard, as stored in its journal.

The class and field names are part of the stored format.
"""

from attrs import define

from almondspread.codec import TaggedCodec


@define(frozen=True)
class WorkloadAdded:
    """The shard becomes responsible for some tasks of a workload.

    ``document`` is the resource encoded with msgpack, ``created_revision`` the
    revision that created the resource, ``indices`` the tasks assigned to this shard.
    ``since`` is when the shard added the workload, in UTC seconds.
    """

    workload: str
    created_revision: int
    document: bytes
    indices: tuple[int, ...]
    since: float


@define(frozen=True)
class WorkloadChanged:
    """The declaration of a workload changed: its tasks, its template, or both."""

    workload: str
    document: bytes
    indices: tuple[int, ...]


@define(frozen=True)
class WorkloadRemoved:
    """A workload was cancelled: its attempts stop and no new ones are bound."""

    workload: str


@define(frozen=True)
class WorkloadForgotten:
    """A removed workload without attempts is deleted from the state."""

    workload: str


@define(frozen=True)
class AttemptBound:
    """An attempt of a task is appended to the run list of a worker.

    ``number`` counts the attempts of the task, from 1.
    """

    workload: str
    index: int
    number: int
    worker: str
    cpu_millis: int
    memory_mib: int
    accelerators: int


@define(frozen=True)
class AttemptEnded:
    """An attempt has ended for good; ``retry_at`` is in UTC seconds, 0 for no delay."""

    workload: str
    index: int
    number: int
    outcome: str
    reason: str = ""
    run_seconds: float = 0.0
    peak_memory_mib: int = 0
    checkpoint: str = ""
    retry_at: float = 0.0


@define(frozen=True)
class AttemptEvicted:
    """An attempt has to leave its worker; ``mode`` is ``stop`` or ``checkpoint``."""

    workload: str
    index: int
    number: int
    mode: str


@define(frozen=True)
class TaskReplaced:
    """A replacement is added for a service task, and starts before that task stops."""

    workload: str
    index: int
    replacement: int


@define(frozen=True)
class TaskRetired:
    """A task has to stop: its replacement runs, or the task is no longer needed."""

    workload: str
    index: int


@define(frozen=True)
class MovedTask:
    """A task without an attempt, as transferred from one shard to another.

    ``number`` is the number of the task's latest attempt.
    """

    index: int
    number: int = 0
    failures: int = 0
    checkpoint: str = ""
    waiting_since: float = 0.0
    retry_at: float = 0.0


@define(frozen=True)
class TasksSent:
    """Tasks of a workload left the shard and are stored in a transfer row."""

    workload: str
    indices: tuple[int, ...]


@define(frozen=True)
class TasksReceived:
    """Tasks of a workload arrived from a transfer row, deleted in the same commit."""

    workload: str
    created_revision: int
    document: bytes
    since: float
    tasks: tuple[MovedTask, ...]


@define(frozen=True)
class ResourcesSeen:
    """The batch takes into account the resources declared up to a revision.

    An owner that has only read an older revision must not reconcile the shard with
    it: the owner would remove workloads added since then and undo later changes.
    """

    revision: int


Event = (
    WorkloadAdded
    | WorkloadChanged
    | WorkloadRemoved
    | WorkloadForgotten
    | AttemptBound
    | AttemptEnded
    | AttemptEvicted
    | TaskReplaced
    | TaskRetired
    | TasksSent
    | TasksReceived
    | ResourcesSeen
)

EVENT_CODEC = TaggedCodec(
    (
        WorkloadAdded,
        WorkloadChanged,
        WorkloadRemoved,
        WorkloadForgotten,
        AttemptBound,
        AttemptEnded,
        AttemptEvicted,
        TaskReplaced,
        TaskRetired,
        TasksSent,
        TasksReceived,
        ResourcesSeen,
    )
)
