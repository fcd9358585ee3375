"""Scheduling decisions of the owner of one shard.

The scheduler takes in desired workloads, the list of workers, operators' rules and
workers' reports, and records the events that follow from them.
"""

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
    """The part of a declared workload that is assigned to this shard.

    ``document`` is the resource encoded with msgpack, ``created_revision`` the
    revision that created it, ``indices`` the tasks assigned to this shard.
    """

    workload: str
    created_revision: int
    document: bytes
    indices: tuple[int, ...]


class Scheduler:
    """Turns desired workloads, reports of workers and free capacity into events.

    The cost of a pass depends on the changes since the last pass, not on the size of
    the shard. ``grants`` is ``None`` until the owner sets it.
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
        """The shard's state, including decisions that are not committed yet."""
        return self.decisions.state

    def explain_waiting(self, workload: str) -> PlacementFailure | None:
        """Return why tasks of a workload wait for a worker, ``None`` if none waits."""
        return self.placer.explain_waiting(workload)

    @property
    def reservations(self) -> ReservationTable:
        """The capacity that is reserved for gangs; read-only."""
        return self._backlog.pass_state.reservations

    def restore(self, state: ShardState) -> None:
        """Start from a recovered state; call this before the first ``set_workers``."""
        self.decisions.restore(state)

    def set_workers(self, workers: list[Instance]) -> None:
        """Update the cell to the platform's current list of the shard's workers."""
        listed = set()
        for worker in workers:
            listed.add(worker.name)
            self._update_worker(worker)
        if len(listed) < len(self.cell):
            self._remove_unlisted(listed)

    def _update_worker(self, worker: Instance) -> None:
        """Add a listed worker or update the one that is known."""
        name = worker.name
        known = self.cell.has_worker(name)
        resized = known and self.cell.worker(name).capacity != worker.capacity
        if resized and not self.state.list_attempts(name):
            self.decisions.remove_worker(name)
            known = resized = False
        if not known:
            self.decisions.add_worker(worker)
            self.set_exclusion(name, "draining", name in self._drained_workers)
        # A worker whose capacity changed is drained before the new capacity applies.
        leaving = worker.leaving or resized or name in self._leaving_workers
        self.set_exclusion(name, "leaving", leaving)

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Remove workers that are no longer listed, after draining their attempts."""
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
        """Apply the cell-wide rules that operators have declared."""
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
        """Return by team the quota grants that the waiting work could use."""
        return compute_quota_demands(self.decisions, self._backlog)

    def count_waiting(self) -> int:
        """Return the number of tasks that wait for a worker."""
        return len(self._backlog)

    def list_blocked(self) -> list[tuple[QueueEntry, WorkloadState]]:
        """Return the workloads that wait for capacity, without those over a quota."""
        blocked = []
        for entry in self._backlog.list_entries():
            if self.placer.is_short_of_capacity(entry.workload.name):
                state = self.state.workloads[entry.workload.name]
                blocked.append((entry, state))
        return blocked

    def set_capacities(self, capacities: CellCapacities) -> None:
        """Set the capacities of the workers of the whole cell."""
        if capacities != self._capacities:
            self._capacities = capacities
            self._mark_waiting_unreported()

    def _mark_waiting_unreported(self) -> None:
        """Have the status of all waiting workloads reported again.

        A change of capacities or quotas may have made some of them impossible.
        """
        self.state.unreported_workloads.update(self.placer.list_deferred_workloads())

    def describe_workload(self, state: WorkloadState) -> dict[str, Any]:
        """Return the status document of a workload that the shard reports.

        To the counts it adds whether the workload can never run, and a message for
        operators on why tasks wait.
        """
        status = state.make_status()
        impossible = ""
        if state.ready:
            team = self._rules.teams.get(state.team)
            quota = team.quota if team else None
            impossible = explain_impossible(state.resource, self._capacities, quota)
        failure = self.placer.explain_waiting(state.workload)
        status["impossible"] = bool(impossible)
        status["message"] = explain_waiting_work(state, failure, impossible)
        return status

    def update_quarantine(self) -> None:
        """Quarantine workers that fail tasks which succeed elsewhere, or release them.

        The cell's quarantine limit is divided among its shards.
        """
        counts = {}
        for shard, capacities in self._capacities.by_shard.items():
            counts[shard] = len(capacities)
        allowed = compute_quarantine_limit(
            counts, self._rules.quarantine_share, self._shard
        )
        self._failures.update_quarantine(allowed, self._clock.now())

    def move_drained_tasks(self) -> None:
        """Record the next moves of tasks off workers that are drained or leaving."""
        self._drainer.move_tasks(self._clock.now())

    def set_exclusion(self, worker: str, reason: str, applies: bool) -> None:
        """Set or clear one reason for which a worker receives no new tasks."""
        self.decisions.set_exclusion(worker, reason, applies)

    def reconcile(self, desired: list[DesiredWorkload], now: float) -> None:
        """Add, update and cancel workloads until the shard has just the desired ones.

        ``now`` is in UTC seconds.
        """
        names = {item.workload for item in desired}
        for workload, state in self.state.workloads.items():
            if workload not in names and not state.removed:
                self.cancel_workload(workload)
        for item in desired:
            self.declare_workload(item, now)

    def declare_workload(self, item: DesiredWorkload, now: float) -> None:
        """Add a workload, or update its declaration; ``now`` is in UTC seconds."""
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
        """Stop placing tasks of a workload; ``remove_cancelled`` removes it later."""
        state = self.state.workloads.get(workload)
        if state is not None and not state.removed:
            self._backlog.cancel(workload)

    def remove_cancelled(self, limit: int = MAX_TASKS_REMOVED_PER_PASS) -> bool:
        """Remove cancelled workloads of about ``limit`` tasks; true if some are left.

        The limit keeps the cancellation of many workloads from delaying placement.
        """
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
        """Bind about ``limit`` waiting tasks; true if more may be placed at once."""
        now = self._clock.now()
        self.state.make_delayed_ready(now.timestamp())
        return self.placer.place(limit, now)

    def handle_report(self, worker: str, report: WorkerReport) -> list[str]:
        """Apply a worker's report; return the attempts whose end was known already.

        The worker can be told at once not to report these ends again. The others may
        be acknowledged only after their ``AttemptEnded`` is committed.
        """
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
        """Update whether a worker reports that it is leaving.

        The exclusion itself is lifted by the next list of workers.
        """
        if leaving:
            self._leaving_workers.add(worker)
            self.set_exclusion(worker, "leaving", True)
        else:
            self._leaving_workers.discard(worker)

    def _acknowledge(self, attempt: Attempt) -> None:
        """Mark an attempt as running and retire the task that it replaces."""
        state = self.state.workloads[attempt.workload]
        task = state.tasks[attempt.index]
        state.mark_acknowledged(task, attempt)
        self._failures.record_start(state, attempt)
        self.state.unreported_workloads.add(attempt.workload)
        replaced = get_replaced_index(attempt.index)
        if task.standby and replaced in state.tasks:
            self.decisions.record_event(TaskRetired(attempt.workload, replaced))

    def _record_end(self, worker: str, end: AttemptEnd) -> bool:
        """Record the end of an attempt; false if it was known or never bound there."""
        attempt = self._find_attempt(end.attempt)
        if attempt is None or attempt.worker != worker:
            return False
        cause = self._usage.remove_attempt(attempt.name)
        if cause and end.outcome == "stopped":
            # The attempt was evicted for its own memory use or crashes: a failure.
            end = evolve(end, outcome="failed", reason=cause)
        now = self._clock.now()
        if self._failures.is_lost_by_itself(attempt, end.outcome, now):
            cause = "its workers restarted while they ran it"
            end = evolve(end, outcome="failed", reason=cause)
        state = self.state.workloads[attempt.workload]
        retry_at = self._failures.record_end(state, attempt, end, now)
        self.decisions.end_attempt(attempt, end.outcome, end, retry_at)
        return True

    def end_lapsed(self, attempt: Attempt) -> None:
        """Record the end of an attempt whose lease has certainly lapsed."""
        self._usage.remove_attempt(attempt.name)
        self.decisions.end_attempt(attempt, "lapsed")

    def _find_attempt(self, name: str) -> Attempt | None:
        """Return the attempt that a worker names, ``None`` if it is not known."""
        try:
            return self.state.find_attempt(*parse_attempt_name(name))
        except ValueError:
            return None

    def compose_exchange(
        self, worker: str, now: float, acknowledged: tuple[str, ...]
    ) -> WorkerExchange:
        """Return the next exchange for a worker; ``now`` is in UTC seconds.

        ``acknowledged`` names the attempts whose end need not be reported again.
        """
        return compose_exchange(
            self.state,
            self._terms,
            worker,
            now,
            acknowledged,
            self._usage.throttled_attempts,
        )
