import random
import unittest
from datetime import timedelta

from almondspread.scheduling.policies.retries import (
    INITIAL_BACKOFF,
    MAX_BACKOFF,
    GiveUp,
    Retry,
    RetryBudget,
    choose_backoff,
    decide_retry,
)


class DecideRetryTest(unittest.TestCase):
    def test_backoff_doubles_up_to_its_maximum(self):
        rng = random.Random(1)
        for failures in (1, 2, 5, 60, 5_000):
            longest = min(INITIAL_BACKOFF * 2 ** min(failures - 1, 30), MAX_BACKOFF)
            delays = {choose_backoff(failures, rng) for _ in range(50)}
            self.assertGreater(len(delays), 10)
            self.assertLessEqual(max(delays), longest)
            self.assertGreaterEqual(min(delays), longest / 2)

    def test_gives_up_after_the_allowed_attempts(self):
        budget = RetryBudget()
        rng = random.Random(1)
        self.assertIsInstance(decide_retry(2, 3, budget, rng), Retry)
        self.assertEqual(decide_retry(3, 3, budget, rng), GiveUp(3))
        self.assertIsInstance(decide_retry(99, 0, budget, rng), Retry)

    def test_empty_budget_limits_quick_retries_to_a_fraction_of_starts(self):
        budget = RetryBudget()
        rng = random.Random(1)
        while budget.spend():
            continue
        self.assertGreaterEqual(decide_retry(1, 3, budget, rng).delay, MAX_BACKOFF)
        quick = 0
        for _ in range(100):
            budget.record_start()
            delay = decide_retry(1, 3, budget, rng).delay
            quick += delay < timedelta(minutes=1)
        self.assertIn(quick, (19, 20))
