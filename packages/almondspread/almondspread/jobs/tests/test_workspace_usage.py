"""The usage of workspaces follows the runs that are bound to upstreams."""

import unittest
from datetime import timedelta

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step, Submission, TaskId
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

ENTRY = UpstreamEntry("u-1", "s", "10.0.0.1:80", "d-1", Capacity(8000, 8000), ("a",))


class UsageTest(unittest.TestCase):
    def setUp(self):
        self.cell = CellState(1)
        self.upstream = Upstream(ENTRY)
        self.cell.add_upstream(self.upstream)

    def make_progress(self, step, workspace="w"):
        job = JobProgress(
            Submission("j", "q", "", (step,), workspace=workspace), timedelta(0)
        )
        return StepProgress(job, 0, 0, step, waiting={0: None})

    def make_run(self, number):
        now = timedelta(0)
        task = TaskId("j", 0, 0, 0)
        return Run(task, number, "u-1", RunPhase.STARTING, now, now)

    def test_run_counts_until_it_is_removed_and_only_once(self):
        # A run that is removed twice would free room that others still use.
        progress = self.make_progress(Step(1, Capacity(500, 64)))
        run = self.make_run(1)
        self.cell.add_run(progress, 0, self.upstream, run)
        self.cell.add_run(progress, 0, self.upstream, self.make_run(2))
        self.assertEqual(self.cell.usage.find("w"), Capacity(1000, 128))
        self.cell.remove_run(progress, run)
        self.cell.remove_run(progress, run)
        self.assertEqual(self.cell.usage.find("w"), Capacity(500, 64))

    def test_opportunistic_task_counts_with_its_full_size(self):
        step = Step(1, Capacity(500, 64), opportunistic=True)
        self.cell.add_run(self.make_progress(step), 0, self.upstream, self.make_run(1))
        self.assertEqual(self.cell.usage.find("w"), Capacity(500, 64))

    def test_runs_without_workspace_are_not_counted(self):
        progress = self.make_progress(Step(1, Capacity(500, 64)), "")
        self.cell.add_run(progress, 0, self.upstream, self.make_run(1))
        self.assertEqual(self.cell.usage.list_workspaces(), [])
