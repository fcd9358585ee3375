"""Why tasks do not run: the cause, the upstream that it lies with, and until when."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import StrEnum

from attrs import define, evolve, field

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.holds import HoldCause, StartHolds
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import MAX_COUNT


class DelayCause(StrEnum):
    """What delays tasks that nothing of ``HoldCause`` keeps from starting.

    With the tasks of a ``WORKSPACE_LIMIT``, more than the limit of their workspace
    would be running, or might be on upstreams that have not reported. Tasks of a
    ``WORKSPACE_SHARE`` wait for room after those of workspaces that have less than
    their share of a service, or after the jobs within the rates. Tasks on a
    ``SILENT_UPSTREAM`` have a run, which may have ended unheard.
    """

    NO_PERMITS = "no_permits"
    NO_ROOM = "no_room"
    SILENT_UPSTREAM = "silent_upstream"
    WORKSPACE_LIMIT = "workspace_limit"
    WORKSPACE_SHARE = "workspace_share"


WaitCause = HoldCause | DelayCause


@define(frozen=True)
class UnseenUpstream:
    """An upstream that may run ``tasks`` of an earlier leader ``until`` a time.

    The tasks are ``None`` if it may be any.
    """

    name: str
    until: timedelta
    tasks: frozenset[TaskId] | None = None

    def may_run_any(self, tasks: frozenset[TaskId]) -> bool:
        """Return whether the upstream may run any of some tasks."""
        return self.tasks is None or not self.tasks.isdisjoint(tasks)


@define(frozen=True)
class HoldBounds:
    """When what holds back tasks has surely ended.

    ``unseen`` upstreams have not reported to this leader. The leases of the upstreams
    in ``silent``, which do not answer, have expired by the time given there. A loss
    whose cause is unknown counts for its run until the time in ``losses``.
    """

    unseen: tuple[UnseenUpstream, ...] = ()
    silent: Mapping[str, timedelta] = field(factory=dict)
    losses: Mapping[tuple[TaskId, int], timedelta] = field(factory=dict)


@define(frozen=True)
class WaitReason:
    """Why some ``tasks`` of a step do not run.

    ``upstream`` is the one that the cause lies with, of several the one that may take
    the longest, and empty if it lies with none. The cause has ended ``until`` that time
    at the latest, if that is known. ``steps_before`` are placed first.
    """

    job: str
    occurrence: int
    step: int
    tasks: int
    cause: WaitCause
    upstream: str = ""
    until: timedelta | None = None
    steps_before: int | None = None

    @property
    def key(self) -> tuple[str, int, int]:
        """The job, occurrence and number, which identify the step."""
        return (self.job, self.occurrence, self.step)

    def find_time_left(self, now: timedelta) -> timedelta | None:
        """Return how long the cause may still last, ``None`` if that is not known."""
        if self.until is None:
            return None
        return max(self.until - now, timedelta(0))


@define(frozen=True)
class StepHold:
    """The ``cause`` that keeps all waiting tasks of a step, or the tasks ``held``.

    Held tasks may run on an unseen upstream; nothing keeps the others from starting.
    """

    cause: HoldCause | None = None
    held: frozenset[int] = frozenset()


def find_hold(progress: StepProgress, holds: StartHolds, now: timedelta) -> StepHold:
    """Return what keeps waiting tasks of a step from starting."""
    cause = holds.find_cause(progress, now)
    if cause is None and holds.lacks_start_record(progress):
        cause = HoldCause.START_RECORD
    if cause is not None:
        return StepHold(cause)
    return StepHold(None, holds.list_held(progress))


def explain_step(
    progress: StepProgress,
    hold: StepHold,
    bounds: HoldBounds,
    now: timedelta,
    needs_advice: bool = False,
    steps_before: int = 0,
    startable: int = MAX_COUNT,
    yields: bool = False,
) -> list[WaitReason]:
    """Return why the waiting tasks of a ready step have not started.

    The step starts only with permits if it ``needs_advice``. The limit of its workspace
    lets only ``startable`` tasks start, and it ``yields`` room to workspaces with less
    than their share, or to jobs within the rates. There are several reasons where some
    tasks are held while others are not.

    >>> from almondspread.jobs.progress import JobProgress
    >>> from almondspread.jobs.submissions import Step, Submission
    >>> from almondspread.resources.capacity import Capacity
    >>> step = Step(2, Capacity(500, 256), timedelta(seconds=1))
    >>> job = JobProgress(Submission("7f", "queue", "", (step,)), timedelta(0), 5)
    >>> progress = StepProgress(job, 0, 0, step, waiting={0: None, 1: None})
    >>> bounds = HoldBounds((UnseenUpstream("u-1", timedelta(seconds=9)),))
    >>> hold = find_hold(progress, StartHolds(5, 5), timedelta(0))
    >>> (reason,) = explain_step(progress, hold, bounds, timedelta(0))
    >>> str(reason.cause), reason.upstream, reason.tasks
    ('unseen_upstream', 'u-1', 2)
    >>> reason.find_time_left(timedelta(seconds=2)).total_seconds()
    7.0
    >>> (reason,) = explain_step(progress, StepHold(), bounds, timedelta(0))
    >>> str(reason.cause)
    'no_room'
    """
    if hold.cause is not None:
        return [_explain_hold(progress, hold.cause, bounds)]
    found = []
    if hold.held:
        upstream, until = _find_last_unseen(progress, hold.held, bounds)
        unseen = HoldCause.UNSEEN_UPSTREAM
        found.append(WaitReason(*progress.key, len(hold.held), unseen, upstream, until))
    others = len(progress.waiting) - len(hold.held)
    if others > startable:
        cause = DelayCause.WORKSPACE_LIMIT
        found.append(WaitReason(*progress.key, others - startable, cause))
        others = startable
    if not others:
        return found
    if needs_advice and not progress.permits.has_ticket(now):
        found.append(WaitReason(*progress.key, others, DelayCause.NO_PERMITS))
    else:
        delay = DelayCause.WORKSPACE_SHARE if yields else DelayCause.NO_ROOM
        reason = WaitReason(*progress.key, others, delay)
        found.append(evolve(reason, steps_before=steps_before))
    return found


def _explain_hold(
    progress: StepProgress, cause: HoldCause, bounds: HoldBounds
) -> WaitReason:
    """Return why no waiting task of a step may start."""
    upstream = ""
    until = None
    match cause:
        case HoldCause.REFUSED_START:
            until = progress.not_before
        case HoldCause.UNSEEN_UPSTREAM:
            upstream, until = _find_last_unseen(progress, progress.waiting, bounds)
        case HoldCause.GANG_MEMBERS:
            upstream, until = _find_last_member(progress, bounds)
        case HoldCause.LOST_UPSTREAMS:
            upstream, until = _find_last_loss(progress, bounds)
    return WaitReason(*progress.key, len(progress.waiting), cause, upstream, until)


def _find_last_unseen(
    progress: StepProgress, indexes: Iterable[int], bounds: HoldBounds
) -> tuple[str, timedelta | None]:
    """Return the last unseen upstream that may run any of some tasks, and until when.

    There is none while only some stored jobs are missing.
    """
    tasks = frozenset(map(progress.make_task_id, indexes))
    found: dict[str, timedelta] = {}
    for upstream in bounds.unseen:
        if upstream.may_run_any(tasks):
            found[upstream.name] = upstream.until
    return _choose_last(found)


def _find_last_member(
    progress: StepProgress, bounds: HoldBounds
) -> tuple[str, timedelta | None]:
    """Return the upstream that may run a member of a gang the longest, if it is silent.

    If all of them answer, it is any of them, and the time is not known.
    """
    silent: dict[str, timedelta] = {}
    name = ""
    for run in _list_runs(progress):
        name = run.upstream
        if name in bounds.silent:
            silent[name] = bounds.silent[name]
    return _choose_last(silent) if silent else (name, None)


def _find_last_loss(
    progress: StepProgress, bounds: HoldBounds
) -> tuple[str, timedelta | None]:
    """Return the upstream whose loss holds back a step the longest, and until when."""
    found: dict[str, timedelta] = {}
    name = ""
    for index, loss in progress.losses.list_open():
        if index not in progress.waiting:
            continue
        name = loss.upstream
        until = bounds.losses.get((progress.make_task_id(index), loss.run))
        if until is not None:
            found[name] = max(until, found.get(name, until))
    return _choose_last(found) if found else (name, None)


def _choose_last(
    times: Mapping[str, timedelta],
) -> tuple[str, timedelta | None]:
    """Return the name with the latest time, and the time.

    >>> _choose_last({"u-1": timedelta(seconds=2), "u-2": timedelta(seconds=1)})[0]
    'u-1'
    >>> _choose_last({})
    ('', None)
    """
    if not times:
        return "", None
    name = max(times, key=lambda each: times[each])
    return name, times[name]


def explain_silent_runs(
    progress: StepProgress, bounds: HoldBounds
) -> WaitReason | None:
    """Return why tasks of a step may not run although they have a run, if any.

    All runs of such a task are on upstreams that do not answer.
    """
    tasks = 0
    found: dict[str, timedelta] = {}
    for runs in progress.runs.values():
        if any(run.upstream not in bounds.silent for run in runs):
            continue
        tasks += 1
        for run in runs:
            found[run.upstream] = bounds.silent[run.upstream]
    if not tasks:
        return None
    upstream, until = _choose_last(found)
    return WaitReason(*progress.key, tasks, DelayCause.SILENT_UPSTREAM, upstream, until)


def _list_runs(progress: StepProgress) -> list[Run]:
    """Return all runs of a step."""
    found = []
    for runs in progress.runs.values():
        found.extend(runs)
    return found
