"""Moving tasks off workers that are drained or that leave.

A replica of a service stops only once its replacement runs elsewhere. A task that
can write a checkpoint does so and goes on elsewhere. Any other may finish within
``DRAIN_GRACE``. What is left after that is stopped; of a service one replica at a
time, and the next only when that one runs elsewhere.
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
    """Knows since when each worker is to be emptied."""

    def __init__(self, decisions: Decisions) -> None:
        self._decisions = decisions
        self._draining_since: dict[str, datetime] = {}

    def move_tasks(self, now: datetime) -> None:
        """Decide the next moves off the workers that are to be emptied."""
        for worker in self._decisions.cell.iterate_workers():
            if worker.exclusion not in DRAIN_EXCLUSIONS:
                if worker.name in self._draining_since:
                    self._cancel_drain(worker.name)
                continue
            since = self._draining_since.setdefault(worker.name, now)
            for attempt in self._decisions.state.list_attempts(worker.name):
                self._move_attempt(attempt, now - since >= DRAIN_GRACE_PERIOD)

    def _move_attempt(self, attempt: Attempt, overdue: bool) -> None:
        """Decide the next move of one attempt."""
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
        """Have a replica of a service replaced before it stops."""
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
        """Give up replacements that do not run yet; the worker keeps its tasks."""
        del self._draining_since[worker]
        for attempt in self._decisions.state.list_attempts(worker):
            state = self._decisions.state.workloads[attempt.workload]
            task = state.tasks[attempt.index]
            if task.replacement_index >= 0:
                self._decisions.record_event(
                    TaskRetired(state.workload, task.replacement_index)
                )


def _has_moving_replica(state: WorkloadState) -> bool:
    """Tell whether another replica is on its way from one worker to another."""
    for task in state.tasks.values():
        if task.standby:
            continue
        if task.attempt is None or task.attempt.eviction_mode:
            return True
    return False
