"""Runs that would be done sooner if they were started again elsewhere."""

from datetime import timedelta
from typing import TYPE_CHECKING

from loguru import logger

from almondspread.jobs.progress import Run, RunPhase, StepProgress

if TYPE_CHECKING:
    from almondspread.jobs.scheduler import Scheduler

# Progress is reported about once a second, and starts at nothing.
MIN_RUN_TIME = timedelta(seconds=2)
# Estimates are rough, and a restart throws work away.
GAIN_FACTOR = 2.5
ESTIMATE_FACTOR = 1.5
RESTART_COST = timedelta(seconds=1)
# Without fresh news of a run, its progress cannot be judged.
SIGHTING_AGE = timedelta(milliseconds=1_200)
LASTING_PATIENCE = timedelta(seconds=6)
MAX_STRAGGLERS_AT_ONCE = 4


def choose_stragglers(scheduler: "Scheduler", now: timedelta) -> list[Run]:
    """Return the runs to stop because their upstream is slow or stands still."""
    chosen: list[Run] = []
    for run in scheduler.ledger.runs.values():
        if run.phase is not RunPhase.RUNNING or now - run.started < MIN_RUN_TIME:
            continue
        if now - run.seen > SIGHTING_AGE:
            continue
        job = scheduler.jobs[run.task.job]
        progress = job.steps[run.task.occurrence, run.task.step]
        if progress.step.gang or not _is_straggling(progress, run, now):
            continue
        upstream = scheduler.ledger.upstreams.get(run.upstream)
        if upstream is not None and now >= upstream.suspended_until:
            upstream.suspend(now)
        logger.info(
            "straggler stopped",
            job=run.task.job,
            task=str(run.task),
            run=run.number,
            upstream=run.upstream,
            percent=run.percent,
            ran=(now - run.started).total_seconds(),
        )
        progress.avoided.setdefault(run.task.index, set()).add(run.upstream)
        chosen.append(run)
        if len(chosen) >= MAX_STRAGGLERS_AT_ONCE:
            break
    return chosen


def _is_straggling(progress: StepProgress, run: Run, now: timedelta) -> bool:
    """Tell whether a run will take far longer than one started afresh."""
    step = progress.step
    if step.lasting:
        return (
            not run.at_work
            and run.pace == 100
            and (now - max(run.changed, run.started) > LASTING_PATIENCE)
        )
    if run.pace < 100 or step.opportunistic:
        return False
    elapsed = now - run.started
    afresh = step.estimate * ESTIMATE_FACTOR + RESTART_COST
    if elapsed < afresh:
        return False
    left = elapsed * (100 - run.percent) / max(run.percent, 1)
    return left > afresh * GAIN_FACTOR
