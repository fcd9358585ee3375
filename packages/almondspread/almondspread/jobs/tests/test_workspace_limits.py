"""No start brings what a workspace has running above its limit."""

import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.jobs.messages import RunSighting, StartRun, UpstreamReport
from almondspread.jobs.submissions import Repetition, TaskId
from almondspread.jobs.tests.cells import SECOND, make_job, make_step
from almondspread.jobs.tests.workspace_cells import WorkspaceCellTest
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import WALL_CLOCK_START, FakeCell

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


class UnseenLimitTest(WorkspaceCellTest):
    """After a change of leader, or while upstreams are silent."""

    def start_all(self, count=8, **fields):
        """Run as many tasks as the limit of half the cell lets start."""
        self.add_upstreams(4)
        self.cell.run_for(SECOND)
        self.set_limit(8_000)
        self.submit("j", make_step(count, **fields), duration=HOUR)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running(), 8)

    def add_room(self):
        for name in ("n0", "n1", "n2"):
            self.cell.add_upstream(name)

    def test_own_copies_of_a_task_do_not_hide_inherited_ones(self):
        """Each copy that the new leader started made room for one task too many."""
        self.add_upstreams(2)
        self.set_limit(3_000)
        self.submit("j", make_step(duplicates=True), duration=HOUR)
        self.cell.run_for(8 * SECOND)
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.take_over(lapse_in=9 * SECOND, lost_executors=victims)
        self.add_room()
        self.submit("k", make_step(3), duration=HOUR)
        self.cell.run_for(5 * SECOND)
        self.assertLessEqual(self.count_running(), 3)

    def test_unseen_upstream_that_has_shrunk_counts_with_its_former_size(self):
        """Runs that were started before the entry shrank were not counted."""
        self.start_all()
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors=victims)
        for name in victims:
            self.cell.upstreams[name].capacity = Capacity(1_000, 1_000)
        self.submit("k", make_step(4), duration=HOUR)
        self.add_room()
        self.cell.run_for(4 * SECOND)
        self.assertLessEqual(self.count_running(), 8)

    def test_runs_on_a_silent_upstream_count_until_its_leases_expire(self):
        """Guards against silence taken for the end of runs."""
        self.start_all(12)
        (victim, *_) = (run.upstream for run in self.list_runs())
        self.cell.silent.add(victim)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)
        self.cell.run_for(12 * SECOND)
        self.assertEqual(self.count_running(), 8)
        self.assertGreater(self.cell.history.starts, 8)

    def list_runs(self):
        return self.cell.scheduler.jobs["j"].list_runs()

    def test_remembered_runs_count_after_a_takeover(self):
        """Guards against a successor that starts beside what it has not heard of."""
        self.start_all()
        self.cell.silent.update(self.cell.upstreams)
        self.cell.take_over()
        self.submit("k", make_step(4), duration=HOUR)
        self.add_room()
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)
        self.assertEqual(self.list_reasons()["k"], {"workspace_limit": 4})
        self.cell.silent.clear()
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_capacity_of_an_unknown_upstream_counts_after_a_takeover(self):
        """Guards against a lost executor whose upstream may be full of runs."""
        self.start_all()
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors=victims)
        self.submit("k", make_step(4), duration=HOUR)
        self.add_room()
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.count_running(), 8)

    def test_capacity_of_unknown_upstreams_leaves_the_rest_of_the_limit(self):
        """Guards against counting all waiting tasks as running on one upstream."""
        self.start_all(20)
        (victim, *_) = (run.upstream for run in self.list_runs())
        self.cell.silent.add(victim)
        self.cell.take_over(lapse_in=30 * SECOND, lost_executors={victim})
        self.set_limit(14_000)
        self.submit("k", make_step(8), duration=HOUR)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        running = sum(victim != run.upstream for run in self.list_runs())
        self.assertEqual(self.count_running(), 14 - 4 + (8 - running))

    def test_workspace_without_inherited_jobs_starts_beside_unknown_upstreams(self):
        """Guards against one lost executor that holds back every workspace."""
        self.start_all()
        self.cell.silent.add("u0")
        self.set_workspaces(
            Workspace("w", limit=Capacity(8_000, 0)),
            Workspace("x", limit=Capacity(2_000, 0)),
        )
        self.cell.take_over(lapse_in=30 * SECOND, lost_executors={"u0"})
        self.add_room()
        self.submit("k", make_step(4), duration=HOUR, workspace="x")
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running("x"), 2)

    def test_placeholder_capacity_counts_as_the_largest_of_the_service(self):
        """Guards against the capacity 0 of an upstream that is no longer listed."""
        self.start_all(8)
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.hears_restarts = False
        for name in victims:
            del self.cell.upstreams[name]
        self.cell.take_over(lapse_in=30 * SECOND, lost_executors=victims)
        for name in victims:
            upstream = self.cell.scheduler.cell_state.upstreams[name]
            upstream.entry = evolve(upstream.entry, capacity=Capacity(0, 0, 0))
        self.submit("k", make_step(8), duration=HOUR)
        self.add_room()
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_cancelled_job_counts_on_an_unknown_upstream(self):
        """Guards against taking an ended job for one without runs."""
        self.start_all()
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.cell.run_for(SECOND / 2)
        for lost in ((), victims):
            with self.subTest(lost=lost):
                self.cell.take_over(lapse_in=9 * SECOND, lost_executors=lost)
                self.submit(f"k{len(lost)}", make_step(4), duration=HOUR)
                self.add_room()
                self.cell.run_for(SECOND)
                self.assertEqual(self.cell.history.starts, 8)

    def check_copy_on_an_unseen_upstream(self, is_known):
        self.add_upstreams(2)
        self.set_limit(2_000)
        self.submit("j", make_step(duplicates=True), duration=HOUR)
        self.cell.run_for(8 * SECOND)
        self.assertEqual(self.count_running(), 2)
        first, second = (run.upstream for run in self.list_runs())
        self.assertNotEqual(first, second)
        self.cell.silent.add(first)
        lost = () if is_known else {first}
        self.cell.take_over(lapse_in=9 * SECOND, lost_executors=lost)
        self.submit("k", make_step(), duration=HOUR)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_remembered_copy_counts_beside_a_bound_run(self):
        """Guards against counting a task that may run twice only once."""
        self.check_copy_on_an_unseen_upstream(is_known=True)

    def test_unknown_copy_counts_beside_a_bound_run(self):
        """Guards against a bound run taken as the only one of a task."""
        self.check_copy_on_an_unseen_upstream(is_known=False)

    def test_repeated_job_counts_with_the_capacity_of_unknown_upstreams(self):
        """Guards against occurrences that only the leader before has created."""
        self.add_upstreams(2)
        self.set_limit(4_000)
        self.cell.run_for(SECOND)
        first = WALL_CLOCK_START + self.cell.now
        for upstream in self.cell.upstreams.values():
            for index in range(4):
                upstream.durations[TaskId("j", 0, 0, index)] = HOUR
        job = make_job("j", make_step(4))
        job = evolve(job, workspace="w", repetition=Repetition(first, HOUR, 2))
        self.cell.submit(job)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running(), 4)
        later = first + HOUR
        self.cell.history.submissions["j"] = evolve(
            job, repetition=Repetition(later, HOUR, 2)
        )
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        self.cell.take_over(lapse_in=9 * SECOND, lost_executors=victims)
        self.submit("k", make_step(2), duration=HOUR)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 4)

    def test_missing_jobs_hold_back_a_limited_workspace(self):
        """Guards against counting only jobs that are loaded."""
        self.start_all()
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        hidden = self.cell.history.submissions.pop("j")
        self.cell.take_over(lapse_in=9 * SECOND, lost_executors=victims)
        self.cell.history.submissions["j"] = hidden
        self.cell.scheduler.is_complete = False
        # Tasks that may run twice are not held for what an unseen upstream may run.
        self.submit("k", make_step(2, duplicates=True), duration=HOUR)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_remembered_task_of_an_unread_job_counts_with_its_upstream(self):
        """Guards against a job that is stored, but that this leader has not read."""
        self.start_all()
        self.cell.silent.update(self.cell.upstreams)
        hidden = self.cell.history.submissions.pop("j")
        self.cell.take_over()
        self.cell.history.submissions["j"] = hidden
        self.submit("k", make_step(2), duration=HOUR)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_unread_jobs_count_until_a_read_after_the_marks_are_fenced(self):
        """Guards against jobs started by the leader before after this one has read."""
        self.start_all()
        victims = {run.upstream for run in self.list_runs()}
        self.cell.silent.update(victims)
        hidden = self.cell.history.submissions.pop("j")
        self.cell.take_over(lapse_in=9 * SECOND, lost_executors=victims)
        self.cell.history.submissions["j"] = hidden
        self.cell.submissions_are_readable = False
        self.submit("k", make_step(2), duration=HOUR)
        self.add_room()
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_upstream_with_unknown_runs_counts_with_its_capacity(self):
        """Guards against runs of a deleted job that nobody counts."""
        self.add_upstreams(2)
        self.set_limit(4_000)
        self.cell.run_for(SECOND)
        sighting = RunSighting(TaskId("gone", 0, 0, 0), 1, "", 10)
        report = UpstreamReport("u0", 1, 99, 0, (), (sighting,))
        self.cell.scheduler.record_read(self.cell.now + SECOND)
        self.cell.scheduler.handle_report(report, self.cell.now)
        self.assertTrue(self.cell.scheduler.cell_state.upstreams["u0"].has_unknown_runs)
        self.submit("k", make_step(2), duration=HOUR)
        self.cell.commit()
        orders = self.cell.scheduler.schedule(
            self.cell.now, WALL_CLOCK_START + self.cell.now, 0
        )
        self.assertFalse([each for each in orders if isinstance(each, StartRun)])
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_running(), 2)

    def test_restarted_upstream_that_was_unseen_still_counts(self):
        """Guards against a restart that forgets what may reach the next incarnation."""
        self.add_upstreams(3)
        for upstream in self.cell.upstreams.values():
            upstream.born = 1
        self.set_limit(1_000)
        self.cell.run_for(SECOND)
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        self.submit("j", make_step(), duration=HOUR)
        self.cell.step()
        (held,) = self.cell.held_orders
        self.cell.hold_back = lambda _: False
        victim = held.order.upstream
        self.cell.silent.add(victim)
        self.cell.take_over(lapse_in=9 * SECOND)
        name = self.cell.restart_upstream(victim)
        self.cell.silent.add(name)
        self.submit("k", make_step(), duration=HOUR)
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 0)


if __name__ == "__main__":
    unittest.main()
