"""What an executor remembers of the assignments that it has, or had lately."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread.jobs.messages import RunsRemembered, WatchUpstream
from almondspread.jobs.possible_runs import PossibleRuns
from almondspread.jobs.submissions import TaskId

# By then each leader knows in another way what an upstream may run: it has reported, or
# its leases have expired.
RETENTION = timedelta(seconds=30)


@define(frozen=True)
class _Ended:
    """An assignment that has ended, as its agent knew it; both parts still change."""

    watch: WatchUpstream
    runs: PossibleRuns
    leases: LeaseRenewal
    ended_at: timedelta


@define(eq=False)
class AssignmentMemory:
    """Keeps what is known of assignments that have ended, for ``RETENTION``.

    One assignment may have had several agents, one after another.
    """

    clock: Clock
    _ended: list[_Ended] = field(factory=list)

    def keep(
        self, watch: WatchUpstream, runs: PossibleRuns, leases: LeaseRenewal
    ) -> None:
        """Keep what the agent of an assignment knows that ends now.

        A leader of an earlier release numbers none, and asks for none.
        """
        now = self.clock.monotonic()
        kept = []
        for each in self._ended:
            if now - each.ended_at < RETENTION and each.runs is not runs:
                kept.append(each)
        if watch.assignment:
            kept.append(_Ended(watch, runs, leases, now))
        self._ended = kept

    def describe_all(self) -> Iterator[RunsRemembered]:
        """Yield a message for each assignment of which the possible runs are known."""
        by_assignment: dict[int, list[_Ended]] = {}
        for each in self._ended:
            by_assignment.setdefault(each.watch.assignment, []).append(each)
        for agents in by_assignment.values():
            message = _describe(agents, self.clock.monotonic())
            if message is not None:
                yield message


def _describe(agents: list[_Ended], now: timedelta) -> RunsRemembered | None:
    """Return what all agents of one assignment know together."""
    found: set[TaskId] = set()
    for agent in agents:
        tasks = agent.runs.list_tasks()
        if tasks is None:
            return None
        found.update(tasks)
    expiry = max(agent.leases.expiry for agent in agents)
    has_restarted = any(agent.leases.has_restarted for agent in agents)
    watch = agents[0].watch
    upstream = "" if has_restarted else watch.upstream
    lapse_in = max(timedelta(0), expiry - now)
    return RunsRemembered(upstream, watch.assignment, tuple(found), lapse_in)
