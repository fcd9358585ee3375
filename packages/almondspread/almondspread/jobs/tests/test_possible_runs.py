"""Guards against possible runs that are forgotten while they still count."""

import unittest
from datetime import timedelta

from almondspread.jobs.messages import RunEnd, RunId, RunSighting
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.possible_runs import PossibleRuns
from almondspread.jobs.submissions import TaskId
from almondspread.testing.fake_upstream import LISTED_ENDS


class PossibleRunsTest(unittest.TestCase):
    def test_end_beyond_those_that_one_answer_lists_counts(self):
        """An upstream returns 500 ends at a time; the store took none for a while."""
        ends = []
        for number in range(LISTED_ENDS):
            ends.append(
                RunEnd(number + 1, TaskId("j", 0, 0, number), number + 1, "done")
            )
        run = RunId(TaskId("j", 0, 0, 999), 9_999)
        runs = PossibleRuns()
        runs.record_order(run)
        runs.record_expiry(run, timedelta(seconds=12))
        answer = RenewAnswer(timedelta(seconds=13), (), tuple(ends), False)
        runs.record_answer(answer)
        self.assertTrue(run.task in runs.list_tasks())

    def test_run_counts_after_an_older_answer_with_the_same_time(self):
        """Answers tell whole milliseconds, and may overtake each other."""
        run = RunId(TaskId("j", 0, 0, 0), 1)
        runs = PossibleRuns()
        runs.record_order(run)
        runs.record_expiry(run, timedelta(seconds=12))
        sighting = RunSighting(run.task, run.run, "", 0)
        runs.record_answer(RenewAnswer(timedelta(seconds=10), (sighting,), ()))
        runs.record_answer(RenewAnswer(timedelta(seconds=10), (), ()))
        self.assertEqual(runs.list_tasks(), (run.task,))


if __name__ == "__main__":
    unittest.main()
