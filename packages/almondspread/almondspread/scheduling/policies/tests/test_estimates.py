import unittest
from datetime import timedelta

from almondspread.scheduling.policies.estimates import (
    MAX_SAMPLES,
    MAX_WORKLOADS,
    UNKNOWN_RUN_TIME,
    RunTimeEstimate,
    UsageEstimator,
)

MINUTE = timedelta(minutes=1)


class UsageEstimatorTest(unittest.TestCase):
    def test_falls_back_from_workload_to_team_to_declared(self):
        estimator = UsageEstimator()
        declared = RunTimeEstimate(MINUTE, MINUTE, 0)
        self.assertEqual(estimator.estimate_run_time("a", "t", MINUTE), declared)
        unknown = estimator.estimate_run_time("a", "t", timedelta(0))
        self.assertEqual(unknown.expected, UNKNOWN_RUN_TIME)
        for _ in range(3):
            estimator.record_finished("a", "t", MINUTE, 5 * MINUTE, 100, 300)
        self.assertEqual(
            estimator.estimate_run_time("a", "t", MINUTE).expected, 5 * MINUTE
        )
        twice = estimator.estimate_run_time("b", "t", 2 * MINUTE)
        self.assertEqual(twice, RunTimeEstimate(10 * MINUTE, 10 * MINUTE, 3))
        self.assertEqual(estimator.estimate_run_time("a", "u", MINUTE), declared)
        self.assertEqual(estimator.estimate_memory("a", "t", 100), 300)
        self.assertEqual(estimator.estimate_memory("b", "t", 200), 600)
        self.assertEqual(estimator.estimate_memory("b", "u", 200), 200)

    def test_follows_a_change_and_keeps_the_upper_quantile(self):
        estimator = UsageEstimator()
        for _ in range(100):
            estimator.record_finished("a", "t", MINUTE, MINUTE, 100, 50)
        for number in range(MAX_SAMPLES):
            actual = (20 if number % 10 == 0 else 2) * MINUTE
            estimator.record_finished("a", "t", MINUTE, actual, 100, 60)
        estimate = estimator.estimate_run_time("a", "t", MINUTE)
        self.assertEqual((estimate.expected, estimate.upper), (2 * MINUTE, 20 * MINUTE))
        self.assertEqual(estimator.estimate_memory("a", "t", 100), 60)

    def test_drops_the_workload_least_recently_finished(self):
        estimator = UsageEstimator()
        for number in range(MAX_WORKLOADS + 1):
            for _ in range(3):
                estimator.record_finished(
                    f"w{number}", "t", MINUTE, 2 * MINUTE, 100, 50
                )
            estimator.record_finished("busy", "t", MINUTE, 2 * MINUTE, 100, 50)
        busy = estimator.estimate_run_time("busy", "t", timedelta(0))
        self.assertEqual(busy.samples, MAX_SAMPLES)
        first = estimator.estimate_run_time("w0", "t", timedelta(0))
        self.assertEqual(first.samples, 0)
        last = estimator.estimate_run_time(f"w{MAX_WORKLOADS}", "t", timedelta(0))
        self.assertEqual(last.samples, 3)
