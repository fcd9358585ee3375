"""Latency and outlier ejection of minions.

A minion whose requests mostly fail while those of other minions succeed is ejected:
it gets no requests for some time. Afterwards it is on probation and gets one request
at a time until ``PROBATION_SUCCESSES`` requests have succeeded. The fraction of
minions that are ejected or on probation at the same time is bounded.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

SMOOTHING_FACTOR = 0.2
DEFAULT_LATENCY_SECONDS = 0.01
MIN_LATENCY_SECONDS = 0.001
MIN_SAMPLES = 5
EJECTION_SUCCESS_RATE = 0.5
MIN_OTHERS_SUCCESS_RATE = 0.8
MAX_EJECTED_FRACTION = 1 / 3
BASE_EJECTION_TIME = timedelta(seconds=5)
MAX_EJECTION_TIME = timedelta(seconds=60)
PROBATION_SUCCESSES = 3


@define
class MinionHealth:
    """Exponential moving averages of the latency and success rate of one minion.

    ``seconds`` maps kinds of requests to their average latency. ``ejected_until`` is in
    monotonic time. ``ejections`` counts the ejections since the last completed
    probation, and ``probation_left`` the successes that probation still requires.
    """

    seconds: dict[str, float] = field(factory=dict)
    success_rate: float = 1.0
    samples: int = 0
    ejected_until: timedelta = timedelta(0)
    ejections: int = 0
    probation_left: int = 0

    def estimate_latency_seconds(self, kind: str) -> float:
        """Return the expected latency of a kind of request in seconds."""
        return max(MIN_LATENCY_SECONDS, self.seconds.get(kind, DEFAULT_LATENCY_SECONDS))

    def admits_request(self, in_flight: int, now: timedelta) -> bool:
        """Return whether ejection and probation permit one more request."""
        if now < self.ejected_until:
            return False
        return self.probation_left == 0 or in_flight == 0

    def record_success(self, kind: str, seconds: float) -> None:
        """Update the averages with a complete response and its latency."""
        average = self.seconds.get(kind, seconds)
        self.seconds[kind] = average + SMOOTHING_FACTOR * (seconds - average)
        self._update_success_rate(1.0)
        if self.probation_left:
            self.probation_left -= 1
            if self.probation_left == 0:
                self.ejections = 0

    def record_failure(self) -> None:
        """Update the success rate with a request that got no complete response."""
        self._update_success_rate(0.0)

    def _update_success_rate(self, success: float) -> None:
        """Update the moving average of the success rate."""
        self.samples += 1
        self.success_rate += SMOOTHING_FACTOR * (success - self.success_rate)

    def eject(self, now: timedelta) -> None:
        """Eject the minion for a time that doubles each time, then start probation."""
        duration = min(BASE_EJECTION_TIME * 2**self.ejections, MAX_EJECTION_TIME)
        self.ejections = min(self.ejections + 1, 8)
        self.ejected_until = now + duration
        self.probation_left = PROBATION_SUCCESSES
        self.success_rate = 1.0
        self.samples = MIN_SAMPLES - 2


def eject_outlier(
    failing: MinionHealth, others: Iterable[MinionHealth], now: timedelta
) -> bool:
    """Eject a minion if it fails while others do not; return whether it was."""
    if failing.samples < MIN_SAMPLES or failing.success_rate >= EJECTION_SUCCESS_RATE:
        return False
    rates = []
    ejected = 0
    for other in others:
        if other is failing:
            continue
        rates.append(other.success_rate)
        if now < other.ejected_until or other.probation_left:
            ejected += 1
    if not rates or sum(rates) / len(rates) < MIN_OTHERS_SUCCESS_RATE:
        return False
    if ejected + 1 > max(1.0, (len(rates) + 1) * MAX_EJECTED_FRACTION):
        return False
    failing.eject(now)
    return True
