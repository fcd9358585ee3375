"""Decisions of the owner of a scheduling shard, one pass after another."""

import random
from typing import Any

from attrs import define, evolve

from almondspread.clock import Clock
from almondspread.interfaces import (
    AttemptEnd,
    Instance,
    WorkerExchange,
    WorkerReport,
)
from almondspread.placement import PlacementFailure
from almondspread.scheduling.admission import CellCapacities, explain_impossible
from almondspread.scheduling.backlog import Backlog
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.demand import compute_quota_demands
from almondspread.scheduling.draining import Drainer
from almondspread.scheduling.events import (
    TaskRetired,
    WorkloadAdded,
    WorkloadChanged,
    WorkloadForgotten,
    WorkloadRemoved,
)
from almondspread.scheduling.exchanges import compose_exchange
from almondspread.scheduling.failures import FailureTracker, compute_quarantine_limit
from almondspread.scheduling.grants import QuotaDemand, TeamGrants
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.placer import Placer
from almondspread.scheduling.policies.backfill import ReservationTable
from almondspread.scheduling.policies.ordering import QueueEntry
from almondspread.scheduling.rules import CellRules
from almondspread.scheduling.shard_state import ShardState
from almondspread.scheduling.tasks import (
    Attempt,
    WorkloadState,
    get_replaced_index,
    parse_attempt_name,
)
from almondspread.scheduling.usage import UsageMonitor
from almondspread.scheduling.wait_reasons import explain_waiting_work

MAX_TASKS_REMOVED_PER_PASS = 2_000


@define(frozen=True)
class DesiredWorkload:
    """What the resources ask of this shard for one workload."""

    workload: str
    created_revision: int
    document: bytes
    indices: tuple[int, ...]


class Scheduler:
    """Turns resources, reports of workers and free capacity into events.

    A pass costs what has changed since the last one, not what the shard holds.
    """

    def __init__(
        self,
        state: ShardState,
        terms: LeaseTerms,
        clock: Clock,
        source: random.Random,
        shard: str = "",
    ) -> None:
        self.decisions = Decisions(state, clock)
        self.cell = self.decisions.cell
        self._shard = shard
        self._terms = terms
        self._clock = clock
        self._backlog = Backlog(self.decisions)
        self.placer = Placer(self.decisions, self._backlog)
        self._drainer = Drainer(self.decisions)
        self.grants: TeamGrants | None = None
        self._failures = FailureTracker(self.decisions, source)
        self._usage = UsageMonitor(self.decisions, self._failures)
        self._drained_workers: frozenset[str] = frozenset()
        self._leaving_workers: set[str] = set()
        self._capacities = CellCapacities()
        self._rules = CellRules()

    @property
    def state(self) -> ShardState:
        """The shard's state with all that is decided."""
        return self.decisions.state

    def explain_waiting(self, workload: str) -> PlacementFailure | None:
        """Return why tasks of a workload wait for a worker, if they do."""
        return self.placer.explain_waiting(workload)

    @property
    def holds(self) -> ReservationTable:
        """The room that is kept for gangs; for reading only."""
        return self._backlog.pass_state.reservations

    def restore(self, state: ShardState) -> None:
        """Go on from a recovered state, before any worker is known."""
        self.decisions.restore(state)

    def set_workers(self, workers: list[Instance]) -> None:
        """Take in the platform's list of the shard's workers."""
        listed = set()
        for worker in workers:
            listed.add(worker.name)
            self._update_worker(worker)
        if len(listed) < len(self.cell):
            self._remove_unlisted(listed)

    def _update_worker(self, worker: Instance) -> None:
        """Take in one line of the list."""
        name = worker.name
        known = self.cell.has_worker(name)
        resized = known and self.cell.worker(name).capacity != worker.capacity
        if resized and not self.state.list_attempts(name):
            self.decisions.remove_worker(name)
            known = resized = False
        if not known:
            self.decisions.add_worker(worker)
            self.set_exclusion(name, "draining", name in self._drained_workers)
        # A worker of another capacity is emptied before it counts with that.
        leaving = worker.leaving or resized or name in self._leaving_workers
        self.set_exclusion(name, "leaving", leaving)

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Empty the workers that the list no longer has, and forget empty ones."""
        for known in list(self.cell.iterate_workers()):
            if known.name in listed:
                continue
            if self.state.list_attempts(known.name):
                self.set_exclusion(known.name, "leaving", True)
                continue
            self.decisions.remove_worker(known.name)
            self._failures.remove_worker(known.name)
            self._leaving_workers.discard(known.name)

    def set_rules(self, rules: CellRules) -> None:
        """Go by what operators have set for the cell."""
        self.placer.set_policy(rules.policy)
        self._drained_workers = rules.drained
        if rules.teams != self._rules.teams:
            self._mark_waiting_unreported()
        self._rules = rules
        if self.grants is not None:
            self.grants.set_rules(rules.teams)
        for worker in self.cell.iterate_workers():
            self.set_exclusion(worker.name, "draining", worker.name in rules.drained)

    def compute_quota_demands(self) -> dict[str, QuotaDemand]:
        """Return which grants of quota would help the waiting work."""
        return compute_quota_demands(self.decisions, self._backlog)

    def count_waiting(self) -> int:
        """Return how many tasks wait for a worker."""
        return len(self._backlog)

    def list_blocked(self) -> list[tuple[QueueEntry, WorkloadState]]:
        """Return the waiting workloads that found no room, not those over a quota."""
        blocked = []
        for entry in self._backlog.list_entries():
            if self.placer.is_short_of_capacity(entry.workload.name):
                state = self.state.workloads[entry.workload.name]
                blocked.append((entry, state))
        return blocked

    def set_capacities(self, capacities: CellCapacities) -> None:
        """Note which capacities the workers of the whole cell have."""
        if capacities != self._capacities:
            self._capacities = capacities
            self._mark_waiting_unreported()

    def _mark_waiting_unreported(self) -> None:
        """Have all waiting workloads reported anew: some may be impossible now."""
        self.state.unreported_workloads.update(self.placer.list_deferred_workloads())

    def describe_workload(self, state: WorkloadState) -> dict[str, Any]:
        """Return the status document that the shard reports of a workload."""
        report = state.make_status()
        impossible = ""
        if state.ready:
            team = self._rules.teams.get(state.team)
            quota = team.quota if team else None
            impossible = explain_impossible(state.resource, self._capacities, quota)
        waiting = self.placer.explain_waiting(state.workload)
        report["impossible"] = bool(impossible)
        report["message"] = explain_waiting_work(state, waiting, impossible)
        return report

    def update_quarantine(self) -> None:
        """Quarantine workers that fail what others run, or let them out."""
        counts = {}
        for shard, capacities in self._capacities.by_shard.items():
            counts[shard] = len(capacities)
        allowed = compute_quarantine_limit(
            counts, self._rules.quarantine_share, self._shard
        )
        self._failures.update_quarantine(allowed, self._clock.now())

    def move_drained_tasks(self) -> None:
        """Decide the next moves off the workers that are drained or leave."""
        self._drainer.move_tasks(self._clock.now())

    def set_exclusion(self, worker: str, reason: str, applies: bool) -> None:
        """Keep new tasks off a worker for a reason, or lift that reason."""
        self.decisions.set_exclusion(worker, reason, applies)

    def reconcile(self, desired: list[DesiredWorkload], now: float) -> None:
        """Decide what changes so that the shard has just the desired workloads."""
        wanted = {item.workload for item in desired}
        for workload, state in self.state.workloads.items():
            if workload not in wanted and not state.removed:
                self.cancel_workload(workload)
        for item in desired:
            self.declare_workload(item, now)

    def declare_workload(self, item: DesiredWorkload, now: float) -> None:
        """Take on a workload, or another declaration of one that is known."""
        known = self.state.workloads.get(item.workload)
        if known is None:
            self.decisions.record_event(
                WorkloadAdded(
                    item.workload,
                    item.created_revision,
                    item.document,
                    item.indices,
                    now,
                )
            )
            return
        if known.document != item.document:
            self.decisions.record_event(
                WorkloadChanged(item.workload, item.document, item.indices)
            )

    def cancel_workload(self, workload: str) -> None:
        """Have a workload removed; the removal itself is decided by a later pass."""
        state = self.state.workloads.get(workload)
        if state is not None and not state.removed:
            self._backlog.cancel(workload)

    def remove_cancelled(self, limit: int = MAX_TASKS_REMOVED_PER_PASS) -> bool:
        """Decide removals of about ``limit`` tasks; true where some are left."""
        cancelled = self._backlog.cancelled_workloads
        count = 0
        while cancelled and count < limit:
            workload = next(iter(cancelled))
            del cancelled[workload]
            count += 1 + len(self.state.workloads[workload].tasks)
            self.decisions.record_event(WorkloadRemoved(workload))
        while self.state.deletable_workloads and count < limit:
            count += 1
            self.decisions.record_event(
                WorkloadForgotten(next(iter(self.state.deletable_workloads)))
            )
        return bool(cancelled or self.state.deletable_workloads)

    def place(self, limit: int) -> bool:
        """Bind about ``limit`` waiting tasks; true where more may follow at once."""
        now = self._clock.now()
        self.state.release_delayed(now.timestamp())
        return self.placer.place(limit, now)

    def handle_report(self, worker: str, report: WorkerReport) -> list[str]:
        """Take in a worker's report; return the ends that need no further record."""
        if report.leaving != (worker in self._leaving_workers):
            self._update_leaving(worker, report.leaving)
        known = {}
        for usage in report.running:
            attempt = self._find_attempt(usage.attempt)
            if attempt is None:
                continue
            known[usage.attempt] = attempt
            if not attempt.acknowledged:
                self._acknowledge(attempt)
        self._usage.handle_report(worker, report, known, self._clock.now())
        settled = []
        for end in report.ended:
            if not self._record_end(worker, end):
                settled.append(end.attempt)
        return settled

    def _update_leaving(self, worker: str, leaving: bool) -> None:
        """Note that a worker itself says whether it leaves."""
        if leaving:
            self._leaving_workers.add(worker)
            self.set_exclusion(worker, "leaving", True)
        else:
            self._leaving_workers.discard(worker)

    def _acknowledge(self, attempt: Attempt) -> None:
        """Note that a worker runs an attempt."""
        state = self.state.workloads[attempt.workload]
        task = state.tasks[attempt.index]
        state.mark_acknowledged(task, attempt)
        self._failures.record_start(state, attempt)
        self.state.unreported_workloads.add(attempt.workload)
        replaced = get_replaced_index(attempt.index)
        if task.standby and replaced in state.tasks:
            self.decisions.record_event(TaskRetired(attempt.workload, replaced))

    def _record_end(self, worker: str, end: AttemptEnd) -> bool:
        """Decide that an attempt has ended; false where that was known."""
        attempt = self._find_attempt(end.attempt)
        if attempt is None or attempt.worker != worker:
            return False
        cause = self._usage.remove_attempt(attempt.name)
        if cause and end.outcome == "stopped":
            # It had to end for what it did itself, so that counts as a failure.
            end = evolve(end, outcome="failed", reason=cause)
        state = self.state.workloads[attempt.workload]
        retry_at = self._failures.record_end(state, attempt, end, self._clock.now())
        self.decisions.end_attempt(attempt, end.outcome, end, retry_at)
        return True

    def end_lapsed(self, attempt: Attempt) -> None:
        """Decide that an attempt has ended because its lease has surely lapsed."""
        self._usage.remove_attempt(attempt.name)
        self.decisions.end_attempt(attempt, "lapsed")

    def _find_attempt(self, name: str) -> Attempt | None:
        """Return the attempt that a worker names, unless it is not known."""
        try:
            return self.state.find_attempt(*parse_attempt_name(name))
        except ValueError:
            return None

    def compose_exchange(
        self, worker: str, now: float, acknowledged: tuple[str, ...]
    ) -> WorkerExchange:
        """Return what to tell a worker now; ``now`` is UTC seconds."""
        return compose_exchange(
            self.state,
            self._terms,
            worker,
            now,
            acknowledged,
            self._usage.throttled_attempts,
        )
