"""A fake upstream for tests that checks the orders of leaders.

The upstream fences superseded epochs, numbers run ends and enforces leases. Like a real
upstream that does not enforce its capacity, it does not refuse starts that are wrong,
but records in ``violations`` every start that no leader may cause.
"""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.leases import DEFAULT_MAX_LEASE
from almondspread.jobs.messages import (
    ALONE,
    BROKEN,
    DONE,
    FAILED,
    LAPSED,
    STOPPED,
    RunEnd,
    RunSighting,
)
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.resources.capacity import Capacity

STOP_TIME = timedelta(milliseconds=450)
GANG_TIMEOUT = timedelta(seconds=3)
CANCEL_PATIENCE = timedelta(seconds=4)
# A lasting task is at work this long after its start.
LASTING_STARTUP = timedelta(milliseconds=500)
# An upstream lists no more ends than this in one answer.
LISTED_ENDS = 500


@define(eq=False)
class GangRun:
    """One run of a gang.

    ``present`` has the members that have started, and ``whole_since`` is when the last
    one did. ``broken`` is true once a member has ended before the work was done.
    """

    present: set[int] = field(factory=set)
    whole_since: timedelta | None = None
    broken: bool = False


@define(eq=False)
class FakeRun:
    """A run that has started and not ended."""

    task: TaskId
    number: int
    started: timedelta
    duration: timedelta
    stopped_at: timedelta | None = None


@define(eq=False)
class History:
    """The common record of all upstreams of a test.

    ``forgotten`` has the done tasks whose ends were not acknowledged before a crash or
    before the leases expired; these tasks may run again. ``cancelled`` is when the
    cancellation of each job was acknowledged. ``failures`` counts the failed runs of
    each task whose ends were acknowledged; with ``max_attempts``, no task that does not
    last is started after so many.
    ``limits`` has what each workspace may have running over all upstreams, where 0 sets
    no limit.
    ``advance_all`` advances all upstreams before a start is checked: one whose leases
    have expired has forgotten the ends that nobody has acknowledged, also where nobody
    calls it.
    """

    submissions: dict[str, Submission] = field(factory=dict)
    cancelled: dict[str, timedelta] = field(factory=dict)
    max_attempts: int | None = None
    failures: dict[TaskId, int] = field(factory=dict)
    started_jobs: set[str] = field(factory=set)
    running: dict[TaskId, int] = field(factory=dict)
    done: set[TaskId] = field(factory=set)
    forgotten: set[TaskId] = field(factory=set)
    gangs: dict[tuple[str, int, int, int], GangRun] = field(factory=dict)
    starts: int = 0
    violations: list[str] = field(factory=list)
    limits: dict[str, Capacity] = field(factory=dict)
    advance_all: Callable[[], None] = lambda: None

    def find_gang(self, task: TaskId, number: int) -> GangRun | None:
        """Return the gang run that a run belongs to, or ``None`` for other tasks."""
        if not self.submissions[task.job].steps[task.step].gang:
            return None
        key = (task.job, task.occurrence, task.step, number)
        return self.gangs.setdefault(key, GangRun())

    def find_claim(self, task: TaskId) -> Capacity:
        """Return the capacity that a task claims."""
        return self.submissions[task.job].steps[task.step].claim

    def measure_usage(self, workspace: str) -> Capacity:
        """Return the sizes of all runs of a workspace over all upstreams."""
        used = Capacity(0, 0, 0)
        for task, count in self.running.items():
            submission = self.submissions[task.job]
            if count and submission.workspace == workspace:
                used = used.plus(submission.steps[task.step].size.times(count))
        return used

    def check_limit(self, workspace: str) -> None:
        """Record a violation if a workspace has more running than its limit."""
        limit = self.limits.get(workspace)
        if limit is None:
            return
        used = self.measure_usage(workspace)
        for name in ("cpu_millis", "memory_mib", "accelerators"):
            if 0 < getattr(limit, name) < getattr(used, name):
                self.violations.append(f"{workspace} is over its limit of {name}")


@define(eq=False)
class FakeUpstream:
    """One incarnation of an upstream; all times are of its own monotonic clock.

    ``born`` is when it was started, in Unix milliseconds, ``None`` where it does not
    tell this. Its ``identity``, the name up to an ``@``, is that of all incarnations.
    One answer has no more than ``listed_ends``. It is of a ``kind``, which its entry
    has as label, and runs tasks at a ``speed``, where 1.0 is usual. Leases longer than
    ``max_lease`` are shortened.
    """

    name: str
    capacity: Capacity
    history: History
    born: int | None = None
    durations: dict[TaskId, timedelta] = field(factory=dict)
    failing: set[TaskId] = field(factory=set)
    epoch: int = 0
    lease_until: timedelta = timedelta(0)
    started: list[int] = field(factory=list)
    runs: dict[TaskId, FakeRun] = field(factory=dict)
    ends: list[RunEnd] = field(factory=list)
    listed_ends: int = LISTED_ENDS
    kind: str = "a"
    speed: float = 1.0
    max_lease: timedelta = DEFAULT_MAX_LEASE
    _last_end: int = 0
    _highest: dict[TaskId, int] = field(factory=dict)

    @property
    def identity(self) -> str:
        """What all incarnations of the upstream are called."""
        return self.name.partition("@")[0]

    def start(
        self, epoch: int, task: TaskId, number: int, until: timedelta, now: timedelta
    ) -> str:
        """Start a run; return the reason of a refusal, or an empty string."""
        self.advance(now)
        if epoch < self.epoch:
            return "fence"
        self.epoch = epoch
        if task in self.runs and self.runs[task].number == number:
            return ""
        if number <= self._highest.get(task, 0):
            return "old"
        if until <= now:
            return "late"
        if task.job not in self.history.submissions:
            self.history.violations.append(f"{task} was never submitted")
            return "unknown"
        self._grant_lease(until, now)
        self._highest[task] = number
        self.started.append(number)
        self._check_start(task, now)
        duration = self.durations.get(task, timedelta(seconds=1)) / self.speed
        self.runs[task] = FakeRun(task, number, now, duration)
        gang = self.history.find_gang(task, number)
        if gang is not None:
            gang.present.add(task.index)
            size = self.history.submissions[task.job].steps[task.step].count
            if len(gang.present) == size and gang.whole_since is None:
                gang.whole_since = now
        return ""

    def _check_start(self, task: TaskId, now: timedelta) -> None:
        """Record a violation if the start of a task is not allowed."""
        history = self.history
        history.advance_all()
        history.starts += 1
        history.started_jobs.add(task.job)
        cancelled = history.cancelled.get(task.job)
        if cancelled is not None and now - cancelled > CANCEL_PATIENCE:
            history.violations.append(f"{task} started long after its cancellation")
        step = history.submissions[task.job].steps[task.step]
        if history.running.get(task, 0) and not step.duplicates:
            history.violations.append(f"{task} runs twice")
        known = task in history.done and task not in history.forgotten
        if known and not step.duplicates:
            history.violations.append(f"{task} started again after it was done")
        most = history.max_attempts
        failures = history.failures.get(task, 0)
        if most is not None and failures >= most and not step.lasting:
            history.violations.append(f"{task} started after {failures} failed runs")
        for earlier in step.after:
            for index in range(history.submissions[task.job].steps[earlier].count):
                needed = TaskId(task.job, task.occurrence, earlier, index)
                if needed not in history.done:
                    history.violations.append(f"{task} started before {needed}")
        used = history.find_claim(task)
        for other in self.runs:
            used = used.plus(history.find_claim(other))
        if not used.fits_in(self.capacity):
            history.violations.append(f"{self.name} is over its capacity")
        history.running[task] = history.running.get(task, 0) + 1
        history.check_limit(history.submissions[task.job].workspace)

    def stop(self, epoch: int, task: TaskId, number: int, now: timedelta) -> str:
        """Stop a run, or prevent it from starting; return the reason of a refusal."""
        self.advance(now)
        if epoch < self.epoch:
            return "fence"
        self.epoch = epoch
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stopped_at is None:
            run.stopped_at = now + STOP_TIME
        return ""

    def renew_leases(
        self, epoch: int, acknowledged: int, until: timedelta | None, now: timedelta
    ) -> RenewAnswer | None:
        """Renew all leases; return the state, or ``None`` for a superseded epoch."""
        self.advance(now)
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        if until is not None:
            self._grant_lease(until, now)
        self._forget_acknowledged(acknowledged)
        running = []
        for run in self.runs.values():
            work = run.duration
            if self.history.submissions[run.task.job].steps[run.task.step].lasting:
                work = min(work, LASTING_STARTUP)
            percent = int(100 * min(1.0, (now - run.started) / work))
            running.append(RunSighting(run.task, run.number, "", percent))
        listed = tuple(self.ends[: self.listed_ends])
        lists_all = len(listed) < self.listed_ends
        return RenewAnswer(now, tuple(running), listed, lists_all)

    def _grant_lease(self, until: timedelta, now: timedelta) -> None:
        """Prolong the leases of all runs, by no more than the longest lease."""
        self.lease_until = max(self.lease_until, min(until, now + self.max_lease))

    def _forget_acknowledged(self, number: int) -> None:
        """Forget the ends up to a number, and count the failed runs among them."""
        failures = self.history.failures
        for end in self.ends:
            if end.number <= number and end.outcome == FAILED:
                failures[end.task] = failures.get(end.task, 0) + 1
        self.ends = [end for end in self.ends if end.number > number]

    def advance(self, now: timedelta) -> None:
        """End the runs that are complete, stopped or broken, or whose lease expired."""
        for run in list(self.runs.values()):
            gang = self.history.find_gang(run.task, run.number)
            since = run.started if gang is None else gang.whole_since
            if run.stopped_at is not None and run.stopped_at <= now:
                self._end(run, STOPPED)
            elif gang is not None and gang.broken:
                self._end(run, BROKEN)
            elif since is not None and since + run.duration <= min(
                now, self.lease_until
            ):
                self._end(run, FAILED if run.task in self.failing else DONE)
            elif self.lease_until <= now:
                self._end(run, LAPSED)
            elif since is None and now - run.started > GANG_TIMEOUT:
                self._end(run, ALONE)
        if self.lease_until <= now:
            self._forget_ends()

    def _forget_ends(self) -> None:
        """Mark the done tasks with unacknowledged ends as ones that may run again."""
        for end in self.ends:
            if end.outcome == DONE:
                self.history.forgotten.add(end.task)

    def crash(self) -> None:
        """Lose all runs and all unacknowledged ends."""
        for run in list(self.runs.values()):
            self.history.running[run.task] -= 1
            self._break_gang(run)
        self._forget_ends()
        self.runs.clear()
        self.ends.clear()

    def _end(self, run: FakeRun, outcome: str) -> None:
        """Record the end of a run."""
        del self.runs[run.task]
        self.history.running[run.task] -= 1
        if outcome == DONE:
            self._record_done(run)
        else:
            self._break_gang(run)
        self._last_end += 1
        self.ends.append(RunEnd(self._last_end, run.task, run.number, outcome))

    def _record_done(self, run: FakeRun) -> None:
        """Record that a task is done, and with it all members of its gang."""
        task = run.task
        self.history.done.add(task)
        if self.history.find_gang(task, run.number) is None:
            return
        for index in range(self.history.submissions[task.job].steps[task.step].count):
            member = TaskId(task.job, task.occurrence, task.step, index)
            self.history.done.add(member)

    def _break_gang(self, run: FakeRun) -> None:
        """Make the other members of a gang run end as well."""
        gang = self.history.find_gang(run.task, run.number)
        if gang is not None:
            gang.broken = True
