"""When a question to the advice service counts as lost.

The platform says how long the service decides. A service that is slow answers late, and
a second question would only wait behind the first; one whose connection has fallen
silent never answers. What tells them apart is how late the answers before were.
"""

from datetime import timedelta

MAX_QUESTION_TIME = timedelta(seconds=4)
# The way there and back, and what delays this process.
OVERHEAD = timedelta(milliseconds=250)
# An answer may take this many times as long as the answers before.
LATE_FACTOR = 2.0
# How much of the difference to the last answer is taken over, once answers get faster.
RECOVERY_FACTOR = 0.2


class AdvicePace:
    """How many times as long as expected the service takes for its answers.

    One late answer is taken at its word; several timely ones are needed to forget it.

    >>> pace = AdvicePace()
    >>> expected = timedelta(milliseconds=50)
    >>> pace.choose_timeout(expected).total_seconds()
    0.35
    >>> pace.record_answer(expected, timedelta(milliseconds=800))
    >>> pace.choose_timeout(expected).total_seconds()
    1.85
    >>> pace.record_answer(expected, expected)
    >>> pace.choose_timeout(expected).total_seconds()
    1.55
    """

    def __init__(self) -> None:
        self._slowness = 1.0

    def choose_timeout(self, expected: timedelta) -> timedelta:
        """Return after which time a question counts as lost.

        ``expected`` is how long the service is to decide, zero where that is unknown.
        """
        if not expected:
            return MAX_QUESTION_TIME
        late = expected * self._slowness * LATE_FACTOR + OVERHEAD
        return min(MAX_QUESTION_TIME, late)

    def record_answer(self, expected: timedelta, duration: timedelta) -> None:
        """Note how long an answer has taken."""
        if not expected:
            return
        slowness = max(1.0, duration / expected)
        if slowness < self._slowness:
            slowness = self._slowness + RECOVERY_FACTOR * (slowness - self._slowness)
        self._slowness = slowness
