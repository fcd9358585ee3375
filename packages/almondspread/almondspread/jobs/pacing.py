"""How fast tasks that fill may run beside tasks that serve users."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.jobs.messages import PaceRun
from almondspread.jobs.progress import Run, RunPhase, StepProgress

# Fillers slow down before the target is reached, and speed up well below it.
SLOW_DOWN_SHARE = 0.8
SPEED_UP_SHARE = 0.5
PACE_PERCENTAGES = (0, 25, 50, 100)
SPEED_UP_INTERVAL = timedelta(seconds=2)


def choose_paces(
    runs: list[Run], find_step: Callable[[Run], StepProgress], now: timedelta
) -> list[PaceRun]:
    """Return the new paces of the fillers among the runs of one upstream.

    The worst tail of the serving tasks, as a share of its target, decides for all.
    """
    worst = 0.0
    fillers = []
    for run in runs:
        if run.phase is not RunPhase.RUNNING:
            continue
        step = find_step(run).step
        if step.opportunistic:
            fillers.append(run)
        elif step.latency_target:
            target = step.latency_target / timedelta(milliseconds=1)
            worst = max(worst, run.figure / target)
    orders = []
    for run in fillers:
        pace = _choose_pace(run, worst, now)
        if pace == run.pace:
            continue
        run.pace = pace
        run.changed_at = now
        orders.append(PaceRun(run.upstream, run.task, run.number, pace))
    return orders


def _choose_pace(run: Run, worst: float, now: timedelta) -> int:
    """Return the pace of one filler."""
    if worst >= 1.0:
        return PACE_PERCENTAGES[0]
    position = PACE_PERCENTAGES.index(run.pace)
    if worst >= SLOW_DOWN_SHARE:
        return PACE_PERCENTAGES[max(position - 1, 0)]
    if worst <= SPEED_UP_SHARE and now - run.changed_at > SPEED_UP_INTERVAL:
        return PACE_PERCENTAGES[min(position + 1, len(PACE_PERCENTAGES) - 1)]
    return run.pace
