import unittest
from unittest.mock import patch

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import WALL_CLOCK_START, FakeCell


class PassCostTest(CellTest):
    """Counts comparisons of capacities, which stand for the work of a pass."""

    def count_comparisons(self, upstreams, steps, advice):
        """Return the comparisons of one pass over a full cell with waiting steps."""
        self.cell = FakeCell(configuration=make_configuration(advice=advice))
        self.add_upstreams(upstreams)
        for upstream in self.cell.upstreams.values():
            for index in range(4 * upstreams):
                upstream.durations[TaskId("long", 0, 0, index)] = 100 * SECOND
        step = make_step(4 * upstreams, estimate=100 * SECOND)
        self.cell.submit(make_job("long", step))
        self.cell.run_for(2 * SECOND)
        for number in range(steps):
            self.cell.submit(make_job(f"j{number}", make_step(4)))
        # The first request of a step may name upstreams without room.
        self.cell.run_for(SECOND / 2)
        return self.count_pass()

    def count_pass(self):
        """Return the comparisons of a pass that follows the last one at once."""
        fits_in = Capacity.fits_in
        calls = []

        def count(claim, free):
            calls.append(claim)
            return fits_in(claim, free)

        now = self.cell.now + SECOND / 100
        with patch.object(Capacity, "fits_in", count):
            self.cell.scheduler.schedule(now, WALL_CLOCK_START + now, 10)
        return len(calls)

    def test_waiting_step_does_not_look_at_every_full_upstream(self):
        """Each waiting step looked at all of 540 upstreams in each of 200 passes/s."""
        for advice in (False, True):
            with self.subTest(advice=advice):
                self.assertLess(self.count_comparisons(60, 40, advice), 60 + 40)

    def test_step_that_waits_for_a_near_place_does_not_look_at_far_ones(self):
        """Each step that waited for a hot rack looked at all upstreams with room."""
        self.cell = FakeCell(remote_factor=3.0)
        self.add_upstreams(60)
        self.cell.run_for(SECOND)
        self.cell.submit(
            make_job("full", make_step(120, estimate=0.9 * SECOND, preferred_rack="r0"))
        )
        self.cell.step()
        for number in range(40):
            step = make_step(estimate=3 * SECOND, preferred_rack="r0")
            self.cell.submit(make_job(f"j{number}", step))
        self.cell.step()
        self.assertEqual(self.cell.scheduler._planner.locality.waiting, 40)
        # Of the 60 upstreams 30 are on the rack; each step looks at none but these.
        self.assertLess(self.count_pass(), 60 + 40)

    def test_tasks_of_a_step_do_not_each_look_at_all_upstreams(self):
        """Each of many tasks of a step compared all upstreams with room anew."""
        self.add_upstreams(60)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(40)))
        self.cell.commit()
        # A step looks at each upstream a few times, and each task at the one it takes.
        self.assertLess(self.count_pass(), 5 * 60 + 2 * 40)
        self.assertEqual(len(self.cell.scheduler.jobs["j"].list_runs()), 40)


if __name__ == "__main__":
    unittest.main()
