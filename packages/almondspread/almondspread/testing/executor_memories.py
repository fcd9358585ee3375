"""What the executors of a fake cell know, by the number of the assignment."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread.jobs.messages import (
    RunId,
    RunsRemembered,
    StartRun,
    StopRun,
    WatchUpstream,
)
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.possible_runs import PossibleRuns

LEASE = timedelta(seconds=6)


@define(eq=False)
class ExecutorMemories:
    """The possible runs of each assignment whose executor has not been lost.

    ``leases`` has how far each executor has renewed leases, and may renew them. A start
    that is delivered late does not expire here, so that it counts as possible until an
    answer shows it or a stop of it was answered.
    """

    runs: dict[int, PossibleRuns] = field(factory=dict)
    leases: dict[int, LeaseRenewal] = field(factory=dict)
    _upstreams: dict[int, str] = field(factory=dict)
    _answered: set[int] = field(factory=set)

    def watch(self, order: WatchUpstream, now: timedelta) -> None:
        """Begin an assignment with what its order tells, or apply a later order."""
        leases = self.leases.get(order.assignment)
        if leases is None:
            memory = PossibleRuns()
            if order.knows_runs:
                memory.adopt(order.confirmed_runs, order.unconfirmed_runs)
            self.runs[order.assignment] = memory
            self._upstreams[order.assignment] = order.upstream
            leases = LeaseRenewal(LEASE, now, order.leases_left, order.orphaned_left)
            leases.set_limit(now)
            self.leases[order.assignment] = leases
        if order.renews:
            leases.lift_limit()

    def forget(self, assignment: int) -> None:
        """Lose the executor of an assignment with all that it remembers."""
        self.runs.pop(assignment, None)

    def end_renewals(self, now: timedelta) -> None:
        """Have no executor renew leases any more under its present assignments."""
        for leases in self.leases.values():
            leases.set_limit(now)

    def renew(self, assignment: int, now: timedelta) -> timedelta | None:
        """Return until when an executor renews leases now, ``None`` if it may not."""
        leases = self.leases[assignment]
        lease = leases.choose_lease(now)
        leases.record_renewal(now)
        return now + lease if lease is not None else None

    def record_start(self, assignment: int, now: timedelta, lease: timedelta) -> None:
        """Record that an executor sends a start, which grants a lease."""
        if assignment in self.leases:
            self.leases[assignment].record_start(now, lease)

    def find_lapse(self, assignment: int, now: timedelta) -> timedelta:
        """Return in what time the leases have expired that an executor knows of."""
        return max(timedelta(0), self.leases[assignment].expiry - now)

    def record_answer(
        self, assignment: int, answer: RenewAnswer, now: timedelta
    ) -> None:
        """Record an answer of the upstream to its present executor."""
        if assignment in self.leases and assignment not in self._answered:
            self._answered.add(assignment)
            self.leases[assignment].record_first_answer(now)
        if assignment in self.runs:
            self.runs[assignment].record_answer(answer)

    def record_restart(self, assignment: int) -> None:
        """Record that an executor has met the next incarnation of its upstream."""
        if assignment in self.leases:
            self.leases[assignment].has_restarted = True

    def record_order(self, assignment: int, order: StartRun) -> None:
        """Record an order that has arrived at the present executor."""
        if assignment in self.runs:
            self.runs[assignment].record_order(RunId(order.task, order.run))

    def record_refusal(self, order: StartRun) -> None:
        """Record that an upstream has refused a start."""
        for memory in self.runs.values():
            memory.record_refusal(RunId(order.task, order.run))

    def record_stop(self, order: StopRun, now: timedelta) -> None:
        """Record that a stop was answered."""
        for memory in self.runs.values():
            memory.record_stop(RunId(order.task, order.run), now)

    def describe_all(self, now: timedelta) -> Iterator[RunsRemembered]:
        """Yield what the executors tell a new leader, with the expiry of the leases."""
        for assignment, memory in self.runs.items():
            tasks = memory.list_tasks()
            if tasks is not None:
                upstream = self._upstreams[assignment]
                if self.leases[assignment].has_restarted:
                    upstream = ""
                lapse_in = self.find_lapse(assignment, now)
                yield RunsRemembered(upstream, assignment, tasks, lapse_in)
