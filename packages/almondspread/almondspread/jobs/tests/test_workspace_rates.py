"""Tests for the rates of workspaces."""

from datetime import timedelta
from unittest import TestCase

from almondspread.jobs.workspace_rates import WorkspaceRates

SECOND = timedelta(seconds=1)


class WorkspaceRatesTest(TestCase):
    """Jobs beyond the weight of their workspace a second are surplus, no others."""

    def setUp(self) -> None:
        self.rates = WorkspaceRates()

    def test_sustained_excess_leaves_the_rate_itself(self) -> None:
        """Guards against a workspace losing its own rate while it is above it."""
        surplus = 0
        for number in range(1_000):
            surplus += self.rates.record("w", 5.0, number * SECOND / 50)
        # 20 s at 5 jobs a second, and the burst of 3 s.
        self.assertEqual(1_000 - surplus, 5 * 20 + 14)

    def test_rate_itself_has_no_surplus(self) -> None:
        """Guards against refusing a workspace that keeps to its rate."""
        for number in range(500):
            self.assertFalse(self.rates.record("w", 4.0, number * SECOND / 4))

    def test_short_burst_has_no_surplus(self) -> None:
        """Guards against counting jobs that arrive together as an excess."""
        for start in range(0, 60, 4):
            for _ in range(6):
                self.assertFalse(self.rates.record("w", 2.0, start * SECOND))

    def test_workspaces_are_apart(self) -> None:
        """Guards against one workspace using up the rate of another."""
        for _ in range(10):
            self.rates.record("w", 1.0, SECOND)
        self.assertTrue(self.rates.is_exceeded("w", 1.0, SECOND))
        self.assertFalse(self.rates.is_exceeded("x", 1.0, SECOND))

    def test_small_weight_still_has_a_job(self) -> None:
        """Guards against a weight below one job a burst never having any job."""
        self.assertFalse(self.rates.record("w", 0.1, SECOND))
        self.assertTrue(self.rates.record("w", 0.1, 2 * SECOND))
        self.assertFalse(self.rates.record("w", 0.1, 11 * SECOND))

    def test_earlier_time_refills_nothing(self) -> None:
        """Guards against times out of order that refill a bucket twice."""
        for _ in range(3):
            self.rates.record("w", 1.0, 10 * SECOND)
        self.assertTrue(self.rates.record("w", 1.0, 5 * SECOND))
        self.assertTrue(self.rates.record("w", 1.0, 10 * SECOND))
