"""How long a task that lasts may be kept from running again, while there is room."""

import unittest
from datetime import timedelta

from almondspread.jobs.job_records import JobState
from almondspread.jobs.losses import MAX_UNCLEAR_LOSSES
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.jobs.trials import PROOF_TIME
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import FakeCell
from almondspread.testing.fake_upstream import FakeUpstream

# A task that lasts may be without a run for this long, where there is room.
LASTING_TASK_GAP = timedelta(seconds=9)


class LastingCellTest(CellTest):
    def submit_lasting(self, job, count=1, durations=()):
        """Submit a job of tasks that do not end by themselves, but for those given."""
        for upstream in self.cell.upstreams.values():
            for index in range(count):
                upstream.durations[TaskId(job, 0, 0, index)] = timedelta(hours=1)
            upstream.durations.update(durations)
        self.cell.submit(make_job(job, make_step(count, lasting=True)))

    def find_upstream(self, job, index=0):
        """Return the upstream on which a task of a job really runs, if there is one."""
        for name, upstream in self.cell.upstreams.items():
            if (
                name not in self.cell.silent
                and TaskId(job, 0, 0, index) in upstream.runs
            ):
                return name
        return None

    def wait_for_run(self, job, index=0, limit=LASTING_TASK_GAP):
        """Step until a task runs, and return its upstream; fail after ``limit``."""
        until = self.cell.now + limit
        while self.find_upstream(job, index) is None:
            self.assertLess(self.cell.now, until, f"{job} has no run for {limit}")
            self.cell.step()
        return self.find_upstream(job, index)


class UnclearLossTest(LastingCellTest):
    """A task waited for a minute until it was clear why its upstreams were lost."""

    def lose_upstreams(self, count, after):
        """Have upstreams go dark for good, each some time after it started the task."""
        for _ in range(count):
            name = self.wait_for_run("j")
            self.cell.run_for(after)
            self.cell.silent.add(name)
        self.wait_for_run("j")

    def test_task_runs_again_after_two_upstreams_went_dark_right_after_its_start(self):
        self.add_upstreams(5)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        self.lose_upstreams(2, after=timedelta(0))

    def test_task_runs_again_after_three_upstreams_went_dark_soon_after_its_start(self):
        self.add_upstreams(5)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        self.lose_upstreams(3, after=PROOF_TIME / 2)

    def test_new_leader_does_not_begin_the_wait_anew(self):
        self.add_upstreams(5)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        self.lose_upstreams(1, after=timedelta(0))
        self.cell.silent.add(self.wait_for_run("j"))
        self.cell.run_for(6 * SECOND)
        self.cell.take_over(lapse_in=SECOND / 2)
        self.wait_for_run("j", limit=3 * SECOND)

    def crash_upstreams(self, restart_time, takeover_interval):
        """Have a task crash each upstream that starts it until it is given up."""
        task = TaskId("j", 0, 0, 0)
        self.setUp()
        self.add_upstreams(12)
        self.cell.run_for(SECOND)
        self.cell.crashing.add(task)
        self.cell.restart_time = restart_time
        self.submit_lasting("j")
        until = self.cell.now + 120 * SECOND
        while self.cell.read_state("j") is not JobState.FAILED:
            self.assertLess(self.cell.now, until, "the task was never given up")
            self.cell.run_for(takeover_interval)
            self.cell.take_over(lapse_in=13 * SECOND / 2)
        self.assertEqual(self.cell.history.violations, [])
        return self.cell.crashes[task]

    def test_task_that_crashes_upstreams_is_not_tried_on_without_end(self):
        """The upstreams come back only after the task could have been tried often.

        Three starts more after the third crash are allowed, for all leaders together.
        """
        for restart_time in (9 * SECOND, 20 * SECOND, 55 * SECOND):
            for interval in (2 * SECOND, 7 * SECOND, 100 * SECOND):
                with self.subTest(restart_time=restart_time, interval=interval):
                    crashes = self.crash_upstreams(restart_time, interval)
                    self.assertLessEqual(crashes, MAX_UNCLEAR_LOSSES)


class SuspensionTest(LastingCellTest):
    """All upstreams with room were suspended for eight seconds."""

    def suspend(self, name, times=3):
        for _ in range(times):
            self.cell.scheduler.cell_state.upstreams[name].suspend(self.cell.now)

    def test_task_of_a_lost_upstream_does_not_wait_for_a_long_suspension(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        lost = self.wait_for_run("j")
        self.cell.run_for(5 * SECOND)
        self.cell.silent.add(lost)
        (left,) = set(self.cell.upstreams) - {lost}
        self.cell.run_for(6 * SECOND)
        self.suspend(left)
        self.wait_for_run("j", limit=LASTING_TASK_GAP - 6 * SECOND)

    def test_suspended_upstream_gets_no_task_while_another_one_has_room(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.suspend("u0")
        self.cell.run_for(3 * SECOND)
        self.submit_lasting("j", 4)
        self.cell.run_for(SECOND)
        self.assertEqual(len(self.cell.upstreams["u1"].runs), 4)


class TrialTest(LastingCellTest):
    """A task that was tried alone kept the last upstream from all others."""

    def test_trial_on_the_last_upstream_does_not_keep_other_tasks_waiting(self):
        """One of two tasks had hardly begun when their upstream went dark."""
        self.add_upstreams(2, cpu_millis=2_000)
        self.cell.run_for(SECOND)
        self.cell.draining.add("u1")
        failing = TaskId("j", 0, 0, 1)
        self.cell.upstreams["u0"].failing.add(failing)
        self.submit_lasting("j", 2, {failing: 5 * SECOND})
        while self.cell.history.starts < 3:
            self.cell.step()
        self.cell.silent.add("u0")
        self.cell.draining.clear()
        until = self.cell.now + LASTING_TASK_GAP
        for index in (1, 0):
            self.wait_for_run("j", index, limit=until - self.cell.now)

    def test_several_suspected_tasks_do_not_wait_for_each_other(self):
        """Four tasks had hardly begun when their upstream went dark."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.draining.add("u1")
        self.submit_lasting("j", 4)
        for index in range(4):
            self.wait_for_run("j", index)
        self.cell.silent.add("u0")
        self.cell.draining.clear()
        until = self.cell.now + LASTING_TASK_GAP
        for index in range(4):
            self.wait_for_run("j", index, limit=until - self.cell.now)

    def test_task_tried_alone_shares_its_upstream_only_as_a_last_resort(self):
        self.add_upstreams(3)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        self.cell.silent.add(self.wait_for_run("j"))
        trial = self.wait_for_run("j")
        self.cell.run_for(2 * SECOND)
        self.submit_lasting("other", 4)
        self.cell.run_for(SECOND)
        self.assertEqual(len(self.cell.upstreams[trial].runs), 1)


class PermitTest(LastingCellTest):
    """A task whose upstream was lost asked for permits only after that."""

    def setUp(self):
        self.cell = FakeCell(configuration=make_configuration(advice=True))

    def test_permits_are_in_hand_when_the_upstream_of_a_task_is_lost(self):
        self.add_upstreams(3)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        lost = self.wait_for_run("j")
        self.cell.run_for(10 * SECOND)
        self.cell.silent.add(lost)
        while self.cell.scheduler.count_runs(lost):
            asked = len(self.cell.permit_requests)
            self.cell.step()
        self.assertEqual(asked, 2)
        self.wait_for_run("j", limit=SECOND / 2)
        self.assertEqual(len(self.cell.permit_requests), 2)

    def test_upstream_that_is_silent_for_a_moment_costs_no_request(self):
        self.add_upstreams(3)
        self.cell.run_for(SECOND)
        self.submit_lasting("j")
        silent = self.wait_for_run("j")
        self.cell.run_for(10 * SECOND)
        self.cell.silent.add(silent)
        self.cell.run_for(4 * SECOND)
        self.cell.silent.clear()
        self.cell.run_for(10 * SECOND)
        self.assertEqual(len(self.cell.permit_requests), 1)


class ReservationTest(LastingCellTest):
    """Room was kept for a large task that was expected to start at any moment."""

    def test_room_kept_for_a_task_that_does_not_start_goes_to_a_lasting_one(self):
        self.cell.add_upstream("u0", 10_000)
        upstream = self.cell.upstreams["u0"]
        self.cell.run_for(SECOND)
        upstream.durations[TaskId("overdue", 0, 0, 0)] = 100 * SECOND
        self.cell.submit(make_job("overdue", make_step(size=Capacity(4_500, 100))))
        self.cell.run_for(2 * SECOND)
        large = make_step(size=Capacity(6_000, 100), estimate=60 * SECOND)
        self.cell.submit(make_job("large", large))
        self.cell.run_for(SECOND)
        small = make_step(
            size=Capacity(5_000, 100), estimate=100 * SECOND, lasting=True
        )
        self.cell.submit(make_job("j", small))
        self.wait_for_run("j", limit=LASTING_TASK_GAP - 6 * SECOND)


class RefusingUpstream(FakeUpstream):
    def start(self, *_):
        return "unhealthy"


class RefusedStartTest(LastingCellTest):
    """Each refused start holds all tasks of its step for a moment."""

    def test_tasks_run_again_in_time_where_most_upstreams_refuse_all_starts(self):
        self.add_upstreams(24, cpu_millis=2_000)
        capacity = Capacity(2_000, 2_000)
        for name in list(self.cell.upstreams)[:20]:
            self.cell.upstreams[name] = RefusingUpstream(
                name, capacity, self.cell.history
            )
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 8)
        until = self.cell.now + LASTING_TASK_GAP - 6 * SECOND
        for index in range(8):
            self.wait_for_run("j", index, limit=until - self.cell.now)


if __name__ == "__main__":
    unittest.main()
