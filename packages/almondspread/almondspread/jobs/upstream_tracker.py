"""Tracking of upstreams: the leader's view of their entries, reports and leases.

The tracker handles the list of registered upstreams, the reports that executors forward
from upstreams, and upstreams that do not answer.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.crashes import CrashTracker
from almondspread.jobs.leases import DEFAULT_MAX_LEASE, compute_longest_lease_time
from almondspread.jobs.messages import (
    AcknowledgeEnds,
    RunEnd,
    RunId,
    RunSighting,
    UpstreamEntry,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.runs import RunControl
from almondspread.jobs.sightings import RunSightings
from almondspread.jobs.trials import end_trials
from almondspread.jobs.unseen_upstreams import UnseenUpstreams
from almondspread.jobs.upstream_losses import UpstreamLosses
from almondspread.jobs.upstreams import Upstream


@define(eq=False)
class UpstreamTracker:
    """Updates the upstreams and runs of the cell state from reports.

    ``unseen`` upstreams may run tasks of an earlier leader. The longest lease that an
    upstream grants is ``max_lease``, and the longest that an executor renews ``lease``.
    """

    cell_state: CellState
    control: RunControl
    crashes: CrashTracker
    max_lease: timedelta = DEFAULT_MAX_LEASE
    lease: timedelta = DEFAULT_MAX_LEASE
    unseen: UnseenUpstreams = field(init=False)
    losses: UpstreamLosses = field(init=False)
    _sightings: RunSightings = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.unseen = UnseenUpstreams(self.cell_state)
        self.losses = UpstreamLosses(
            self.cell_state, self.control, self.crashes, self.unseen, self.max_lease
        )
        self._sightings = RunSightings(self.cell_state, self.control, self.crashes)

    def update_upstreams(
        self, entries: list[UpstreamEntry], now: timedelta, read_at: timedelta
    ) -> list[str]:
        """Replace the list of upstreams; return the names of the new ones."""
        entries = self.cell_state.choose_entries(entries, now)
        added, restarted = self.cell_state.update_upstreams(entries, now, read_at)
        for name in restarted:
            self.losses.hand_over_runs(name, now)
            self.losses.mark_lost(name, now, "replaced")
        for name, upstream in list(self.cell_state.upstreams.items()):
            if upstream.listed or upstream.bound or name in self.unseen.names:
                continue
            if upstream.is_usable(now):
                continue
            self.losses.remove(name)
        self.crashes.resolve(entries, now)
        return added

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
        kept = self.unseen.names | self.find_unacknowledged_ends().keys()
        return self.cell_state.list_watched(kept)

    def handle_silence(self, silence: UpstreamSilent, now: timedelta) -> None:
        """Record that an upstream does not answer, and when its leases have expired."""
        upstream = self.cell_state.upstreams.get(silence.upstream)
        if silence.epoch != self.cell_state.epoch:
            return
        if silence.replaced:
            self.losses.mark_lost(silence.upstream, now, "replaced")
            if upstream is not None:
                upstream.has_reported = False
                upstream.lapse_at = now
            return
        if upstream is None:
            return
        upstream.last_observed_at = now
        if upstream.has_restarted:
            # Its silence tells nothing of the next incarnation, which may have runs.
            return
        if upstream.lapse_at is None:
            logger.warning(
                "upstream silent",
                upstream=upstream.name,
                lapse_in=silence.lapse_in.total_seconds(),
                runs=len(upstream.bound),
            )
            runs = self.cell_state.list_runs(upstream.name)
            self.crashes.record_silence(upstream, runs, now)
        if upstream.name in self.unseen.names and not upstream.heard_at:
            # Executors of this leader renew nothing before the first answer.
            upstream.lapse_at = upstream.inherited_leases_until
            return
        upstream.lapse_at = max(now + silence.lapse_in, upstream.leases_until)

    def handle_report(self, report: UpstreamReport, now: timedelta) -> None:
        """Update the state of an upstream and its runs from a report.

        A report is ignored if it is of another epoch, if it mentions a job that may be
        stored but not read yet, or if the ends before its own are missing.
        """
        upstream = self.cell_state.upstreams.get(report.upstream)
        if upstream is None or report.epoch != self.cell_state.epoch:
            return
        if 0 < report.fencing_token < self.cell_state.find_fencing_token(upstream):
            # It was asked for before a restart, and comes late.
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
            if end.number <= upstream.ends_acknowledged:
                # The acknowledgement has been lost, perhaps with its executor.
                upstream.ends_acknowledged = end.number - 1
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
        if upstream.name in self.unseen.names:
            return False
        return upstream.ends_seen <= upstream.ends_acknowledged

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
            self.unseen.names.discard(upstream.name)
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
            if upstream.bound or name in self.unseen.names:
                self.losses.mark_lost(name, now, "lapsed")

    def find_unacknowledged_ends(self) -> dict[str, int]:
        """Return the number of the newest unacknowledged end of each upstream."""
        ends: dict[str, int] = {}
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.ends_seen > upstream.ends_acknowledged:
                ends[name] = upstream.ends_seen
        return ends

    def acknowledge_ends(self, ends: dict[str, int]) -> None:
        """Acknowledge to each upstream its ends up to a number, which are stored."""
        for name, number in ends.items():
            upstream = self.cell_state.upstreams.get(name)
            if upstream is not None:
                upstream.ends_acknowledged = number
                self.control.orders.append(AcknowledgeEnds(name, number))
