"""What callers are told of the states of jobs."""

from attrs import evolve

from almondspread.jobs.job_records import JobState
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class AnnouncementTest(CellTest):
    def setUp(self):
        super().setUp()
        self.add_upstreams(1)
        self.cell.run_for(SECOND)

    def take_states(self):
        """Return the announced states, by job."""
        announced = self.cell.scheduler.take_announcements()
        return {each.job: each.state for each in announced}

    def list_states(self):
        """Return what an instance is told that joins."""
        listed = self.cell.scheduler.list_unfinished_states()
        return {each.job: each.state for each in listed}

    def test_end_of_a_job_is_told_only_once_it_is_stored(self):
        """A job was shown as completed, and the next leader ran its tasks again."""
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(SECOND / 2)
        self.cell.store_is_up = False
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.take_states(), {"j": JobState.RUNNING})
        self.assertEqual(self.list_states(), {"j": JobState.RUNNING})
        self.cell.store_is_up = True
        self.cell.step()
        self.assertEqual(self.take_states(), {"j": JobState.COMPLETED})
        self.assertEqual(self.list_states(), {})

    def test_workspace_is_told_once_and_to_each_instance_that_joins(self):
        """Guards against the name of a workspace in each message about its job."""
        job = evolve(make_job("j", make_step()), workspace="w")
        self.cell.submit(job)
        first = self.cell.scheduler.take_announcements()
        self.assertEqual([each.workspace for each in first], ["w"])
        self.cell.run_for(SECOND / 2)
        second = self.cell.scheduler.take_announcements()
        self.assertEqual([each.workspace for each in second], [""])
        listed = self.cell.scheduler.list_unfinished_states()
        self.assertEqual([each.workspace for each in listed], ["w"])

    def test_stored_progress_has_the_workspace(self):
        """Guards against the end of a job that anyone may read at a new instance."""
        self.cell.submit(evolve(make_job("j", make_step()), workspace="w"))
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.cell.records["j"].workspace, "w")
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.records["j"].workspace, "w")
        self.assertEqual(self.cell.records["j"].state, "completed")

    def test_cancellation_is_told_at_once(self):
        """Its own row is stored before it is heard."""
        self.cell.submit(make_job("j", make_step()))
        self.cell.store_is_up = False
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.assertEqual(self.take_states(), {"j": JobState.CANCELLED})
