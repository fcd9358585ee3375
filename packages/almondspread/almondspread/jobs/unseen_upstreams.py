"""Upstreams that may run tasks of an earlier leader, and what is known of them.

Their executors tell a new leader which tasks these are. Of an executor that is lost,
the leader knows when the leases have expired that it may have renewed.
"""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.leases import compute_longest_lease_time
from almondspread.jobs.messages import Assignment, RunsRemembered, UpstreamEntry
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.upstreams import Upstream


@define(frozen=True)
class RememberedRuns:
    """The tasks that an upstream may run, and when its leases have expired.

    The leases are those of the incarnation ``upstream``; a later one may have others.
    """

    upstream: str
    tasks: frozenset[TaskId]
    lapse_at: timedelta


@define(eq=False)
class UnseenUpstreams:
    """The ``names`` of upstreams that have not reported to this leader yet.

    Their leases have not expired. ``_remembered`` has what executors have told, by the
    number of the assignment.
    """

    cell_state: CellState
    names: set[str] = field(factory=set)
    _remembered: dict[int, RememberedRuns] = field(factory=dict)

    def inherit(
        self, entry: UpstreamEntry, lapse: timedelta, assignment: Assignment
    ) -> None:
        """Add an upstream on which an earlier leader may have started runs.

        Unless the upstream reports, its leases expire at ``lapse``. All starts that it
        may have got since it last reported went through the executor of ``assignment``,
        and nobody else has renewed its leases.
        """
        upstream = Upstream(entry, listed=False)
        upstream.inherited_leases_until = lapse
        upstream.inherited_assignment = assignment
        self.cell_state.add_upstream(upstream)
        self.names.add(entry.name)
        self._apply_remembered(upstream)

    def record_remembered(self, message: RunsRemembered, now: timedelta) -> None:
        """Record what an executor remembers of an assignment.

        It counts for each unseen upstream that was assigned so when the earlier leader
        ended; the leader may not have loaded these yet.
        """
        if not message.assignment:
            return
        self._remembered[message.assignment] = RememberedRuns(
            message.upstream, frozenset(message.tasks), now + message.lapse_in
        )
        for name in self.names:
            self._apply_remembered(self.cell_state.upstreams[name])

    def _apply_remembered(self, upstream: Upstream) -> None:
        """Let the leases of an unseen upstream expire when its executor says so.

        No other executor has renewed them since: the store names the last one, and
        those of this leader renew none before the upstream has answered.
        """
        remembered = self._find_remembered(upstream.name)
        if remembered is None or upstream.heard_at:
            return
        if remembered.upstream == upstream.name:
            upstream.inherited_leases_until = remembered.lapse_at

    def find_possible_tasks(self, name: str) -> frozenset[TaskId] | None:
        """Return which tasks an unseen upstream may run, ``None`` if it may be any."""
        remembered = self._find_remembered(name)
        return remembered.tasks if remembered is not None else None

    def _find_remembered(self, name: str) -> RememberedRuns | None:
        """Return what the last executor of an unseen upstream remembers of it."""
        upstream = self.cell_state.upstreams.get(name)
        if upstream is None or name not in self.names:
            return None
        return self._remembered.get(upstream.inherited_assignment.number)

    def record_process(
        self, instance: str, process: str, lease: timedelta, now: timedelta
    ) -> None:
        """Record which process of an instance runs now.

        An earlier one has ended, so that it renews no lease any more. The last
        ``lease`` that it renewed for an unseen upstream is over soon.
        """
        expiry = now + compute_longest_lease_time(lease)
        for name in self.names:
            upstream = self.cell_state.upstreams[name]
            executor = upstream.inherited_assignment
            if not executor.process or upstream.heard_at:
                continue
            if executor.instance == instance and executor.process != process:
                upstream.inherited_leases_until = min(
                    upstream.inherited_leases_until, max(expiry, executor.until)
                )

    def find_stored_assignment(self, upstream: Upstream) -> Assignment:
        """Return the assignment that the store has to name for the next leader.

        As long as an unseen upstream has not answered, nothing has been started or
        renewed there under this leader. Its first answer may not be applied yet.
        """
        if upstream.name in self.names and not upstream.heard_at:
            return upstream.inherited_assignment
        return upstream.assignment
