"""Graceful shutdown of an instance: every request that was read is answered."""

from datetime import timedelta

from loguru import logger
from tornado.httpserver import HTTPServer

from almondspread.clock import Clock
from almondspread_daemon.jobs.instance import JobInstance

# The load balancer sends new connections until two readiness checks have failed.
LOAD_BALANCER_DELAY = timedelta(milliseconds=2_500)
EXIT_MARGIN = timedelta(milliseconds=1_200)


async def drain_callers(
    instance: JobInstance, callers: HTTPServer, clock: Clock, grace: timedelta
) -> None:
    """Hand over the instance's roles, serve remaining callers, and stop listening.

    Each answer asks its caller to close the connection, so that connections which are
    still open at the end have no pending request.
    """
    began = clock.monotonic()
    await instance.stop()
    delay = min(LOAD_BALANCER_DELAY, grace - EXIT_MARGIN)
    await clock.sleep(max(timedelta(0), delay - (clock.monotonic() - began)))
    callers.stop()
    await callers.close_all_connections()
    logger.info(
        "finished draining callers", seconds=(clock.monotonic() - began).total_seconds()
    )
