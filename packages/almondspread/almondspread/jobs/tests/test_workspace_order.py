"""The order in which jobs of workspaces are placed in a full service."""

import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, make_job, make_step
from almondspread.jobs.tests.workspace_cells import WorkspaceCellTest
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, make_configuration
from almondspread.testing.fake_cell import FakeCell

HOUR = timedelta(hours=1)


class OrderTest(WorkspaceCellTest):
    """Jobs may take a minute, so that none of them is late."""

    def setUp(self):
        super().setUp()
        configuration = make_configuration()
        queue = evolve(configuration.queues[QUEUE], target_latency=60 * SECOND)
        urgent = evolve(queue, name="urgent", priority=-1)
        queues = {QUEUE: queue, "urgent": urgent}
        self.cell = FakeCell(configuration=evolve(configuration, queues=queues))
        self.cell.history.advance_all = self.advance_all

    def share(self, **weights):
        """Configure workspaces without limits, with weights."""
        self.set_workspaces(
            *(Workspace(name, weight) for name, weight in weights.items())
        )

    def count_all(self, *names):
        return [self.count_running(name) for name in names]


class ShareOrderTest(OrderTest):
    def test_burst_of_one_workspace_leaves_the_share_of_another(self):
        """Guards against the first jobs taking a whole service in one pass."""
        self.add_upstreams(4)
        self.share(w=9.0, x=3.0)
        self.cell.run_for(SECOND)
        self.submit("j", make_step(40), duration=HOUR)
        self.submit("k", make_step(40), duration=HOUR, workspace="x")
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_all("w", "x"), [12, 4])

    def test_workspace_under_its_share_gets_what_becomes_free(self):
        """Guards against an order by due time alone."""
        self.add_upstreams(2)
        self.share(w=9.0, x=9.0)
        for number in range(6):
            self.submit(f"j{number}", make_step(4), duration=2 * SECOND)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_all("w", "x"), [8, 0])
        self.submit("k", make_step(9), duration=HOUR, workspace="x")
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.count_all("w", "x"), [4, 4])

    def test_idle_share_is_lent(self):
        """Guards against room kept free for a workspace without work."""
        self.add_upstreams(2)
        self.share(w=1.0, x=9.0)
        self.submit("k", make_step(1), duration=HOUR, workspace="x")
        self.submit("j", make_step(40), duration=HOUR)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_all("w", "x"), [7, 1])

    def test_share_of_a_workspace_at_its_limit_is_lent(self):
        """Guards against shares of work that may not start."""
        self.add_upstreams(2)
        self.set_workspaces(
            Workspace("w", 1.0),
            Workspace("x", 9.0, Capacity(1_000, 0)),
            Workspace("y", 1.0),
        )
        self.submit("k", make_step(40), duration=HOUR, workspace="x")
        self.submit("j", make_step(40), duration=HOUR)
        self.submit("l", make_step(40), duration=HOUR, workspace="y")
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_all("w", "x", "y"), [4, 1, 3])

    def test_wait_for_the_share_is_told(self):
        """Guards against a wait for room whose reason is a workspace's share."""
        self.add_upstreams(2)
        self.share(w=9.0, x=9.0, y=9.0)
        self.submit("j", make_step(9), duration=HOUR)
        self.submit("k", make_step(9), duration=HOUR, workspace="x")
        self.cell.run_for(SECOND)
        self.submit("l", make_step(2), duration=HOUR, workspace="y")
        self.cell.run_for(SECOND)
        reasons = self.list_reasons()
        self.assertEqual(reasons["l"], {"no_room": 2})
        self.assertEqual(reasons["j"], {"workspace_share": 5})
        loads = self.cell.scheduler.measure_load(self.cell.now).workspaces
        self.assertEqual([load.waiting_tasks for load in loads], [5, 5, 2])

    def test_lasting_task_does_not_wait_for_the_share_of_its_workspace(self):
        """A lasting task that lost its run waited behind all other workspaces."""
        self.add_upstreams(1)
        self.share(w=1.0, x=9.0)
        self.submit("j", make_step(2, lasting=True), duration=HOUR)
        self.cell.run_for(SECOND)
        self.submit("k", make_step(4), duration=2 * SECOND, workspace="x")
        self.submit("l", make_step(2, lasting=True), duration=HOUR)
        self.submit("m", make_step(4), duration=HOUR, workspace="x")
        self.cell.run_for(7 * SECOND)
        self.assertEqual(self.count_all("w"), [4])

    def test_jobs_without_a_workspace_have_no_share(self):
        """Jobs of public queues waited behind those of every workspace."""
        self.add_upstreams(2)
        self.share(w=9.0, x=9.0)
        self.submit("j", make_step(4), duration=2 * SECOND, workspace="")
        self.submit("k", make_step(8), duration=2 * SECOND)
        self.cell.run_for(SECOND)
        self.submit("l", make_step(4), duration=HOUR, workspace="")
        self.cell.run_for(SECOND / 10)
        self.submit("m", make_step(40), duration=HOUR)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(len(self.cell.scheduler.jobs["l"].list_runs()), 4)

    def test_workspace_far_below_its_limit_gets_a_task_started(self):
        """Guards against a workspace over a small share that gets nothing for long."""
        self.add_upstreams(1)
        self.set_workspaces(
            Workspace("w", 100.0), Workspace("x", 0.01, Capacity(4_000, 0))
        )
        self.cell.run_for(SECOND)
        self.submit("k", make_step(4), duration=HOUR, workspace="x")
        for number in range(20):
            self.submit(f"j{number}", make_step(4), duration=2 * SECOND)
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_all("w", "x"), [3, 1])
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.count_all("w", "x"), [2, 2])
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.count_all("w", "x"), [2, 2])

    def test_work_that_waits_for_a_limit_makes_nobody_else_wait(self):
        """Jobs were refused beside idle upstreams for work that its limit held."""
        self.add_upstreams(16)
        self.set_workspaces(
            Workspace("w", 9.0, Capacity(4_000, 0)), Workspace("x", 9.0)
        )
        self.submit("j", make_step(400, estimate=10 * SECOND), duration=HOUR)
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.scheduler.estimate_loads(self.cell.now).waits, ())

    def test_work_beyond_a_share_makes_others_wait_no_longer(self):
        """Jobs of a workspace with less were refused for work that is placed later."""
        self.add_upstreams(4)
        self.share(w=9.0, x=9.0)
        self.submit("j", make_step(200, estimate=10 * SECOND), duration=10 * SECOND)
        self.submit("k", make_step(1), duration=HOUR, workspace="x")
        self.cell.run_for(SECOND)
        waits = self.cell.scheduler.estimate_loads(self.cell.now).waits
        self.assertLess(max((wait.seconds for wait in waits), default=0.0), 11.0)

    def test_lasting_task_runs_again_beside_urgent_tasks_of_its_workspace(self):
        """Small tasks took each freed core of the limit, for as long as they came."""
        self.add_upstreams(4)
        self.set_workspaces(Workspace("w", 1_000.0, Capacity(4_000, 0)))
        self.cell.run_for(SECOND)
        step = make_step(size=Capacity(3_000, 100), lasting=True)
        self.submit("l", step, duration=HOUR)
        self.cell.run_for(SECOND)
        for number in range(80):
            duration = SECOND * (0.6 + 0.1 * (number % 9))
            for upstream in self.cell.upstreams.values():
                upstream.durations[TaskId(f"j{number}", 0, 0, 0)] = duration
            job = evolve(make_job(f"j{number}", make_step()), queue="urgent")
            self.cell.submit(evolve(job, workspace="w"))
        (run,) = self.cell.scheduler.jobs["l"].list_runs()
        self.cell.restart_upstream(run.upstream)
        self.cell.run_for(6 * SECOND)
        self.assertEqual(len(self.cell.scheduler.jobs["l"].list_runs()), 1)

    def test_nothing_is_preempted(self):
        """Guards against runs stopped for a workspace under its share."""
        self.add_upstreams(1)
        self.share(w=1.0, x=9.0)
        self.submit("j", make_step(4), duration=HOUR)
        self.cell.run_for(SECOND)
        self.submit("k", make_step(4), duration=HOUR, workspace="x")
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.count_all("w", "x"), [4, 0])

    def test_priority_and_due_time_decide_within_a_share(self):
        """Guards against shares in place of the priority of a queue."""
        self.add_upstreams(1)
        self.share(w=1.0)
        self.submit("j", make_step(4), duration=2 * SECOND)
        self.cell.run_for(SECOND)
        self.submit("later", make_step(4), duration=HOUR)
        job = self.cell.history.submissions["later"]
        self.cell.submit(evolve(job, job="urgent", queue="urgent"))
        self.cell.run_for(2 * SECOND)
        self.assertTrue(self.cell.scheduler.jobs["urgent"].list_runs())
        self.assertFalse(self.cell.scheduler.jobs["later"].list_runs())


class SurplusOrderTest(OrderTest):
    def submit_many(self, count, prefix="j", workspace="w"):
        for number in range(count):
            self.submit(
                f"{prefix}{number}",
                make_step(estimate=SECOND / 2),
                duration=SECOND / 2,
                workspace=workspace,
            )

    def test_jobs_beyond_the_rate_are_placed_last(self):
        """Guards against one workspace at many times its rate ahead of another."""
        self.add_upstreams(1)
        self.share(w=1.0, x=1.0)
        self.cell.run_for(SECOND)
        self.submit_many(40)
        self.cell.step()
        jobs = self.cell.scheduler.jobs
        surplus = [name for name, job in jobs.items() if job.is_surplus]
        self.assertEqual(len(surplus), 40 - 3)
        self.submit_many(3, "k", "x")
        self.cell.run_for(2 * SECOND)
        self.assert_completed("k0", "k1", "k2", "j0", "j1", "j2")

    def test_job_within_the_rate_comes_before_earlier_surplus_jobs(self):
        """Guards against a workspace whose own rate is lost behind its surplus."""
        self.add_upstreams(1)
        self.share(w=1.0)
        self.cell.run_for(SECOND)
        self.submit_many(40)
        self.cell.run_for(2 * SECOND)
        self.submit_many(1, "k")
        self.cell.run_for(1.5 * SECOND)
        self.assert_completed("k0")

    def test_surplus_jobs_use_what_is_free(self):
        """Guards against surplus jobs that wait while there is capacity."""
        self.add_upstreams(4)
        self.share(w=1.0)
        self.cell.run_for(SECOND)
        self.submit_many(16)
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.cell.history.starts, 16)

    def test_rate_is_decided_once_in_order_of_acceptance(self):
        """Guards against a new leader that takes loaded jobs for a burst."""
        self.add_upstreams(1)
        self.share(w=1.0)
        for number in range(12):
            self.submit(f"j{number}", make_step(), duration=HOUR)
            self.cell.run_for(SECOND)
        submissions = self.cell.history.submissions
        accepted = {
            name: self.cell.scheduler.jobs[name].accepted for name in submissions
        }
        scheduler = self.cell.scheduler
        self.cell.take_over()
        for job in self.cell.scheduler.jobs.values():
            job.accepted = accepted[job.submission.job]
        self.cell.scheduler._job_table.unrated.reverse()
        self.cell.step()
        for jobs in (scheduler.jobs, self.cell.scheduler.jobs):
            self.assertFalse(any(job.is_surplus for job in jobs.values()))

    def test_cell_without_workspaces_has_no_surplus(self):
        """Guards against a feature that no configuration asks for."""
        self.add_upstreams(1)
        self.submit_many(40)
        self.cell.step()
        jobs = self.cell.scheduler.jobs.values()
        self.assertFalse(any(job.is_surplus for job in jobs))


if __name__ == "__main__":
    unittest.main()
