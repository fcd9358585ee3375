"""Detection of stragglers: runs that would finish earlier on another upstream."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step
from almondspread.jobs.upstreams import Upstream

# Upstreams report progress about once a second, and progress starts at zero.
MIN_RUN_TIME = timedelta(seconds=2)
# A restart discards work, so a run is replaced only if its remaining time exceeds that
# of a new run by this factor.
GAIN_FACTOR = 2.0
# Stopping a run, getting permits anew and starting another run takes about this time.
RESTART_COST = timedelta(seconds=1)
# The progress of a run cannot be judged if its last report is older than this.
MAX_SIGHTING_AGE = timedelta(milliseconds=1_200)
LASTING_STALL_TIMEOUT = timedelta(seconds=6)
MAX_STRAGGLERS_AT_ONCE = 4
MIN_RELIABLE_PERCENT = 15


def choose_stragglers(
    find_step: Callable[[Run], StepProgress],
    cell_state: CellState,
    ratios: DurationRatios,
    find_speed: Callable[[StepProgress, Upstream], float],
    now: timedelta,
) -> list[Run]:
    """Return the runs that should be replaced by runs on other upstreams.

    These are runs that are slow or make no progress. For tasks that may run twice,
    runs on upstreams that do not answer, or whose executor does not, are included. The
    upstream of a slow run is suspended, since it is the likely cause. ``find_speed``
    tells how fast a step's tasks usually run on an upstream.
    """
    chosen: list[Run] = []
    for run in cell_state.runs.values():
        if run.phase is RunPhase.STOPPING:
            continue
        progress = find_step(run)
        if progress.step.gang or len(progress.runs[run.task.index]) > 1:
            continue
        upstream = cell_state.upstreams.get(run.upstream)
        if upstream is None:
            continue
        if upstream.is_unreachable(now):
            if progress.step.duplicates and run.task.index not in progress.waiting:
                chosen.append(run)
            continue
        if run.phase is not RunPhase.RUNNING:
            continue
        if now - run.seen_at > MAX_SIGHTING_AGE or not _is_straggling(
            progress, run, ratios, find_speed(progress, upstream), now
        ):
            continue
        if now >= upstream.suspended_until:
            upstream.suspend(now)
        chosen.append(run)
        if len(chosen) >= MAX_STRAGGLERS_AT_ONCE:
            break
    return chosen


def _is_straggling(
    progress: StepProgress,
    run: Run,
    ratios: DurationRatios,
    speed: float,
    now: timedelta,
) -> bool:
    """Return whether a run will take far longer than a newly started one.

    ``speed`` is what the kind of upstream and the place of its data let expect. Runs
    on a slow kind take longer, and a new run is taken to be at the reference speed.
    """
    step = progress.step
    if step.lasting:
        return (
            not run.available
            and run.pace == 100
            and (now - max(run.changed_at, run.started_at) > LASTING_STALL_TIMEOUT)
        )
    elapsed = now - run.started_at
    if run.pace < 100 or step.opportunistic or elapsed < MIN_RUN_TIME:
        return False
    upper = ratios.find_upper(progress.job.submission.queue)
    usual_time = step.estimate * (upper / speed) + RESTART_COST
    restart_time = step.estimate * upper + RESTART_COST
    # A task that is slow on every upstream has a wrong estimate.
    observed = progress.observed_durations.get(run.task.index)
    if observed is not None:
        usual_time = max(usual_time, observed)
        restart_time = max(restart_time, observed)
    if elapsed < usual_time:
        return False
    return _extrapolate_time_left(run, elapsed) > restart_time * GAIN_FACTOR


def extrapolate_duration(run: Run, now: timedelta) -> timedelta:
    """Return how long a run takes in all at its average speed so far."""
    elapsed = now - run.started_at
    return elapsed + _extrapolate_time_left(run, elapsed)


def _extrapolate_time_left(run: Run, elapsed: timedelta) -> timedelta:
    """Return the remaining time of a run at its average speed so far."""
    return elapsed * (100 - run.percent) / max(run.percent, 1)


def estimate_time_left(
    step: Step, run: Run, now: timedelta, ratio: float = 1.0
) -> timedelta:
    """Return the estimated remaining time of a run.

    Early in a run, the estimate of its step is more reliable than its progress;
    ``ratio`` is the usual ratio of the real duration to that estimate.
    """
    elapsed = now - run.started_at
    if run.percent < MIN_RELIABLE_PERCENT:
        return max(step.estimate * ratio - elapsed, timedelta(0))
    # The run has continued since its progress was reported.
    reported = run.seen_at - run.started_at
    return max(
        _extrapolate_time_left(run, reported) - (now - run.seen_at), timedelta(0)
    )
