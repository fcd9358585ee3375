"""Decisions of the owner of a scheduling shard.

Every decision is an event. It is applied to the state at once, so that the next
decision counts with it, but nothing is told to a worker before the journal has
committed the batch that holds it.
"""

from datetime import timedelta

from attrs import define

from almondspread.interfaces import (
    AttemptEnd,
    AttemptStart,
    Instance,
    WorkerExchange,
    WorkerReport,
)
from almondspread.placement import (
    Cell,
    TaskRequest,
    Waiting,
    choose_gang,
    choose_worker,
)
from almondspread.placement.values import EXCLUSIONS
from almondspread.resources import Service
from almondspread.scheduling.events import (
    AttemptBound,
    AttemptEnded,
    Event,
    WorkloadAdded,
    WorkloadChanged,
    WorkloadForgotten,
    WorkloadRemoved,
)
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.shard import ShardState
from almondspread.scheduling.tasks import (
    WAITING,
    Attempt,
    Task,
    WorkloadState,
    parse_attempt,
)

START_EXPIRY = timedelta(seconds=10)
MAX_STARTS_PER_EXCHANGE = 200


@define(frozen=True)
class DesiredWorkload:
    """What the resources ask of this shard for one workload."""

    workload: str
    created_revision: int
    document: bytes
    indices: tuple[int, ...]


class Scheduler:
    """Turns resources, reports of workers and free capacity into events."""

    def __init__(self, state: ShardState, terms: LeaseTerms) -> None:
        self.state = state
        self.cell = Cell()
        self.policy = "waiting"
        self.reasons: dict[str, Waiting] = {}
        self._terms = terms
        self._pending: list[Event] = []
        self._known_workers: set[str] = set()
        self._exclusions: dict[str, set[str]] = {}

    def set_workers(self, workers: list[Instance]) -> None:
        """Take in the platform's list of the shard's workers."""
        listed = set()
        for worker in workers:
            listed.add(worker.name)
            if worker.name not in self._known_workers:
                self._add_worker(worker)
            self.set_exclusion(worker.name, "leaving", worker.leaving)
        for name in self._known_workers - listed:
            self.set_exclusion(name, "leaving", True)

    def set_exclusion(self, worker: str, reason: str, applies: bool) -> None:
        """Keep new tasks off a worker for a reason, or lift that reason."""
        if worker not in self._known_workers:
            return
        reasons = self._exclusions.setdefault(worker, set())
        if applies == (reason in reasons):
            return
        if applies:
            reasons.add(reason)
        else:
            reasons.discard(reason)
        for known in EXCLUSIONS:
            if known in reasons:
                self.cell.exclude(worker, known)
                return
        self.cell.include(worker)

    def _add_worker(self, worker: Instance) -> None:
        """Add a worker with what is bound to it already."""
        self._known_workers.add(worker.name)
        self.cell.add_worker(
            worker.name, worker.failure_domain, worker.rack, worker.capacity
        )
        for attempt in self.state.list_attempts(worker.name):
            self.cell.commit(worker.name, attempt.workload, attempt.size)

    def reconcile(self, desired: list[DesiredWorkload], now: float) -> None:
        """Decide what changes so that the shard has just the desired workloads."""
        wanted = {item.workload: item for item in desired}
        for workload, state in list(self.state.workloads.items()):
            if workload not in wanted and not state.removed:
                self._decide(WorkloadRemoved(workload))
        for item in desired:
            known = self.state.workloads.get(item.workload)
            if known is None:
                self._decide(
                    WorkloadAdded(
                        item.workload,
                        item.created_revision,
                        item.document,
                        item.indices,
                        now,
                    )
                )
                continue
            if known.document != item.document:
                self._decide(
                    WorkloadChanged(item.workload, item.document, item.indices)
                )
        self._forget_removed()

    def _forget_removed(self) -> None:
        """Forget removed workloads that have no attempt left."""
        for workload, state in list(self.state.workloads.items()):
            if not state.removed:
                continue
            if any(task.attempt is not None for task in state.tasks.values()):
                continue
            self._decide(WorkloadForgotten(workload))

    def place(self, limit: int) -> None:
        """Bind waiting tasks to workers, at most about ``limit`` of them."""
        self.reasons = {}
        placed = 0
        for state in self._order_workloads():
            if placed >= limit:
                return
            if state.is_gang:
                placed += self._place_gang(state)
                continue
            placed += self._place_tasks(state, limit - placed)

    def _order_workloads(self) -> list[WorkloadState]:
        """Return the workloads with waiting tasks, the most urgent first."""
        waiting = []
        for state in self.state.workloads.values():
            if state.removed:
                continue
            if any(task.phase == WAITING for task in state.tasks.values()):
                waiting.append(state)
        waiting.sort(key=lambda state: (-state.resource.priority, state.since))
        return waiting

    def _place_tasks(self, state: WorkloadState, limit: int) -> int:
        """Bind tasks one by one until one finds no worker."""
        placed = 0
        for task in list(state.tasks.values()):
            if task.phase != WAITING or placed >= limit:
                continue
            chosen = choose_worker(self.cell, self._request(state), self.policy)
            if chosen.is_error():
                self.reasons[state.workload] = chosen.error
                break
            self._bind(state, task, chosen.ok)
            placed += 1
        return placed

    def _place_gang(self, state: WorkloadState) -> int:
        """Bind all tasks of a gang, or none."""
        waiting = [task for task in state.tasks.values() if task.phase == WAITING]
        if len(waiting) < len(state.tasks):
            return 0
        requests = [self._request(state)] * len(waiting)
        chosen = choose_gang(self.cell, requests, self.policy)
        if chosen.is_error():
            self.reasons[state.workload] = chosen.error
            return 0
        for task, worker in zip(waiting, chosen.ok, strict=True):
            self._bind(state, task, worker)
        return len(waiting)

    def _request(self, state: WorkloadState) -> TaskRequest:
        """Return what placing one task of a workload asks for."""
        resource = state.resource
        spread = resource.spread if isinstance(resource, Service) else "none"
        return TaskRequest(state.workload, resource.template.size, spread)

    def _bind(self, state: WorkloadState, task: Task, worker: str) -> None:
        """Bind the next attempt of a task to a worker."""
        size = state.resource.template.size
        self._decide(
            AttemptBound(
                state.workload,
                task.index,
                task.number + 1,
                worker,
                size.cpu_millis,
                size.memory_mib,
                size.accelerators,
            )
        )
        self.cell.commit(worker, state.workload, size)
        attempt = self.state.workloads[state.workload].tasks[task.index].attempt
        if attempt is not None:
            attempt.committed = False

    def take_report(self, worker: str, report: WorkerReport) -> list[str]:
        """Take in a worker's report; return the ends that need no further record."""
        for usage in report.running:
            attempt = self._find(usage.attempt)
            if attempt is None or attempt.acknowledged:
                continue
            attempt.acknowledged = True
            self.state.changed.add(attempt.workload)
        settled = []
        for end in report.ended:
            if not self._record_end(worker, end):
                settled.append(end.attempt)
        return settled

    def _record_end(self, worker: str, end: AttemptEnd) -> bool:
        """Decide that an attempt has ended; false where that was known."""
        attempt = self._find(end.attempt)
        if attempt is None or attempt.worker != worker:
            return False
        self.end_attempt(attempt, end.outcome, end)
        return True

    def end_attempt(
        self, attempt: Attempt, outcome: str, end: AttemptEnd | None = None
    ) -> None:
        """Decide that an attempt has ended and free what it held."""
        event = AttemptEnded(attempt.workload, attempt.index, attempt.number, outcome)
        if end is not None:
            event = AttemptEnded(
                attempt.workload,
                attempt.index,
                attempt.number,
                outcome,
                end.reason,
                end.run_seconds,
                end.peak_memory_mib,
                end.checkpoint,
            )
        self._decide(event)
        if attempt.worker in self._known_workers:
            self.cell.release(attempt.worker, attempt.workload, attempt.size)

    def _find(self, name: str) -> Attempt | None:
        """Return the attempt that a worker names, unless it is not known."""
        try:
            return self.state.find_attempt(*parse_attempt(name))
        except ValueError:
            return None

    def _decide(self, event: Event) -> None:
        """Apply an event and keep it for the journal."""
        self.state.apply(event)
        self._pending.append(event)

    @property
    def has_pending(self) -> bool:
        """Whether events are decided that the journal does not hold yet."""
        return bool(self._pending)

    def take_batch(self) -> list[Event]:
        """Return the events to commit next."""
        batch = self._pending
        self._pending = []
        return batch

    def mark_committed(self, batch: list[Event]) -> None:
        """Allow the attempts that a committed batch bound to be started."""
        for event in batch:
            if not isinstance(event, AttemptBound):
                continue
            attempt = self.state.find_attempt(event.workload, event.index, event.number)
            if attempt is not None:
                attempt.committed = True

    def compose_exchange(
        self, worker: str, now: float, acknowledged: tuple[str, ...]
    ) -> WorkerExchange:
        """Return what to tell a worker now; ``now`` is UTC seconds."""
        starts: list[AttemptStart] = []
        renewals: list[str] = []
        stops: list[str] = []
        for attempt in self.state.list_attempts(worker):
            if not attempt.committed:
                continue
            if attempt.unwanted:
                stops.append(attempt.name)
                continue
            if attempt.acknowledged:
                renewals.append(attempt.name)
                continue
            if len(starts) < MAX_STARTS_PER_EXCHANGE:
                starts.append(self._compose_start(attempt, now))
        return WorkerExchange(
            starts=tuple(starts),
            renewals=tuple(renewals),
            lease_seconds=self._terms.length.total_seconds(),
            stops=tuple(stops),
            acknowledged=acknowledged,
            expires=now + self._terms.delivery.total_seconds(),
        )

    def _compose_start(self, attempt: Attempt, now: float) -> AttemptStart:
        """Return the start of an attempt."""
        state = self.state.workloads[attempt.workload]
        return AttemptStart(
            attempt=attempt.name,
            size=attempt.size,
            command=state.resource.template.command,
            lease_seconds=self._terms.length.total_seconds(),
            start_before=now + START_EXPIRY.total_seconds(),
            restart=isinstance(state.resource, Service),
            checkpoint=state.tasks[attempt.index].checkpoint,
        )
