"""The work that accepted jobs still have to do, by when it starts and is due."""

from collections.abc import Callable, Collection, Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.demand import ResourceRates
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.ordering import FIRST_GROUP, LAST_GROUP, rank_step
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.workspace_usage import NOTHING
from almondspread.resources.capacity import Capacity

# Seconds until the due time; jobs of one class are taken to wait alike. Jobs that are
# due sooner are placed first, so that a burst of large jobs does not delay small ones.
CLASS_BOUNDS = (2.0, 8.0, 32.0, 128.0)
# Seconds that a task is expected to run on, at the least.
MIN_LEFT = 0.1
# A run that exceeds its expected duration goes on for about this part of it.
OVERRUN_PART = 0.1


@define(frozen=True)
class ExpectedWork:
    """What tasks of one step will hold, from ``starts_in`` on for ``seconds``.

    ``service`` and ``priority`` are those of the job's queue. Tasks that already run
    are ahead of all others. Otherwise ``size_class`` tells how soon the job is due.
    Work ``is_late`` if it is placed after the first group, as that of jobs which can no
    longer be on time, of surplus jobs, and of workspaces over their share. Lasting
    tasks never end.
    """

    service: str
    priority: int
    size_class: int
    starts_in: float
    seconds: float
    rates: ResourceRates
    is_running: bool = False
    is_late: bool = False
    is_lasting: bool = False


@define(eq=False)
class WorkspaceBounds:
    """What the limits and shares of workspaces mean for tasks that wait.

    ``count_startable`` tells how many tasks of a step may start beside an amount that
    others of its workspace take. Tasks that have to wait for the limit of their
    workspace take room from nobody else. ``is_over_share`` tells of a step whose tasks
    are placed after those of other workspaces.
    """

    count_startable: Callable[[StepProgress, Capacity], int]
    is_over_share: Callable[[StepProgress], bool]
    _taken: dict[str, Capacity] = field(factory=dict)

    def take(self, progress: StepProgress) -> int:
        """Return how many waiting tasks of a step fit beside those counted before."""
        workspace = progress.job.submission.workspace
        if not workspace:
            return len(progress.waiting)
        taken = self._taken.get(workspace, NOTHING)
        count = self.count_startable(progress, taken)
        self._taken[workspace] = taken.plus(progress.step.size.times(count))
        return count


def find_class(seconds: float) -> int:
    """Return the size class of a job that is due in so many seconds.

    >>> find_class(0.5), find_class(10.0), find_class(1_000.0)
    (0, 2, 4)
    """
    for number, bound in enumerate(CLASS_BOUNDS):
        if seconds <= bound:
            return number
    return len(CLASS_BOUNDS)


def list_expected_work(
    jobs: Iterable[JobProgress],
    counted_upstreams: Collection[str],
    configuration: Configuration,
    ratios: DurationRatios,
    now: timedelta,
    bounds: WorkspaceBounds | None = None,
) -> list[ExpectedWork]:
    """Return the work of all jobs that have not ended.

    It includes steps that are not ready yet, from when they are expected to be. Runs
    count only on ``counted_upstreams``. ``ratios`` corrects the declared estimates.
    Tasks that no upstream may run and results without value take room from nobody.
    """
    found: list[ExpectedWork] = []
    means: dict[str, float] = {}
    for job in jobs:
        if job.ended is not None:
            continue
        queue = job.submission.find_queue(configuration)
        if queue is None:
            continue
        name = job.submission.queue
        if name not in means:
            means[name] = ratios.find_mean(name)
        ratio = means[name]
        ends: dict[tuple[int, int], float] = {}
        for key, progress in job.steps.items():
            starts_in = 0.0
            for number in progress.step.after:
                starts_in = max(starts_in, ends.get((key[0], number), 0.0))
            ends[key] = starts_in
            running = _expect_runs(progress, queue, counted_upstreams, ratio, now)
            if running is not None:
                found.append(running)
                ends[key] = running.seconds
            waiting = _expect_waiting(
                progress, queue, configuration, starts_in, ratio, now, bounds
            )
            if waiting is not None:
                found.append(waiting)
                ends[key] = max(ends[key], starts_in + waiting.seconds)
    return found


def _scale(progress: StepProgress, count: int) -> ResourceRates:
    """Return what a number of tasks of a step hold together."""
    claim = progress.step.claim
    return ResourceRates(
        claim.cpu_millis * count, claim.memory_mib * count, claim.accelerators * count
    )


def _expect_runs(
    progress: StepProgress,
    queue: Queue,
    counted_upstreams: Collection[str],
    ratio: float,
    now: timedelta,
) -> ExpectedWork | None:
    """Return what the running tasks of a step still hold."""
    if not progress.runs:
        return None
    count = 0
    started = timedelta(0)
    for runs in progress.runs.values():
        for run in runs:
            if run.upstream in counted_upstreams:
                count += 1
                started += run.started_at
    if not count:
        return None
    expected = progress.step.estimate.total_seconds() * ratio
    elapsed = (now - started / count).total_seconds()
    left = max(expected - elapsed, OVERRUN_PART * expected, MIN_LEFT)
    return ExpectedWork(
        queue.service,
        queue.priority,
        0,
        0.0,
        left,
        _scale(progress, count),
        is_running=True,
        is_lasting=progress.step.lasting,
    )


def _expect_waiting(
    progress: StepProgress,
    queue: Queue,
    configuration: Configuration,
    starts_in: float,
    ratio: float,
    now: timedelta,
    bounds: WorkspaceBounds | None,
) -> ExpectedWork | None:
    """Return what the waiting tasks of a step will hold, if they have any value."""
    if not progress.waiting:
        return None
    if progress.permits.denied and not progress.permits.allowed:
        return None
    group, _, priority, due = rank_step(progress, configuration, now)
    if group == LAST_GROUP:
        return None
    count = len(progress.waiting)
    is_late = group != FIRST_GROUP
    if bounds is not None:
        count = bounds.take(progress)
        is_late = is_late or bounds.is_over_share(progress)
    if not count:
        return None
    seconds = progress.step.estimate.total_seconds() * ratio
    return ExpectedWork(
        queue.service,
        priority,
        find_class((due - now).total_seconds()),
        starts_in,
        max(seconds, MIN_LEFT),
        _scale(progress, count),
        is_late=is_late,
        is_lasting=progress.step.lasting,
    )
