"""Base class and helpers for tests that run a scheduler with fake upstreams."""

import unittest
from datetime import timedelta

from almondspread.jobs.progress import JobState
from almondspread.jobs.submissions import Step, Submission
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE
from almondspread.testing.fake_cell import FakeCell

SECOND = timedelta(seconds=1)
CORE = Capacity(1_000, 1_000)


def make_job(name, *steps):
    return Submission(name, QUEUE, "payload", steps)


def make_step(count=1, **fields):
    return Step(
        count, fields.pop("size", CORE), fields.pop("estimate", SECOND), **fields
    )


class CellTest(unittest.TestCase):
    def setUp(self):
        self.cell = FakeCell()

    def add_upstreams(self, count, cpu_millis=4_000):
        for number in range(count):
            self.cell.add_upstream(f"u{number}", cpu_millis)

    def tearDown(self):
        self.assertEqual(self.cell.history.violations, [])

    def assert_completed(self, *jobs):
        for job in jobs:
            self.assertEqual(self.cell.read_state(job), JobState.COMPLETED)
