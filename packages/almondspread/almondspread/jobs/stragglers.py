"""Runs that would be done sooner if they were started again elsewhere."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.progress import Run, RunPhase, StepProgress
from almondspread.jobs.submissions import Step

# Progress is reported about once a second, and starts at nothing.
MIN_RUN_TIME = timedelta(seconds=2)
# Estimates are rough, and a restart throws work away.
GAIN_FACTOR = 2.5
ESTIMATE_FACTOR = 1.5
RESTART_COST = timedelta(seconds=1)
# Without fresh news of a run, its progress cannot be judged.
MAX_SIGHTING_AGE = timedelta(milliseconds=1_200)
LASTING_STALL_TIMEOUT = timedelta(seconds=6)
MAX_STRAGGLERS_AT_ONCE = 4
MIN_RELIABLE_PERCENT = 15


def choose_stragglers(
    find_step: Callable[[Run], StepProgress], cell_state: CellState, now: timedelta
) -> list[Run]:
    """Return the runs that should be replaced by ones elsewhere.

    These are runs whose upstream is slow or stands still, and of tasks that may run
    twice also those whose upstream, or its executor, does not answer.
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
            progress, run, now
        ):
            continue
        if now >= upstream.suspended_until:
            upstream.suspend(now)
        chosen.append(run)
        if len(chosen) >= MAX_STRAGGLERS_AT_ONCE:
            break
    return chosen


def _is_straggling(progress: StepProgress, run: Run, now: timedelta) -> bool:
    """Tell whether a run will take far longer than one started afresh."""
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
    afresh = step.estimate * ESTIMATE_FACTOR + RESTART_COST
    if elapsed < afresh:
        return False
    return _extrapolate_time_left(run, elapsed) > afresh * GAIN_FACTOR


def _extrapolate_time_left(run: Run, elapsed: timedelta) -> timedelta:
    """Return how long a run goes on if it keeps its speed."""
    return elapsed * (100 - run.percent) / max(run.percent, 1)


def estimate_time_left(step: Step, run: Run, now: timedelta) -> timedelta:
    """Return how long a run will probably go on.

    Early in a run the estimate of its step tells more than its progress.
    """
    elapsed = now - run.started_at
    if run.percent < MIN_RELIABLE_PERCENT:
        return max(step.estimate - elapsed, timedelta(0))
    # Work went on since the progress was reported.
    reported = run.seen_at - run.started_at
    return max(
        _extrapolate_time_left(run, reported) - (now - run.seen_at), timedelta(0)
    )
