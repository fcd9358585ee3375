"""Guards against what a leader knows counting for another upstream or leader."""

import unittest
from unittest import mock

from almondspread.jobs.messages import RunsRemembered
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing import fake_cell

FIRST = TaskId("j", 0, 0, 0)
SECOND_STEP = TaskId("j", 0, 1, 0)


class TakeoverChainTest(CellTest):
    def test_run_of_the_leader_between_does_not_show_that_a_step_has_not_begun(self):
        """The first leader saw an end that nobody stored, and started the next step.

        The upstream with the end is gone; the second leader runs the task again, and
        the third finds that run. The next step still runs on a silent upstream.
        """
        self.add_upstreams(2, cpu_millis=1_000)
        self.cell.run_for(SECOND)
        for upstream in self.cell.upstreams.values():
            upstream.durations[FIRST] = SECOND
            upstream.durations[SECOND_STEP] = 60 * SECOND
        self.cell.submit(make_job("j", make_step(1), make_step(1, after=(0,))))
        self.cell.step()
        (run,) = self.cell.scheduler.jobs["j"].list_runs()
        ended = run.upstream
        (silent,) = self.cell.upstreams.keys() - {ended}
        self.cell.store_is_up = False
        # The next step only fits on the other upstream.
        self.cell.draining.add(ended)
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.assertIn(SECOND_STEP, self.cell.upstreams[silent].runs)
        self.cell.silent.add(silent)
        self.cell.draining.discard(ended)
        self.cell.replace_upstream(ended)
        self.cell.store_is_up = True
        self.cell.take_over(lapse_in=8 * SECOND)
        fresh = f"{ended}+"
        self.cell.upstreams[fresh].durations[FIRST] = SECOND
        for _ in range(60):
            self.cell.step()
            if self.cell.history.starts == 3:
                break
        self.assertEqual(self.cell.history.starts, 3)
        self.cell.step()
        self.cell.take_over(lapse_in=8 * SECOND, lost_executors={silent})
        self.cell.run_for(3 * SECOND)


class SharedMemoryTest(CellTest):
    def test_end_that_the_leader_has_seen_and_not_stored_counts_for_a_new_executor(
        self,
    ):
        """A commit may have room for the assignment and not for the end."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(1)))
        self.cell.step()
        self.cell.store_is_up = False
        self.cell.run_for(2 * SECOND)
        self.assertEqual(len(self.cell.history.done), 1)
        (name,) = (each.name for each in self.cell.upstreams.values() if each.ends)
        self.cell.silent.add(name)
        self.cell.assign(name)
        self.cell.store_is_up = True
        with mock.patch.object(fake_cell, "MAX_RECORDS", 0):
            self.cell.commit()
        self.cell.take_over(lapse_in=8 * SECOND)
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)

    def test_leases_of_a_later_incarnation_do_not_end_with_those_of_an_earlier(self):
        """A start may have reached it late, and holds the longest lease there is.

        The message of any other member applies what was remembered once more.
        """
        self.add_upstreams(2)
        self.cell.upstreams["u0"].born = 1
        self.cell.run_for(SECOND)
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=2 * SECOND)
        self.cell.run_for(SECOND)
        name = self.cell.restart_upstream("u0")
        self.cell.silent.add(name)
        self.cell.step()
        state = self.cell.scheduler.cell_state.upstreams[name]
        before = state.inherited_leases_until
        self.assertGreater(before, self.cell.now + 10 * SECOND)
        message = RunsRemembered("u7", 77, (), 2 * SECOND)
        self.cell.scheduler.handle_report(message, self.cell.now)
        self.assertEqual(state.inherited_leases_until, before)

    def test_leases_of_a_later_incarnation_outlast_the_process_of_the_executor(self):
        """A start that reached it late holds the longest lease there is."""
        self.add_upstreams(2)
        self.cell.upstreams["u0"].born = 1
        self.cell.run_for(SECOND)
        self.cell.assign("u0", "entry-2", "old")
        self.cell.step()
        self.cell.silent.add("u0")
        self.cell.take_over(lost_executors={"u0"})
        self.cell.step()
        name = self.cell.restart_upstream("u0")
        self.cell.silent.add(name)
        self.cell.step()
        state = self.cell.scheduler.cell_state.upstreams[name]
        before = state.inherited_leases_until
        self.cell.scheduler.record_process("entry-2", "new", 6 * SECOND, self.cell.now)
        self.assertEqual(state.inherited_leases_until, before)


class UnreadJobTest(CellTest):
    def test_leases_are_renewed_while_an_upstream_mentions_a_job_not_loaded(self):
        """A partition that is not readable must not end the runs of other jobs."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(1, lasting=True)))
        self.cell.submit(make_job("k", make_step(1, lasting=True)))
        self.cell.run_for(SECOND)
        missing = self.cell.history.submissions.pop("k")
        self.cell.take_over()
        self.cell.history.submissions["k"] = missing
        self.cell.scheduler.is_complete = False
        self.cell.run_for(5 * SECOND)
        order = self.cell.scheduler.make_watch_order("u0", self.cell.now)
        self.assertTrue(order.renews)

    def test_leases_renewed_since_a_takeover_are_not_those_that_were_told(self):
        """Executors of this leader renew from the first answer on, seen or not."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(1, lasting=True)))
        self.cell.submit(make_job("k", make_step(1, lasting=True)))
        self.cell.run_for(SECOND)
        stored = self.cell.stored_assignments["u0"]
        missing = self.cell.history.submissions.pop("k")
        self.cell.take_over()
        self.cell.history.submissions["k"] = missing
        self.cell.scheduler.is_complete = False
        self.cell.run_for(SECOND)
        until = self.cell.now + 8 * SECOND
        self.cell.scheduler.abandon_upstreams({"u0"}, until, self.cell.now)
        message = RunsRemembered("u0", stored.number, (), SECOND)
        self.cell.scheduler.handle_report(message, self.cell.now)
        state = self.cell.scheduler.cell_state.upstreams["u0"]
        self.assertEqual(state.leases_until, until)


if __name__ == "__main__":
    unittest.main()
