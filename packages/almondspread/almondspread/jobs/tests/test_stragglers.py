import unittest
from datetime import timedelta

from almondspread.jobs.durations import (
    DEFAULT_MEAN_RATIO,
    MAX_REMEMBERED_RUNS,
    MIN_RUNS,
    DurationRatios,
)
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step

MILLISECOND = timedelta(milliseconds=1)


class StragglerTest(CellTest):
    def count_starts(self):
        return self.cell.history.starts

    def set_duration(self, task, duration, *names):
        for name in names or self.cell.upstreams:
            self.cell.upstreams[name].durations[task] = duration

    def test_task_with_a_far_too_short_estimate_is_done(self):
        """Such a task was stopped half done on one upstream after another.

        Seen on a quiet day: seven runs of 2 to 2.7 s each, 1,255 core-seconds thrown
        away, and a job that was never completed.
        """
        self.add_upstreams(5)
        self.set_duration(TaskId("j", 0, 0, 0), 7 * SECOND)
        self.cell.submit(make_job("j", make_step(1, estimate=300 * MILLISECOND)))
        self.cell.run_for(16 * SECOND)
        self.assert_completed("j")
        self.assertLessEqual(self.count_starts(), 2)

    def test_run_that_stands_still_is_replaced(self):
        self.add_upstreams(2)
        task = TaskId("j", 0, 0, 0)
        self.cell.submit(make_job("j", make_step(1, estimate=SECOND / 2)))
        self.set_duration(task, 1_000 * SECOND, "u0")
        self.set_duration(task, SECOND / 2, "u1")
        self.cell.run_for(7 * SECOND)
        self.assert_completed("j")

    def test_run_on_a_slow_upstream_is_replaced_once_the_queue_is_known(self):
        self.add_upstreams(2, 16_000)
        self.cell.submit(make_job("known", make_step(MIN_RUNS, estimate=SECOND)))
        self.cell.run_for(2 * SECOND)
        self.assert_completed("known")
        self.set_duration(TaskId("j", 0, 0, 0), 12 * SECOND, "u0")
        self.cell.submit(make_job("j", make_step(1, estimate=SECOND)))
        self.cell.run_for(6 * SECOND)
        self.assert_completed("j")


class DurationRatiosTest(unittest.TestCase):
    def test_queues_are_told_apart(self):
        ratios = DurationRatios()
        for _ in range(MIN_RUNS):
            ratios.record("a", SECOND, 3 * SECOND)
        self.assertEqual(ratios.find_mean("a"), 3.0)
        self.assertEqual(ratios.find_mean("b"), DEFAULT_MEAN_RATIO)

    def test_old_runs_are_forgotten(self):
        ratios = DurationRatios()
        for ratio in [5] * MAX_REMEMBERED_RUNS + [1] * MAX_REMEMBERED_RUNS:
            ratios.record("a", SECOND, ratio * SECOND)
        self.assertEqual((ratios.find_mean("a"), ratios.find_upper("a")), (1.0, 1.0))

    def test_missing_estimate_is_no_error(self):
        ratios = DurationRatios()
        for _ in range(MIN_RUNS):
            ratios.record("a", timedelta(0), SECOND)
        self.assertGreater(ratios.find_mean("a"), 1.0)


if __name__ == "__main__":
    unittest.main()
