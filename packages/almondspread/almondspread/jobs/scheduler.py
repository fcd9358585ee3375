"""The job scheduler, which the leader of a cell runs.

The scheduler decides on which upstream each task runs, and tracks every run until it
ends. It is a deterministic state machine: it takes events and returns orders, does no
input or output, and gets the current time as an argument.
"""

from collections.abc import Collection, Mapping
from datetime import datetime, timedelta

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.crashes import CrashTracker
from almondspread.jobs.evacuation import choose_evacuations, may_stop_all
from almondspread.jobs.exceeded_rates import ExceededRates
from almondspread.jobs.expected_work import WorkspaceBounds
from almondspread.jobs.holds import (
    ANY_VERSION,
    NO_VERSION,
    StartHolds,
    group_by_step,
)
from almondspread.jobs.job_records import JobRecord
from almondspread.jobs.job_table import Announcement, JobTable
from almondspread.jobs.known_workspaces import KnownWorkspaces
from almondspread.jobs.leader_loads import estimate_loads
from almondspread.jobs.leases import DEFAULT_MAX_LEASE
from almondspread.jobs.load_estimate import Loads
from almondspread.jobs.loads import Load, count_held_tasks, measure_load
from almondspread.jobs.messages import (
    NO_ASSIGNMENT,
    AskPermits,
    Assignment,
    EpochFenced,
    ExecutorReport,
    PermitsAnswered,
    RunsRemembered,
    StartSettled,
    StopSettled,
    UpstreamEntry,
    UpstreamOrder,
    UpstreamReport,
    UpstreamRestarted,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.ordering import OVER_SHARE
from almondspread.jobs.pending_changes import ChangeQueue
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.runs import RunControl
from almondspread.jobs.share_tracker import ShareTracker
from almondspread.jobs.speeds import KindSpeed
from almondspread.jobs.starts import MAX_ENTRY_AGE, StartPlanner
from almondspread.jobs.stragglers import choose_stragglers
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.jobs.surplus_jobs import SurplusJobs
from almondspread.jobs.unseen_runs import UnseenRuns
from almondspread.jobs.upstream_tracker import UpstreamTracker
from almondspread.jobs.upstreams import Upstream
from almondspread.jobs.wait_reasons import HoldBounds, UnseenUpstream, WaitReason
from almondspread.jobs.wait_survey import explain_waits, find_silent
from almondspread.jobs.workspace_limits import WorkspaceLimits
from almondspread.jobs.workspace_loads import measure_workspaces

# Events trigger many scheduling passes a second; the scan of all runs for stragglers,
# evacuations and timeouts need not run in each of them.
SWEEP_INTERVAL = timedelta(milliseconds=100)


class Scheduler:
    """Schedules all jobs of the cell on its upstreams, for the leader of one epoch.

    Earlier leaders may have started jobs stored up to ``inherited_version``. A task
    that must not run twice waits while it may run on an upstream that is unseen. Where
    it is not known what that upstream may run, or while some jobs are not loaded, all
    such tasks of these jobs wait. An upstream is unseen until it reports or its leases
    expire, which last ``max_lease`` at the most. Executors renew one ``lease``.
    The scheduler starts a job stored later only once the store records that this leader
    may do so, because the next leader relies on that record to know which jobs may be
    running. Tasks take ``remote_factor`` times as long far from their data.
    """

    def __init__(
        self,
        epoch: int,
        configuration: Configuration,
        inherited_version: int = 0,
        max_entry_age: timedelta = MAX_ENTRY_AGE,
        max_lease: timedelta = DEFAULT_MAX_LEASE,
        lease: timedelta = DEFAULT_MAX_LEASE,
        remote_factor: float = 1.0,
    ) -> None:
        self.epoch = epoch
        self.inherited_version = inherited_version
        self._startable_version = NO_VERSION
        self._last_sweep = timedelta(0)
        self._lease_holds = True
        self.cell_state = CellState(epoch)
        self._control = RunControl(self.cell_state, remote_factor)
        self._job_table = JobTable(configuration, self._control.stop_runs)
        self._control.job_table = self._job_table
        self._upstream_tracker = UpstreamTracker(
            self.cell_state,
            self._control,
            CrashTracker(self._job_table),
            max_lease,
            lease,
        )
        self.changes = ChangeQueue(self._job_table, self._upstream_tracker)
        self._exceeded_rates = ExceededRates()
        unseen = UnseenRuns(
            self.cell_state,
            self._job_table,
            self._upstream_tracker.unseen,
            lambda: self.inherited_version,
        )
        self._workspaces = KnownWorkspaces()
        self._workspaces.configure(configuration)
        self._limits = WorkspaceLimits(self.cell_state, unseen, self._workspaces)
        self._shares = ShareTracker(
            self.cell_state, self._job_table, self._workspaces, self._limits
        )
        self._surplus = SurplusJobs(self._job_table, self._workspaces)
        self._planner = StartPlanner(
            self.cell_state, self._control, self._limits, self._shares, max_entry_age
        )

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""
        return self._job_table.configuration

    @property
    def jobs(self) -> dict[str, JobProgress]:
        """All jobs by name."""
        return self._job_table.jobs

    @property
    def is_complete(self) -> bool:
        """Whether all jobs stored in earlier epochs are loaded."""
        return self._job_table.is_complete

    @is_complete.setter
    def is_complete(self, complete: bool) -> None:
        self._job_table.is_complete = complete

    def record_read(self, began: timedelta) -> None:
        """Record that all jobs stored before the time ``began`` are accepted."""
        self._job_table.record_read(began)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; jobs of removed queues keep their service."""
        self._job_table.configure(configuration)
        self._workspaces.configure(configuration)

    # Requests of callers and operators

    def accept_job(
        self,
        submission: Submission,
        accepted: timedelta,
        wall: datetime,
        *,
        version: int = 0,
        record: JobRecord | None = None,
    ) -> None:
        """Add a stored job.

        The call is idempotent: repeating it can only lower the job's known version.
        ``record`` is the progress that an earlier leader stored, if any.
        """
        workspaces = self.configuration.workspaces or {}
        workspace = workspaces.get(submission.workspace)
        if workspace is not None and submission.job not in self.jobs:
            self._exceeded_rates.record(workspace, accepted)
        self._job_table.accept_job(
            submission, accepted, wall, version=version, record=record
        )

    @property
    def newest_version(self) -> int:
        """The highest store version at which any known job was stored."""
        return self._job_table.newest_version

    @property
    def has_unstartable_jobs(self) -> bool:
        """Whether the store does not yet permit this leader to start some jobs."""
        return self._job_table.newest_version > self._startable_version

    def allow_starts(self, version: int) -> None:
        """Allow starts of jobs stored up to a version, as the store now records."""
        self._startable_version = max(self._startable_version, version)

    def cancel_job(self, name: str, now: timedelta) -> None:
        """Cancel a job irrevocably; stop orders for its runs are issued at once."""
        self._job_table.cancel_job(name, now)

    def fail_job(self, name: str, reason: str, now: timedelta) -> None:
        """End a job as failed for a reason that lies outside of its tasks."""
        self._job_table.fail_job(name, reason, now)

    def update_upstreams(
        self,
        entries: list[UpstreamEntry],
        now: timedelta,
        read_at: timedelta | None = None,
    ) -> list[str]:
        """Apply the newest list of upstreams, and return the names that are new.

        ``read_at`` is when the read of the list began, by default ``now``.
        """
        return self._upstream_tracker.update_upstreams(entries, now, read_at or now)

    def inherit_upstream(
        self,
        entry: UpstreamEntry,
        lapse: timedelta,
        assignment: Assignment = NO_ASSIGNMENT,
    ) -> None:
        """Add an upstream on which an earlier leader may have started runs.

        If the upstream does not report, its leases count as expired at ``lapse``. The
        store names its last ``assignment`` to an executor.
        """
        self._upstream_tracker.unseen.inherit(entry, lapse, assignment)

    def begin_assignment(
        self,
        name: str,
        instance: str = "",
        process: str = "",
        leases_until: timedelta = timedelta(0),
    ) -> None:
        """Record that a known upstream is assigned to a process of an instance.

        The executor before may renew its leases ``leases_until`` that time.
        """
        upstream = self.cell_state.upstreams[name]
        upstream.extend_orphaned_leases(leases_until)
        self.cell_state.begin_assignment(upstream, instance, process)

    def record_process(
        self, instance: str, process: str, lease: timedelta, now: timedelta
    ) -> None:
        """Record which process of an instance runs now; each renews one ``lease``."""
        self._upstream_tracker.unseen.record_process(instance, process, lease, now)

    def find_stored_assignment(self, upstream: Upstream) -> Assignment:
        """Return the assignment that the store has to name for the next leader."""
        return self._upstream_tracker.unseen.find_stored_assignment(upstream)

    # Maintenance of machines

    def set_leave_times(self, leaving: dict[str, timedelta]) -> None:
        """Set when machines go down for maintenance, by the name of the upstream.

        The scheduler places no new runs on these upstreams and evacuates running ones.
        For upstreams that ``leaving`` does not name, the time is cleared.
        """
        for name, upstream in self.cell_state.upstreams.items():
            upstream.leaves_at = leaving.get(name)

    def count_runs(self, upstream: str) -> int | None:
        """Return how many runs an upstream has, ``None`` if that is not known.

        It is not known of an upstream that may run tasks of an earlier leader, or runs
        something of which the leader knows neither the job nor the size.
        """
        known = self.cell_state.upstreams.get(upstream)
        if known is None:
            return 0
        if known.has_unknown_runs or upstream in self._upstream_tracker.unseen.names:
            return None
        return len(known.bound)

    def record_machine_down(self, upstream: str, now: timedelta) -> None:
        """Record that the machine of an upstream was taken down, which has ended it."""
        self._upstream_tracker.losses.record_machine_down(upstream, now)

    def may_stop_all(self, upstream: str, others: Collection[str] = ()) -> bool:
        """Return whether all runs of an upstream may be ended at once.

        ``others`` may be taken down at the same time.
        """
        return may_stop_all(
            self._job_table.find_step, self.cell_state, upstream, others
        )

    def list_expired_jobs(self, now: timedelta, retention: timedelta) -> list[str]:
        """Return jobs that ended ``retention`` or longer ago and have no runs left."""
        return self._job_table.list_expired(now, retention)

    def forget_jobs(self, names: list[str]) -> None:
        """Remove jobs whose submissions are no longer stored."""
        self._job_table.forget_jobs(names)

    # Reports of executors

    def handle_report(self, report: ExecutorReport, now: timedelta) -> None:
        """Apply a report of an executor to the runs and upstreams it concerns.

        ``EpochFenced`` has no effect here, because it ends the leader itself.
        """
        match report:
            case UpstreamReport():
                self._upstream_tracker.handle_report(report, now)
            case UpstreamSilent():
                self._upstream_tracker.handle_silence(report, now)
            case UpstreamRestarted():
                self._upstream_tracker.losses.handle_restart(report, now)
            case StartSettled():
                self._control.handle_start_outcome(report, now)
            case StopSettled():
                self._control.handle_stop_answer(report, now)
            case PermitsAnswered():
                self._planner.permits.record_answer(report, now)
            case RunsRemembered():
                self._upstream_tracker.unseen.record_remembered(report, now)

    def is_superseded_by(self, fenced: EpochFenced) -> bool:
        """Return whether a fenced call shows that another leader has taken over.

        A late call for an earlier incarnation of an upstream is fenced as well, by the
        token of this leader for the next incarnation.
        """
        if fenced.epoch < self.epoch:
            return False
        upstream = self.cell_state.upstreams.get(fenced.upstream)
        return upstream is not None and not upstream.has_restarted

    def make_watch_order(self, name: str, now: timedelta) -> WatchUpstream:
        """Return the order to watch an upstream, which must be known."""
        upstream = self.cell_state.upstreams[name]
        return self._upstream_tracker.make_watch_order(upstream, now)

    def find_upstream_of(self, identity: str) -> str:
        """Return the name of the upstream that runs under an identity now."""
        return self.cell_state.incarnations.find_latest(identity)

    def abandon_upstreams(
        self, names: set[str], until: timedelta, now: timedelta
    ) -> None:
        """Record that the executor of some upstreams is lost.

        The executor may still renew their leases until the time ``until``. Runs on an
        upstream that does not answer count as ended only after that time.
        """
        self._upstream_tracker.abandon_upstreams(names, until, now)

    def update_unresponsive(self, names: set[str]) -> None:
        """Mark the upstreams whose executors are unresponsive, and unmark all others.

        The scheduler places no runs on marked upstreams.
        """
        self._upstream_tracker.update_unresponsive(names)

    def forget_stop_answers(self, name: str) -> None:
        """Discard the answers to stop orders on an upstream, so that they are resent.

        The answers are void once another executor takes over the upstream, because its
        reports are numbered anew.
        """
        self._upstream_tracker.forget_stop_answers(name)

    # Decisions

    def schedule(
        self,
        now: timedelta,
        wall: datetime,
        max_permit_requests: int,
        lease_holds: bool = True,
    ) -> list[UpstreamOrder | AskPermits]:
        """Return the orders that are due.

        At most ``max_permit_requests`` of them request permits from the advice service.
        Unless the leader's ``lease_holds``, no task that was interrupted starts again:
        another leader may have taken note of its end, and the upstream that would
        have refused this leader may have restarted.
        """
        self._job_table.create_due_occurrences(wall)
        self._upstream_tracker.expire_leases(now)
        self._lease_holds = lease_holds
        self._surplus.mark_new()
        self._planner.start_waiting_tasks(
            now, max_permit_requests, self._compute_holds()
        )
        self._sweep(now)
        orders, self._control.orders = self._control.orders, []
        return orders

    def _sweep(self, now: timedelta) -> None:
        """Scan all runs for timeouts, stragglers and due evacuations.

        The scan runs at most once per ``SWEEP_INTERVAL``.
        """
        if now - self._last_sweep < SWEEP_INTERVAL:
            return
        self._last_sweep = now
        find_step = self._job_table.find_step
        self._control.expire_unanswered(now)
        self._control.speeds.refresh(self.cell_state.upstreams.values(), now)
        for run in choose_stragglers(
            find_step,
            self.cell_state,
            self._control.ratios,
            self._control.find_usual_speed,
            now,
        ):
            self._control.replace_straggler(run, now)
        evacuated = choose_evacuations(find_step, self.cell_state, now)
        self._control.stop_runs(evacuated, now)

    def _compute_holds(self) -> StartHolds:
        """Return which jobs and which tasks may not start yet."""
        unseen = self._upstream_tracker.unseen.names
        tasks = self._find_possible_tasks()
        held_version = NO_VERSION
        if not self.is_complete:
            # A job may have been stored twice, first in a partition that is not loaded,
            # so its known version may be too high; all jobs are held back.
            held_version = ANY_VERSION if unseen else self.inherited_version
        elif tasks is None:
            held_version = self.inherited_version
        return StartHolds(
            held_version,
            self._startable_version,
            self._lease_holds,
            group_by_step(tasks or ()),
        )

    def _find_possible_tasks(self) -> frozenset[TaskId] | None:
        """Return which tasks any unseen upstream may run, ``None`` if it may be any."""
        found: set[TaskId] = set()
        for name in self._upstream_tracker.unseen.names:
            tasks = self._upstream_tracker.unseen.find_possible_tasks(name)
            if tasks is None:
                return None
            found |= tasks
        return frozenset(found)

    def estimate_loads(
        self, now: timedelta, instances: int = 1, with_sizes: bool = False
    ) -> Loads:
        """Return what to expect of the load, while ``instances`` accept jobs."""
        return estimate_loads(
            self.jobs,
            self.cell_state.upstreams,
            self.configuration,
            self._control.ratios,
            self._exceeded_rates,
            now,
            instances,
            with_sizes,
            self._make_workspace_bounds(),
        )

    def _make_workspace_bounds(self) -> WorkspaceBounds | None:
        """Return what workspaces' limits and shares mean for tasks that wait."""
        if self.configuration.workspaces is None:
            return None
        shares = self._planner.shares
        return WorkspaceBounds(
            self._limits.count_startable_beside,
            lambda progress: shares.find_place(progress) == OVER_SHARE,
        )

    def measure_load(self, now: timedelta) -> Load:
        """Return the current backlog and the utilization of the usable upstreams."""
        steps = self._job_table.ready_steps.values()
        return measure_load(
            steps,
            self.cell_state.upstreams.values(),
            len(self._upstream_tracker.unseen.names),
            now,
            self._job_table.count_suspects(),
            count_held_tasks(steps, self._compute_holds(), now),
            measure_workspaces(self._job_table, self.cell_state.usage, self._limits),
        )

    def list_kind_speeds(self) -> list[KindSpeed]:
        """Return the learnt speeds by kind, those with the most samples first."""
        return self._control.speeds.list_kinds()

    def count_near_waits(self) -> dict[str, int]:
        """Return how many waits for a near place have ended, by their outcome."""
        counts = self._planner.locality.counts
        return {str(outcome): count for outcome, count in counts.items()}

    def list_unseen(self, now: timedelta) -> dict[str, float]:
        """Return the upstreams that may run tasks unseen, and for how long at most.

        The times are in seconds, from now until the leases have certainly expired.
        """
        found = {}
        for name in self._upstream_tracker.unseen.names:
            upstream = self.cell_state.upstreams.get(name)
            if upstream is None:
                continue
            until = upstream.lapse_at or upstream.inherited_leases_until
            found[name] = max(0.0, (until - now).total_seconds())
        return found

    def explain_waits(self, now: timedelta) -> list[WaitReason]:
        """Return why tasks do not run, for each step with such tasks."""
        unseen = []
        for name, seconds in self.list_unseen(now).items():
            until = now + timedelta(seconds=seconds)
            tasks = self._upstream_tracker.unseen.find_possible_tasks(name)
            unseen.append(UnseenUpstream(name, until, tasks))
        bounds = HoldBounds(
            tuple(unseen),
            find_silent(self.cell_state.upstreams.values()),
            self._upstream_tracker.crashes.find_patience_ends(),
        )
        self._limits.refresh(self._job_table.ready_steps.values(), now)
        return explain_waits(
            self._job_table,
            self.cell_state,
            self._compute_holds(),
            bounds,
            self._limits.count_startable,
            self._shares.find_place,
            now,
        )

    # State that the leader stores and announces

    def list_watched(self) -> list[Upstream]:
        """Return the upstreams that the next leader must query for their runs."""
        return self._upstream_tracker.list_watched()

    def update_recorded(self, assignments: Mapping[str, int], now: timedelta) -> None:
        """Mark the upstreams that the store names with their present assignments.

        All others are unmarked. Only marked upstreams may be given runs, so that the
        next leader knows where to look for runs, and which executor knows of them.
        """
        self._upstream_tracker.update_recorded(assignments, now)

    def list_stale_upstreams(self, now: timedelta, patience: timedelta) -> list[str]:
        """Return the upstreams without any report for longer than ``patience``.

        Each such upstream is returned at most once per ``patience``.
        """
        return self._upstream_tracker.list_stale_upstreams(now, patience)

    def has_unrecorded_upstreams(self) -> bool:
        """Return whether some upstream only lacks being named in the store."""
        return self._upstream_tracker.has_unrecorded_upstreams()

    @property
    def has_changes(self) -> bool:
        """Whether the progress of some job is to be stored."""
        return bool(self._job_table.changed)

    @property
    def has_announcements(self) -> bool:
        """Whether job states have changed since the last ``take_announcements``."""
        return self._job_table.has_announcements

    def take_announcements(self) -> list[Announcement]:
        """Return the job states that have changed since the last call."""
        return self._job_table.take_announcements()

    def list_unfinished_states(self) -> list[Announcement]:
        """Return the state of every job whose end is not stored yet."""
        return self._job_table.list_unfinished_states()
