import unittest
from datetime import timedelta

import attrs

from almondspread.jobs.expected_work import CLASS_BOUNDS
from almondspread.jobs.job_records import JobState
from almondspread.jobs.load_estimate import JobShape, LoadEstimate
from almondspread.jobs.messages import (
    FAILED,
    RunEnd,
    RunSighting,
    StartRun,
    StopRun,
    UpstreamReport,
)
from almondspread.jobs.submissions import Repetition, Submission, TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.cell_input import QUEUE, SERVICE, make_configuration
from almondspread.testing.fake_cell import WALL_CLOCK_START, FakeCell


class WaitTest(unittest.TestCase):
    def test_estimated_wait_covers_the_work_ahead_of_each_queue(self):
        """Many queues share a service and a priority, and thus one estimate.

        The estimates go to all instances, a few times a second.
        """
        configuration = make_configuration()
        queue = configuration.queues[QUEUE]
        queues = {QUEUE: queue}
        for number in range(30):
            name = f"q{number}"
            queues[name] = attrs.evolve(queue, name=name, priority=number % 3)
        cell = FakeCell(configuration=attrs.evolve(configuration, queues=queues))
        cell.add_upstream("u0", 1_000)
        cell.run_for(SECOND / 2)
        for number in range(6):
            job = Submission(f"j{number}", f"q{number}", "", (make_step(2),))
            cell.submit(job)
        cell.run_for(SECOND / 5)
        loads = cell.scheduler.estimate_loads(cell.now)
        places = [(wait.service, wait.priority) for wait in loads.waits]
        self.assertEqual(set(places), {(SERVICE, priority) for priority in range(3)})
        self.assertLessEqual(len(places), 3 * (len(CLASS_BOUNDS) + 1))
        estimate = LoadEstimate(loads, cell.now)
        waits = {}
        for name, queue in queues.items():
            wait = estimate.find_delay(queue, JobShape(1.0, 8.0))
            waits.setdefault((SERVICE, queue.priority), wait)
            self.assertEqual(waits[SERVICE, queue.priority], wait, name)
        # Of each priority, two jobs with two tasks of a second wait for the only core,
        # and one task has been running for a moment.
        for priority, ahead in enumerate((4.0, 8.0, 12.0)):
            self.assertAlmostEqual(waits[SERVICE, priority], ahead, delta=0.25)
        self.assertGreater(waits[SERVICE, 2], waits[SERVICE, 1])
        self.assertGreater(waits[SERVICE, 1], waits[SERVICE, 0])


class OrderTest(CellTest):
    def test_steps_run_one_after_another_to_the_end(self):
        self.add_upstreams(2)
        self.cell.submit(make_job("j", make_step(4), make_step(3, after=(0,))))
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 7)

    def test_more_work_than_room_never_exceeds_the_capacity(self):
        self.add_upstreams(2, 2_500)
        for number in range(12):
            self.cell.submit(make_job(f"j{number}", make_step(3)))
        self.cell.run_for(30 * SECOND)
        self.assert_completed(*(f"j{number}" for number in range(12)))

    def test_label_and_spread_limit_are_kept(self):
        self.add_upstreams(4, 8_000)
        self.cell.submit(make_job("j", make_step(4, spread_limit=1)))
        self.cell.submit(make_job("k", make_step(3, required_label="r1")))
        self.cell.step()
        self.cell.step()
        self.cell.step()
        for upstream in self.cell.upstreams.values():
            jobs = [task.job for task in upstream.runs]
            self.assertLessEqual(jobs.count("j"), 1)
            if upstream.name in ("u0", "u2"):
                self.assertNotIn("k", jobs)

    def test_task_is_placed_on_its_preferred_rack(self):
        self.add_upstreams(4)
        self.cell.submit(make_job("j", make_step(3, preferred_rack="r1")))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.upstreams["u0"].started, [])
        self.assertEqual(self.cell.upstreams["u2"].started, [])

    def test_occurrences_do_not_start_before_they_are_due(self):
        self.add_upstreams(1)
        first = WALL_CLOCK_START + self.cell.now + 2 * SECOND
        repetition = Repetition(first, 2 * SECOND, 3)
        self.cell.submit(Submission("j", QUEUE, "", (make_step(),), repetition))
        counts = []
        for _ in range(4):
            self.cell.run_for(timedelta(milliseconds=1_900))
            counts.append(self.cell.history.starts)
        self.assertEqual(counts[0], 0)
        self.assertEqual(counts, sorted(counts))
        self.cell.run_for(2 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 3)

    def test_step_of_the_most_urgent_queue_starts_first(self):
        urgent = make_configuration(priority=0).queues[QUEUE]
        self.cell.configuration.queues["slow"] = type(urgent)(
            "slow", "a.example", "/s/", SERVICE, 2, 3, 1.5, SECOND
        )
        self.add_upstreams(1, 1_000)
        self.cell.submit(Submission("late", "slow", "", (make_step(),)))
        self.cell.submit(make_job("first", make_step()))
        self.cell.run_for(timedelta(milliseconds=500))
        self.assertEqual(self.cell.read_state("first"), JobState.RUNNING)
        self.assertEqual(self.cell.read_state("late"), JobState.QUEUED)

    def test_starts_carry_tickets_if_the_queue_requires_advice(self):
        self.cell = FakeCell(configuration=make_configuration(advice=True))
        self.add_upstreams(1)
        seen = []
        self.cell.hold_back = lambda order: bool(seen.append(order))
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.run_for(2 * SECOND)
        starts = [order for order in seen if isinstance(order, StartRun)]
        self.assertEqual([start.ticket for start in starts], ["ticket", "ticket"])
        self.assert_completed("j")


class FailureTest(CellTest):
    def test_job_fails_once_its_attempts_are_used_up(self):
        self.cell = FakeCell(configuration=make_configuration(max_attempts=2))
        self.add_upstreams(3)
        task = TaskId("j", 0, 0, 0)
        for upstream in self.cell.upstreams.values():
            upstream.failing.add(task)
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.FAILED)
        self.assertEqual(self.cell.history.starts, 3)

    def test_failed_attempts_are_not_counted_twice_after_a_takeover(self):
        self.cell = FakeCell(configuration=make_configuration(max_attempts=2))
        self.add_upstreams(1)
        task = TaskId("j", 0, 0, 0)
        self.cell.upstreams["u0"].failing.add(task)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(timedelta(milliseconds=1_500))
        end = self.cell.upstreams["u0"].ends or [RunEnd(1, task, 1, FAILED)]
        self.cell.take_over()
        progress = self.cell.scheduler.jobs["j"].steps[0, 0]
        before = progress.count_failures()
        for _ in range(2):
            progress.record_end(
                RunEnd(9, task, next(iter(progress.failed_runs[0])), FAILED)
            )
        self.assertEqual(before, 1)
        self.assertEqual(progress.count_failures(), 1)
        self.assertTrue(end)

    def test_unanswered_start_that_ran_is_found_in_a_report(self):
        self.add_upstreams(1)
        self.cell.lose_answer = lambda order: isinstance(order, StartRun)
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 2)

    def test_start_that_arrives_late_cannot_run_beside_its_successor(self):
        self.add_upstreams(2)
        self.cell.hold_back = lambda order: (
            isinstance(order, StartRun) and not self.cell.held_orders
        )
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(timedelta(milliseconds=1_200))
        held = self.cell.held_orders[0]
        self.cell.execute_order(held.token, held.order)
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")

    def test_crashed_upstream_is_replaced_by_its_next_incarnation(self):
        self.add_upstreams(1)
        self.cell.submit(make_job("j", make_step(estimate=3 * SECOND)))
        self.cell.upstreams["u0"].durations[TaskId("j", 0, 0, 0)] = 3 * SECOND
        self.cell.run_for(SECOND)
        self.cell.upstreams.pop("u0").crash()
        self.cell.add_upstream("u0-again")
        self.cell.run_for(2 * SECOND)
        self.assert_completed("j")

    def test_silent_upstream_keeps_its_tasks_until_its_leases_expire(self):
        self.add_upstreams(2)
        durations = {TaskId("j", 0, 0, 0): 30 * SECOND}
        for upstream in self.cell.upstreams.values():
            upstream.durations = durations
        self.cell.submit(make_job("j", make_step(estimate=30 * SECOND)))
        self.cell.run_for(SECOND)
        (busy,) = [each for each in self.cell.upstreams.values() if each.runs]
        self.cell.silent.add(busy.name)
        self.cell.run_for(5 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_task_that_may_run_twice_is_copied_from_a_silent_upstream(self):
        self.add_upstreams(2)
        self.cell.submit(make_job("j", make_step(duplicates=True)))
        self.cell.run_for(timedelta(milliseconds=400))
        (busy,) = [each for each in self.cell.upstreams.values() if each.runs]
        self.cell.silent.add(busy.name)
        self.cell.run_for(2 * SECOND)
        self.assert_completed("j")

    def test_upstream_on_which_all_runs_fail_is_suspended(self):
        self.add_upstreams(2, 3_000)
        for number in range(6):
            self.cell.submit(make_job(f"j{number}", make_step()))
            self.cell.upstreams["u0"].failing.add(TaskId(f"j{number}", 0, 0, 0))
        self.cell.run_for(8 * SECOND)
        self.assert_completed(*(f"j{number}" for number in range(6)))

    def test_draining_upstream_gets_no_new_runs(self):
        self.add_upstreams(2)
        self.cell.step()
        self.cell.draining.add("u0")
        self.cell.step()
        self.cell.submit(make_job("j", make_step(3)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.upstreams["u0"].started, [])

    def test_next_start_carries_the_checkpoint_of_the_lost_run(self):
        self.add_upstreams(1)
        self.cell.submit(make_job("j", make_step(checkpointing=True)))
        self.cell.run_for(timedelta(milliseconds=300))
        (run,) = self.cell.upstreams["u0"].runs.values()
        sighting = RunSighting(run.task, run.number, "saved", 40)
        report = UpstreamReport("u0", 1, 99, 0, (), (sighting,))
        self.cell.scheduler.handle_report(report, self.cell.now)
        starts = []
        self.cell.hold_back = lambda order: bool(
            isinstance(order, StartRun) and starts.append(order)
        )
        self.cell.upstreams.pop("u0").crash()
        self.cell.add_upstream("u0-again")
        self.cell.run_for(SECOND)
        self.assertEqual([start.checkpoint for start in starts], ["saved"])


class CancelTest(CellTest):
    def test_cancelled_job_is_stopped_and_stays_cancelled(self):
        self.add_upstreams(1)
        self.cell.submit(make_job("j", make_step(3)))
        self.cell.run_for(timedelta(milliseconds=400))
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.upstreams["u0"].runs, {})
        self.assertEqual(self.cell.read_state("j"), JobState.CANCELLED)
        self.cell.take_over()
        self.assertEqual(self.cell.read_state("j"), JobState.CANCELLED)

    def test_cancellation_that_arrives_before_its_job_takes_effect(self):
        self.add_upstreams(1)
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.CANCELLED)
        self.assertEqual(self.cell.history.starts, 0)


class GangTest(CellTest):
    def test_gang_starts_whole_with_one_run_number(self):
        self.add_upstreams(2, 2_000)
        self.cell.submit(make_job("j", make_step(4, gang=True)))
        self.cell.run_for(timedelta(milliseconds=400))
        numbers = set()
        for upstream in self.cell.upstreams.values():
            numbers.update(run.number for run in upstream.runs.values())
        self.assertEqual(len(numbers), 1)
        self.cell.run_for(2 * SECOND)
        self.assert_completed("j")

    def test_gang_that_does_not_fit_as_a_whole_does_not_start(self):
        self.add_upstreams(1, 3_000)
        self.cell.submit(make_job("j", make_step(4, gang=True)))
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 0)

    def test_one_lost_member_stops_the_others_before_the_retry(self):
        self.add_upstreams(2, 2_000)
        self.cell.hold_back = lambda order: (
            isinstance(order, StartRun)
            and order.task.index == 3
            and not self.cell.held_orders
        )
        self.cell.submit(make_job("j", make_step(4, gang=True, estimate=5 * SECOND)))
        durations = {TaskId("j", 0, 0, index): 5 * SECOND for index in range(4)}
        for upstream in self.cell.upstreams.values():
            upstream.durations = durations
        self.cell.run_for(10 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 7)


class LastingTest(CellTest):
    def test_lasting_task_is_restarted_after_every_end(self):
        self.add_upstreams(1)
        task = TaskId("j", 0, 0, 0)
        self.cell.upstreams["u0"].failing.add(task)
        self.cell.submit(make_job("j", make_step(lasting=True)))
        self.cell.run_for(8 * SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)
        self.assertGreater(self.cell.history.starts, 3)

    def test_unanswered_stop_is_retried(self):
        self.add_upstreams(1)
        self.cell.submit(make_job("j", make_step(lasting=True)))
        self.cell.upstreams["u0"].durations[TaskId("j", 0, 0, 0)] = 60 * SECOND
        self.cell.run_for(timedelta(milliseconds=500))
        lost = []
        self.cell.hold_back = lambda order: (
            isinstance(order, StopRun) and len(lost) < 2 and not lost.append(order)
        )
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.upstreams["u0"].runs, {})


if __name__ == "__main__":
    unittest.main()
