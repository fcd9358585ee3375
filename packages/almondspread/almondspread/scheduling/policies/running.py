"""The running tasks, with what preemption and reservations need to know of them."""

from datetime import datetime

from attrs import define

from almondspread.resources.capacity import Capacity

BATCH = "batch"
GANG = "gang"
SERVICE = "service"


@define(frozen=True)
class RunningTask:
    """One task whose capacity is committed on a worker.

    ``saved_at`` is the time of the task's start or last checkpoint; a task that is
    stopped loses the work since then. ``expected_end`` is ``None`` if the task is not
    expected to end.
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
    """The running tasks of a shard, by name and by worker."""

    def __init__(self) -> None:
        self._tasks: dict[str, RunningTask] = {}
        self._by_worker: dict[str, dict[str, RunningTask]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, task: RunningTask) -> None:
        """Add a task, or replace the task of the same name."""
        self.remove(task.name)
        self._tasks[task.name] = task
        self._by_worker.setdefault(task.worker, {})[task.name] = task

    def remove(self, name: str) -> None:
        """Remove a task, if it is known."""
        task = self._tasks.pop(name, None)
        if task is None:
            return
        worker_tasks = self._by_worker[task.worker]
        del worker_tasks[name]
        if not worker_tasks:
            del self._by_worker[task.worker]

    def find(self, name: str) -> RunningTask | None:
        """Return a task, ``None`` if it is not known."""
        return self._tasks.get(name)

    def list_on(self, worker: str) -> list[RunningTask]:
        """Return the tasks on a worker, in the order they were added."""
        return list(self._by_worker.get(worker, {}).values())

    def list_workers(self) -> list[str]:
        """Return the workers that run tasks, in the order they got their first one."""
        return list(self._by_worker)
