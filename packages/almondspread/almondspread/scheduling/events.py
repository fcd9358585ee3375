"""Events of a scheduling shard, as its journal keeps them."""

from attrs import define

from almondspread.codec import TaggedCodec


@define(frozen=True)
class WorkloadAdded:
    """The shard takes on some tasks of a workload.

    ``document`` is the msgpack document of the resource, ``created_revision`` the
    revision that created it, ``indices`` the tasks that this shard has of it.
    """

    workload: str
    created_revision: int
    document: bytes
    indices: tuple[int, ...]
    since: float


@define(frozen=True)
class WorkloadChanged:
    """The workload was declared anew: other tasks, or another template."""

    workload: str
    document: bytes
    indices: tuple[int, ...]


@define(frozen=True)
class WorkloadRemoved:
    """The workload was cancelled: its attempts stop and no new one is bound."""

    workload: str


@define(frozen=True)
class WorkloadForgotten:
    """No attempt of a removed workload is left."""

    workload: str


@define(frozen=True)
class AttemptBound:
    """An attempt of a task is bound to a worker, at the end of its run list."""

    workload: str
    index: int
    number: int
    worker: str
    cpu_millis: int
    memory_mib: int
    accelerators: int


@define(frozen=True)
class AttemptEnded:
    """An attempt no longer runs and never will again."""

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
    """An attempt has to give up its place; ``mode`` is ``stop`` or ``checkpoint``."""

    workload: str
    index: int
    number: int
    mode: str


@define(frozen=True)
class TaskReplaced:
    """A task of a service gets a replacement, which starts before the task stops."""

    workload: str
    index: int
    replacement: int


@define(frozen=True)
class TaskRetired:
    """A task is not wanted any more: its replacement runs, or it is not needed."""

    workload: str
    index: int


@define(frozen=True)
class MovedTask:
    """A task without an attempt, as it goes from one shard to another."""

    index: int
    number: int = 0
    failures: int = 0
    checkpoint: str = ""
    waiting_since: float = 0.0
    retry_at: float = 0.0


@define(frozen=True)
class TasksSent:
    """Tasks of a workload have left the shard; a transfer row holds them now."""

    workload: str
    indices: tuple[int, ...]


@define(frozen=True)
class TasksReceived:
    """Tasks of a workload have come from a transfer row, which is gone since."""

    workload: str
    created_revision: int
    document: bytes
    since: float
    tasks: tuple[MovedTask, ...]


@define(frozen=True)
class ResourcesSeen:
    """The batch follows the resources as they were declared at a revision.

    An owner that knows only older ones must not compare them with the shard: it would
    remove what was added, and bring back what was changed, since then.
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
