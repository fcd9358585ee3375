"""Whether and when a failed task is tried again."""

import random
from datetime import timedelta

from attrs import define

INITIAL_BACKOFF = timedelta(seconds=2)
MAX_BACKOFF = timedelta(minutes=10)
JITTER_FRACTION = 0.5
TOKENS_PER_START = 0.2
MAX_TOKENS = 200.0
INITIAL_TOKENS = 20.0


@define(frozen=True)
class Retry:
    """The task is tried again after a delay."""

    delay: timedelta


@define(frozen=True)
class GiveUp:
    """The task has used all its attempts."""

    failures: int


class RetryBudget:
    """Limits quick retries of a team to a part of its starts.

    Each start earns a fraction of a retry; each quick retry spends one.

    >>> budget = RetryBudget()
    >>> sum(budget.spend() for _ in range(100))
    20
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def record_start(self) -> None:
        """Count the first start of a task."""
        self._tokens = min(self._tokens + TOKENS_PER_START, MAX_TOKENS)

    def spend(self) -> bool:
        """Take one retry from the budget; false where none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def choose_backoff(failures: int, source: random.Random) -> timedelta:
    """Return a delay that doubles with each failure up to a bound, with jitter.

    >>> delay = choose_backoff(3, random.Random(1))
    >>> timedelta(seconds=4) <= delay <= timedelta(seconds=8)
    True
    """
    longest = MAX_BACKOFF
    doublings = failures - 1
    if doublings < 16:
        longest = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
    return longest * (1 - JITTER_FRACTION * source.random())


def decide_retry(
    failures: int, attempts: int, budget: RetryBudget, source: random.Random
) -> Retry | GiveUp:
    """Decide about a task that failed ``failures`` times, at least once.

    ``attempts`` bounds the failures, 0 for none, as for services. A task over the
    budget is still tried again, after the longest delay.
    """
    if attempts and failures >= attempts:
        return GiveUp(failures)
    if budget.spend():
        return Retry(choose_backoff(failures, source))
    return Retry(MAX_BACKOFF * (1 + JITTER_FRACTION * source.random()))
