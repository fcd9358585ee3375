"""The planned end of an instance: no request that was read stays unanswered."""

from datetime import timedelta

from loguru import logger
from tornado.httpserver import HTTPServer

from almondspread.clock import Clock
from almondspread_daemon.jobs.instance import JobInstance

# The balancer sends new connections until it has found readiness off twice.
LOAD_BALANCER_DELAY = timedelta(milliseconds=2_500)
EXIT_MARGIN = timedelta(milliseconds=1_200)


async def drain_callers(
    instance: JobInstance, callers: HTTPServer, clock: Clock, grace: timedelta
) -> None:
    """Hand over what others need, serve the callers at hand, and stop listening.

    Each answer asks its caller to close the connection, so that those which are still
    open at the end have nothing under way.
    """
    began = clock.monotonic()
    await instance.stop()
    notice = min(LOAD_BALANCER_DELAY, grace - EXIT_MARGIN)
    await clock.sleep(max(timedelta(0), notice - (clock.monotonic() - began)))
    callers.stop()
    await callers.close_all_connections()
    logger.info("callers drained", seconds=(clock.monotonic() - began).total_seconds())
