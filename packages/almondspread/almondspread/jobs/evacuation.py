"""Runs to move off upstreams that are about to leave."""

from loguru import logger

from almondspread.jobs.ledger import RunLedger
from almondspread.jobs.progress import JobProgress, Run, RunPhase, StepProgress


def choose_evacuations(jobs: dict[str, JobProgress], ledger: RunLedger) -> list[Run]:
    """Return the runs on draining upstreams that should be stopped and moved now.

    Lasting tasks move while their step may miss one more task. Tasks that save their
    progress move where they would not be done before the upstream leaves. All others
    run on, since they may yet end in time.
    """
    chosen = []
    away: dict[tuple[str, int, int], int] = {}
    for upstream in ledger.upstreams.values():
        if not upstream.entry.draining or upstream.lapse_at is not None:
            continue
        for run in ledger.list_runs(upstream.name):
            if run.phase is not RunPhase.RUNNING:
                continue
            job = jobs[run.task.job]
            progress = job.steps[run.task.occurrence, run.task.step]
            if not _should_move(progress, run, away):
                continue
            away[progress.key] = away.get(progress.key, 0) + 1
            logger.info(
                "run moved",
                job=run.task.job,
                task=str(run.task),
                run=run.number,
                upstream=run.upstream,
                reason="upstream draining",
            )
            chosen.append(run)
    return chosen


def _should_move(
    progress: StepProgress, run: Run, away: dict[tuple[str, int, int], int]
) -> bool:
    """Tell whether stopping a run now serves its job better than waiting."""
    step = progress.step
    if step.gang:
        return False
    if step.lasting:
        limit = step.unavailable_limit
        if not limit or not run.at_work:
            return True
        return progress.count_away() + away.get(progress.key, 0) < limit
    return False
