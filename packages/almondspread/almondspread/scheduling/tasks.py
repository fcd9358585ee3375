"""Workloads, tasks and attempts as a scheduling shard knows them."""

from typing import Any

from attrs import define, field

from almondspread.resources import BatchJob, Capacity, GangJob, Service, Workload

WAITING = "waiting"
BOUND = "bound"
FINISHED = "finished"
FAILED = "failed"

# Outcomes that say nothing against the task itself, so they use up no attempt.
EXCUSED_OUTCOMES = ("stopped", "lapsed", "refused", "lost")


@define
class Attempt:
    """An attempt that is bound to a worker and not known to have ended.

    ``acknowledged`` is set once the worker has reported it as running; ``unwanted``
    once it has to stop. Neither is in the journal's rows: both are found out again.
    """

    name: str
    workload: str
    index: int
    number: int
    worker: str
    size: Capacity
    acknowledged: bool = False
    unwanted: bool = False
    committed: bool = True


@define
class Task:
    """One task of a workload and how it stands."""

    index: int
    phase: str = WAITING
    number: int = 0
    failures: int = 0
    attempt: Attempt | None = None
    wanted: bool = True
    checkpoint: str = ""
    waiting_since: float = 0.0


@define
class WorkloadState:
    """A workload's tasks in this shard."""

    workload: str
    created_revision: int
    kind: str
    name: str
    resource: Workload
    document: bytes
    since: float
    removed: bool = False
    tasks: dict[int, Task] = field(factory=dict)

    @property
    def is_service(self) -> bool:
        """Whether its tasks are started again whenever they end."""
        return isinstance(self.resource, Service)

    @property
    def is_gang(self) -> bool:
        """Whether its tasks start together or not at all."""
        return isinstance(self.resource, GangJob)

    @property
    def allowed_attempts(self) -> int:
        """How many failures of one task are accepted before it is given up."""
        if isinstance(self.resource, BatchJob | GangJob):
            return self.resource.attempts
        return 0

    def count_phases(self) -> dict[str, int]:
        """Return how many wanted tasks are in each phase."""
        counts = {WAITING: 0, BOUND: 0, FINISHED: 0, FAILED: 0}
        for task in self.tasks.values():
            if not task.wanted:
                continue
            counts[task.phase] += 1
        return counts

    def report(self) -> dict[str, Any]:
        """Return the status document that the shard reports of the workload."""
        counts = self.count_phases()
        running = 0
        for task in self.tasks.values():
            if task.attempt is not None and task.attempt.acknowledged:
                running += 1
        return {
            "created_revision": self.created_revision,
            "tasks": sum(counts.values()),
            "running": running,
            "waiting": counts[WAITING] + counts[BOUND] - min(running, counts[BOUND]),
            "finished": counts[FINISHED],
            "failed": counts[FAILED],
        }


def name_workload(kind: str, name: str, created_revision: int) -> str:
    """Return the name of a workload that no later one will have."""
    return f"{kind}/{name}:{created_revision}"


def name_attempt(workload: str, index: int, number: int) -> str:
    """Return the name by which a worker knows an attempt.

    >>> name_attempt("batch/nightly:12", 3, 1)
    'batch/nightly:12#3/1'
    """
    return f"{workload}#{index}/{number}"


def parse_attempt(name: str) -> tuple[str, int, int]:
    """Return the workload, index and number in an attempt's name."""
    task, _, number = name.rpartition("/")
    workload, _, index = task.rpartition("#")
    return workload, int(index), int(number)
