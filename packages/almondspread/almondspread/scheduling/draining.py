"""Moves tasks off workers that are drained or that leave the cell.

The drainer stops a replica of a service only once its replacement runs on another
worker. A task that can write a checkpoint does so and continues on another worker. Any
other running task may finish within ``DRAIN_GRACE_PERIOD``. After that the drainer
stops the remaining tasks, but only one replica of a service at a time, and the next
one only when the previous one runs on another worker. A task that its worker has not
reported as running yet is evicted at once.
"""

from datetime import datetime, timedelta

from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.events import TaskReplaced, TaskRetired
from almondspread.scheduling.tasks import (
    CHECKPOINT,
    STOP,
    Attempt,
    WorkloadState,
    get_replacement_index,
)

DRAIN_GRACE_PERIOD = timedelta(minutes=10)
DRAIN_EXCLUSIONS = ("draining", "leaving")


class Drainer:
    """Decides the moves of tasks off draining workers.

    The drainer remembers since when each worker is draining.
    """

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self._draining_since: dict[str, datetime] = {}

    def move_tasks(self, now: datetime) -> None:
        """Decide the next moves of tasks off all draining workers.

        A worker that no longer drains keeps its tasks.
        """
        for worker in self._decisions.cell.iterate_workers():
            if worker.exclusion not in DRAIN_EXCLUSIONS:
                if worker.name in self._draining_since:
                    self._cancel_drain(worker.name)
                continue
            since = self._draining_since.setdefault(worker.name, now)
            for attempt in self._decisions.state.list_attempts(worker.name):
                self._move_attempt(attempt, now - since >= DRAIN_GRACE_PERIOD)

    def _move_attempt(self, attempt: Attempt, overdue: bool) -> None:
        """Decide the next step of moving one attempt.

        ``overdue`` tells whether the grace period of the worker is over.
        """
        if attempt.must_stop or attempt.eviction_mode:
            return
        state = self._decisions.state.workloads[attempt.workload]
        if state.is_service:
            self._move_replica(state, attempt, overdue)
            return
        if state.resource.template.checkpointable:
            self._decisions.evict_attempt(attempt, CHECKPOINT)
        elif overdue or not attempt.acknowledged:
            self._decisions.evict_attempt(attempt, STOP)

    def _move_replica(
        self, state: WorkloadState, attempt: Attempt, overdue: bool
    ) -> None:
        """Add a replacement of a replica, or evict the replica where it may stop."""
        task = state.tasks[attempt.index]
        if not attempt.acknowledged or task.standby:
            self._decisions.evict_attempt(attempt, STOP)
            return
        if overdue and not _has_moving_replica(state):
            self._decisions.evict_attempt(attempt, STOP)
            return
        if task.replacement_index < 0:
            self._decisions.record_event(
                TaskReplaced(
                    state.workload, task.index, get_replacement_index(task.index)
                )
            )

    def _cancel_drain(self, worker: str) -> None:
        """Retire the replacements that have not taken over from tasks of a worker."""
        del self._draining_since[worker]
        for attempt in self._decisions.state.list_attempts(worker):
            state = self._decisions.state.workloads[attempt.workload]
            task = state.tasks[attempt.index]
            if task.replacement_index >= 0:
                self._decisions.record_event(
                    TaskRetired(state.workload, task.replacement_index)
                )


def _has_moving_replica(state: WorkloadState) -> bool:
    """Tell whether a replica of a service is being evicted or has no worker yet."""
    for task in state.tasks.values():
        if task.standby:
            continue
        if task.attempt is None or task.attempt.eviction_mode:
            return True
    return False
