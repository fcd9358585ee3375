"""Upstreams that have answered a new leader, and fall silent then.

From the first answer on they refuse the executors of earlier leaders, so that no lease
of those lasts for longer than one from then.
"""

from almondspread.jobs.leases import compute_longest_lease_time
from almondspread.jobs.messages import UpstreamSilent
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.executor_memories import LEASE

# What a leader has to assume of executors of which it knows nothing.
UNKNOWN_LEASES = 17 * SECOND
# A task that lasts may be without a run for this long, where there is room.
LASTING_TASK_GAP = 9 * SECOND


class AnsweredUpstreamTest(CellTest):
    """Lasting tasks waited 15 s for an upstream that had answered the leader."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(3)
        for upstream in self.cell.upstreams.values():
            upstream.durations[TaskId("j", 0, 0, 0)] = 60 * SECOND
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(lasting=True)))
        self.cell.run_for(SECOND)
        (run,) = self.cell.scheduler.jobs["j"].list_runs()
        self.name = run.upstream

    def find_state(self):
        return self.cell.scheduler.cell_state.upstreams[self.name]

    def lose_upstream(self):
        """Have the upstream fall silent for good; its runs end in this moment."""
        self.cell.upstreams[self.name].crash()
        self.cell.silent.add(self.name)

    def test_lasting_task_runs_again_in_time_after_an_answer_and_silence(self):
        self.cell.take_over(
            lapse_in=UNKNOWN_LEASES, lost_executors=list(self.cell.upstreams)
        )
        self.cell.step()
        self.lose_upstream()
        lost_at = self.cell.now
        while self.cell.history.starts < 2:
            self.cell.step()
            self.assertLess(self.cell.now - lost_at, LASTING_TASK_GAP)

    def test_lasting_task_is_not_started_before_the_leases_have_expired(self):
        """The upstream may be cut off, and run on."""
        self.cell.take_over(
            lapse_in=UNKNOWN_LEASES, lost_executors=list(self.cell.upstreams)
        )
        self.cell.step()
        self.cell.silent.add(self.name)
        self.cell.run_for(10 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_leases_of_an_upstream_that_has_not_answered_last_as_before(self):
        self.cell.silent.add(self.name)
        self.cell.take_over(
            lapse_in=UNKNOWN_LEASES, lost_executors=list(self.cell.upstreams)
        )
        taken_at = self.cell.now
        self.cell.step()
        self.assertEqual(self.find_state().lapse_at, taken_at + UNKNOWN_LEASES)

    def test_executor_lost_after_the_answer_counts(self):
        """It belongs to this leader, whose token the upstream still takes."""
        self.cell.take_over(lapse_in=UNKNOWN_LEASES)
        self.cell.step()
        until = self.cell.now + 8 * SECOND
        self.cell.scheduler.abandon_upstreams({self.name}, until, self.cell.now)
        silence = UpstreamSilent(self.name, self.cell.scheduler.epoch, 0 * SECOND)
        self.cell.scheduler.handle_report(silence, self.cell.now)
        self.assertEqual(self.find_state().lapse_at, until)

    def test_executor_lost_before_the_answer_prolongs_no_lease(self):
        """It has renewed none, and may not cut short what others have renewed."""
        self.cell.silent.add(self.name)
        self.cell.take_over(
            lapse_in=UNKNOWN_LEASES, lost_executors=list(self.cell.upstreams)
        )
        taken_at = self.cell.now
        until = self.cell.now + 8 * SECOND
        self.cell.scheduler.abandon_upstreams({self.name}, until, self.cell.now)
        self.cell.step()
        self.assertEqual(self.find_state().lapse_at, taken_at + UNKNOWN_LEASES)

    def test_next_leader_counts_from_the_answer_as_well(self):
        """The store names until when executors before may have renewed leases."""
        self.cell.take_over(
            lapse_in=UNKNOWN_LEASES, lost_executors=list(self.cell.upstreams)
        )
        self.cell.step()
        answered_at = self.cell.now
        self.cell.step()
        stored = self.cell.stored_assignments[self.name]
        self.assertEqual(stored.until, answered_at + compute_longest_lease_time(LEASE))
