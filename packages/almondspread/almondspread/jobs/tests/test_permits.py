import unittest

from almondspread.jobs.permit_requests import (
    MAX_UPSTREAMS_PER_REQUEST,
    MIN_UPSTREAMS_PER_REQUEST,
)
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import FakeCell


class PermitRequestTest(CellTest):
    def setUp(self):
        self.cell = FakeCell(configuration=make_configuration(advice=True))

    def list_asked(self, job="j"):
        """Return the names in each request of a job."""
        return [
            set(order.upstreams)
            for order in self.cell.permit_requests
            if order.job == job
        ]

    def test_upstream_that_was_denied_is_not_asked_about_again(self):
        """Four steps that no upstream might run asked every 2.4 s to the end of a day.

        The service answers one request of an instance at a time, so that each of these
        requests delayed others by 0.6 s.
        """
        self.add_upstreams(3)
        self.cell.denied = {"u0", "u1", "u2"}
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(8 * SECOND)
        self.assertEqual(self.list_asked(), [{"u0", "u1", "u2"}])
        self.add_upstreams(4)
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.list_asked()[1:], [{"u3"}])
        self.assert_completed("j")

    def test_tickets_that_no_task_could_use_are_not_asked_for(self):
        """A step that waits for a full upstream asked for a ticket every 2.4 s."""
        self.add_upstreams(2)
        for upstream in self.cell.upstreams.values():
            for index in range(8):
                upstream.durations[TaskId("long", 0, 0, index)] = 100 * SECOND
        self.cell.submit(make_job("long", make_step(8, estimate=100 * SECOND)))
        self.cell.run_for(2 * SECOND)
        self.cell.denied = {"u1"}
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.list_asked(), [{"u0", "u1"}])
        self.cell.scheduler.cancel_job("long", self.cell.now)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.list_asked()[1:], [{"u0"}])
        self.assert_completed("j")

    def test_request_in_an_idle_cell_names_no_more_than_it_needs(self):
        """Each name costs up to 10 ms before the first task can start."""
        self.add_upstreams(200, 16_000)
        self.cell.submit(make_job("small", make_step(2)))
        self.cell.submit(make_job("large", make_step(1_000)))
        self.cell.run_for(SECOND)
        self.assertEqual(len(self.list_asked("small")[0]), MIN_UPSTREAMS_PER_REQUEST)
        self.assertEqual(len(self.list_asked("large")[0]), MAX_UPSTREAMS_PER_REQUEST)

    def test_upstream_that_could_never_run_a_task_is_not_named(self):
        self.cell.add_upstream("small", 500)
        self.cell.add_upstream("fitting", 4_000)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.list_asked(), [{"fitting"}])
        self.assert_completed("j")

    def test_waiting_tasks_get_permits_for_room_elsewhere(self):
        """Tasks waited for the upstreams of a first answer while others were free."""
        self.add_upstreams(100)
        self.cell.submit(make_job("j", make_step(400)))
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")
        self.assertEqual(len(self.list_asked()), 2)

    def test_permits_are_in_hand_when_a_step_becomes_ready(self):
        """A decision takes up to a second, which each step of a job waited for."""
        self.add_upstreams(2)
        steps = make_step(2), make_step(2, after=(0,)), make_step(after=(1,))
        self.cell.submit(make_job("j", *steps))
        self.cell.run_for(SECOND)
        asked = [order.step for order in self.cell.permit_requests]
        self.assertEqual(asked, [0, 1])
        self.assertFalse(self.cell.history.running.get(TaskId("j", 0, 1, 0)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        asked = [order.step for order in self.cell.permit_requests]
        self.assertEqual(asked, [0, 1, 2])


if __name__ == "__main__":
    unittest.main()
