import unittest
from datetime import timedelta

from almondspread.jobs.leases import compute_orphaned_lease_time
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step

# A task that lasts may be without a run for this long, where there is room.
LASTING_TASK_GAP = timedelta(seconds=9)
# From a takeover to the first start of a task that no silent upstream may run.
FIRST_START_TIME = timedelta(milliseconds=1_500)


class TakeoverHoldsTest(CellTest):
    def submit_lasting(self, job, count):
        """Submit a job of tasks that take a core each and do not end by themselves."""
        for upstream in self.cell.upstreams.values():
            for index in range(count):
                upstream.durations[TaskId(job, 0, 0, index)] = timedelta(hours=1)
        self.cell.submit(make_job(job, make_step(count, lasting=True)))

    def test_one_silent_upstream_does_not_hold_all_tasks_after_a_takeover(self):
        """Guards against a cell that starts nothing while one upstream is silent."""
        self.add_upstreams(4, cpu_millis=2_000)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 10)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)
        (victim, *_) = (
            run.upstream for run in self.cell.scheduler.jobs["j"].list_runs()
        )
        self.cell.silent.add(victim)
        self.cell.take_over()
        self.cell.add_upstream("u9", cpu_millis=2_000)
        self.cell.run_for(FIRST_START_TIME)
        self.assertEqual(self.cell.history.starts, 10)


class RestartTimeTest(unittest.TestCase):
    def test_task_runs_again_in_time_after_its_upstream_and_executor_were_lost(self):
        """Guards against times that are right each and too long together."""
        lease = 6 * SECOND
        self.assertLess(compute_orphaned_lease_time(lease), LASTING_TASK_GAP)


if __name__ == "__main__":
    unittest.main()
