"""Workloads, tasks and attempts as a scheduling shard knows them."""

from typing import Any

from attrs import define, field

from almondspread.resources import BatchJob, Capacity, GangJob, Service, Workload
from almondspread.resources.kinds import MAX_TASKS

WAITING = "waiting"
BOUND = "bound"
FINISHED = "finished"
FAILED = "failed"

# How an attempt that is evicted ends: at once, or after writing a checkpoint.
STOP = "stop"
CHECKPOINT = "checkpoint"

# Outcomes that say nothing against the task itself, so they use up no attempt.
NON_FAILURE_OUTCOMES = ("stopped", "lapsed", "refused", "lost")


def _make_phase_counts() -> dict[str, int]:
    """Return a count of zero for each phase."""
    return {WAITING: 0, BOUND: 0, FINISHED: 0, FAILED: 0}


@define
class Attempt:
    """An attempt that is bound to a worker and not known to have ended.

    ``acknowledged`` is set once the worker has reported it as running; ``unwanted``
    once it has to stop. Neither is in the journal's rows: both are found out again.
    ``eviction`` is ``stop`` or ``checkpoint`` once it has to give up its place; its
    task then waits again, and the end uses up no attempt.
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
    """One task of a workload and how it stands.

    ``retry_at`` is UTC seconds before which it is not tried again. ``replacement`` is
    the index of the task that is to take over from it, and that one is ``standby``
    until it does.
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
    """A workload's tasks in this shard, with the counts that reports need.

    ``away`` names the tasks of this shard that another one has taken over, ``guests``
    those that this one has taken over. ``ready`` holds the tasks that may be placed
    now, ``delayed`` those that wait for their next try. The counts are kept by the
    methods below; nothing else may change a task that is counted.
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
        """Whether its tasks are started again whenever they end."""
        return isinstance(self.resource, Service)

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start together or not at all."""
        return isinstance(self.resource, GangJob)

    @property
    def path(self) -> str:
        """Kind and name, which a later workload may have again."""
        return f"{self.kind}/{self.name}"

    @property
    def team(self) -> str:
        """The team whose quota its tasks use."""
        return self.resource.metadata.team

    @property
    def max_attempts(self) -> int:
        """How many failures of one task are accepted before it is given up."""
        if isinstance(self.resource, BatchJob | GangJob):
            return self.resource.attempts
        return 0

    def add_task(self, task: Task) -> None:
        """Take on a task."""
        self.tasks[task.index] = task
        self._update_counts(task, 1)

    def remove_task(self, index: int) -> None:
        """Forget a task."""
        self._update_counts(self.tasks.pop(index), -1)

    def update_task(self, task: Task, **changes: Any) -> None:
        """Set fields of a task and keep the counts in step."""
        self._update_counts(task, -1)
        for name, value in changes.items():
            setattr(task, name, value)
        self._update_counts(task, 1)

    def mark_acknowledged(self, task: Task, attempt: Attempt) -> None:
        """Note that the worker runs a task's attempt."""
        self._update_counts(task, -1)
        attempt.acknowledged = True
        self._update_counts(task, 1)

    def make_ready(self, task: Task) -> None:
        """Let a delayed task be placed from now on."""
        if self.delayed.pop(task.index, None) is not None:
            task.retry_at = 0.0
            self.ready[task.index] = task

    def _update_counts(self, task: Task, sign: int) -> None:
        """Add a task to the counts, or take it out of them."""
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
        """Put a waiting task where placement finds it, or take it from there."""
        if sign < 0:
            self.ready.pop(task.index, None)
            self.delayed.pop(task.index, None)
        elif task.retry_at:
            self.delayed[task.index] = task
        else:
            self.ready[task.index] = task

    def make_status(self) -> dict[str, Any]:
        """Return the status document that the shard reports of the workload."""
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
    """Return the name of a workload that no later one will have."""
    return f"{kind}/{name}:{created_revision}"


def make_attempt_name(workload: str, index: int, number: int) -> str:
    """Return the name by which a worker knows an attempt.

    >>> make_attempt_name("batch/nightly:12", 3, 1)
    'batch/nightly:12#3/1'
    """
    return f"{workload}#{index}/{number}"


def get_replica_index(index: int) -> int:
    """Return which of a workload's declared tasks the task of an index stands for.

    The replacement of a task has an index of its own, so that no index ever runs
    twice at once.

    >>> get_replica_index(3), get_replica_index(get_replacement_index(3))
    (3, 3)
    """
    return index % MAX_TASKS


def get_replacement_index(index: int) -> int:
    """Return the index of the replacement of a task."""
    return index + MAX_TASKS


def get_replaced_index(index: int) -> int:
    """Return the index of the task that one with this index replaces."""
    return index - MAX_TASKS


def make_task_name(workload: str, index: int) -> str:
    """Return the name of a task, which its attempts share."""
    return f"{workload}#{index}"


def parse_task_name(name: str) -> tuple[str, int]:
    """Return the workload and index in a task's name."""
    workload, _, index = name.rpartition("#")
    return workload, int(index)


def parse_attempt_name(name: str) -> tuple[str, int, int]:
    """Return the workload, index and number in an attempt's name."""
    task, _, number = name.rpartition("/")
    workload, _, index = task.rpartition("#")
    return workload, int(index), int(number)
