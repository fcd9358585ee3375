"""Speed limits of opportunistic tasks that run beside latency-sensitive ones."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.messages import PaceRun
from almondspread.jobs.step_progress import StepProgress

# These are shares of the latency target. Opportunistic tasks slow down before the
# latency reaches the target, and speed up again only well below it.
SLOW_DOWN_SHARE = 0.8
SPEED_UP_SHARE = 0.5
PACE_PERCENTAGES = (0, 25, 50, 100)
SPEED_UP_INTERVAL = timedelta(seconds=2)


def choose_paces(
    runs: list[Run], find_step: Callable[[Run], StepProgress], now: timedelta
) -> list[PaceRun]:
    """Return orders that change the paces of opportunistic runs on one upstream.

    The latency-sensitive run with the highest ratio of tail latency to target decides
    the pace of all opportunistic runs.
    """
    worst = 0.0
    opportunistic = []
    for run in runs:
        if run.phase is not RunPhase.RUNNING:
            continue
        step = find_step(run).step
        if step.opportunistic:
            opportunistic.append(run)
        elif step.latency_target:
            target = step.latency_target / timedelta(milliseconds=1)
            worst = max(worst, run.figure / target)
    orders = []
    for run in opportunistic:
        pace = _choose_pace(run, worst, now)
        if pace == run.pace and run.knows_pace:
            continue
        run.pace = pace
        run.knows_pace = True
        run.changed_at = now
        orders.append(PaceRun(run.upstream, run.task, run.number, pace))
    return orders


def _choose_pace(run: Run, worst: float, now: timedelta) -> int:
    """Return the pace in percent of one opportunistic run.

    ``worst`` is the highest ratio of tail latency to target on the upstream.
    """
    if worst >= 1.0:
        return PACE_PERCENTAGES[0]
    position = PACE_PERCENTAGES.index(run.pace)
    if worst >= SLOW_DOWN_SHARE:
        return PACE_PERCENTAGES[max(position - 1, 0)]
    if worst <= SPEED_UP_SHARE and now - run.changed_at > SPEED_UP_INTERVAL:
        return PACE_PERCENTAGES[min(position + 1, len(PACE_PERCENTAGES) - 1)]
    return run.pace
