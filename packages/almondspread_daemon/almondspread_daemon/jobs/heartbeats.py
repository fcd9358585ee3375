"""The heartbeats of a leader to its members."""

from attrs import evolve

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.assignments import Assignments, is_unresponsive
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.intake import JobIntake
from almondspread_daemon.jobs.link_messages import Beat, QueueLoads
from almondspread_daemon.jobs.links import SharedMessage
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.store_access import StoreAccess

# One in so many messages tells the sizes of services, which hardly ever change.
SIZES_EVERY = 10


class LeaderHeartbeats:
    """Tells the members what the leader of one epoch can do and knows."""

    def __init__(
        self,
        scheduler: Scheduler,
        assignments: Assignments,
        committer: Committer,
        intake: JobIntake,
        store: StoreAccess,
        exchange: OperatorExchange,
        clock: Clock,
    ) -> None:
        self._scheduler = scheduler
        self._assignments = assignments
        self._committer = committer
        self._intake = intake
        self._store = store
        self._exchange = exchange
        self._clock = clock
        self._sent = 0

    def send(self) -> None:
        """Send all members a heartbeat."""
        beat = self._make()
        shared = SharedMessage(beat)
        shared_without_lease = SharedMessage(evolve(beat, lease_until=None))
        now = self._clock.monotonic()
        for member in self._assignments.members.members.values():
            if is_unresponsive(member, now):
                # Should it be lost, its leases end sooner if it is told no more.
                member.send(shared_without_lease)
                continue
            member.record_told(self._committer.lease_until)
            member.send(shared)

    def send_to(self, instance: str) -> None:
        """Send one member a heartbeat."""
        member = self._assignments.members.members.get(instance)
        if member is not None:
            member.record_told(self._committer.lease_until)
            member.send(self._make())

    def _make(self) -> Beat:
        """Return a heartbeat with what the leader can do and knows now."""
        beat = Beat(
            self._committer.lease_holds,
            self._intake.is_caught_up(),
            self._store.is_unavailable,
            member_address=self._assignments.members.name_next_address(),
            lease_until=self._committer.lease_until.total_seconds(),
        )
        return self._exchange.stamp(beat)

    def send_with_loads(self) -> None:
        """Send all members a heartbeat and the waits that new jobs have to expect."""
        loads = self._scheduler.estimate_loads(
            self._clock.monotonic(),
            max(1, len(self._assignments.members.members)),
            with_sizes=self._sent % SIZES_EVERY == 0,
        )
        self._sent += 1
        message = QueueLoads(
            loads.waits, loads.rooms, loads.exceeded, loads.instances, loads.sizes
        )
        self.send()
        self._assignments.broadcast(message)
