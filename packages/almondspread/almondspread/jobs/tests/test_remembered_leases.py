"""Guards against memories of executors that count where they must not, or nowhere."""

import unittest

from almondspread.jobs.messages import RunsRemembered, UpstreamSilent
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class RememberedLeasesTest(CellTest):
    def setUp(self):
        super().setUp()
        self.add_upstreams(2)
        self.cell.upstreams["u0"].born = 1
        self.cell.run_for(SECOND)
        self.stored = self.cell.stored_assignments["u0"]
        self.assignment = self.stored.number

    def submit_long(self):
        for index in range(8):
            for upstream in self.cell.upstreams.values():
                upstream.durations[TaskId("j", 0, 0, index)] = 60 * SECOND
        self.cell.submit(make_job("j", make_step(8)))
        self.cell.step()
        self.assertEqual(self.cell.history.starts, 8)

    def find_state(self, name="u0"):
        return self.cell.scheduler.cell_state.upstreams[name]

    def tell(self, assignment, lapse_in, tasks=()):
        message = RunsRemembered("u0", assignment, tasks, lapse_in)
        self.cell.scheduler.handle_report(message, self.cell.now)

    def report_silence(self, lapse_in):
        silence = UpstreamSilent("u0", self.cell.scheduler.epoch, lapse_in)
        self.cell.scheduler.handle_report(silence, self.cell.now)

    def test_executor_of_no_assignment_does_not_tell_what_an_unknown_one_did(self):
        """An upstream of an earlier release has no assignment, 0 as well."""
        self.submit_long()
        self.cell.silent.add("u0")
        self.cell.stored_assignments.clear()
        self.cell.take_over(lapse_in=8 * SECOND)
        self.tell(0, 0 * SECOND)
        self.assertEqual(self.find_state().leases_until, self.cell.now + 8 * SECOND)
        self.cell.add_upstream("u9")
        self.cell.run_for(4 * SECOND)
        self.assertEqual(self.cell.history.starts, 8)

    def test_leases_of_starts_after_the_takeover_are_not_those_that_were_told(self):
        """The upstream has reported since, and has got starts of this leader."""
        self.cell.take_over()
        self.tell(self.assignment, SECOND)
        self.cell.run_for(SECOND)
        self.submit_long()
        self.assertTrue(self.cell.upstreams["u0"].runs)
        self.report_silence(6 * SECOND)
        self.assertEqual(self.find_state().lapse_at, self.cell.now + 6 * SECOND)

    def test_message_after_the_report_does_not_shorten_the_leases(self):
        """The leases of a lost executor would count as expired too early."""
        self.cell.take_over()
        self.tell(self.assignment, SECOND)
        self.cell.run_for(SECOND)
        until = self.cell.now + 8 * SECOND
        self.cell.scheduler.abandon_upstreams({"u0"}, until, self.cell.now)
        self.tell(self.assignment, SECOND)
        self.assertEqual(self.find_state().leases_until, until)

    def check_lapse_is_as_told(self):
        self.assertEqual(self.find_state().leases_until, self.cell.now + 3 * SECOND)

    def test_told_time_counts_for_an_upstream_that_was_loaded_before(self):
        self.cell.memories.runs.clear()
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=16 * SECOND)
        self.tell(self.assignment, 3 * SECOND)
        self.check_lapse_is_as_told()

    def test_told_time_counts_for_an_upstream_that_is_loaded_later(self):
        """Executors may be heard before the upstreams are read from the store."""
        entry = self.find_state().entry
        self.cell.scheduler = Scheduler(2, self.cell.configuration)
        self.tell(self.assignment, 3 * SECOND)
        self.cell.scheduler.inherit_upstream(
            entry, self.cell.now + 16 * SECOND, self.stored
        )
        self.check_lapse_is_as_told()

    def test_silence_does_not_prolong_leases_that_the_executor_told(self):
        """Else each takeover would begin a new wait for the same upstream."""
        self.cell.silent.add("u0")
        self.cell.take_over()
        self.tell(self.assignment, 3 * SECOND)
        expected = self.cell.now + 3 * SECOND
        self.cell.now += SECOND
        self.report_silence(6 * SECOND)
        self.assertEqual(self.find_state().lapse_at, expected)

    def test_silence_does_not_prolong_leases_before_the_upstream_has_answered(self):
        """The executor that reports the silence has not been allowed to renew any."""
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=3 * SECOND, lost_executors={"u0"})
        expected = self.cell.now + 3 * SECOND
        self.cell.now += SECOND
        self.report_silence(6 * SECOND)
        self.assertEqual(self.find_state().lapse_at, expected)

    def test_next_incarnation_may_run_what_the_earlier_one_may(self):
        """A start may have reached it instead, and a further leader has to know."""
        self.submit_long()
        self.cell.silent.add("u0")
        possible = frozenset(self.cell.upstreams["u0"].runs)
        self.cell.take_over()
        self.cell.step()
        name = self.cell.restart_upstream("u0")
        self.cell.silent.add(name)
        self.cell.step()
        state = self.find_state(name)
        scheduler = self.cell.scheduler
        self.assertEqual(
            scheduler.find_stored_assignment(state).number, self.stored.number
        )
        tracker = scheduler._upstream_tracker
        self.assertEqual(tracker.unseen.find_possible_tasks(name), possible)


if __name__ == "__main__":
    unittest.main()
