"""The state that the leader keeps of each upstream, and the runs bound to it."""

from collections import deque
from datetime import timedelta

from attrs import define, evolve, field

from almondspread.jobs.messages import NO_ASSIGNMENT, Assignment, UpstreamEntry
from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity

FAILURE_WINDOW = timedelta(seconds=4)
# A report that was sent before a crash may be handled this much later than the answer
# to the start that caused the crash.
FRESH_TIME = timedelta(milliseconds=150)
# The failures of a single job do not suspend an upstream.
MIN_FAILURES_TO_SUSPEND = 3
MIN_FAILING_JOBS_TO_SUSPEND = 2
# Upstreams whose entries expired in a store outage register again within this time.
RELISTING_TIME = timedelta(milliseconds=2_500)
# Within this time another executor reaches an upstream that is reachable at all.
EXECUTOR_REASSIGNMENT_TIME = timedelta(milliseconds=300)
INITIAL_SUSPENSION = timedelta(seconds=2)
MAX_SUSPENSION = timedelta(seconds=8)
# A lasting task that finds no other room is kept from an upstream that is suspended, on
# trial or reserved for no longer. One that crashes in a trial is silent by then.
LAST_RESORT_DELAY = timedelta(milliseconds=1_500)


@define(eq=False)
class Upstream:
    """The leader's state of one incarnation of an upstream.

    ``has_reported`` is true once the upstream has reported under this leader's epoch,
    and ``recorded`` once the store lists it, with its present assignment, as one that
    may run tasks; only then does its executor renew leases.
    ``has_unknown_runs`` is true while the upstream runs something of which the leader
    knows neither the job nor the size, and ``executor_unresponsive`` while the executor
    that holds its leases misses heartbeats. ``has_restarted`` is set once another
    incarnation of it has answered. ``generation`` rises with each incarnation and tells
    their fencing tokens apart.

    While the upstream does not answer, ``lapse_at`` is the time at which its leases
    have certainly expired. Those that executors of earlier leaders have renewed last
    until ``inherited_leases_until``, and those of executors that this leader has lost
    until ``orphaned_leases_until``. The machine of the upstream may be taken down for
    maintenance from ``leaves_at`` on.

    ``listed_at`` is when the read began that last showed its entry, so that the entry
    is at least as new. ``heard_at`` is when a report of the upstream last arrived.
    While it is ``trying`` runs that may crash it, the first of them since
    ``trying_since``, only tasks of which it is the last resort are started there.

    ``assignment`` is the newest one to an executor, and ``inherited_assignment`` the
    one that the store named when an earlier leader ended.

    ``bound`` has the capacity of every run that may still run on the upstream, and
    ``free`` is what remains. A run is only bound if it fits in ``free``. ``ends_seen``
    is the number of the newest run end that the leader has applied, and
    ``ends_acknowledged`` that of the newest one of which the upstream was told that it
    is stored.
    """

    entry: UpstreamEntry
    generation: int = 0
    assignment: Assignment = NO_ASSIGNMENT
    inherited_assignment: Assignment = NO_ASSIGNMENT
    entry_changed_at: timedelta = timedelta(0)
    last_observed_at: timedelta | None = None
    heard_at: timedelta = timedelta(0)
    last_start_at: timedelta = timedelta(0)
    has_reported: bool = False
    recorded: bool = False
    has_unknown_runs: bool = False
    executor_unresponsive: bool = False
    has_restarted: bool = False
    unknown_runs_stopped_at: timedelta | None = None
    listed: bool = True
    listed_at: timedelta = timedelta(0)
    unlisted_at: timedelta | None = None
    lapse_at: timedelta | None = None
    executor_lost_at: timedelta | None = None
    inherited_leases_until: timedelta = timedelta(0)
    orphaned_leases_until: timedelta = timedelta(0)
    leaves_at: timedelta | None = None
    ends_seen: int = 0
    ends_acknowledged: int = 0
    suspended_at: timedelta = timedelta(0)
    suspended_until: timedelta = timedelta(0)
    next_suspension: timedelta = INITIAL_SUSPENSION
    free: Capacity = field(init=False)
    bound: dict[tuple[TaskId, int], Capacity] = field(factory=dict)
    trying: set[tuple[TaskId, int]] = field(factory=set)
    trying_since: timedelta = timedelta(0)
    _step_counts: dict[tuple[str, int, int], int] = field(factory=dict)
    _outcomes: deque[tuple[timedelta, str, bool]] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        self.free = self.entry.capacity

    @property
    def name(self) -> str:
        """The name of this incarnation."""
        return self.entry.name

    @property
    def rack(self) -> str:
        """The rack label, which is the last label of the entry."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def has_label(self, label: str) -> bool:
        """Tell whether the upstream has a label; every upstream has the empty one."""
        return not label or label in self.entry.labels

    def update(self, entry: UpstreamEntry, now: timedelta, read_at: timedelta) -> None:
        """Replace the entry, and adjust the free capacity."""
        self.listed_at = read_at
        if entry != self.entry:
            self.entry_changed_at = now
        if entry.capacity != self.entry.capacity:
            used = self.entry.capacity.minus(self.free)
            self.free = entry.capacity.minus(used)
        self.entry = entry
        self.listed = True

    def is_unreachable(self, now: timedelta) -> bool:
        """Tell whether no executor reaches the upstream.

        After the loss of its executor an upstream counts as reachable for the time
        that another executor needs to reach it.
        """
        if self.lapse_at is not None or self.executor_unresponsive:
            return True
        return (
            self.executor_lost_at is not None
            and now - self.executor_lost_at > EXECUTOR_REASSIGNMENT_TIME
        )

    def has_ended(self, now: timedelta) -> bool:
        """Tell whether another incarnation answers, or all leases have expired."""
        return self.has_restarted or (
            self.lapse_at is not None and self.lapse_at <= now
        )

    @property
    def is_settled(self) -> bool:
        """Whether the upstream was heard well after its last start."""
        return self.heard_at - self.last_start_at >= FRESH_TIME

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream drains, or its machine is evacuated for maintenance."""
        return self.entry.draining or self.leaves_at is not None

    def find_time_left(self, now: timedelta) -> timedelta:
        """Return for how long a leaving upstream is guaranteed to stay."""
        remaining = self.entry.remaining or timedelta(0)
        drains_for = remaining - (now - self.entry_changed_at)
        if self.leaves_at is None:
            return drains_for
        stays_for = self.leaves_at - now
        return min(drains_for, stays_for) if self.entry.draining else stays_for

    def is_usable(self, now: timedelta) -> bool:
        """Tell whether new runs may be bound to the upstream."""
        if now < self.suspended_until or self.trying:
            return False
        return self._accepts_runs(now)

    def is_last_resort(self, now: timedelta) -> bool:
        """Tell whether lasting tasks may use the upstream if no other has room."""
        if self.is_usable(now):
            return False
        if now < self.suspended_until and now - self.suspended_at < LAST_RESORT_DELAY:
            return False
        if self.trying and now - self.trying_since < LAST_RESORT_DELAY:
            return False
        return self._accepts_runs(now)

    def _accepts_runs(self, now: timedelta) -> bool:
        """Tell whether runs may be bound there, but for suspensions and trials."""
        if not (self.has_reported and self.recorded):
            return False
        if self.has_unknown_runs or self.executor_unresponsive or self.has_restarted:
            return False
        if not self.listed and not self._was_listed_recently(now):
            return False
        return self.lapse_at is None and not self.is_leaving

    @property
    def leases_until(self) -> timedelta:
        """When all leases have expired that others than its executor have renewed."""
        return max(self.inherited_leases_until, self.orphaned_leases_until)

    def extend_orphaned_leases(self, until: timedelta) -> None:
        """Record that an earlier executor may renew the leases until a time."""
        self.orphaned_leases_until = max(self.orphaned_leases_until, until)

    def record_answer(self, now: timedelta, lease_time: timedelta) -> None:
        """Record an answer to this leader, ``lease_time`` bounds any lease from now on.

        From its first answer on, the upstream refuses the executors of earlier leaders,
        since it has seen a higher token.
        """
        if not self.heard_at:
            last = min(self.inherited_leases_until, now + lease_time)
            self.inherited_leases_until = last
            until = min(self.assignment.until, self.leases_until)
            self.assignment = evolve(self.assignment, until=until)
        self.last_observed_at = self.heard_at = now

    def mark_unlisted(self, now: timedelta) -> None:
        """Record that the directory no longer lists the upstream."""
        if self.listed:
            self.unlisted_at = now
        self.listed = False

    def _was_listed_recently(self, now: timedelta) -> bool:
        """Tell whether the entry may only have expired during a store outage."""
        return self.unlisted_at is not None and now - self.unlisted_at < RELISTING_TIME

    def begin_trial(self, task: TaskId, run: int, now: timedelta) -> None:
        """Keep other tasks away while a run is tried that may crash the upstream."""
        if not self.trying:
            self.trying_since = now
        self.trying.add((task, run))

    def bind(self, task: TaskId, run: int, claim: Capacity) -> None:
        """Bind a run to the upstream, which reduces the free capacity."""
        self.bound[task, run] = claim
        self.free = self.free.minus(claim)
        key = (task.job, task.occurrence, task.step)
        self._step_counts[key] = self._step_counts.get(key, 0) + 1

    def release(self, task: TaskId, run: int) -> None:
        """Return the capacity of a run that has ended."""
        self.trying.discard((task, run))
        claim = self.bound.pop((task, run), None)
        if claim is None:
            return
        self.free = self.free.plus(claim)
        key = (task.job, task.occurrence, task.step)
        left = self._step_counts.get(key, 0) - 1
        if left > 0:
            self._step_counts[key] = left
        else:
            self._step_counts.pop(key, None)

    def count_step(self, key: tuple[str, int, int]) -> int:
        """Return how many runs of a step are bound to the upstream."""
        return self._step_counts.get(key, 0)

    def record_outcome(self, job: str, failed: bool, now: timedelta) -> bool:
        """Record how a run ended; return whether this suspends the upstream.

        An upstream is suspended if runs of several jobs failed there recently and
        most of the recent runs failed. A repeated suspension lasts longer.
        """
        self._outcomes.append((now, job, failed))
        while self._outcomes and now - self._outcomes[0][0] > FAILURE_WINDOW:
            self._outcomes.popleft()
        if not failed:
            self.next_suspension = INITIAL_SUSPENSION
            return False
        failing_jobs = {name for _, name, failure in self._outcomes if failure}
        failures = sum(failure for _, _, failure in self._outcomes)
        if (
            failures < MIN_FAILURES_TO_SUSPEND
            or len(failing_jobs) < MIN_FAILING_JOBS_TO_SUSPEND
        ):
            return False
        if 2 * failures <= len(self._outcomes) or now < self.suspended_until:
            return False
        self.suspend(now)
        return True

    def suspend(self, now: timedelta) -> None:
        """Bind no new runs to the upstream for a time that doubles up to a maximum."""
        self.suspended_at = now
        self.suspended_until = now + self.next_suspension
        self.next_suspension = min(self.next_suspension * 2, MAX_SUSPENSION)
        self._outcomes.clear()
