"""Guards against opportunistic tasks that stay throttled with nothing beside them."""

import unittest
from datetime import timedelta

from almondspread.jobs.messages import (
    STOPPED,
    PaceRun,
    RunEnd,
    RunSighting,
    UpstreamReport,
)
from almondspread.jobs.pacing import SPEED_UP_INTERVAL
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.submissions import Step, Submission, TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, make_configuration, make_entry
from almondspread.testing.fake_cell import WALL_CLOCK_START
from almondspread.testing.fake_upstream import FakeUpstream, History

SECOND = timedelta(seconds=1)
TARGET_MS = 100
CORE = Capacity(1_000, 1_000)
SERVING = Step(1, CORE, SECOND, lasting=True, latency_target=TARGET_MS * SECOND / 1000)
FILLING = Step(1, CORE, 60 * SECOND, opportunistic=True)
SERVE, FILL = TaskId("serve", 0, 0, 0), TaskId("fill", 0, 0, 0)


class PacingTest(unittest.TestCase):
    """A new leader finds a serving and a filling run on one upstream."""

    def setUp(self):
        self.scheduler = Scheduler(2, make_configuration())
        self.now = 10 * SECOND
        self.number = 0
        upstream = FakeUpstream("u0", Capacity(8_000, 8_000), History())
        self.scheduler.update_upstreams([make_entry(upstream, 1)], self.now)
        for job, step in (("serve", SERVING), ("fill", FILLING)):
            submission = Submission(job, QUEUE, "", (step,))
            self.scheduler.accept_job(submission, self.now, WALL_CLOCK_START, version=1)

    def report(self, *sightings, ends=()):
        """Report runs and ends; return the percentages that the leader orders."""
        self.now += SPEED_UP_INTERVAL + SECOND / 10
        self.number += 1
        report = UpstreamReport("u0", 2, self.number, 0, ends, sightings)
        self.scheduler.handle_report(report, self.now)
        orders = self.scheduler.schedule(self.now, WALL_CLOCK_START, 0)
        return [each.percent for each in orders if isinstance(each, PaceRun)]

    def serve(self, tail_ms):
        return RunSighting(SERVE, 7, "", 100, tail_ms)

    def fill(self):
        return RunSighting(FILL, 8, "", 10)

    def test_run_that_an_earlier_leader_may_have_throttled_is_told_its_pace(self):
        """Its pace was taken for 100 and never ordered."""
        self.assertEqual(self.report(self.fill(), self.serve(10)), [100])
        self.assertEqual(self.report(self.fill(), self.serve(10)), [])

    def test_adopted_run_beside_a_late_task_is_stopped_at_once(self):
        self.assertEqual(self.report(self.fill(), self.serve(TARGET_MS)), [0])

    def test_throttled_run_speeds_up_again_once_it_is_alone(self):
        """It stayed at its pace for good: only two runs or more were looked at."""
        self.assertEqual(self.report(self.fill(), self.serve(2 * TARGET_MS)), [0])
        end = RunEnd(1, SERVE, 7, STOPPED)
        paces = [self.report(self.fill(), ends=(end,)) for _ in range(4)]
        self.assertEqual(paces, [[25], [50], [100], []])

    def test_pace_is_ordered_again_after_its_executor_was_lost(self):
        self.assertEqual(self.report(self.fill(), self.serve(TARGET_MS)), [0])
        self.scheduler.abandon_upstreams({"u0"}, self.now + 9 * SECOND, self.now)
        self.assertEqual(self.report(self.fill(), self.serve(TARGET_MS)), [0])
        self.assertEqual(self.report(self.fill(), self.serve(TARGET_MS)), [])

    def test_adopted_run_that_is_alone_is_told_its_pace(self):
        self.assertEqual(self.report(self.fill()), [100])


if __name__ == "__main__":
    unittest.main()
