"""Jobs that an earlier leader started and that the new leader has not read yet."""

from datetime import timedelta

from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step


class LateSubmissionTest(CellTest):
    def take_over_without(self, job):
        """Replace the leader; its reads of the submissions fail before the job's."""
        del self.cell.history.submissions[job.job]
        self.cell.submissions_are_readable = False
        self.cell.take_over()
        self.cell.history.submissions[job.job] = job

    def test_end_of_a_job_that_is_not_read_yet_is_not_forgotten(self):
        """An end was acknowledged and dropped, and its task ran again."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        job = make_job("j", make_step(2))
        self.cell.submit(job)
        self.cell.run_for(timedelta(milliseconds=300))
        self.assertEqual(self.cell.history.starts, 2)
        self.take_over_without(job)
        self.cell.run_for(3 * SECOND)
        self.cell.accept_stored(job)
        self.cell.submissions_are_readable = True
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 2)

    def test_ends_of_several_deleted_jobs_wait_for_the_same_read(self):
        """Each of the jobs had waited for a read of its own."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        jobs = [make_job(f"j{number}", make_step()) for number in range(4)]
        for job in jobs:
            self.cell.submit(job)
        self.cell.run_for(timedelta(milliseconds=300))
        self.assertEqual(self.cell.history.starts, 4)
        for job in jobs[1:]:
            del self.cell.history.submissions[job.job]
        self.take_over_without(jobs[0])
        self.cell.history.submissions.update({job.job: job for job in jobs})
        self.cell.run_for(2 * SECOND)
        self.cell.scheduler.record_read(self.cell.now)
        self.cell.run_for(timedelta(milliseconds=300))
        self.assertFalse(self.cell.upstreams["u0"].ends)

    def test_ends_of_a_deleted_job_are_acknowledged(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        job = make_job("j", make_step(2))
        self.cell.submit(job)
        self.cell.run_for(timedelta(milliseconds=300))
        self.take_over_without(job)
        self.cell.run_for(2 * SECOND)
        self.assertTrue(self.cell.upstreams["u0"].ends)
        self.cell.submissions_are_readable = True
        self.cell.run_for(SECOND)
        self.assertFalse(self.cell.upstreams["u0"].ends)
