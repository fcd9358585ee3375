"""Recording of scheduling decisions in the shard's state ahead of the commit.

Every decision is an event. The scheduler applies an event to the state at once, so
that later decisions take it into account, but sends nothing to a worker before the
journal has committed the batch that contains the event.
"""

from datetime import timedelta

from attrs import define

from almondspread.clock import Clock
from almondspread.interfaces import AttemptEnd, Instance
from almondspread.placement import Cell
from almondspread.placement.values import EXCLUSION_REASONS
from almondspread.resources import Capacity
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    AttemptEvicted,
    Event,
)
from almondspread.scheduling.policies.estimates import UsageEstimator
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.running import RunningTask, RunningTasks
from almondspread.scheduling.shard_state import ShardState
from almondspread.scheduling.tasks import (
    CHECKPOINT,
    STOP,
    Attempt,
    Task,
    WorkloadState,
    make_attempt_name,
    make_task_name,
)


@define(frozen=True)
class UncommittedEnd:
    """The worker, team and size of an attempt whose end is not committed yet."""

    worker: str
    team: str
    size: Capacity


class Decisions:
    """Updates the state, the cell and the teams' usage with each decided event.

    ``cell`` and ``teams`` cover only the workers of this shard, not the whole cell.
    ``capacity_generation`` is a counter that increases whenever capacity or quota
    may have become free for a task that could not be placed before.
    """

    def __init__(self, state: ShardState, clock: Clock) -> None:
        self.running = RunningTasks()
        self.estimates = UsageEstimator()
        self._clock = clock
        self.cell = Cell()
        self.teams = TeamQuotas(Capacity(0, 0, 0))
        self.capacity_generation = 0
        self._uncommitted_ends: dict[str, UncommittedEnd] = {}
        self._uncommitted_releases: dict[str, Capacity] = {}
        self._pending_events: list[Event] = []
        self._exclusions: dict[str, set[str]] = {}
        self._total_capacity = Capacity(0, 0, 0)
        self.restore(state)

    def restore(self, state: ShardState) -> None:
        """Start from a recovered state; call this before the first worker is added."""
        self.state = state
        for workload in state.workloads.values():
            for task in workload.tasks.values():
                if task.attempt is not None:
                    self.teams.restore(workload.team, task.attempt.size)
                    self._add_running(workload, task.attempt)

    @property
    def has_pending_events(self) -> bool:
        """Whether there are events that ``take_batch`` has not returned yet."""
        return bool(self._pending_events)

    def take_batch(self) -> list[Event]:
        """Return the events to commit next and remove them from the pending ones."""
        batch = self._pending_events
        self._pending_events = []
        return batch

    def record_event(self, event: Event) -> None:
        """Apply an event to the state and add it to the next journal batch."""
        self.state.apply(event)
        self._pending_events.append(event)

    def add_worker(self, worker: Instance) -> None:
        """Add a worker to the cell and commit the capacity of attempts bound to it."""
        self.cell.add_worker(
            worker.name, worker.failure_domain, worker.rack, worker.capacity
        )
        for attempt in self.state.list_attempts(worker.name):
            self.cell.commit(worker.name, attempt.workload, attempt.size)
        self._total_capacity = self._total_capacity.plus(worker.capacity)
        self.teams.set_total(self._total_capacity)
        self.capacity_generation += 1

    def remove_worker(self, worker: str) -> None:
        """Remove a worker from the cell; no attempt may be bound to it."""
        self._total_capacity = self._total_capacity.minus(
            self.cell.worker(worker).capacity
        )
        self.teams.set_total(self._total_capacity)
        self.cell.remove_worker(worker)
        self._exclusions.pop(worker, None)

    def set_exclusion(self, worker: str, reason: str, applies: bool) -> None:
        """Set or clear one reason for which a worker receives no new tasks.

        The first of the worker's reasons in the order of ``EXCLUSION_REASONS`` is the
        one that the cell reports. An unknown worker is ignored.
        """
        if not self.cell.has_worker(worker):
            return
        reasons = self._exclusions.setdefault(worker, set())
        if applies == (reason in reasons):
            return
        if applies:
            reasons.add(reason)
        else:
            reasons.discard(reason)
        for known in EXCLUSION_REASONS:
            if known in reasons:
                self.cell.exclude(worker, known)
                return
        self.cell.include(worker)
        self.capacity_generation += 1

    def bind_task(self, state: WorkloadState, task: Task, worker: str) -> None:
        """Bind the next attempt of a task to a worker.

        The pass that chose the worker has already committed the capacity in the
        cell and the team's quota.
        """
        size = state.resource.template.size
        self.record_event(
            AttemptBound(
                state.workload,
                task.index,
                task.attempt_number + 1,
                worker,
                size.cpu_millis,
                size.memory_mib,
                size.accelerators,
            )
        )
        if task.attempt is not None:
            task.attempt.committed = False
            self._add_running(state, task.attempt)

    def _add_running(self, state: WorkloadState, attempt: Attempt) -> None:
        """Register an attempt for preemption and for reservations of gangs."""
        now = self._clock.now()
        template = state.resource.template
        expected_end = None
        if not state.is_service:
            declared = timedelta(seconds=template.run_seconds)
            estimate = self.estimates.estimate_run_time(
                state.path, state.team, declared
            )
            expected_end = now + estimate.upper
        self.running.add(
            RunningTask(
                make_task_name(attempt.workload, attempt.index),
                state.workload,
                attempt.worker,
                attempt.size,
                state.resource.priority,
                state.kind,
                now,
                template.checkpointable,
                expected_end,
            )
        )

    def end_attempt(
        self,
        attempt: Attempt,
        outcome: str,
        end: AttemptEnd | None = None,
        retry_at: float = 0.0,
    ) -> None:
        """Record that an attempt has ended and release its capacity and quota.

        ``end`` is the worker's report, ``None`` where the owner concluded the end
        itself. ``retry_at`` is in UTC seconds, 0 for a retry without delay. If an
        attempt of a gang ends without success, and not because it was evicted, the
        other attempts of the gang are evicted.
        """
        state = self.state.workloads[attempt.workload]
        report = end or AttemptEnd(attempt.name, outcome)
        ended = UncommittedEnd(attempt.worker, state.team, attempt.size)
        self._uncommitted_ends[attempt.name] = ended
        released = self._uncommitted_releases.get(state.team, Capacity(0, 0, 0))
        self._uncommitted_releases[state.team] = released.plus(attempt.size)
        self.record_event(
            AttemptEnded(
                attempt.workload,
                attempt.index,
                attempt.number,
                outcome,
                report.reason,
                report.run_seconds,
                report.peak_memory_mib,
                report.checkpoint,
                retry_at,
            )
        )
        if self.cell.has_worker(attempt.worker):
            self.cell.release(attempt.worker, attempt.workload, attempt.size)
        self.teams.release(state.team, attempt.size)
        self.running.remove(make_task_name(attempt.workload, attempt.index))
        self.capacity_generation += 1
        if state.is_gang and outcome != "finished" and not attempt.eviction_mode:
            self._evict_gang(state)

    def _evict_gang(self, state: WorkloadState) -> None:
        """Evict all attempts of a gang that lost a task: a gang restarts as a whole."""
        mode = STOP
        if state.resource.template.checkpointable:
            mode = CHECKPOINT
        for task in state.tasks.values():
            attempt = task.attempt
            if attempt is None or attempt.eviction_mode or attempt.must_stop:
                continue
            self.record_event(
                AttemptEvicted(attempt.workload, attempt.index, attempt.number, mode)
            )

    def evict_attempt(self, attempt: Attempt, mode: str) -> None:
        """Evict an attempt, and with it the rest of its gang.

        ``mode`` is ``STOP`` or ``CHECKPOINT``. An attempt that is being evicted or has
        to stop already is left as it is.
        """
        if attempt.eviction_mode or attempt.must_stop:
            return
        self.record_event(
            AttemptEvicted(attempt.workload, attempt.index, attempt.number, mode)
        )
        state = self.state.workloads[attempt.workload]
        if state.is_gang:
            self._evict_gang(state)

    def mark_committed(self, batch: list[Event]) -> None:
        """Mark the attempts bound in a committed batch, so that they may be started."""
        for event in batch:
            if not isinstance(event, AttemptBound):
                continue
            attempt = self.state.find_attempt(event.workload, event.index, event.number)
            if attempt is not None:
                attempt.committed = True

    def pop_committed_end(self, event: AttemptEnded) -> tuple[str, str]:
        """Return the name and worker of an attempt whose end has been committed.

        Its capacity no longer counts in ``get_held_capacity``. Call this once for each
        committed ``AttemptEnded``.
        """
        name = make_attempt_name(event.workload, event.index, event.number)
        ended = self._uncommitted_ends.pop(name)
        self._uncommitted_releases[ended.team] = self._uncommitted_releases[
            ended.team
        ].minus(ended.size)
        return name, ended.worker

    def get_held_capacity(self, team: str) -> Capacity:
        """Return a team's used capacity, including releases not yet committed."""
        used = self.teams.get_usage(team)
        released = self._uncommitted_releases.get(team)
        return used.plus(released) if released is not None else used
