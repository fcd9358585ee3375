import unittest
from datetime import timedelta
from unittest import mock

from almondspread.jobs.leases import compute_orphaned_lease_time
from almondspread.jobs.messages import StartRun
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step

# A task that lasts may be without a run for this long, where there is room.
LASTING_TASK_GAP = timedelta(seconds=9)
# From a takeover to the first start of a task that no silent upstream may run.
FIRST_START_TIME = timedelta(milliseconds=1_500)


class TakeoverHoldsTest(CellTest):
    def submit_lasting(self, job, count):
        """Submit a job of tasks that take a core each and do not end by themselves."""
        self.durations = {}
        for index in range(count):
            self.durations[TaskId(job, 0, 0, index)] = timedelta(hours=1)
        for upstream in self.cell.upstreams.values():
            upstream.durations = self.durations
        self.cell.submit(make_job(job, make_step(count, lasting=True)))

    def add_room(self, cpu_millis=4_000):
        self.cell.add_upstream("u9", cpu_millis).durations = self.durations

    def test_one_silent_upstream_does_not_hold_all_tasks_after_a_takeover(self):
        """Guards against a cell that starts nothing while one upstream is silent."""
        self.add_upstreams(4, cpu_millis=2_000)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 10)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)
        (victim, *_) = (
            run.upstream for run in self.cell.scheduler.jobs["j"].list_runs()
        )
        self.cell.silent.add(victim)
        self.cell.take_over()
        self.add_room(cpu_millis=2_000)
        self.cell.run_for(FIRST_START_TIME)
        self.assertEqual(self.cell.history.starts, 10)

    def test_task_that_a_silent_upstream_may_run_waits_for_it(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 4)
        self.cell.run_for(SECOND)
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.cell.history.starts, 4)

    def test_order_under_way_when_the_leader_is_lost_counts_as_possible(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        self.submit_lasting("j", 1)
        self.cell.step()
        (held,) = self.cell.held_orders
        self.cell.hold_back = lambda _: False
        self.cell.silent.add(held.order.upstream)
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 0)
        self.cell.execute_order(held.token, held.order)
        self.cell.silent.clear()
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)

    def test_executor_lost_with_the_leader_holds_all_inherited_tasks(self):
        self.add_upstreams(3)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 13)
        self.cell.run_for(SECOND)
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors={"u0"})
        self.add_room()
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.cell.history.starts, 12)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 12 + 1 + 3)

    def test_memory_of_an_earlier_executor_does_not_count(self):
        """Its successor may have sent starts that it does not know of."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        first = self.cell.stored_assignments["u0"].number
        self.cell.assign("u0")
        self.cell.step()
        self.submit_lasting("j", 9)
        self.cell.run_for(SECOND)
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors={"u0"})
        self.assertIn(first, self.cell.memories.runs)
        self.add_room()
        self.cell.run_for(6 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_upstream_gets_no_run_before_its_assignment_is_stored(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 1)
        self.cell.commit()
        self.cell.store_is_up = False
        self.cell.assign("u0")
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 0)
        self.cell.store_is_up = True
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 1)

    def test_unconfirmed_start_is_passed_on_to_the_next_executor(self):
        """The first executor may send it late, and the second one never hears of it."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        self.submit_lasting("j", 1)
        self.cell.step()
        (held,) = self.cell.held_orders
        name = held.order.upstream
        self.cell.assign(name)
        self.cell.commit()
        self.cell.silent.add(name)
        self.cell.hold_back = lambda _: False
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 0)

    def test_takeovers_in_a_row_find_the_same_memory(self):
        """An upstream that stays silent keeps the assignment that the store names."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.submit_lasting("j", 9)
        self.cell.run_for(SECOND)
        self.cell.silent.add("u0")
        for _ in range(3):
            self.cell.take_over()
            self.cell.run_for(SECOND)
        self.add_room()
        self.cell.run_for(FIRST_START_TIME)
        self.assertEqual(self.cell.history.starts, 9)

    def test_unacknowledged_end_counts_as_possible(self):
        """The end is known to the lost leader alone, and to the silent upstream."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(1)))
        self.cell.step()
        self.cell.store_is_up = False
        self.cell.run_for(2 * SECOND)
        self.assertEqual(len(self.cell.history.done), 1)
        (name,) = (each.name for each in self.cell.upstreams.values() if each.ends)
        self.cell.silent.add(name)
        self.cell.store_is_up = True
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)

    def lose_end_with_the_leader(self, act):
        """Have a task end, ``act``, and lose the leader before the end is stored."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(1)))
        self.cell.step()
        with mock.patch("almondspread.testing.fake_cell.MAX_RECORDS", 0):
            self.cell.run_for(2 * SECOND)
            self.assertEqual(len(self.cell.history.done), 1)
            (name,) = (each.name for each in self.cell.upstreams.values() if each.ends)
            act(name)
            self.cell.commit()
        self.cell.silent.add(name)
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)

    def test_executor_that_was_not_told_of_an_end_does_not_know_all_runs(self):
        """The commit that names the assignment may have no room for the end."""
        self.lose_end_with_the_leader(self.cell.assign)

    def test_silent_upstream_with_an_end_that_is_not_stored_is_still_watched(self):
        def fall_silent(name):
            self.cell.silent.add(name)
            self.cell.run_for(SECOND)

        self.lose_end_with_the_leader(fall_silent)


class RestartTimeTest(unittest.TestCase):
    def test_task_runs_again_in_time_after_its_upstream_and_executor_were_lost(self):
        """Guards against times that are right each and too long together."""
        lease = 6 * SECOND
        self.assertLess(compute_orphaned_lease_time(lease), LASTING_TASK_GAP)


if __name__ == "__main__":
    unittest.main()
