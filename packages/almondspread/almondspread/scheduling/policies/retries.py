"""Retries: whether a failed task is tried again, and after which delay."""

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
    """The decision to try a task again after a delay."""

    delay: timedelta


@define(frozen=True)
class GiveUp:
    """The decision that a task fails because it has used all its attempts."""

    failures: int


class RetryBudget:
    """Limits the quick retries of a team to a fraction of its task starts.

    The budget is a token bucket: each first start of a task adds ``TOKENS_PER_START``
    tokens, up to ``MAX_TOKENS``, and each quick retry takes one token.

    >>> budget = RetryBudget()
    >>> sum(budget.spend() for _ in range(100))
    20
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def record_start(self) -> None:
        """Add tokens for the first start of a task."""
        self._tokens = min(self._tokens + TOKENS_PER_START, MAX_TOKENS)

    def spend(self) -> bool:
        """Take one token for a retry; return false if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def choose_backoff(failures: int, rng: random.Random) -> timedelta:
    """Return an exponential backoff with jitter, at most ``MAX_BACKOFF``.

    ``failures`` counts the failures so far and is at least 1.

    >>> delay = choose_backoff(3, random.Random(1))
    >>> timedelta(seconds=4) <= delay <= timedelta(seconds=8)
    True
    """
    longest = MAX_BACKOFF
    doublings = failures - 1
    if doublings < 16:
        longest = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
    return longest * (1 - JITTER_FRACTION * rng.random())


def decide_retry(
    failures: int, attempts: int, budget: RetryBudget, rng: random.Random
) -> Retry | GiveUp:
    """Decide whether a task that has failed ``failures`` times is tried again.

    ``failures`` is at least 1. ``attempts`` bounds the failures; 0 means no bound, as
    for services. If the budget is empty, the task is still tried again, but after
    ``MAX_BACKOFF`` plus jitter.
    """
    if attempts and failures >= attempts:
        return GiveUp(failures)
    if budget.spend():
        return Retry(choose_backoff(failures, rng))
    return Retry(MAX_BACKOFF * (1 + JITTER_FRACTION * rng.random()))
