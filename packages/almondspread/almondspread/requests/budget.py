"""How many retries the traffic pays for."""

import random
from datetime import timedelta

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0
INITIAL_BACKOFF = timedelta(milliseconds=10)
MAX_BACKOFF = timedelta(milliseconds=500)


class RetryBudget:
    """Allows one retry for every ten requests, with a few saved up.

    >>> budget = RetryBudget()
    >>> [budget.spend() for _ in range(11)].count(True)
    10
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Count a request that came in."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Tell whether one more retry is allowed, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def choose_backoff(tries: int, random_source: random.Random) -> timedelta:
    """Return the jittered pause before the next try."""
    longest = min(INITIAL_BACKOFF * 2**tries, MAX_BACKOFF)
    return longest * random_source.uniform(0.5, 1.0)
