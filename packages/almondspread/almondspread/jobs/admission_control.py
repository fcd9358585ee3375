"""Admission control at one instance: its state between the decisions on jobs."""

from datetime import timedelta

from attrs import define, field

from almondspread.errors import InvalidInput, Overloaded, Problem
from almondspread.jobs.admission import (
    Excess,
    Outlook,
    RefusalReason,
    compute_objective,
    find_excess,
    find_misfit,
    find_path,
    is_refused_by_load,
)
from almondspread.jobs.admitted_work import RATE_TIME, AdmittedWork
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.expected_work import find_class
from almondspread.jobs.load_estimate import LoadEstimate, Loads
from almondspread.jobs.retry_times import RefusedJobs, choose_retry_seconds
from almondspread.jobs.submissions import Submission
from almondspread.jobs.workspace_rates import WorkspaceRates
from almondspread.jobs.workspaces import Workspace

# A queue counts as refusing for this long after its last refusal.
REFUSING_TIME = timedelta(seconds=1)
# Surplus jobs come back later than others, which then find room first.
SURPLUS_DRAIN_FACTOR = 2.0


@define(frozen=True)
class Refusal:
    """Why a job is refused, with the ``outlook`` by which that was decided."""

    reason: RefusalReason
    problem: Problem
    outlook: Outlook = Outlook(0.0)


@define(eq=False)
class Refusing:
    """Since when jobs of one kind are refused, and when the last one was."""

    since: timedelta
    last_at: timedelta


@define(eq=False)
class AdmissionControl:
    """Decides on jobs with the newest estimate, and what was admitted here since."""

    estimate: LoadEstimate = field(factory=LoadEstimate)
    _admitted: AdmittedWork = field(factory=AdmittedWork)
    _refused: RefusedJobs = field(factory=RefusedJobs)
    _rates: WorkspaceRates = field(factory=WorkspaceRates)
    _refusing: dict[tuple[str, int, bool], Refusing] = field(factory=dict)

    def update(self, loads: Loads, now: timedelta) -> None:
        """Replace the estimate by one that has just arrived."""
        self.estimate = LoadEstimate(loads, now)

    def decide(
        self,
        queue: Queue,
        submission: Submission,
        configuration: Configuration,
        now: timedelta,
    ) -> Refusal | None:
        """Return why a job is refused, ``None`` if it is admitted.

        An admitted job counts at once, since storing it takes a while.
        """
        workspace = _find_workspace(submission, configuration)
        refusal = _check_limit(submission, workspace)
        if refusal is not None or not is_refused_by_load(submission):
            return refusal
        path = find_path(submission)
        outlook = self._expect(queue, submission, workspace, path, now)
        excess = find_excess(queue, path, outlook)
        if excess is None:
            self._admit(queue, submission, path, now)
            return None
        key = (queue.service, queue.priority, outlook.is_surplus)
        refusing = self._refusing.get(key)
        if refusing is None or now - refusing.last_at > REFUSING_TIME:
            refusing = self._refusing[key] = Refusing(now, now)
        refusing.last_at = now
        refusing_for = (now - refusing.since).total_seconds()
        attempts = self._refused.record(submission.job, now)
        drain = max(outlook.wait_seconds, outlook.late_seconds, refusing_for)
        time_left = compute_objective(queue, path) - path - outlook.elapsed_seconds
        if outlook.is_surplus:
            drain *= SURPLUS_DRAIN_FACTOR
        retry_after = choose_retry_seconds(
            submission.job, attempts.count, excess.seconds, drain, time_left
        )
        return Refusal(
            excess.reason,
            _make_overloaded(queue, excess, outlook, retry_after),
            outlook,
        )

    def measure_age(self, now: timedelta) -> float | None:
        """Return how many seconds old the estimate is, ``None`` without any."""
        at = self.estimate.at
        return None if at is None else round((now - at).total_seconds(), 2)

    def _admit(
        self, queue: Queue, submission: Submission, path: float, now: timedelta
    ) -> None:
        """Record a job that is admitted."""
        self._refused.forget(submission.job)
        self._admitted.forget(now - 2 * RATE_TIME)
        place = (queue.priority, find_class(compute_objective(queue, path)))
        self._admitted.add(queue.service, place, submission, now)

    def _expect(
        self,
        queue: Queue,
        submission: Submission,
        workspace: Workspace | None,
        path: float,
        now: timedelta,
    ) -> Outlook:
        """Return what a job has to expect.

        With an old estimate there is no load, except for workspaces beyond their rate.
        """
        is_surplus = self._is_surplus(workspace, now)
        estimate = self.estimate
        if estimate.at is None or not (estimate.is_fresh(now) or is_surplus):
            return Outlook(0.0)
        accelerated = any(step.size.accelerators for step in submission.steps)
        place = (queue.priority, find_class(compute_objective(queue, path)))
        busy = estimate.find_busy_time(queue.service, *place, accelerated)
        room = estimate.find_room(queue.service)
        wait = busy.find_delay(path)
        if estimate.is_fresh(now):
            wait += self._admitted.estimate_wait(
                room, place, estimate.loads.instances, accelerated, estimate.at, now
            )
        refusing = self._refusing.get((queue.service, queue.priority, is_surplus))
        return Outlook(
            wait,
            room.late_seconds if room is not None else 0.0,
            self._refused.measure_elapsed(submission.job, now),
            is_surplus,
            refusing is not None and now - refusing.last_at <= REFUSING_TIME,
        )

    def _is_surplus(self, workspace: Workspace | None, now: timedelta) -> bool:
        """Return whether a job is beyond the rate of a workspace that exceeds it.

        The instance lets its own part of the workspace's rate pass.
        """
        if workspace is None or workspace.name not in self.estimate.exceeded:
            return False
        part = workspace.weight / max(self.estimate.loads.instances, 1)
        return self._rates.record(workspace.name, part, now)


def _find_workspace(
    submission: Submission, configuration: Configuration
) -> Workspace | None:
    """Return the workspace of a job, ``None`` where it has none."""
    if configuration.workspaces is None:
        return None
    return configuration.workspaces.get(submission.workspace)


def _check_limit(submission: Submission, workspace: Workspace | None) -> Refusal | None:
    """Return the refusal of a job that can never run within its workspace's limit."""
    if workspace is None:
        return None
    misfit = find_misfit(submission, workspace.limit, is_whole=True)
    if not misfit:
        return None
    problem = InvalidInput(
        f"the job exceeds the limit of workspace {workspace.name}: {misfit}",
        "submit smaller tasks, or ask the operator for a higher limit",
    )
    return Refusal(RefusalReason.WORKSPACE_LIMIT, problem)


def _make_overloaded(
    queue: Queue, excess: Excess, outlook: Outlook, retry_after: float
) -> Problem:
    """Return the problem of a job that is refused because of load."""
    text = f"a job of {queue.name} would wait {outlook.wait_seconds:.1f} s for capacity"
    if excess.reason is RefusalReason.SURPLUS:
        text = f"the workspace exceeds its rate of jobs, and {text}"
    return Overloaded(
        text,
        "submit it again after the time given in Retry-After",
        retry_after_seconds=retry_after,
    )
