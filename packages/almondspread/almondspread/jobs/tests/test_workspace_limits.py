"""No start brings what a workspace has running above its limit."""

import unittest
from datetime import timedelta

from almondspread.jobs.messages import StartRun
from almondspread.jobs.tests.cells import SECOND, make_step
from almondspread.jobs.tests.workspace_cells import WorkspaceCellTest
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import FakeCell

HOUR = timedelta(hours=1)


class LimitTest(WorkspaceCellTest):
    def test_tasks_planned_in_one_pass_are_counted_one_by_one(self):
        """Guards against a check only once a pass or once a step."""
        self.add_upstreams(4)
        self.set_limit(5_000)
        for number in range(3):
            self.submit(f"j{number}", make_step(4), make_step(2))
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.count_running(), 5)
        self.cell.run_for(12 * SECOND)
        self.assert_completed("j0", "j1", "j2")

    def test_each_resource_has_its_own_limit(self):
        """Guards against a limit of memory or accelerators that is not looked at."""
        self.add_upstreams(4)
        self.set_limit(memory_mib=3_000)
        self.submit("j", make_step(8), duration=HOUR)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_running(), 3)

    def test_accelerators_are_limited(self):
        """Guards against a count of processor and memory alone."""
        for number in range(2):
            upstream = self.cell.add_upstream(f"u{number}", 8_000)
            upstream.capacity = Capacity(8_000, 8_000, 4)
        self.set_limit(accelerators=3)
        step = make_step(3, size=Capacity(1_000, 1_000, 2))
        self.submit("j", step, duration=HOUR)
        self.submit("k", make_step(2), duration=HOUR)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_running(), 1 + 2)

    def test_gang_starts_as_a_whole_or_waits(self):
        """Guards against a gang of which only as many start as the limit has room."""
        self.add_upstreams(4)
        self.set_limit(4_000)
        self.submit("first", make_step(2), duration=3 * SECOND)
        self.cell.run_for(SECOND)
        self.submit("gang", make_step(3, gang=True), duration=SECOND)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running(), 2)
        self.assertEqual(self.list_reasons(), {"gang": {"workspace_limit": 3}})
        self.cell.run_for(6 * SECOND)
        self.assert_completed("first", "gang")

    def test_work_beyond_the_limit_waits_for_it(self):
        """Guards against a task or gang over the limit that starts, or is not shown."""
        self.add_upstreams(4)
        self.set_limit(2_000)
        self.submit("gang", make_step(3, gang=True))
        self.submit("large", make_step(size=Capacity(3_000, 100)))
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 0)
        expected = {"gang": {"workspace_limit": 3}, "large": {"workspace_limit": 1}}
        self.assertEqual(self.list_reasons(), expected)

    def test_copy_of_a_straggler_counts(self):
        """Guards against a copy beside the straggling run that nobody counts."""
        self.add_upstreams(2)
        self.set_limit(1_000)
        self.submit("j", make_step(duplicates=True), duration=20 * SECOND)
        self.cell.run_for(10 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.set_limit(2_000)
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_opportunistic_task_counts_with_its_full_size(self):
        """Guards against counting only what a task reserves."""
        self.add_upstreams(2)
        self.set_limit(2_000)
        size = Capacity(1_000, 100)
        self.submit("j", make_step(6, size=size, opportunistic=True), duration=HOUR)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_running(), 2)

    def test_run_that_is_being_stopped_counts(self):
        """Guards against starts in the place of runs that have not ended yet."""
        self.add_upstreams(2)
        self.set_limit(2_000)
        self.submit("j", make_step(2), duration=HOUR)
        self.cell.run_for(SECOND)
        self.cell.silent.update(self.cell.upstreams)
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.submit("k", make_step(2), duration=HOUR)
        self.cell.add_upstream("u9")
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.silent.clear()
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 4)

    def test_start_in_progress_counts(self):
        """Guards against starts beside one that may still be carried out."""
        self.add_upstreams(2)
        self.set_limit(1_000)
        self.cell.run_for(SECOND)
        self.cell.hold_back = lambda order: (
            isinstance(order, StartRun) and not self.cell.held_orders
        )
        self.submit("j", make_step(2), duration=HOUR)
        self.cell.step()
        (held,) = self.cell.held_orders
        self.cell.run_for(SECOND / 5)
        self.cell.execute_order(held.token, held.order)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running(), 1)

    def test_limit_that_is_lowered_stops_nothing(self):
        """Guards against runs stopped by a configuration, and starts above it."""
        self.add_upstreams(3)
        self.set_limit(6_000)
        self.submit("j", make_step(9), duration=4 * SECOND)
        self.cell.run_for(SECOND)
        self.set_limit(2_000)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_running(), 6)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_running(), 2)
        self.set_limit(3_000)
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.count_running(), 3)

    def test_removed_workspace_keeps_its_last_limit(self):
        """Guards against jobs that are without a limit once their workspace is gone."""
        self.add_upstreams(3)
        self.set_limit(2_000)
        self.cell.run_for(SECOND)
        for remaining in ({}, None):
            self.configure(remaining)
            self.submit(f"j{remaining}", make_step(5), duration=2 * SECOND)
            self.cell.run_for(SECOND)
            self.assertEqual(self.count_running(), 2)

    def test_unknown_limit_after_a_takeover_lets_one_task_run(self):
        """Guards against a removed workspace that runs freely under the next leader."""
        self.add_upstreams(3)
        self.set_limit(2_000)
        self.submit("j", make_step(4), duration=SECOND)
        self.cell.step()
        self.configure({})
        self.cell.take_over()
        for _ in range(30):
            self.cell.step()
            self.assertLessEqual(self.count_running(), 2)
        self.cell.run_for(8 * SECOND)
        self.assert_completed("j")

    def test_workspaces_do_not_share_a_limit(self):
        """Guards against one workspace held back by the runs of another."""
        self.add_upstreams(3)
        limit = Capacity(2_000, 0)
        self.set_workspaces(Workspace("w", limit=limit), Workspace("x", limit=limit))
        self.submit("j", make_step(4), duration=HOUR)
        self.submit("k", make_step(4), duration=HOUR, workspace="x")
        self.submit("l", make_step(4), duration=HOUR, workspace="")
        self.cell.run_for(SECOND)
        running = [self.count_running(each) for each in ("w", "x", "")]
        self.assertEqual(running, [2, 2, 4])


class LastingLimitTest(WorkspaceCellTest):
    def test_lasting_tasks_of_a_removed_workspace_all_run_again(self):
        """One task at a time never ends where tasks last."""
        self.add_upstreams(4)
        self.cell.run_for(SECOND)
        limit = Capacity(8_000, 0)
        self.set_workspaces(Workspace("w", limit=limit), Workspace("x", limit=limit))
        self.submit("l", make_step(3, lasting=True), duration=HOUR)
        self.cell.run_for(SECOND)
        self.configure({"x": Workspace("x", limit=limit)})
        self.cell.take_over()
        self.cell.run_for(2 * SECOND)
        run = self.cell.scheduler.jobs["l"].list_runs()[0]
        self.cell.restart_upstream(run.upstream)
        self.cell.run_for(8 * SECOND)
        self.assertEqual(self.count_running(), 3)


class LimitedAdviceTest(WorkspaceCellTest):
    def setUp(self):
        super().setUp()
        self.cell = FakeCell(configuration=make_configuration(advice=True))

    def test_no_permits_are_asked_for_tasks_that_the_limit_holds(self):
        """Guards against the advice service being asked in vain."""
        self.add_upstreams(3)
        self.set_limit(2_000)
        self.submit("j", make_step(2), duration=HOUR)
        self.cell.run_for(SECOND)
        asked = len(self.cell.permit_requests)
        self.submit("k", make_step(4), duration=HOUR)
        self.submit("gang", make_step(2, gang=True), duration=HOUR)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(len(self.cell.permit_requests), asked)

    def test_steps_ahead_and_lost_runs_ask_within_the_limit(self):
        """Guards against no permits ahead for a job that is at its limit."""
        self.add_upstreams(2)
        self.set_limit(2_000)
        steps = (make_step(2, estimate=2 * SECOND), make_step(2, after=(0,)))
        self.submit("j", *steps, duration=2 * SECOND)
        self.cell.run_for(2 * SECOND)
        self.assertIn(1, [request.step for request in self.cell.permit_requests])


class LimitedReservationTest(WorkspaceCellTest):
    def test_tasks_that_the_limit_holds_reserve_nothing(self):
        """Guards against room kept free for tasks that may not start."""
        self.add_upstreams(1)
        self.set_limit(2_000)
        large = make_step(1, size=Capacity(2_000, 10), estimate=8 * SECOND)
        self.submit("j", large, duration=HOUR)
        short = make_step(estimate=4 * SECOND)
        self.submit("x", short, duration=4 * SECOND, workspace="")
        self.cell.run_for(3 * SECOND)
        self.submit("k", large, duration=HOUR)
        self.cell.run_for(SECOND / 5)
        later = make_step(estimate=20 * SECOND)
        self.submit("l", later, duration=HOUR, workspace="")
        self.cell.run_for(SECOND / 5)
        self.assertEqual(self.count_running(""), 2)


if __name__ == "__main__":
    unittest.main()
