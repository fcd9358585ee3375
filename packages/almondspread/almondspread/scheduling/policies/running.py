"""The running tasks as preemption and holds see them."""

from datetime import datetime

from attrs import define

from almondspread.resources.capacity import Capacity

BATCH = "batch"
GANG = "gang"
SERVICE = "service"


@define(frozen=True)
class RunningTask:
    """One task that holds room on a worker.

    ``saved`` is when its work was last safe: its start or its last checkpoint.
    ``expected_end`` is ``None`` where it is not expected to end.
    """

    name: str
    workload: str
    worker: str
    size: Capacity
    priority: int
    kind: str
    saved_at: datetime
    checkpointable: bool = False
    expected_end: datetime | None = None


class RunningTasks:
    """The tasks of a shard that hold room, by worker."""

    def __init__(self) -> None:
        self._tasks: dict[str, RunningTask] = {}
        self._by_worker: dict[str, dict[str, RunningTask]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, task: RunningTask) -> None:
        """Add a task, or replace what is known of it."""
        self.remove(task.name)
        self._tasks[task.name] = task
        self._by_worker.setdefault(task.worker, {})[task.name] = task

    def remove(self, name: str) -> None:
        """Forget a task, if it is known."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        here = self._by_worker[task.worker]
        del here[name]
        if not here:
            del self._by_worker[task.worker]

    def find(self, name: str) -> RunningTask | None:
        """Return one task, if it is known."""
        return self._tasks.get(name)

    def list_on(self, worker: str) -> list[RunningTask]:
        """Return the tasks of one worker, in the order they were added."""
        return list(self._by_worker.get(worker, {}).values())

    def list_workers(self) -> list[str]:
        """Return the workers that hold tasks, in the order of their first one."""
        return list(self._by_worker)
