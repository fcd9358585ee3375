"""Tests that runs move off draining upstreams if they would not end in time."""

import unittest
from datetime import timedelta

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.cell_input import DRAIN_TIME


class EvacuationTest(CellTest):
    def start_on_u0(self, step, duration):
        """Add ``u0`` and have one task of a step run on it for ``duration``."""
        self.cell.add_upstream("u0")
        self.cell.upstreams["u0"].durations[TaskId("j", 0, 0, 0)] = duration
        self.cell.run_for(SECOND / 2)
        self.cell.submit(make_job("j", step))
        self.cell.run_for(SECOND)
        self.assertEqual(len(self.cell.upstreams["u0"].started), 1)

    def drain_u0(self):
        self.cell.draining.add("u0")
        self.cell.run_for(DRAIN_TIME)

    def test_run_that_cannot_end_in_time_moves_at_once(self):
        self.start_on_u0(make_step(estimate=8 * SECOND), 8 * SECOND)
        self.cell.add_upstream("u1")
        self.cell.run_for(SECOND / 2)
        self.drain_u0()
        self.assertEqual(len(self.cell.upstreams["u1"].started), 1)
        self.assertEqual(self.cell.upstreams["u0"].runs, {})

    def test_run_that_ends_in_time_stays(self):
        self.start_on_u0(make_step(estimate=2 * SECOND), 3 * SECOND)
        self.cell.add_upstream("u1")
        self.cell.run_for(SECOND / 2)
        self.drain_u0()
        self.assert_completed("j")
        self.assertEqual(self.cell.upstreams["u1"].started, [])

    def test_run_stays_if_no_other_upstream_has_room(self):
        self.start_on_u0(make_step(estimate=8 * SECOND), 8 * SECOND)
        self.cell.add_upstream("u1", 500)
        self.cell.run_for(SECOND / 2)
        self.drain_u0()
        self.assertEqual(len(self.cell.upstreams["u0"].runs), 1)

    def test_no_more_runs_move_than_other_upstreams_have_room_for(self):
        self.cell.add_upstream("u0")
        for index in range(4):
            task = TaskId("j", 0, 0, index)
            self.cell.upstreams["u0"].durations[task] = 8 * SECOND
        self.cell.run_for(SECOND / 2)
        self.cell.submit(make_job("j", make_step(4, estimate=8 * SECOND)))
        self.cell.run_for(SECOND)
        self.cell.add_upstream("u1", 2_500)
        self.cell.run_for(SECOND / 2)
        self.cell.draining.add("u0")
        self.cell.step(timedelta(milliseconds=100))
        self.cell.run_for(SECOND)
        self.assertEqual(len(self.cell.upstreams["u0"].runs), 2)
        self.assertEqual(len(self.cell.upstreams["u1"].started), 2)


if __name__ == "__main__":
    unittest.main()
