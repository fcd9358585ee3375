"""What the executors of a fake cell remember, by the number of the assignment."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.messages import (
    RunId,
    RunsRemembered,
    StartRun,
    StopRun,
    WatchUpstream,
)
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.possible_runs import PossibleRuns


@define(eq=False)
class ExecutorMemories:
    """The possible runs of each assignment whose executor has not been lost.

    A start that is delivered late does not expire here, so that it counts as possible
    until an answer shows it or a stop of it was answered.
    """

    runs: dict[int, PossibleRuns] = field(factory=dict)
    _upstreams: dict[int, str] = field(factory=dict)

    def begin(self, order: WatchUpstream) -> None:
        """Begin an assignment with what its order tells."""
        memory = PossibleRuns()
        if order.knows_runs:
            memory.adopt(order.confirmed_runs, order.unconfirmed_runs)
        self.runs[order.assignment] = memory
        self._upstreams[order.assignment] = order.upstream

    def forget(self, assignment: int) -> None:
        """Lose the executor of an assignment with all that it remembers."""
        self.runs.pop(assignment, None)

    def record_answer(self, assignment: int, answer: RenewAnswer) -> None:
        """Record an answer of the upstream to its present executor."""
        if assignment in self.runs:
            self.runs[assignment].record_answer(answer)

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

    def describe_all(self, lapse_in: timedelta) -> Iterator[RunsRemembered]:
        """Yield what the executors tell a new leader, with one time for all leases."""
        for assignment, memory in self.runs.items():
            tasks = memory.list_tasks()
            if tasks is not None:
                upstream = self._upstreams[assignment]
                yield RunsRemembered(upstream, assignment, tasks, lapse_in)
