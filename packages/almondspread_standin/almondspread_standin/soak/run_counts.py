"""Counts of the runs of tasks, and when each count last changed."""

from collections.abc import Callable

from almondspread.jobs.submissions import TaskId


class RunCounts(dict[TaskId, int]):
    """How many runs each task has, where upstreams count them.

    ``changed_at`` has when a run of a task last began or ended, so that a run between
    two looks at the counts is not overlooked.
    """

    def __init__(self, read_time: Callable[[], float]) -> None:
        super().__init__()
        self._read_time = read_time
        self.changed_at: dict[TaskId, float] = {}

    def __setitem__(self, task: TaskId, count: int) -> None:
        super().__setitem__(task, count)
        self.changed_at[task] = self._read_time()
