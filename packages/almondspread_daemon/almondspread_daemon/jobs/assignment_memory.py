"""What an executor remembers of the assignments that it has, or had lately."""

from collections.abc import Iterator
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.jobs.messages import RunsRemembered, WatchUpstream
from almondspread.jobs.possible_runs import PossibleRuns
from almondspread_daemon.jobs.lease_renewal import LeaseRenewal

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
    """Keeps what is known of assignments that have ended, for ``RETENTION``."""

    clock: Clock
    _ended: dict[int, _Ended] = field(factory=dict)

    def keep(
        self, watch: WatchUpstream, runs: PossibleRuns, leases: LeaseRenewal
    ) -> None:
        """Keep what is known of an assignment that ends now.

        A leader of an earlier release numbers none, and asks for none.
        """
        if not watch.assignment:
            return
        now = self.clock.monotonic()
        for number, each in list(self._ended.items()):
            if now - each.ended_at >= RETENTION:
                del self._ended[number]
        self._ended.setdefault(watch.assignment, _Ended(watch, runs, leases, now))

    def describe_all(self) -> Iterator[RunsRemembered]:
        """Yield a message for each assignment of which the possible runs are known."""
        now = self.clock.monotonic()
        for number, each in self._ended.items():
            tasks = each.runs.list_tasks()
            if tasks is None:
                continue
            lapse_in = max(timedelta(0), each.leases.expiry - now)
            yield RunsRemembered(each.watch.upstream, number, tasks, lapse_in)
