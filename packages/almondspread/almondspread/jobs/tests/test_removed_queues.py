"""Guards against jobs that stand still, or go on for ever, without their queue."""

import unittest

from attrs import evolve

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.job_records import JobState
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.testing.cell_input import QUEUE, make_configuration

MAX_ATTEMPTS = 3


class RemovedQueueTest(CellTest):
    def setUp(self):
        super().setUp()
        self.add_upstreams(2)
        self.cell.run_for(SECOND)

    def submit(self, *steps):
        """Submit a job that is stored with its queue, as an instance stores it."""
        queue = make_configuration(max_attempts=MAX_ATTEMPTS).queues[QUEUE]
        self.cell.submit(evolve(make_job("j", *steps), accepted_queue=queue))
        self.cell.step()

    def remove_queue(self):
        """Publish a configuration without the queue, also for later leaders."""
        kept = self.cell.configuration
        self.cell.configuration = Configuration(kept.version + 1, {}, kept.services)
        self.cell.scheduler.configure(self.cell.configuration)

    def test_job_goes_on_under_later_leaders(self):
        """Its second step never started, as no leader knew the service."""
        self.submit(make_step(), make_step(after=(0,)))
        self.remove_queue()
        for _ in range(2):
            self.cell.take_over()
            self.cell.run_for(SECOND / 2)
        self.cell.run_for(10 * SECOND)
        self.assert_completed("j")

    def test_failing_task_is_given_up_after_its_attempts(self):
        """It was started without end, since only the queue knew their number."""
        for upstream in self.cell.upstreams.values():
            upstream.failing.add(TaskId("j", 0, 0, 0))
        self.submit(make_step())
        self.remove_queue()
        for _ in range(2):
            self.cell.run_for(3 * SECOND)
            self.cell.take_over()
        self.cell.run_for(10 * SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.FAILED)
        starts = [
            start for each in self.cell.upstreams.values() for start in each.started
        ]
        self.assertEqual(len(starts), MAX_ATTEMPTS)

    def test_queue_as_it_is_now_rules_while_it_exists(self):
        job = evolve(
            make_job("j"), accepted_queue=make_configuration(priority=7).queues[QUEUE]
        )
        self.assertEqual(job.find_queue(make_configuration(priority=2)).priority, 2)
        self.assertEqual(job.find_queue(Configuration(2)).priority, 7)


if __name__ == "__main__":
    unittest.main()
