"""Runs on upstreams that have not reported count for the limit of a workspace."""

import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.jobs.messages import RunSighting, StartRun, UpstreamReport
from almondspread.jobs.submissions import Repetition, TaskId
from almondspread.jobs.tests.cells import SECOND, make_job, make_step
from almondspread.jobs.tests.workspace_cells import WorkspaceCellTest
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_cell import WALL_CLOCK_START

HOUR = timedelta(hours=1)


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
