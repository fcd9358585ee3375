"""Workloads, tasks and attempts in the state of a scheduling shard."""

from typing import Any

from attrs import define, field

from almondspread.resources import BatchJob, Capacity, GangJob, Service, Workload
from almondspread.resources.kinds import MAX_TASKS

WAITING = "waiting"
BOUND = "bound"
FINISHED = "finished"
FAILED = "failed"

# Eviction modes: an evicted attempt ends at once, or after it wrote a checkpoint.
STOP = "stop"
CHECKPOINT = "checkpoint"

# Outcomes with a cause outside the task: they do not count as a failed attempt.
NON_FAILURE_OUTCOMES = ("stopped", "lapsed", "refused", "lost")


def _make_phase_counts() -> dict[str, int]:
    """Return a mapping of each phase to 0."""
    return {WAITING: 0, BOUND: 0, FINISHED: 0, FAILED: 0}


@define
class Attempt:
    """An attempt that is bound to a worker and not known to have ended.

    ``acknowledged`` is set once the worker has reported the attempt as running,
    ``must_stop`` once the attempt has to stop. No event stores these two: the
    worker's next report sets ``acknowledged`` again, and ``must_stop`` follows from
    the events of the workload and its task. ``committed`` is unset until the journal
    has committed the ``AttemptBound``. ``eviction_mode`` is ``stop`` or
    ``checkpoint`` once the attempt is evicted. The task of an evicted attempt waits
    again; the stop counts as a failure only if the attempt was evicted for its own
    memory use or its repeated crashes.
    """

    name: str
    workload: str
    index: int
    number: int
    worker: str
    size: Capacity
    acknowledged: bool = False
    must_stop: bool = False
    committed: bool = True
    eviction_mode: str = ""


@define
class Task:
    """One task of a workload and its progress.

    ``attempt_number`` is the number of the latest attempt, 0 before the first one,
    and ``attempt`` that attempt while it is not known to have ended. ``desired`` is
    unset once the task has to stop and be removed. ``waiting_since`` is when a shard
    first added the task's workload, in UTC seconds; later attempts do not change it.
    The task is not retried before ``retry_at``, in UTC seconds, 0 for no delay.
    ``replacement_index`` is the index of the task that will replace this one,
    -1 if there is none; the replacement is ``standby`` until it does.
    """

    index: int
    phase: str = WAITING
    attempt_number: int = 0
    failures: int = 0
    attempt: Attempt | None = None
    desired: bool = True
    checkpoint: str = ""
    waiting_since: float = 0.0
    retry_at: float = 0.0
    replacement_index: int = -1
    standby: bool = False


@define
class WorkloadState:
    """A workload's tasks in this shard, with the counts for its status.

    ``added_at`` is when the shard added the workload, in UTC seconds.
    ``transferred_out`` has the replica indices of tasks that were assigned to this
    shard and that another shard has taken over, ``transferred_in`` those that this
    shard has taken over from another. ``ready`` holds the tasks that may be placed
    now, ``delayed`` those that wait for their retry time. ``attempt_count``,
    ``running_count`` and ``phase_counts`` are updated by the methods below; no other
    code may change a counted field of a task in ``tasks``.
    """

    workload: str
    created_revision: int
    kind: str
    name: str
    resource: Workload
    document: bytes
    added_at: float
    removed: bool = False
    transferred_out: set[int] = field(factory=set)
    transferred_in: set[int] = field(factory=set)
    tasks: dict[int, Task] = field(factory=dict)
    ready: dict[int, Task] = field(factory=dict)
    delayed: dict[int, Task] = field(factory=dict)
    attempt_count: int = 0
    running_count: int = 0
    phase_counts: dict[str, int] = field(factory=_make_phase_counts)

    @property
    def is_service(self) -> bool:
        """Whether the tasks are restarted whenever they end."""
        return isinstance(self.resource, Service)

    @property
    def is_gang(self) -> bool:
        """Whether the tasks start all together or not at all."""
        return isinstance(self.resource, GangJob)

    @property
    def path(self) -> str:
        """The kind and name, which a later workload may reuse."""
        return f"{self.kind}/{self.name}"

    @property
    def team(self) -> str:
        """The team whose quota the tasks use."""
        return self.resource.metadata.team

    @property
    def max_attempts(self) -> int:
        """The number of failures at which a task fails for good, 0 for a service."""
        if isinstance(self.resource, BatchJob | GangJob):
            return self.resource.attempts
        return 0

    def add_task(self, task: Task) -> None:
        """Add a task and count it."""
        self.tasks[task.index] = task
        self._update_counts(task, 1)

    def remove_task(self, index: int) -> None:
        """Remove a task from the workload and from the counts."""
        self._update_counts(self.tasks.pop(index), -1)

    def update_task(self, task: Task, **changes: Any) -> None:
        """Set fields of a task and update the counts accordingly."""
        self._update_counts(task, -1)
        for name, value in changes.items():
            setattr(task, name, value)
        self._update_counts(task, 1)

    def mark_acknowledged(self, task: Task, attempt: Attempt) -> None:
        """Record that the worker has reported a task's attempt as running."""
        self._update_counts(task, -1)
        attempt.acknowledged = True
        self._update_counts(task, 1)

    def make_ready(self, task: Task) -> None:
        """Make a delayed task ready to be placed; other tasks are left as they are."""
        if self.delayed.pop(task.index, None) is not None:
            task.retry_at = 0.0
            self.ready[task.index] = task

    def _update_counts(self, task: Task, sign: int) -> None:
        """Add a task to the counts if ``sign`` is 1, subtract it if ``sign`` is -1."""
        if task.attempt is not None:
            self.attempt_count += sign
        if not task.desired:
            return
        if task.phase == WAITING:
            self._update_waiting(task, sign)
        if task.standby:
            return
        self.phase_counts[task.phase] += sign
        if task.attempt is not None and task.attempt.acknowledged:
            self.running_count += sign

    def _update_waiting(self, task: Task, sign: int) -> None:
        """Add a waiting task to ``ready`` or ``delayed``, or remove it from them."""
        if sign < 0:
            self.ready.pop(task.index, None)
            self.delayed.pop(task.index, None)
        elif task.retry_at:
            self.delayed[task.index] = task
        else:
            self.ready[task.index] = task

    def make_status(self) -> dict[str, Any]:
        """Return the counts that the shard reports as the status of the workload.

        A bound task counts as waiting until its worker reports it as running.
        """
        counts = self.phase_counts
        starting = counts[BOUND] - min(self.running_count, counts[BOUND])
        return {
            "created_revision": self.created_revision,
            "tasks": sum(counts.values()),
            "running": self.running_count,
            "waiting": counts[WAITING] + starting,
            "finished": counts[FINISHED],
            "failed": counts[FAILED],
        }


def make_workload_name(kind: str, name: str, created_revision: int) -> str:
    """Return the name of a workload, which no later workload can have."""
    return f"{kind}/{name}:{created_revision}"


def make_attempt_name(workload: str, index: int, number: int) -> str:
    """Return the name that identifies an attempt in exchanges with workers.

    >>> make_attempt_name("batch/nightly:12", 3, 1)
    'batch/nightly:12#3/1'
    """
    return f"{workload}#{index}/{number}"


def get_replica_index(index: int) -> int:
    """Return the index of the declared task that a task or replacement stands for.

    A replacement has an index of its own, so that no two attempts that run at the
    same time have the same index.

    >>> get_replica_index(3), get_replica_index(get_replacement_index(3))
    (3, 3)
    """
    return index % MAX_TASKS


def get_replacement_index(index: int) -> int:
    """Return the index of the replacement for the task with an index."""
    return index + MAX_TASKS


def get_replaced_index(index: int) -> int:
    """Return the index of the task that a replacement with an index replaces.

    The result is negative for a task that replaces none.
    """
    return index - MAX_TASKS


def make_task_name(workload: str, index: int) -> str:
    """Return the name of a task, which is a prefix of its attempts' names."""
    return f"{workload}#{index}"


def parse_task_name(name: str) -> tuple[str, int]:
    """Return the workload and index from a task's name."""
    workload, _, index = name.rpartition("#")
    return workload, int(index)


def parse_attempt_name(name: str) -> tuple[str, int, int]:
    """Return the workload, index and number from an attempt's name.

    Raises ``ValueError`` if the name has another form.
    """
    task, _, number = name.rpartition("/")
    workload, _, index = task.rpartition("#")
    return workload, int(index), int(number)
