"""Upstreams that start again under their identity, as the incident TWICE had them.

What is kept of an upstream belongs to one incarnation of it.
"""

from datetime import timedelta

from almondspread.jobs.incarnations import find_next_token
from almondspread.jobs.messages import STARTED, StartRun, StartSettled, StopSettled
from almondspread.jobs.progress import JobState
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.fake_cell import FakeCell

MILLISECOND = timedelta(milliseconds=1)
TASK = TaskId("j", 0, 0, 0)


class RestartCellTest(CellTest):
    """Base class of tests with upstreams whose tasks last some seconds."""

    upstream_count = 2
    first_start = 1

    def setUp(self):
        super().setUp()
        self.add_upstreams(self.upstream_count)
        for upstream in self.cell.upstreams.values():
            upstream.born = self.first_start
        self.cell.run_for(SECOND)

    def submit_long(self, job="j", seconds=3, **fields):
        """Submit a job of one task, and return the name of the upstream it runs on."""
        duration = seconds * SECOND
        for upstream in self.cell.upstreams.values():
            upstream.durations[TaskId(job, 0, 0, 0)] = duration
        self.cell.submit(make_job(job, make_step(estimate=duration, **fields)))
        self.cell.step()
        return self.find_upstream(job)

    def find_upstream(self, job="j"):
        """Return the upstream to which the leader has bound the only run of a job."""
        (run,) = self.cell.scheduler.jobs[job].list_runs()
        return run.upstream

    def hold_back_start(self):
        """Have the next start delivered late, and its answer be lost."""
        self.cell.hold_back = lambda order: (
            isinstance(order, StartRun) and not self.cell.held_orders
        )

    def deliver_held_start(self):
        (held,) = self.cell.held_orders
        self.cell.execute_order(held.token, held.order)


class CountingAnewTest(RestartCellTest):
    """Ends, runs and losses of the incarnation that has just begun."""

    def test_ends_of_the_next_incarnation_are_recorded(self):
        self.cell.submit(make_job("before", make_step(6)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("before")
        for name in list(self.cell.upstreams):
            self.cell.restart_upstream(name)
        self.cell.submit(make_job("after", make_step(4)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("before", "after")
        self.assertEqual(self.cell.history.starts, 10)

    def test_run_that_a_report_has_shown_is_lost_with_its_incarnation(self):
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.restart_upstream(name)
        self.cell.run_for(500 * MILLISECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")

    def test_run_is_lost_at_once_while_the_list_is_not_readable(self):
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.directory_is_up = False
        self.cell.restart_upstream(name)
        self.cell.run_for(500 * MILLISECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.assertNotEqual(self.find_upstream(), name)

    def test_crashing_task_is_given_up_although_its_upstreams_keep_their_identity(self):
        self.cell.keeps_identity = True
        self.cell.crashing.add(TASK)
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.run_for(30 * SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[TASK], 2)

    def test_upstream_that_starts_again_elsewhere_has_crashed(self):
        """Nothing runs at its old address, and nobody hears of its new start."""
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.hears_restarts = False
        new = self.cell.restart_upstream(name)
        entries = [make_entry(self.cell.upstreams[new], 7)]
        self.cell.scheduler.update_upstreams(entries, self.cell.now)
        self.assertEqual(self.cell.scheduler.jobs["j"].list_runs(), [])
        (progress,) = self.cell.scheduler.jobs["j"].steps.values()
        (loss,) = progress.losses.by_task[0]
        self.assertTrue(loss.crashed)


class CallUnderWayTest(RestartCellTest):
    """Calls for one incarnation that reach the next one."""

    def restart_under_a_start(self):
        """Restart the upstream of a job whose start is still under way."""
        self.hold_back_start()
        name = self.submit_long()
        return self.cell.restart_upstream(name)

    def test_start_that_reaches_the_next_incarnation_counts_there(self):
        for heard in (True, False):
            with self.subTest(heard=heard):
                self.setUp()
                self.cell.hears_restarts = heard
                name = self.restart_under_a_start()
                self.deliver_held_start()
                self.cell.run_for(SECOND)
                self.assertEqual(self.find_upstream(), name)
                self.cell.run_for(4 * SECOND)
                self.assert_completed("j")
                self.assertEqual(self.cell.history.starts, 1)
                self.tearDown()

    def test_start_does_not_run_twice_while_the_next_incarnation_is_silent(self):
        """The cell of the tests records a violation if it does."""
        name = self.restart_under_a_start()
        self.deliver_held_start()
        self.cell.silent.add(name)
        self.cell.run_for(SECOND)
        self.cell.silent.clear()
        self.cell.run_for(8 * SECOND)
        self.assert_completed("j")

    def test_run_in_the_next_incarnation_takes_up_its_capacity(self):
        name = self.restart_under_a_start()
        self.deliver_held_start()
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("k", make_step(8)))
        self.cell.run_for(10 * SECOND)
        self.assertIn(name, self.cell.upstreams)
        self.assert_completed("j", "k")

    def test_start_that_never_arrives_is_made_again(self):
        self.restart_under_a_start()
        self.cell.run_for(8 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_run_that_has_reached_the_next_incarnation_crashed_nothing(self):
        self.restart_under_a_start()
        self.deliver_held_start()
        self.cell.run_for(SECOND)
        (progress,) = self.cell.scheduler.jobs["j"].steps.values()
        self.assertFalse(progress.losses)

    def test_late_start_is_refused_once_the_next_incarnation_has_reported(self):
        for seconds in (0.3, 2.0):
            with self.subTest(seconds=seconds):
                self.setUp()
                self.restart_under_a_start()
                self.cell.run_for(seconds * SECOND)
                self.deliver_held_start()
                self.cell.run_for(8 * SECOND)
                self.assert_completed("j")
                self.assertEqual(self.cell.history.starts, 1)
                self.tearDown()

    def test_late_acknowledgement_for_the_earlier_incarnation_is_refused(self):
        old = next(iter(self.cell.upstreams))
        old_token = self.cell.find_token_for(old)
        new = self.cell.restart_upstream(old)
        upstream = self.cell.upstreams[new]
        self.cell.run_for(300 * MILLISECOND)
        answer = upstream.renew_leases(old_token, 30, None, self.cell.now)
        self.assertIsNone(answer)

    def test_late_start_at_a_silent_incarnation_cannot_run_beside_another(self):
        self.restart_under_a_start()
        (name,) = [name for name in self.cell.upstreams if "@" in name]
        self.cell.silent.add(name)
        self.cell.run_for(3 * SECOND)
        (held,) = self.cell.held_orders
        upstream = self.cell.upstreams[name]
        until = self.cell.now + 2 * SECOND
        upstream.start(
            held.token, held.order.task, held.order.run, until, self.cell.now
        )
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.cell.silent.clear()
        self.cell.run_for(12 * SECOND)
        self.assert_completed("j")

    def test_fenced_call_for_an_earlier_incarnation_does_not_end_the_leader(self):
        """The cell of the tests records a violation if it does."""
        old = next(iter(self.cell.upstreams))
        new = self.cell.restart_upstream(old)
        self.cell.run_for(300 * MILLISECOND)
        token = self.cell.find_token_for(new)
        self.assertGreater(token, self.cell.find_token_for(old))
        self.cell.check_fenced(old)
        self.assertEqual(self.cell.history.violations, [])

    def test_answers_for_the_earlier_incarnation_change_nothing(self):
        self.hold_back_start()
        old = self.submit_long()
        new = self.cell.restart_upstream(old)
        self.cell.report_upstream_list()
        (run,) = self.cell.scheduler.jobs["j"].list_runs()
        self.assertEqual(run.upstream, new)
        settled = StartSettled(old, run.task, run.number, STARTED)
        self.cell.scheduler.handle_report(settled, self.cell.now)
        stopped = StopSettled(old, run.task, run.number, True, 1)
        self.cell.scheduler.handle_report(stopped, self.cell.now)
        self.assertFalse(run.is_confirmed)
        self.assertIsNone(run.conclusive_report)

    def test_start_under_way_counts_until_its_lease_has_expired(self):
        """While the list is not readable, the next incarnation is not known."""
        self.hold_back_start()
        name = self.submit_long()
        self.cell.directory_is_up = False
        self.cell.restart_upstream(name)
        self.cell.run_for(9 * SECOND)
        self.assertEqual(self.find_upstream(), name)
        self.cell.directory_is_up = True
        self.cell.run_for(8 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)


class UnknownStartTest(RestartCellTest):
    """Upstreams that did not tell their start at first."""

    first_start = None

    def test_run_goes_on_where_the_start_becomes_known(self):
        """The upstream has not restarted, and takes a while to report."""
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        upstream = self.cell.upstreams[name]
        upstream.name, upstream.born = f"{name}@5", 5
        self.cell.upstreams = {each.name: each for each in self.cell.upstreams.values()}
        self.cell.silent.add(upstream.name)
        self.cell.run_for(200 * MILLISECOND)
        self.cell.silent.clear()
        self.cell.run_for(6 * SECOND)
        self.assert_completed("j")


class SuccessorTest(RestartCellTest):
    """A leader that takes over around a restart."""

    def test_tasks_wait_for_the_next_incarnation_to_report(self):
        """The start of the earlier leader has reached the next incarnation."""
        self.hold_back_start()
        name = self.submit_long()
        new = self.cell.restart_upstream(name)
        self.deliver_held_start()
        self.cell.silent.add(new)
        self.cell.take_over()
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.cell.silent.clear()
        self.cell.run_for(5 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_late_start_of_the_earlier_leader_is_refused(self):
        self.hold_back_start()
        name = self.submit_long()
        self.cell.restart_upstream(name)
        self.cell.take_over()
        self.cell.run_for(500 * MILLISECOND)
        self.deliver_held_start()
        self.cell.run_for(6 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_ends_are_recorded_by_the_next_leader(self):
        self.cell.submit(make_job("before", make_step(4)))
        self.cell.run_for(3 * SECOND)
        for name in list(self.cell.upstreams):
            self.cell.restart_upstream(name)
        self.cell.take_over()
        self.cell.submit(make_job("after", make_step(4)))
        self.cell.run_for(4 * SECOND)
        self.assert_completed("before", "after")
        self.assertEqual(self.cell.history.starts, 8)


class UnleasedLeaderTest(RestartCellTest):
    """A leader that may be superseded and does not know it."""

    def setUp(self):
        super().setUp()
        self.cell.lease_holds = False

    def interrupt(self, **fields):
        """Restart the upstream under the run of a job."""
        name = self.submit_long(**fields)
        self.cell.run_for(500 * MILLISECOND)
        self.cell.restart_upstream(name)
        self.cell.run_for(SECOND)

    def test_interrupted_task_starts_again_only_under_a_lease(self):
        """Another leader may have acknowledged its end before the restart."""
        self.interrupt()
        self.assertEqual(self.cell.history.starts, 1)
        self.cell.lease_holds = True
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")

    def test_task_that_may_run_twice_starts_again_without_a_lease(self):
        self.interrupt(duplicates=True)
        self.assertEqual(self.cell.history.starts, 2)

    def test_tasks_of_a_step_that_were_not_interrupted_are_done(self):
        self.cell.submit(make_job("j", make_step(4)))
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")


class StartThatGoesBackTest(RestartCellTest):
    """Entries of a start that lies before the known one."""

    upstream_count = 1

    def setUp(self):
        super().setUp()
        self.old = self.cell.upstreams["u0"]
        self.name = self.cell.restart_upstream("u0")
        self.cell.run_for(SECOND)

    def test_entry_of_an_earlier_incarnation_ends_no_runs(self):
        """An upstream's last write may arrive after the first of its next start."""
        self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.directory_is_up = False
        for _ in range(5):
            entries = [make_entry(self.old, 0)]
            self.cell.scheduler.update_upstreams(entries, self.cell.now)
            self.cell.step()
        self.cell.directory_is_up = True
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_start_that_goes_back_counts_once_the_upstream_shows_it(self):
        """The clock of its machine was set back before it started again."""
        self.cell.now, now = self.cell.now - 60 * SECOND, self.cell.now
        new = self.cell.restart_upstream(self.name)
        self.cell.now = now
        self.cell.hears_restarts = False
        self.cell.run_for(SECOND)
        self.assertNotIn(new, self.cell.scheduler.cell_state.upstreams)
        self.cell.hears_restarts = True
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")

    def test_start_that_goes_back_counts_once_all_leases_have_expired(self):
        """It is at another address, so that its executor cannot meet it."""
        self.cell.hears_restarts = False
        self.cell.directory_is_up = False
        self.cell.silent.add(self.name)
        self.cell.run_for(300 * MILLISECOND)
        upstream = self.cell.scheduler.cell_state.upstreams[self.name]
        entry = make_entry(self.old, 7)
        while not upstream.has_ended(self.cell.now):
            self.cell.scheduler.update_upstreams([entry], self.cell.now)
            self.assertNotIn("u0", self.cell.scheduler.cell_state.upstreams)
            self.cell.step()
        self.cell.scheduler.update_upstreams([entry], self.cell.now)
        self.assertIn("u0", self.cell.scheduler.cell_state.upstreams)

    def test_upstream_that_answers_as_before_is_used_again(self):
        """Its executor has fenced it for the sake of a restart that was none."""
        upstream = self.cell.upstreams[self.name]
        token = find_next_token(self.cell.find_token_for(self.name))
        upstream.renew_leases(token, 0, None, self.cell.now)
        self.cell.report_restart(self.name)
        self.cell.step()
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")


class PermitTest(CellTest):
    """A permit holds for one incarnation of an upstream."""

    def test_next_incarnation_needs_a_permit_of_its_own(self):
        self.cell = FakeCell(configuration=make_configuration(advice=True))
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(4), make_step(after=(0,))))
        self.cell.run_for(300 * MILLISECOND)
        new = self.cell.restart_upstream("u0")
        self.cell.run_for(5 * SECOND)
        self.assert_completed("j")
        asked = [order.upstreams for order in self.cell.permit_requests]
        self.assertIn((new,), asked)
