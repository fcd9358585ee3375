"""Loops that go on after an unexpected error."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread_daemon.jobs.metrics import JobMetrics

# An error that comes back at each round must not keep the process busy.
ERROR_PAUSE = timedelta(milliseconds=500)


async def run_lasting(
    name: str, run: Callable[[], Awaitable[None]], clock: Clock, metrics: JobMetrics
) -> None:
    """Run a loop, and run it anew after each unexpected error, until cancelled.

    Only a loop that keeps its promises when it begins anew may run this way.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            metrics.count_loop_error(name)
            logger.opt(exception=True).error(
                "loop interrupted by an error", loop=name, reason=str(error)
            )
        await clock.sleep(ERROR_PAUSE)
