"""Guards against executors that are told too little of an assignment, or too much."""

import unittest

from almondspread.jobs.messages import RunId, StartRun, WatchUpstream
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class AssignmentTest(CellTest):
    def setUp(self):
        super().setUp()
        self.add_upstreams(1)
        self.cell.run_for(SECOND)

    def make_order(self, name="u0"):
        return self.cell.scheduler.make_watch_order(name, self.cell.now)

    def submit(self, seconds=60):
        task = TaskId("j", 0, 0, 0)
        self.cell.upstreams["u0"].durations[task] = seconds * SECOND
        self.cell.submit(make_job("j", make_step()))

    def test_row_with_an_earlier_assignment_does_not_let_tasks_start(self):
        """The next leader would ask an executor that did not send the start."""
        self.submit()
        self.cell.commit()
        self.cell.store_is_up = False
        first = self.cell.stored_assignments
        self.cell.assign("u0")
        self.cell.scheduler.update_recorded(first, self.cell.now)
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 0)

    def test_executor_is_told_once_the_store_names_its_assignment(self):
        """Guards against leases that nobody renews after a change of the executor."""
        self.cell.assign("u0")
        orders = []
        self.cell.drop_order = orders.append
        self.cell.step()
        expected = self.make_order()
        self.assertTrue(expected.renews)
        self.cell.step()
        watches = [order for order in orders if isinstance(order, WatchUpstream)]
        self.assertEqual(watches, [expected])

    def test_lease_is_not_renewed_before_the_store_names_the_assignment(self):
        """The next leader would ask the executor before, which has not renewed it."""
        self.cell.store_is_up = False
        self.cell.take_over()
        self.cell.step()
        self.assertFalse(self.make_order().renews)
        self.cell.store_is_up = True
        self.cell.step()
        self.assertTrue(self.make_order().renews)

    def test_leases_of_a_lost_executor_are_told_to_the_next_one(self):
        self.cell.scheduler.abandon_upstreams(
            {"u0"}, self.cell.now + 8 * SECOND, self.cell.now
        )
        self.cell.now += SECOND
        self.assertEqual(self.make_order().leases_left, 7 * SECOND)

    def test_leases_of_an_earlier_leader_are_told_to_the_executor(self):
        self.cell.memories.forget(self.cell.stored_assignments["u0"].number)
        self.cell.take_over(lapse_in=9 * SECOND)
        self.cell.now += SECOND
        self.assertEqual(self.make_order().leases_left, 8 * SECOND)

    def test_runs_of_an_unseen_upstream_are_not_told_as_known(self):
        """The executor would say of them that there are none."""
        self.cell.silent.add("u0")
        self.cell.take_over()
        self.cell.step()
        self.assertFalse(self.make_order().knows_runs)
        self.cell.silent.clear()
        self.cell.step()
        self.assertTrue(self.make_order().knows_runs)

    def test_runs_are_not_told_as_known_before_an_end_is_acknowledged(self):
        self.submit(seconds=1)
        self.cell.step()
        self.cell.store_is_up = False
        self.cell.run_for(2 * SECOND)
        self.assertEqual(len(self.cell.upstreams["u0"].ends), 1)
        self.assertFalse(self.make_order().knows_runs)
        self.cell.store_is_up = True
        self.cell.run_for(SECOND)
        self.assertTrue(self.make_order().knows_runs)

    def test_start_that_may_arrive_late_is_not_told_as_confirmed(self):
        """The first answer that does not list a confirmed run ends it."""
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        self.submit()
        self.cell.step()
        (bound,) = self.cell.scheduler.jobs["j"].list_runs()
        run = RunId(bound.task, bound.number)
        self.assertEqual(self.make_order().unconfirmed_runs, (run,))
        self.assertEqual(self.make_order().confirmed_runs, ())
        (held,) = self.cell.held_orders
        self.cell.execute_order(held.token, held.order)
        self.cell.step()
        self.assertEqual(self.make_order().unconfirmed_runs, ())
        self.assertEqual(self.make_order().confirmed_runs, (run,))


if __name__ == "__main__":
    unittest.main()
