"""The ends of upstreams: what is lost with them, and what their next one may have.

Nothing else ends the runs of an upstream but its own reports.
"""

from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.crashes import (
    MAX_LOGGED_TASKS,
    CrashTracker,
    format_task,
    log_loss,
)
from almondspread.jobs.leases import DEFAULT_MAX_LEASE, compute_longest_lease_time
from almondspread.jobs.messages import (
    LOST,
    RunEnd,
    UnwatchUpstream,
    UpstreamRestarted,
)
from almondspread.jobs.runs import RunControl
from almondspread.jobs.unseen_upstreams import UnseenUpstreams
from almondspread.jobs.upstreams import Upstream


@define(eq=False)
class UpstreamLosses:
    """Records that upstreams have ended, and passes on what may not have ended.

    ``max_lease`` is the longest lease that an upstream grants.
    """

    cell_state: CellState
    control: RunControl
    crashes: CrashTracker
    unseen: UnseenUpstreams
    max_lease: timedelta = DEFAULT_MAX_LEASE

    def hand_over_runs(self, name: str, now: timedelta) -> None:
        """Have the next incarnation of an upstream show which runs have reached it.

        A start may have arrived there instead, as it has the same identity. An
        upstream with another identity would have refused it.
        """
        upstream = self.cell_state.upstreams[name]
        successor = self.cell_state.find_successor(upstream)
        if successor is None:
            return
        lapse = max(
            upstream.leases_until, now + compute_longest_lease_time(self.max_lease)
        )
        if name in self.unseen.names:
            self.unseen.names.add(successor.name)
            successor.inherited_leases_until = lapse
            # The end of the executor's process tells nothing of a late start's lease.
            successor.inherited_assignment = evolve(
                upstream.inherited_assignment, process=""
            )
        doubtful = self._list_doubtful(upstream)
        if not doubtful:
            return
        logger.info(
            "runs counted for the next incarnation",
            upstream=name,
            successor=successor.name,
            runs=[
                f"{format_task(run.task)} run {run.number}"
                for run in doubtful[:MAX_LOGGED_TASKS]
            ],
            lapse_in=(lapse - now).total_seconds(),
        )
        successor.extend_orphaned_leases(lapse)
        self.crashes.record_loss(upstream, doubtful, now)
        for run in doubtful:
            progress = self.control.job_table.find_step(run)
            self.cell_state.move_run(progress, run, successor, now)
            if run.phase is RunPhase.STOPPING:
                self.control.stop(run, now)

    def _list_doubtful(self, upstream: Upstream) -> list[Run]:
        """Return the runs that another incarnation of an upstream may have.

        Where the start of the upstream was not known, it may be the same incarnation.
        """
        doubtful = []
        for run in self.cell_state.list_runs(upstream.name):
            if run.may_be_elsewhere or upstream.entry.started_at is None:
                doubtful.append(run)
        return doubtful

    def mark_lost(self, name: str, now: timedelta, reason: str) -> None:
        """Record all runs of an upstream as lost; none of them can still run."""
        runs = self.cell_state.list_runs(name)
        if runs or name in self.unseen.names:
            log_loss(name, self.cell_state.upstreams.get(name), runs, reason)
        self.unseen.names.discard(name)
        upstream = self.cell_state.upstreams.get(name)
        if upstream is not None:
            self.crashes.record_loss(upstream, runs, now)
        self._record_lost_runs(runs, name, now)
        if upstream is not None and not upstream.listed:
            self.remove(name)

    def _record_lost_runs(self, runs: list[Run], name: str, now: timedelta) -> None:
        """Record runs as lost with their upstream."""
        for run in runs:
            self.control.record_end(RunEnd(0, run.task, run.number, LOST), name, now)

    def remove(self, name: str) -> None:
        """Remove an upstream, and have its executor stop watching it."""
        self.cell_state.upstreams.pop(name, None)
        self.unseen.names.discard(name)
        self.control.orders.append(UnwatchUpstream(name))

    def record_machine_down(self, name: str, now: timedelta) -> None:
        """Record that an upstream has ended with its machine.

        A start that it has not shown may have reached the next incarnation, under the
        same identity; such a run counts until an executor hears more.
        """
        upstream = self.cell_state.upstreams.get(name)
        if upstream is None:
            return
        doubtful = self._list_doubtful(upstream)
        if not doubtful:
            upstream.has_reported = False
            upstream.lapse_at = now
            self.mark_lost(name, now, "maintenance")
            return
        runs = self.cell_state.list_runs(name)
        lost = [run for run in runs if run not in doubtful]
        log_loss(name, upstream, lost, "maintenance")
        self.crashes.record_loss(upstream, lost, now)
        self._record_lost_runs(lost, name, now)

    def handle_restart(self, restart: UpstreamRestarted, now: timedelta) -> None:
        """Record that another incarnation of an upstream answers.

        The runs that the earlier one has shown are lost. The others may have reached
        the later one, which takes them over as soon as it is listed; otherwise they
        count until its leases have certainly expired.
        """
        upstream = self.cell_state.upstreams.get(restart.upstream)
        if upstream is None or restart.epoch != self.cell_state.epoch:
            return
        upstream.last_observed_at = now
        if upstream.has_restarted:
            return
        upstream.has_restarted = True
        upstream.has_reported = False
        # Its executor has fenced what answers now under the next token.
        upstream.generation = self.cell_state.incarnations.begin_generation(
            upstream.entry.identity
        )
        runs = self.cell_state.list_runs(upstream.name)
        log_loss(upstream.name, upstream, runs, "restarted")
        self.crashes.record_loss(upstream, runs, now)
        doubtful = self._list_doubtful(upstream)
        lost = [run for run in runs if run not in doubtful]
        self._record_lost_runs(lost, upstream.name, now)
        # Kept apart from ``lapse_at``, which a late answer of the earlier one ends.
        upstream.extend_orphaned_leases(
            now + compute_longest_lease_time(self.max_lease)
        )
        upstream.lapse_at = upstream.leases_until
