"""Retry budget and backoff for requests to minions."""

import random
from datetime import timedelta

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0
INITIAL_BACKOFF = timedelta(milliseconds=10)
MAX_BACKOFF = timedelta(milliseconds=500)


class RetryBudget:
    """Limits retries to a fraction of the requests.

    The budget is a token bucket: each request adds ``TOKENS_PER_REQUEST`` tokens, up to
    ``MAX_TOKENS``, and each retry takes one token. The bucket starts full.

    >>> budget = RetryBudget()
    >>> [budget.spend() for _ in range(11)].count(True)
    10
    """

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Add tokens for a request that was received."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def spend(self) -> bool:
        """Take one token for a retry; return false if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def choose_backoff(retries: int, rng: random.Random) -> timedelta:
    """Return an exponential backoff with jitter, at most ``MAX_BACKOFF``.

    ``retries`` counts the retries so far and is 0 before the first retry.
    """
    longest = min(INITIAL_BACKOFF * 2**retries, MAX_BACKOFF)
    return longest * rng.uniform(0.5, 1.0)
