"""What a refused client is told, and how refusals are counted and logged."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.errors import Problem, TooLarge, TooSlow, Unavailable
from almondspread_daemon.http.client_connection import Connection, Refusal

LOG_INTERVAL = timedelta(seconds=10)
RETRY_SECONDS = 2.0


def make_problem(refusal: Refusal, connection: Connection) -> Problem:
    """Return the problem that tells a client why its request did not run."""
    limits = connection.limits
    if refusal == Refusal.BODY_TOO_LARGE:
        return TooLarge(
            f"the body is larger than {limits.max_body_bytes} bytes",
            "send less in one request",
        )
    if refusal == Refusal.BODY_SLOW:
        return TooSlow(
            f"the body arrived with less than {limits.min_body_rate} bytes a second",
            "send the request again on a faster connection",
        )
    return Unavailable(
        "the instance holds too many bytes of other requests",
        "send the request again later, or to another instance",
        not_run=True,
        retry_after_seconds=RETRY_SECONDS,
    )


class RefusalLog:
    """Counts refusals, and logs each kind at most once in ``LOG_INTERVAL``."""

    def __init__(self, clock: Clock, count: Callable[[str], None]) -> None:
        self._clock = clock
        self._count = count
        self._logged_at: dict[Refusal, timedelta] = {}
        self._unlogged: dict[Refusal, int] = {}

    def record(self, refusal: Refusal) -> None:
        """Count a refusal, and log it with those that were not logged before."""
        self._count(str(refusal))
        number = self._unlogged.get(refusal, 0) + 1
        now = self._clock.monotonic()
        last = self._logged_at.get(refusal)
        if last is not None and now - last < LOG_INTERVAL:
            self._unlogged[refusal] = number
            return
        self._logged_at[refusal] = now
        self._unlogged[refusal] = 0
        logger.bind(reason=str(refusal), number=number).warning(
            "clients refused: {} of kind {}", number, refusal
        )
