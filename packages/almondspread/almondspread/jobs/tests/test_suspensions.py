"""Guards against upstreams that are left out although they serve well."""

import unittest
from datetime import timedelta

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.jobs.upstreams import INITIAL_SUSPENSION


class SuspensionTest(CellTest):
    def submit_failing(self, job, seconds):
        """Submit a lasting job of two tasks that fail after a while, each time."""
        for index in range(2):
            task = TaskId(job, 0, 0, index)
            for upstream in self.cell.upstreams.values():
                upstream.durations[task] = seconds * SECOND
                upstream.failing.add(task)
        self.cell.submit(make_job(job, make_step(2, lasting=True)))

    def list_suspensions(self, seconds):
        """Return how long the only upstream is suspended, step by step."""
        found = []
        end = self.cell.now + seconds * SECOND
        while self.cell.now < end:
            self.cell.step()
            upstream = self.cell.scheduler.cell_state.upstreams["u0"]
            found.append(upstream.suspended_until - self.cell.now)
        return found

    def test_lasting_tasks_that_fail_after_some_work_suspend_no_upstream(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        for job in ("j", "k"):
            self.submit_failing(job, 3)
        self.assertLessEqual(max(self.list_suspensions(8)), timedelta(0))

    def test_tasks_that_fail_at_once_suspend_their_upstream(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        for job in ("j", "k"):
            self.submit_failing(job, 0)
        self.assertGreater(max(self.list_suspensions(2)), timedelta(0))

    def test_failures_that_are_reported_together_suspend_once(self):
        """After a takeover, many ends may come at once; each suspension is longer."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        upstream = self.cell.scheduler.cell_state.upstreams["u0"]
        for number in range(18):
            upstream.record_outcome(f"j{number}", True, self.cell.now)
        self.assertEqual(upstream.suspended_until - self.cell.now, INITIAL_SUSPENSION)


if __name__ == "__main__":
    unittest.main()
