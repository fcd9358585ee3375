"""Tracking of upstreams: the leader's view of their entries, reports and leases.

The tracker handles the list of registered upstreams, the reports that executors forward
from upstreams, and upstreams that do not answer.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from attrs import define, evolve, field
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.crashes import CrashTracker, log_loss
from almondspread.jobs.leases import DEFAULT_MAX_LEASE, compute_longest_lease_time
from almondspread.jobs.messages import (
    LOST,
    AcknowledgeEnds,
    Assignment,
    RunEnd,
    RunId,
    RunSighting,
    RunsRemembered,
    UnwatchUpstream,
    UpstreamEntry,
    UpstreamReport,
    UpstreamRestarted,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.runs import RunControl
from almondspread.jobs.sightings import RunSightings
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.trials import end_trials
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
class UpstreamTracker:
    """Updates the upstreams and runs of the cell state from reports.

    ``unseen`` upstreams may run tasks of an earlier leader: they have not reported
    yet, and their leases have not expired. ``max_lease`` is the longest lease that an
    upstream grants, and ``lease`` the longest that an executor renews. ``_remembered``
    has what executors have told, by the number of the assignment.
    """

    cell_state: CellState
    control: RunControl
    crashes: CrashTracker
    max_lease: timedelta = DEFAULT_MAX_LEASE
    lease: timedelta = DEFAULT_MAX_LEASE
    unseen: set[str] = field(factory=set)
    _remembered: dict[int, RememberedRuns] = field(factory=dict)
    _acknowledged: dict[str, int] = field(factory=dict)
    _sightings: RunSightings = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._sightings = RunSightings(self.cell_state, self.control, self.crashes)

    def update_upstreams(
        self, entries: list[UpstreamEntry], now: timedelta, read_at: timedelta
    ) -> list[str]:
        """Replace the list of upstreams; return the names of the new ones."""
        entries = self.cell_state.choose_entries(entries, now)
        added, restarted = self.cell_state.update_upstreams(entries, now, read_at)
        for name in restarted:
            self._hand_over_runs(name, now)
            self._mark_upstream_lost(name, now, "replaced")
        for name, upstream in list(self.cell_state.upstreams.items()):
            if upstream.listed or upstream.bound or name in self.unseen:
                continue
            if upstream.is_usable(now):
                continue
            self._remove_upstream(name)
        self.crashes.resolve(entries, now)
        return added

    def inherit_upstream(
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
        self.unseen.add(entry.name)
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
        for name in self.unseen:
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
        if upstream is None or name not in self.unseen:
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
        for name in self.unseen:
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
        if upstream.name in self.unseen and not upstream.heard_at:
            return upstream.inherited_assignment
        return upstream.assignment

    def abandon_upstreams(
        self, names: set[str], until: timedelta, now: timedelta
    ) -> None:
        """Record the loss of the executor that holds the leases of some upstreams.

        The executor may renew the leases ``until`` that time. The upstreams get no new
        runs before they report through another executor.
        """
        for name in names:
            upstream = self.cell_state.upstreams.get(name)
            if upstream is None:
                continue
            upstream.executor_lost_at = now
            upstream.extend_orphaned_leases(until)
            upstream.has_reported = False
            for run in self.cell_state.list_runs(name):
                run.knows_pace = False
                if run.phase is RunPhase.STARTING:
                    self.control.mark_unsettled(run, now)

    def update_unresponsive(self, names: set[str]) -> None:
        """Set which upstreams get no runs because their executors miss heartbeats."""
        for name, upstream in self.cell_state.upstreams.items():
            upstream.executor_unresponsive = name in names

    def list_watched(self) -> list[Upstream]:
        """Return the upstreams whose runs or ends the next leader must query.

        An end that is not acknowledged may not be stored, so that only its upstream
        would tell the next leader of it.
        """
        kept = self.unseen | self.find_unacknowledged_ends().keys()
        return self.cell_state.list_watched(kept)

    def _hand_over_runs(self, name: str, now: timedelta) -> None:
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
        if name in self.unseen:
            self.unseen.add(successor.name)
            successor.inherited_leases_until = lapse
            # The end of the executor's process tells nothing of a late start's lease.
            successor.inherited_assignment = evolve(
                upstream.inherited_assignment, process=""
            )
        doubtful = self._list_doubtful(upstream)
        if not doubtful:
            return
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

    def _mark_upstream_lost(self, name: str, now: timedelta, reason: str) -> None:
        """Record all runs of an upstream as lost; none of them can still run."""
        runs = self.cell_state.list_runs(name)
        if runs or name in self.unseen:
            log_loss(name, self.cell_state.upstreams.get(name), runs, reason)
        self.unseen.discard(name)
        upstream = self.cell_state.upstreams.get(name)
        if upstream is not None:
            self.crashes.record_loss(upstream, runs, now)
        self._record_lost_runs(runs, name, now)
        if upstream is not None and not upstream.listed:
            self._remove_upstream(name)

    def _record_lost_runs(self, runs: list[Run], name: str, now: timedelta) -> None:
        """Record runs as lost with their upstream."""
        for run in runs:
            self.control.record_end(RunEnd(0, run.task, run.number, LOST), name, now)

    def _remove_upstream(self, name: str) -> None:
        """Remove an upstream, and have its executor stop watching it."""
        self.cell_state.upstreams.pop(name, None)
        self.unseen.discard(name)
        self._acknowledged.pop(name, None)
        self.control.orders.append(UnwatchUpstream(name))

    def handle_silence(self, silence: UpstreamSilent, now: timedelta) -> None:
        """Record that an upstream does not answer, and when its leases have expired."""
        upstream = self.cell_state.upstreams.get(silence.upstream)
        if silence.epoch != self.cell_state.epoch:
            return
        if silence.replaced:
            self._mark_upstream_lost(silence.upstream, now, "replaced")
            if upstream is not None:
                upstream.has_reported = False
                upstream.lapse_at = now
            return
        if upstream is None:
            return
        upstream.last_observed_at = now
        if upstream.lapse_at is None:
            logger.warning(
                "upstream silent",
                upstream=upstream.name,
                lapse_in=silence.lapse_in.total_seconds(),
                runs=len(upstream.bound),
            )
            runs = self.cell_state.list_runs(upstream.name)
            self.crashes.record_silence(upstream, runs, now)
        if upstream.name in self.unseen and not upstream.heard_at:
            # Executors of this leader renew nothing before the first answer.
            upstream.lapse_at = upstream.inherited_leases_until
            return
        upstream.lapse_at = max(now + silence.lapse_in, upstream.leases_until)

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
            self._mark_upstream_lost(name, now, "maintenance")
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
        upstream.lapse_at = max(
            now + compute_longest_lease_time(self.max_lease), upstream.leases_until
        )

    def handle_report(self, report: UpstreamReport, now: timedelta) -> None:
        """Update the state of an upstream and its runs from a report.

        A report is ignored if it is of another epoch, if it mentions a job that may be
        stored but not read yet, or if the ends before its own are missing.
        """
        upstream = self.cell_state.upstreams.get(report.upstream)
        if upstream is None or report.epoch != self.cell_state.epoch:
            return
        upstream.record_answer(now, compute_longest_lease_time(self.lease))
        if self._mentions_unread_job(report, now):
            # For unknown jobs, neither the size of their runs nor their ends can be
            # applied yet. The upstream reports both again.
            return
        if report.after > upstream.ends_seen:
            self._request_missing_ends(upstream, now)
            return
        if upstream.lapse_at is not None:
            self._record_answer(upstream)
        for end in report.ends:
            if end.number <= self._acknowledged.get(upstream.name, 0):
                # The acknowledgement has been lost, perhaps with its executor.
                self._acknowledged[upstream.name] = end.number - 1
            if end.number <= upstream.ends_seen:
                continue
            upstream.ends_seen = end.number
            self.crashes.record_end(end)
            self.control.record_end(end, upstream.name, now)
        if report.running is not None:
            self._update_runs(report, report.running, upstream, now)

    def _request_missing_ends(self, upstream: Upstream, now: timedelta) -> None:
        """Request all ends again, as none may be acknowledged while some are missing.

        While some jobs are not loaded, the request would be in vain.
        """
        if not self.control.job_table.is_complete:
            return
        self.control.orders.append(self.make_watch_order(upstream, now))

    def _knows_runs(self, upstream: Upstream) -> bool:
        """Tell whether the bound runs are all that an upstream may run or list.

        An end that is not acknowledged may not be stored, and has no bound run.
        """
        if upstream.name in self.unseen:
            return False
        return upstream.ends_seen <= self._acknowledged.get(upstream.name, 0)

    def make_watch_order(self, upstream: Upstream, now: timedelta) -> WatchUpstream:
        """Return the order to watch an upstream, with the runs bound to it."""
        confirmed = []
        unconfirmed = []
        for run in self.cell_state.list_runs(upstream.name):
            run_id = RunId(run.task, run.number)
            if run.is_confirmed:
                confirmed.append(run_id)
            else:
                unconfirmed.append(run_id)
        return WatchUpstream(
            upstream.name,
            upstream.entry.address,
            self.cell_state.epoch,
            self.cell_state.find_fencing_token(upstream),
            upstream.assignment.number,
            self._knows_runs(upstream),
            tuple(confirmed),
            tuple(unconfirmed),
            max(timedelta(0), upstream.leases_until - now),
            upstream.recorded,
            max(timedelta(0), upstream.orphaned_leases_until - now),
        )

    def _record_answer(self, upstream: Upstream) -> None:
        """Record that an upstream that was silent answers again."""
        logger.info("upstream answers again", upstream=upstream.name)
        upstream.lapse_at = None
        upstream.has_restarted = False
        # The store may still tell the next leader that the leases have expired.
        upstream.recorded = False
        self.crashes.record_answer(upstream.name)

    def _update_runs(
        self,
        report: UpstreamReport,
        running: Sequence[RunSighting],
        upstream: Upstream,
        now: timedelta,
    ) -> None:
        """Update the runs of an upstream from a report of all that it runs.

        As long as it does not list all ends, the runs that it does not show may have
        ended: nothing more is known of them than before.
        """
        self._sightings.update_running(upstream, running, now)
        end_trials(upstream, self.cell_state.runs, now)
        upstream.executor_lost_at = None
        if report.lists_all_ends:
            self._sightings.end_absent_runs(upstream, running, report.number, now)
        if report.lists_all_ends and not upstream.has_reported:
            upstream.has_reported = True
            self.unseen.discard(upstream.name)
            logger.info(
                "upstream reported its runs",
                upstream=upstream.name,
                epoch=self.cell_state.epoch,
            )
        self._sightings.adjust_paces(upstream, now)

    def _mentions_unread_job(self, report: UpstreamReport, now: timedelta) -> bool:
        """Tell whether a report mentions a job that may be stored but not read yet.

        All mentions are recorded, so that they wait for the same read.
        """
        found = False
        rows: list[RunSighting | RunEnd] = [*report.ends, *(report.running or ())]
        for row in rows:
            if self.control.job_table.record_mention(row.task.job, now):
                found = True
        return found

    def update_recorded(self, assignments: Mapping[str, int], now: timedelta) -> None:
        """Set which upstreams the store records as ones that may run tasks.

        It names each with the assignment whose executor sends its starts, and may renew
        its leases from then on.
        """
        for name, upstream in self.cell_state.upstreams.items():
            was_recorded = upstream.recorded
            upstream.recorded = assignments.get(name) == upstream.assignment.number
            if upstream.recorded and not was_recorded:
                self.control.orders.append(self.make_watch_order(upstream, now))

    def list_stale_upstreams(self, now: timedelta, patience: timedelta) -> list[str]:
        """Return the upstreams without any report for longer than ``patience``.

        Each is returned at most once per ``patience``.
        """
        found = []
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.last_observed_at is None:
                upstream.last_observed_at = now
            elif now - upstream.last_observed_at > patience:
                upstream.last_observed_at = now
                found.append(name)
        return found

    def has_unrecorded_upstreams(self) -> bool:
        """Tell whether an upstream may run tasks once the store records it."""
        for upstream in self.cell_state.upstreams.values():
            if upstream.has_reported and upstream.listed and not upstream.recorded:
                if upstream.lapse_at is None and not upstream.entry.draining:
                    return True
        return False

    def forget_stop_answers(self, name: str) -> None:
        """Have all stops on an upstream sent again, through its new executor."""
        for run in self.cell_state.list_runs(name):
            run.conclusive_report = None

    def expire_leases(self, now: timedelta) -> None:
        """Mark the upstreams whose leases have expired as lost."""
        for name, upstream in list(self.cell_state.upstreams.items()):
            if upstream.lapse_at is None or now < upstream.lapse_at:
                continue
            if upstream.bound or name in self.unseen:
                self._mark_upstream_lost(name, now, "lapsed")

    def find_unacknowledged_ends(self) -> dict[str, int]:
        """Return the number of the newest unacknowledged end of each upstream."""
        ends: dict[str, int] = {}
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.ends_seen > self._acknowledged.get(name, 0):
                ends[name] = upstream.ends_seen
        return ends

    def acknowledge_ends(self, ends: dict[str, int]) -> None:
        """Acknowledge to each upstream its ends up to a number, which are stored."""
        for name, number in ends.items():
            if name in self.cell_state.upstreams:
                self._acknowledged[name] = number
                self.control.orders.append(AcknowledgeEnds(name, number))
