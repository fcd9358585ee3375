"""What a shard has decided: its state, its cell, and events not yet committed.

Every decision is an event. It is applied to the state at once, so that the next
decision counts with it, but nothing is told to a worker before the journal has
committed the batch that holds it.
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
    """Where an attempt ran whose end the journal does not hold yet."""

    worker: str
    team: str
    size: Capacity


class Decisions:
    """Keeps state, cell and teams in step while events are decided.

    ``openings`` grows whenever room may have appeared for a task that found none.
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
        self._uncommitted_events: list[Event] = []
        self._exclusions: dict[str, set[str]] = {}
        self._total_capacity = Capacity(0, 0, 0)
        self.restore(state)

    def restore(self, state: ShardState) -> None:
        """Go on from a recovered state, before any worker is known."""
        self.state = state
        for workload in state.workloads.values():
            for task in workload.tasks.values():
                if task.attempt is not None:
                    self.teams.restore(workload.team, task.attempt.size)
                    self._add_running(workload, task.attempt)

    @property
    def has_uncommitted(self) -> bool:
        """Whether events are decided that the journal does not hold yet."""
        return bool(self._uncommitted_events)

    def take_batch(self) -> list[Event]:
        """Return the events to commit next."""
        batch = self._uncommitted_events
        self._uncommitted_events = []
        return batch

    def record_event(self, event: Event) -> None:
        """Apply an event and keep it for the journal."""
        self.state.apply(event)
        self._uncommitted_events.append(event)

    def add_worker(self, worker: Instance) -> None:
        """Add a worker with what is bound to it already."""
        self.cell.add_worker(
            worker.name, worker.failure_domain, worker.rack, worker.capacity
        )
        for attempt in self.state.list_attempts(worker.name):
            self.cell.commit(worker.name, attempt.workload, attempt.size)
        self._total_capacity = self._total_capacity.plus(worker.capacity)
        self.teams.set_total(self._total_capacity)
        self.capacity_generation += 1

    def remove_worker(self, worker: str) -> None:
        """Forget a worker to which nothing is bound."""
        self._total_capacity = self._total_capacity.minus(
            self.cell.worker(worker).capacity
        )
        self.teams.set_total(self._total_capacity)
        self.cell.remove_worker(worker)
        self._exclusions.pop(worker, None)

    def set_exclusion(self, worker: str, reason: str, applies: bool) -> None:
        """Keep new tasks off a worker for a reason, or lift that reason."""
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

        The pass that chose the worker has committed the room and the quota.
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
        """Note what preemption and holds go by of an attempt."""
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
        """Decide that an attempt has ended and free what it held."""
        state = self.state.workloads[attempt.workload]
        told = end or AttemptEnd(attempt.name, outcome)
        ended = UncommittedEnd(attempt.worker, state.team, attempt.size)
        self._uncommitted_ends[attempt.name] = ended
        ending = self._uncommitted_releases.get(state.team, Capacity(0, 0, 0))
        self._uncommitted_releases[state.team] = ending.plus(attempt.size)
        self.record_event(
            AttemptEnded(
                attempt.workload,
                attempt.index,
                attempt.number,
                outcome,
                told.reason,
                told.run_seconds,
                told.peak_memory_mib,
                told.checkpoint,
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
        """Stop what runs of a gang that lost a task: it starts together again."""
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
        """Have an attempt give up its place."""
        if attempt.eviction_mode or attempt.must_stop:
            return
        self.record_event(
            AttemptEvicted(attempt.workload, attempt.index, attempt.number, mode)
        )
        state = self.state.workloads[attempt.workload]
        if state.is_gang:
            self._evict_gang(state)

    def mark_committed(self, batch: list[Event]) -> None:
        """Allow the attempts that a committed batch bound to be started."""
        for event in batch:
            if not isinstance(event, AttemptBound):
                continue
            attempt = self.state.find_attempt(event.workload, event.index, event.number)
            if attempt is not None:
                attempt.committed = True

    def pop_committed_end(self, event: AttemptEnded) -> tuple[str, str]:
        """Return the attempt whose end is committed now, and its worker."""
        name = make_attempt_name(event.workload, event.index, event.number)
        ended = self._uncommitted_ends.pop(name)
        self._uncommitted_releases[ended.team] = self._uncommitted_releases[
            ended.team
        ].minus(ended.size)
        return name, ended.worker

    def get_held_capacity(self, team: str) -> Capacity:
        """Return what a team holds, with what is freed but not yet committed."""
        used = self.teams.get_usage(team)
        ending = self._uncommitted_releases.get(team)
        return used.plus(ending) if ending is not None else used
