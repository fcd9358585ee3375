"""Logs why tasks that have waited for long do not run, for one leader."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.long_waits import LongWait, LongWaits
from almondspread.jobs.scheduler import Scheduler

WAIT_LOG_INTERVAL = timedelta(seconds=1)


class WaitLog:
    """Writes a bounded number of lines once per ``WAIT_LOG_INTERVAL``."""

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._waits = LongWaits()

    async def run(self) -> None:
        """Log the long waits until cancelled."""
        while True:
            now = self._clock.monotonic()
            reasons = self._scheduler.explain_waits(now)
            for wait in self._waits.choose(reasons, now):
                _log_wait(wait, self._scheduler.epoch, now)
            await self._clock.sleep(WAIT_LOG_INTERVAL)


def _log_wait(wait: LongWait, epoch: int, now: timedelta) -> None:
    """Log one wait; the time left is missing where it is not known."""
    reason = wait.reason
    left = reason.find_time_left(now)
    logger.info(
        "task waits",
        job=reason.job,
        occurrence=reason.occurrence,
        step=reason.step,
        tasks=reason.tasks,
        cause=str(reason.cause),
        upstream=reason.upstream,
        seconds_left=None if left is None else round(left.total_seconds(), 1),
        steps_before=reason.steps_before,
        waited=round(wait.waited.total_seconds(), 1),
        epoch=epoch,
    )
