"""The leader's decisions: which task runs where, and what is known of each run.

The scheduler takes events and returns orders. It does no input or output, and is told
the time with each event.
"""

import sys
from datetime import datetime, timedelta

from attrs import define, field

from almondspread.jobs.backlog import estimate_wait
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.evacuation import choose_evacuations, may_stop_all
from almondspread.jobs.job_table import Announcement, JobTable
from almondspread.jobs.messages import (
    AskPermits,
    ExecutorReport,
    PermitsAnswered,
    StartSettled,
    StopSettled,
    UpstreamEntry,
    UpstreamOrder,
    UpstreamReport,
    UpstreamSilent,
)
from almondspread.jobs.progress import TERMINAL_STATES, JobProgress, JobRecord
from almondspread.jobs.runs import RunControl
from almondspread.jobs.starts import StartHolds, StartPlanner
from almondspread.jobs.stragglers import choose_stragglers
from almondspread.jobs.submissions import Submission
from almondspread.jobs.upstream_tracker import UpstreamTracker
from almondspread.jobs.upstreams import Upstream

# Below and above all versions of the store.
NO_VERSION = -1
ANY_VERSION = sys.maxsize
# Passes follow events, many a second; lateness is judged less often.
SWEEP_INTERVAL = timedelta(milliseconds=100)


@define(frozen=True)
class PendingChanges:
    """What one commit stores, and the ends that may be acknowledged after it.

    The stored progress of ``forgotten`` jobs is dropped.
    """

    records: list[JobRecord]
    ends: dict[str, int]
    forgotten: list[str] = field(factory=list)


@define(frozen=True)
class Load:
    """How much waits for room, and how full the usable upstreams are.

    Processor amounts are thousandths of a core.
    """

    waiting_steps: int
    unseen_upstreams: int
    waiting_tasks: int
    without_permits: int
    used_millis: int
    usable_millis: int


class Scheduler:
    """All jobs and upstreams of the cell, as the leader of one epoch sees them.

    Jobs stored up to ``inherited_version`` may have been started by earlier leaders;
    they wait while an upstream that may run their tasks is unseen, and while some jobs
    are not loaded. Jobs stored later wait until it is stored that this leader may start
    them, so that the next one knows.
    """

    def __init__(
        self, epoch: int, configuration: Configuration, inherited_version: int = 0
    ) -> None:
        self.epoch = epoch
        self.inherited_version = inherited_version
        self._startable_version = NO_VERSION
        self._last_sweep = timedelta(0)
        self.cell_state = CellState(epoch)
        self._control = RunControl(self.cell_state)
        self._job_table = JobTable(configuration, self._control.stop_runs)
        self._control.job_table = self._job_table
        self._watch = UpstreamTracker(self.cell_state, self._control)
        self._planner = StartPlanner(self.cell_state, self._control)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._job_table.configuration

    @property
    def jobs(self) -> dict[str, JobProgress]:
        """All jobs by name."""
        return self._job_table.jobs

    @property
    def is_complete(self) -> bool:
        """Whether all jobs of earlier epochs are loaded."""
        return self._job_table.is_complete

    @is_complete.setter
    def is_complete(self, complete: bool) -> None:
        self._job_table.is_complete = complete

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; jobs of removed queues keep their service."""
        self._job_table.configure(configuration)

    # What callers and operators do

    def accept_job(
        self,
        submission: Submission,
        accepted: timedelta,
        wall: datetime,
        *,
        version: int = 0,
        record: JobRecord | None = None,
    ) -> None:
        """Take on a stored job, once however often it is told."""
        self._job_table.accept_job(
            submission, accepted, wall, version=version, record=record
        )

    @property
    def newest_version(self) -> int:
        """The newest version of the store that brought a job."""
        return self._job_table.newest_version

    @property
    def has_unstartable_jobs(self) -> bool:
        """Whether jobs wait for the store to tell that they may be started."""
        return self._job_table.newest_version > self._startable_version

    def allow_starts(self, version: int) -> None:
        """Let jobs start that were stored up to a version, as the store now tells."""
        self._startable_version = max(self._startable_version, version)

    def cancel_job(self, name: str, now: timedelta) -> None:
        """Cancel a job for good; the stops of its runs follow at once."""
        self._job_table.cancel_job(name, now)

    def update_upstreams(
        self, entries: list[UpstreamEntry], now: timedelta
    ) -> list[str]:
        """Take the newest list of upstreams; return the names that are new."""
        return self._watch.update_upstreams(entries, now)

    def inherit_upstream(self, entry: UpstreamEntry, lapse: timedelta) -> None:
        """Take an upstream on which an earlier leader may have started runs.

        Until it reports, its leases run out at ``lapse``.
        """
        self._watch.inherit_upstream(entry, lapse)

    # Maintenance

    def set_leave_times(self, leaving: dict[str, timedelta]) -> None:
        """Give no runs to upstreams whose machines are to be taken down then."""
        for name, upstream in self.cell_state.upstreams.items():
            upstream.leaves_at = leaving.get(name)

    def count_runs(self, upstream: str) -> int:
        """Return how many runs are bound to an upstream."""
        return len(self.cell_state.list_runs(upstream))

    def may_stop_all(self, upstream: str) -> bool:
        """Tell whether all runs of an upstream may be ended at once."""
        return may_stop_all(self._job_table.find_step, self.cell_state, upstream)

    def list_expired_jobs(self, now: timedelta, retention: timedelta) -> list[str]:
        """Return the jobs that ended ``retention`` ago and have no runs left."""
        return self._job_table.list_expired(now, retention)

    def forget_jobs(self, names: list[str]) -> None:
        """Forget jobs whose submissions are no longer stored."""
        self._job_table.forget_jobs(names)

    # What executors report

    def handle_report(self, report: ExecutorReport, now: timedelta) -> None:
        """Take a report of an executor."""
        match report:
            case UpstreamReport():
                self._watch.handle_report(report, now)
            case UpstreamSilent():
                self._watch.handle_silence(report, now)
            case StartSettled():
                self._control.handle_start_outcome(report, now)
            case StopSettled():
                self._control.handle_stop_answer(report, now)
            case PermitsAnswered():
                self._planner.handle_permits_answer(report, now)

    def abandon_upstreams(
        self, names: set[str], until: timedelta, now: timedelta
    ) -> None:
        """Note that an executor is lost, which may hold leases ``until`` then."""
        self._watch.abandon_upstreams(names, until, now)

    def update_unresponsive(self, names: set[str]) -> None:
        """Give no runs to upstreams whose executors show no signs of life."""
        self._watch.update_unresponsive(names)

    def forget_stop_answers(self, name: str) -> None:
        """Stop anew what was being stopped, since another executor takes over."""
        self._watch.forget_stop_answers(name)

    # Decisions

    def schedule(
        self, now: timedelta, wall: datetime, ask_slots: int
    ) -> list[UpstreamOrder | AskPermits]:
        """Return the orders that are due; at most ``ask_slots`` ask for permits."""
        self._job_table.create_due_occurrences(wall)
        self._watch.expire_leases(now)
        self._planner.start_waiting_tasks(now, ask_slots, self._describe_holds())
        self._sweep(now)
        orders, self._control.orders = self._control.orders, []
        return orders

    def _sweep(self, now: timedelta) -> None:
        """Look at all runs for what is late, or must move, from time to time."""
        if now - self._last_sweep < SWEEP_INTERVAL:
            return
        self._last_sweep = now
        find_step = self._job_table.find_step
        self._control.expire_unanswered(now)
        for run in choose_stragglers(find_step, self.cell_state, now):
            self._control.replace_straggler(run, now)
        moved = choose_evacuations(find_step, self.cell_state, now)
        self._control.stop_runs(moved, now)

    def _describe_holds(self) -> StartHolds:
        """Return which jobs may not start yet."""
        unseen = bool(self._watch.unseen)
        held_version = NO_VERSION
        if unseen or not self.is_complete:
            held_version = self.inherited_version
        if unseen and not self.is_complete:
            # A job may have been stored twice, first in a part that is not loaded.
            held_version = ANY_VERSION
        return StartHolds(held_version, self._startable_version)

    def estimate_waits(self, now: timedelta) -> dict[str, float]:
        """Return the seconds that a job accepted now would wait, by queue."""
        waits = {}
        upstreams = list(self.cell_state.upstreams.values())
        steps = list(self._job_table.ready_steps.values())
        # There may be hundreds of queues, but few services and priorities.
        known: dict[tuple[str, int], float] = {}
        for queue in self.configuration.queues.values():
            key = (queue.service, queue.priority)
            if key not in known:
                wait = estimate_wait(queue, self.configuration, steps, upstreams, now)
                known[key] = wait.total_seconds()
            waits[queue.name] = known[key]
        return waits

    def measure_load(self, now: timedelta) -> Load:
        """Return how much waits and how full the upstreams are."""
        tasks = 0
        without_permits = 0
        for progress in self._job_table.ready_steps.values():
            tasks += len(progress.waiting)
            permits = progress.permits
            without_permits += permits is None or permits.expires <= now
        used = 0
        usable = 0
        for upstream in self.cell_state.upstreams.values():
            if upstream.is_usable(now):
                usable += upstream.entry.capacity.cpu_millis
                used += upstream.entry.capacity.cpu_millis - upstream.free.cpu_millis
        return Load(
            len(self._job_table.ready_steps),
            len(self._watch.unseen),
            tasks,
            without_permits,
            used,
            usable,
        )

    # What the leader stores and tells

    def list_watched(self) -> list[Upstream]:
        """Return the upstreams that the next leader must ask for their runs."""
        return self._watch.list_watched()

    def update_recorded(self, names: frozenset[str]) -> None:
        """Let those upstreams run tasks that the store names as open to runs."""
        self._watch.update_recorded(names)

    def list_stale_upstreams(self, now: timedelta, patience: timedelta) -> list[str]:
        """Return the upstreams of which there has been no news for too long."""
        return self._watch.list_stale_upstreams(now, patience)

    def has_unrecorded_upstreams(self) -> bool:
        """Tell whether an upstream could run tasks if the store named it."""
        return self._watch.has_unrecorded_upstreams()

    def take_changes(self, limit: int) -> PendingChanges:
        """Return what has changed since the last call, to be stored.

        Of more than ``limit`` jobs the rest is left for the next call, and no end is
        acknowledged yet.
        """
        changed = sorted(self._job_table.changed)[:limit]
        self._job_table.changed.difference_update(changed)
        records = [self.jobs[name].make_record() for name in changed]
        if self._job_table.changed:
            return PendingChanges(records, {})
        forgotten = sorted(self._job_table.forgotten)[: limit - len(records)]
        self._job_table.forgotten.difference_update(forgotten)
        return PendingChanges(
            records, self._watch.find_unacknowledged_ends(), forgotten
        )

    def requeue_changes(self, changes: PendingChanges) -> None:
        """Take back changes that were not stored."""
        for record in changes.records:
            if record.job in self.jobs:
                self._job_table.changed.add(record.job)
        self._job_table.forgotten.update(changes.forgotten)

    def confirm_changes(self, changes: PendingChanges) -> None:
        """Acknowledge the ends that are now stored."""
        for record in changes.records:
            job = self.jobs.get(record.job)
            if job is not None and record.state in TERMINAL_STATES:
                job.end_stored = True
        self._watch.acknowledge_ends(changes.ends)

    def take_announcements(self) -> list[Announcement]:
        """Return the states that have changed since the last call."""
        return self._job_table.take_announcements()

    def list_unfinished_states(self) -> list[Announcement]:
        """Return the state of every job whose end is not stored."""
        return self._job_table.list_unfinished_states()
