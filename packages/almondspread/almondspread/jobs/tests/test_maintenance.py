"""Tests of maintenance waves, with lost orders and changes of the leader."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.jobs.evacuation import choose_evacuations
from almondspread.jobs.maintenance import EVACUATION_TIME, MaintenancePlanner
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.jobs.tests.wave_case import DURATION, STEP, WaveCase
from almondspread.jobs.wave_progress import INHERITED_ORDER_TIME, ORDER_RETRY_INTERVAL
from almondspread.jobs.waves import MaintenanceWave, OrderOutcome


class WaveTest(WaveCase):
    def test_all_machines_are_maintained_in_time_within_the_limit(self):
        self.add_wave(limit=2, within=30 * SECOND)
        self.run_for(30 * SECOND)
        self.assertEqual(len(self.machines.maintained), 6)
        self.assertLessEqual(self.machines.most_down, 2)
        self.assertFalse(self.planner.is_busy)
        self.assertTrue(self.planner.list_records()[0].completed)

    def test_wave_with_enough_time_takes_machines_down_one_by_one(self):
        self.add_wave(limit=4, within=200 * SECOND)
        self.run_for(60 * SECOND)
        self.assertEqual(self.machines.most_down, 1)

    def test_machine_with_the_fewest_runs_is_first_and_gets_evacuation_time(self):
        self.runs = {f"m{number}-life-0": 3 for number in range(6)}
        self.runs["m4-life-0"] = 1
        self.add_wave(limit=1)
        self.assertEqual(self.step(), [])
        self.assertEqual(list(self.planner.find_leaving_upstreams()), ["m4-life-0"])
        self.run_for(EVACUATION_TIME)
        self.step()
        self.assertEqual([name for name, _ in self.machines.maintained], ["m4"])

    def test_tasks_that_may_not_be_stopped_keep_their_machine_up(self):
        self.runs = {"m0-life-0": 1}
        self.protected = {"m0-life-0"}
        self.add_wave(names=("m0",))
        self.run_for(20 * SECOND)
        self.assertEqual(self.machines.maintained, {})
        self.protected.clear()
        self.run_for(10 * SECOND)
        self.assertEqual(len(self.machines.maintained), 1)

    def test_unanswered_order_counts_as_down_and_is_repeated(self):
        self.add_wave(limit=1)
        first = self.step(OrderOutcome.UNKNOWN)
        self.assertEqual(self.step(), [])
        self.run_for(ORDER_RETRY_INTERVAL)
        self.assertEqual(len(first), 1)
        self.assertEqual(len(self.machines.maintained), 1)
        self.run_for(8 * SECOND)
        self.assertGreater(len(self.machines.maintained), 1)
        self.assertEqual(self.machines.most_down, 1)

    def test_removed_machine_does_not_block_its_wave(self):
        self.add_wave(names=("m0", "lost"))
        self.run_for(20 * SECOND)
        self.assertFalse(self.planner.is_busy)

    def test_wave_is_incomplete_while_an_existing_machine_is_down(self):
        self.add_wave(names=("m0", "m1"))
        self.machines.down_until["m1"] = self.now + 500 * SECOND
        self.run_for(60 * SECOND)
        self.assertTrue(self.planner.is_busy)
        self.assertFalse(self.planner.list_records()[0].completed)

    def test_next_leader_counts_stored_orders_as_down(self):
        self.add_wave(limit=1)
        self.step(OrderOutcome.UNKNOWN)
        records = self.planner.list_records()
        self.planner = MaintenancePlanner(DURATION)
        self.planner.restore_records(records)
        self.planner.add_wave(self.wave, self.now, self.now)
        (order,) = self.step()
        self.assertEqual(order.machine, records[0].ordered[0])
        self.run_for(60 * SECOND)
        self.assertEqual(len(self.machines.maintained), 6)
        self.assertEqual(self.machines.most_down, 1)

    def lose_answers(self):
        """Have a machine go through its maintenance without an answer to the order."""
        [order] = self.step(OrderOutcome.UNKNOWN)
        end = self.now + DURATION
        while self.now < end:
            self.step(OrderOutcome.UNKNOWN)
        return order

    def test_answer_to_an_inherited_order_does_not_tell_which_upstream_has_ended(self):
        """An answer "already done" counted for the upstream that had joined since.

        Its tasks ran twice. The record does not tell which upstream was there before.
        """
        self.add_wave(limit=1)
        order = self.lose_answers()
        records = self.planner.list_records()
        self.planner = MaintenancePlanner(DURATION)
        self.planner.restore_records(records)
        self.planner.add_wave(self.wave, self.now, self.now)
        self.planner.update_machines(self.machines.list(self.now), self.now)
        self.planner.record_sent(order, self.now)
        ended = self.planner.handle_order_outcome(order, OrderOutcome.TAKEN, self.now)
        self.assertEqual(ended, "")

    def test_answer_to_an_own_order_tells_the_upstream_that_was_there_before(self):
        self.add_wave(limit=1)
        order = self.lose_answers()
        before = f"{order.machine}-life-0"
        ended = self.planner.handle_order_outcome(order, OrderOutcome.TAKEN, self.now)
        self.assertEqual(ended, before)

    def test_machine_whose_runs_are_not_known_is_not_empty(self):
        """A new leader took down two machines that it could not reach, at once."""
        self.add_wave(limit=6, within=9 * SECOND)
        for name in self.machines.incarnations:
            upstream = self.machines.make_upstream_name(name)
            self.runs[upstream] = None
            self.protected.add(upstream)
        self.run_for(10 * SECOND)
        self.assertEqual(self.machines.maintained, {})
        self.assertEqual(len(self.planner.find_leaving_upstreams()), 6)
        self.runs.clear()
        self.run_for(30 * SECOND)
        self.assertEqual(len(self.machines.maintained), 6)

    def test_machine_whose_runs_are_not_known_comes_last(self):
        self.add_wave(limit=1)
        for name in list(self.machines.incarnations)[:-1]:
            self.runs[self.machines.make_upstream_name(name)] = None
        self.runs["m5-life-0"] = 7
        self.step()
        self.assertEqual(list(self.planner.find_leaving_upstreams()), ["m5-life-0"])

    def test_completed_wave_is_not_begun_again_by_the_next_leader(self):
        self.add_wave(names=("m0",))
        self.run_for(20 * SECOND)
        records = self.planner.list_records()
        self.planner = MaintenancePlanner(DURATION)
        self.planner.restore_records(records)
        self.planner.add_wave(self.wave, self.now, self.now)
        self.assertEqual(self.step(), [])
        self.assertEqual(self.planner.list_records(), records)

    def test_machine_that_is_not_part_of_the_wave_is_skipped(self):
        self.add_wave(limit=1)
        (order,) = self.step(OrderOutcome.UNKNOWN)
        self.planner.handle_order_outcome(order, OrderOutcome.NEEDLESS, self.now)
        self.assertIn(order.machine, self.planner.list_records()[0].done)


class StepLimitTest(WaveCase):
    """Each upstream runs one task of a step, of which one may be missing."""

    def setUp(self):
        super().setUp()
        self.fill()

    def fill(self):
        for name in self.machines.incarnations:
            upstream = self.machines.make_upstream_name(name)
            self.runs[upstream] = 1
            self.step_upstreams.add(upstream)

    def take_over(self):
        records = self.planner.list_records()
        self.planner = MaintenancePlanner(DURATION)
        self.planner.restore_records(records)
        self.planner.add_wave(self.wave, self.now, self.now)

    def test_machines_that_are_due_together_go_down_one_by_one(self):
        """Up to five tasks of one step were ended by a wave at once."""
        self.add_wave(limit=6, within=12 * SECOND)
        self.run_for(EVACUATION_TIME)
        self.assertEqual(len(self.step()), 1)

    def test_machines_of_another_wave_count(self):
        names = sorted(self.machines.incarnations)
        self.add_wave(limit=1, names=names[:3])
        other = MaintenanceWave(2, tuple(names[3:]), 60 * SECOND, 1)
        self.planner.add_wave(other, self.now, self.now)
        self.run_for(EVACUATION_TIME)
        self.assertEqual(len(self.step()), 1)

    def test_unanswered_order_keeps_the_machines_of_its_step_up(self):
        self.add_wave(limit=6, within=12 * SECOND)
        self.run_for(EVACUATION_TIME)
        self.machines.execute = lambda order, now: None
        [first] = self.step(OrderOutcome.UNKNOWN)
        sent = {
            order.machine
            for _ in range(20)
            for order in self.step(OrderOutcome.UNKNOWN)
        }
        self.assertEqual(sent, {first.machine})

    def test_inherited_orders_are_decided_anew(self):
        """A new leader sent them unchecked, and two tasks of one step ended."""
        self.step_upstreams.clear()
        self.runs.clear()
        self.machines.execute = lambda order, now: None
        self.add_wave(limit=6, within=9 * SECOND)
        self.assertGreater(len(self.step(OrderOutcome.UNKNOWN)), 1)
        self.fill()
        self.take_over()
        sent = [order for _ in range(15) for order in self.step(OrderOutcome.UNKNOWN)]
        self.assertEqual(sent, [])
        self.now += INHERITED_ORDER_TIME
        sent = {
            order.machine
            for _ in range(30)
            for order in self.step(OrderOutcome.UNKNOWN)
        }
        self.assertEqual(len(sent), 1)

    def test_order_is_held_if_a_task_is_lost_before_it_is_sent(self):
        self.add_wave(limit=1)
        self.run_for(EVACUATION_TIME)
        self.now += STEP
        self.planner.update_machines(self.machines.list(self.now), self.now)
        arguments = (self.now, lambda upstream: self.runs[upstream], self.may_stop)
        [order] = self.planner.plan_orders(*arguments)
        self.assertTrue(self.planner.may_send(order, *arguments))
        self.step_away = 1
        self.assertFalse(self.planner.may_send(order, *arguments))
        self.assertEqual(self.planner.plan_orders(*arguments), [])
        self.step_away = 0
        self.assertEqual(self.planner.plan_orders(*arguments), [order])


class LostOrdersTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(list(OrderOutcome)[::3]), max_size=40),
        st.integers(1, 4),
        st.lists(st.integers(1, 60), max_size=3, unique=True),
    )
    def test_limit_holds_with_lost_orders_and_changes_of_the_leader(
        self, answers, limit, takeovers
    ):
        case = WaveCase()
        case.setUp()
        case.add_wave(limit=limit, within=20 * SECOND)
        for number in range(200):
            if number in takeovers:
                records = case.planner.list_records()
                case.planner = MaintenancePlanner(DURATION)
                case.planner.restore_records(records)
                case.planner.add_wave(case.wave, case.now, case.now)
            case.step(answers.pop() if answers else OrderOutcome.TAKEN)
        self.assertLessEqual(case.machines.most_down, limit)
        self.assertEqual(len(case.machines.maintained), 6)
        self.assertFalse(case.planner.is_busy)


class MachineEvacuationTest(CellTest):
    def evacuate(self, name):
        leaves_at = self.cell.now + EVACUATION_TIME
        self.cell.scheduler.set_leave_times({name: leaves_at})

    def test_evacuated_machine_gets_no_runs_and_long_runs_move_off(self):
        upstream = self.cell.add_upstream("u0")
        upstream.durations[TaskId("j", 0, 0, 0)] = 30 * SECOND
        self.cell.run_for(SECOND / 2)
        self.cell.submit(make_job("j", make_step(estimate=30 * SECOND)))
        self.cell.run_for(SECOND)
        self.cell.add_upstream("u1")
        self.cell.run_for(SECOND / 2)
        self.evacuate("u0")
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.scheduler.count_runs("u0"), 0)
        self.assertEqual(len(self.cell.upstreams["u1"].started), 1)
        self.cell.scheduler.set_leave_times({})
        self.cell.submit(make_job("k", make_step(3, estimate=30 * SECOND)))
        self.cell.run_for(SECOND)
        self.assertGreater(self.cell.scheduler.count_runs("u0"), 0)

    def test_lasting_tasks_may_be_stopped_only_within_their_limit(self):
        upstream = self.cell.add_upstream("u0")
        for index in range(2):
            upstream.durations[TaskId("j", 0, 0, index)] = 60 * SECOND
        step = make_step(2, lasting=True, unavailable_limit=1)
        self.cell.run_for(SECOND / 2)
        self.cell.submit(make_job("j", step))
        self.cell.run_for(2 * SECOND)
        scheduler = self.cell.scheduler
        runs = scheduler.cell_state.list_runs("u0")
        self.assertEqual(len(runs), 2)
        for run in runs:
            run.available = True
        self.assertFalse(scheduler.may_stop_all("u0"))
        runs[0].available = False
        self.assertFalse(scheduler.may_stop_all("u0"))
        scheduler.jobs["j"].steps[0, 0].remove_run(runs[0])
        runs[1].available = False
        self.assertTrue(scheduler.may_stop_all("u0"))

    def test_tasks_on_other_machines_that_go_down_count(self):
        for name in ("u0", "u1"):
            upstream = self.cell.add_upstream(name, 1_500)
            for index in range(2):
                upstream.durations[TaskId("j", 0, 0, index)] = 60 * SECOND
        step = make_step(2, lasting=True, unavailable_limit=1)
        self.cell.run_for(SECOND / 2)
        self.cell.submit(make_job("j", step))
        self.cell.run_for(2 * SECOND)
        scheduler = self.cell.scheduler
        for name in ("u0", "u1"):
            [run] = scheduler.cell_state.list_runs(name)
            run.available = True
        self.assertTrue(scheduler.may_stop_all("u0"))
        self.assertFalse(scheduler.may_stop_all("u0", {"u1"}))
        # The task on u1 does not move while an order may take u0 down.
        now = self.cell.now
        scheduler.set_leave_times({"u0": now, "u1": now + EVACUATION_TIME})
        moved = self.choose_evacuations(now)
        self.assertEqual(moved, ["u0"])
        scheduler.set_leave_times({"u1": now + EVACUATION_TIME})
        self.assertEqual(self.choose_evacuations(now), ["u1"])

    def choose_evacuations(self, now):
        scheduler = self.cell.scheduler
        find_step = scheduler._job_table.find_step
        runs = choose_evacuations(find_step, scheduler.cell_state, now)
        return [run.upstream for run in runs]


if __name__ == "__main__":
    unittest.main()
