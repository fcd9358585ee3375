import unittest

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class HeldTasksTest(CellTest):
    def read_held(self):
        return self.cell.scheduler.measure_load(self.cell.now).held_tasks

    def test_load_tells_which_upstream_holds_back_tasks_and_for_how_long(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(3)))
        self.cell.commit()
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=10 * SECOND, lost_executors={"u0"})
        self.cell.run_for(SECOND)
        self.assertEqual(self.read_held(), {HoldCause.UNSEEN_UPSTREAM: 3})
        unseen = self.cell.scheduler.list_unseen(self.cell.now)
        self.assertEqual(set(unseen), {"u0"})
        self.assertAlmostEqual(unseen["u0"], 9.0)

    def test_task_without_a_start_record_is_counted(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.store_is_up = False
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.step()
        self.assertEqual(self.read_held(), {HoldCause.START_RECORD: 2})

    def test_interrupted_task_waits_for_the_lease_of_the_leader(self):
        self.add_upstreams(2)
        self.cell.submit(make_job("j", make_step(lasting=True)))
        self.cell.run_for(SECOND)
        (run,) = self.cell.scheduler.jobs["j"].list_runs()
        self.cell.lease_holds = False
        self.cell.upstreams[run.upstream].crash()
        self.cell.replace_upstream(run.upstream)
        self.cell.step()
        self.assertEqual(self.read_held(), {HoldCause.LEADER_LEASE: 1})


if __name__ == "__main__":
    unittest.main()
