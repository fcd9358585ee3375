"""Repeated jobs whose occurrences are not due yet by a new leader's clock."""

from datetime import timedelta

from almondspread.jobs.submissions import Repetition, Submission
from almondspread.jobs.tests.cells import SECOND, CellTest, make_step
from almondspread.testing.cell_input import QUEUE
from almondspread.testing.fake_cell import WALL_CLOCK_START


class RepeatedJobTest(CellTest):
    def accept_before_its_time(self, job):
        """Have the new leader load a repeated job by a clock that is behind."""
        self.cell.scheduler.accept_job(
            job,
            self.cell.now,
            WALL_CLOCK_START - timedelta(days=1),
            version=self.cell.versions[job.job],
            record=self.cell.records.get(job.job),
        )

    def make_repeated_job(self):
        first = WALL_CLOCK_START + self.cell.now
        return Submission(
            "j", QUEUE, "", (make_step(2),), Repetition(first, 60 * SECOND, 2)
        )

    def test_end_of_an_occurrence_that_is_not_due_yet_is_not_forgotten(self):
        """An end was acknowledged and dropped, and its task ran again."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        job = self.make_repeated_job()
        self.cell.submit(job)
        self.cell.run_for(timedelta(milliseconds=500))
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.history.submissions.clear()
        self.cell.take_over()
        self.cell.history.submissions["j"] = job
        self.accept_before_its_time(job)
        self.cell.now += SECOND
        self.cell.report_upstream_list()
        self.cell.poll_upstream("u0")
        self.cell.run_for(5 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_progress_of_an_occurrence_that_is_not_due_yet_is_kept(self):
        """A leader whose clock was behind stored the job without it."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        job = self.make_repeated_job()
        self.cell.submit(job)
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.history.submissions.clear()
        self.cell.take_over()
        self.cell.history.submissions["j"] = job
        self.accept_before_its_time(job)
        record = self.cell.scheduler.jobs["j"].make_record()
        self.assertEqual(record, self.cell.records["j"])
