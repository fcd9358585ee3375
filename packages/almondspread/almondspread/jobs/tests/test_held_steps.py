"""Guards against steps that start too much, or wait in vain, after a takeover."""

import unittest

from almondspread.jobs.holds import HoldCause, StartHolds
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class HeldStepsTest(CellTest):
    def submit_and_lose_leader(self, lost_executors=(), **fields):
        """Have two tasks run on an upstream that is silent after a takeover."""
        self.add_upstreams(1, cpu_millis=2_000)
        self.cell.run_for(SECOND)
        for index in range(2):
            task = TaskId("j", 0, 0, index)
            self.cell.upstreams["u0"].durations[task] = 60 * SECOND
        self.cell.submit(make_job("j", make_step(2, **fields)))
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors=lost_executors)
        self.cell.add_upstream("u9", 2_000)
        self.cell.run_for(4 * SECOND)

    def find_cause(self, held, **fields):
        """Return what holds a step of three tasks of which some may run already."""
        self.cell.submit(make_job("j", make_step(3, **fields)))
        self.cell.step()
        (progress,) = self.cell.scheduler.jobs["j"].steps.values()
        holds = StartHolds(0, 9, possible_tasks={progress.key: held})
        return holds.find_cause(progress, self.cell.now)

    def test_gang_of_which_one_task_may_run_is_held_whole(self):
        """Its other members would wait for one that is not started."""
        self.assertEqual(self.find_cause({1}, gang=True), HoldCause.UNSEEN_UPSTREAM)

    def test_other_tasks_of_a_step_without_a_gang_are_not_held(self):
        self.assertIsNone(self.find_cause({1}))

    def test_step_is_held_if_all_its_tasks_may_run(self):
        self.assertEqual(self.find_cause({0, 1, 2}), HoldCause.UNSEEN_UPSTREAM)

    def test_tasks_that_may_run_twice_do_not_wait_for_a_silent_upstream(self):
        self.submit_and_lose_leader(duplicates=True)
        self.assertEqual(self.cell.history.starts, 4)

    def test_tasks_that_may_run_twice_do_not_wait_for_a_lost_executor(self):
        self.submit_and_lose_leader({"u0"}, duplicates=True)
        self.assertEqual(self.cell.history.starts, 4)

    def test_tasks_that_must_not_run_twice_wait_for_a_lost_executor(self):
        self.submit_and_lose_leader({"u0"})
        self.assertEqual(self.cell.history.starts, 2)


if __name__ == "__main__":
    unittest.main()
