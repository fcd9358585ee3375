"""A timeout that adapts to the latencies of the answers."""

from datetime import timedelta

MIN_TIMEOUT = timedelta(milliseconds=300)
MAX_TIMEOUT = timedelta(milliseconds=1_600)
# A timeout of this many average latencies tells a lost answer from a slow one.
TIMEOUT_FACTOR = 6
SMOOTHING_FACTOR = 0.2


class AdaptiveTimeout:
    """Derives a timeout from the moving average of the latencies of answers.

    The timeout is never below ``minimum``.
    """

    def __init__(self, minimum: timedelta = MIN_TIMEOUT) -> None:
        self._minimum = minimum
        self._average = minimum / TIMEOUT_FACTOR
        self._timeout = minimum

    @property
    def timeout(self) -> timedelta:
        """The timeout of the next call."""
        return self._timeout

    def record_answer(self, duration: timedelta) -> None:
        """Update the average and the timeout with the latency of an answer."""
        self._average += SMOOTHING_FACTOR * (duration - self._average)
        self._timeout = max(
            self._minimum, min(MAX_TIMEOUT, TIMEOUT_FACTOR * self._average)
        )

    def record_timeout(self) -> None:
        """Double the timeout of the next call, since the store may be slow."""
        self._timeout = min(MAX_TIMEOUT, 2 * self._timeout)
