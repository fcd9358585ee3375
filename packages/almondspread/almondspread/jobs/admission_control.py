"""Admission control at one instance: its state between the decisions on jobs."""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.admission import (
    Excess,
    Outlook,
    find_excess,
    is_refused_by_load,
)
from almondspread.jobs.admitted_work import AdmittedWork
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.expected_work import find_class
from almondspread.jobs.load_estimate import (
    JobShape,
    LoadEstimate,
    Loads,
    measure_shape,
)
from almondspread.jobs.refusals import (
    Refusal,
    check_limit,
    check_size,
    make_overloaded,
)
from almondspread.jobs.retry_times import (
    RefusalKind,
    RefusedJobs,
    RefusingKinds,
    choose_retry_seconds,
)
from almondspread.jobs.submissions import Submission
from almondspread.jobs.workspace_rates import WorkspaceRates
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity

# However long an overload has lasted, callers are not sent away for longer because of
# that: room may be free again at any time.
MAX_EXPECTED_SECONDS = 30.0
# Surplus jobs come back later than others, which then find room first.
SURPLUS_DRAIN_FACTOR = 2.0


@define(eq=False)
class AdmissionControl:
    """Decides on jobs with the newest estimate, and what was admitted here since."""

    estimate: LoadEstimate = field(factory=LoadEstimate)
    _admitted: AdmittedWork = field(factory=AdmittedWork)
    _refused: RefusedJobs = field(factory=RefusedJobs)
    _rates: WorkspaceRates = field(factory=WorkspaceRates)
    _refusing: RefusingKinds = field(factory=RefusingKinds)
    _largest: dict[str, Capacity] = field(factory=dict)

    def update(self, loads: Loads, now: timedelta) -> None:
        """Replace the estimate by one that has just arrived.

        Sizes of services never shrink here: a new leader may not know all upstreams.
        """
        self.estimate = LoadEstimate(loads, now)
        for size in loads.sizes:
            told = Capacity(size.cpu_millis, size.memory_mib, size.accelerators)
            known = self._largest.get(size.service, told)
            self._largest[size.service] = known.take_larger(told)

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
        refusal = check_limit(submission, workspace)
        if refusal is not None or not is_refused_by_load(submission):
            return refusal
        refusal = check_size(queue, submission, self._largest.get(queue.service))
        if refusal is not None:
            return refusal
        shape = measure_shape(queue, submission)
        outlook = self._expect(queue, submission, shape, workspace, now)
        excess = find_excess(shape, outlook)
        if excess is not None:
            return self._refuse(queue, submission, shape, excess, outlook, now)
        self._refused.forget(submission.job)
        place = (queue.priority, find_class(shape.objective))
        self._admitted.add(queue.service, place, submission, now)
        return None

    def measure_age(self, now: timedelta) -> float | None:
        """Return how many seconds old the estimate is, ``None`` without any."""
        at = self.estimate.at
        return None if at is None else round((now - at).total_seconds(), 2)

    def _expect(
        self,
        queue: Queue,
        submission: Submission,
        shape: JobShape,
        workspace: Workspace | None,
        now: timedelta,
    ) -> Outlook:
        """Return what a job has to expect.

        With an old estimate there is no load, except for workspaces beyond their rate.
        """
        is_surplus = self._is_surplus(workspace, now)
        estimate = self.estimate
        is_fresh = estimate.is_fresh(now)
        if estimate.at is None or not (is_fresh or is_surplus):
            return Outlook(0.0)
        room = estimate.find_room(queue.service)
        wait = estimate.find_delay(queue, shape)
        if is_fresh and room is not None:
            wait += self._admitted.estimate_wait(
                room,
                (queue.priority, find_class(shape.objective)),
                estimate.loads.instances,
                shape.is_accelerated,
                estimate.at,
                now,
            )
        return Outlook(
            wait,
            room.late_seconds if room is not None else 0.0,
            self._refused.measure_elapsed(submission.job, now),
            is_surplus,
            self._refusing.is_refusing(_find_kind(queue, is_surplus), now),
        )

    def _refuse(
        self,
        queue: Queue,
        submission: Submission,
        shape: JobShape,
        excess: Excess,
        outlook: Outlook,
        now: timedelta,
    ) -> Refusal:
        """Record that a job is refused, and return why and until when."""
        kind = _find_kind(queue, outlook.is_surplus)
        refusing_for = self._refusing.record(kind, now)
        attempts = self._refused.record(submission.job, now)
        # An overload that has lasted for some time is expected to last as long again.
        drain = max(
            outlook.wait_seconds,
            outlook.late_seconds,
            min(refusing_for, MAX_EXPECTED_SECONDS),
        )
        if outlook.is_surplus:
            drain *= SURPLUS_DRAIN_FACTOR
        retry_after = choose_retry_seconds(
            submission.job,
            attempts.count,
            excess.seconds,
            drain,
            shape.slack - outlook.elapsed_seconds,
        )
        problem = make_overloaded(queue, excess, outlook, retry_after)
        return Refusal(excess.reason, problem, outlook)

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


def _find_kind(queue: Queue, is_surplus: bool) -> RefusalKind:
    """Return the kind of a job, by which refusing has a beginning and an end."""
    return (queue.service, queue.priority, is_surplus)
