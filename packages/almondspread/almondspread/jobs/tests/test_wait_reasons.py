import unittest
from datetime import timedelta

from almondspread.jobs.holds import HoldCause, StartHolds
from almondspread.jobs.losses import Loss
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.jobs.wait_reasons import (
    DelayCause,
    HoldBounds,
    UnseenUpstream,
    explain_step,
    find_hold,
)
from almondspread.testing.cell_input import make_configuration
from almondspread.testing.fake_cell import FakeCell

NO_HOLDS = StartHolds(0, 9)
HELD = StartHolds(9, 9)


def make_progress(count=2, **fields):
    step = make_step(count, **fields)
    job = JobProgress(make_job("j", step), timedelta(0), 5)
    return StepProgress(job, 0, 0, step, waiting=dict.fromkeys(range(count)))


def explain(progress, holds, bounds, now=SECOND):
    return explain_step(progress, find_hold(progress, holds, now), bounds, now)


class ExplainStepTest(unittest.TestCase):
    def test_last_unseen_upstream_that_may_run_a_task_of_the_step_is_named(self):
        """Guards against naming an upstream that does not hold back the step."""
        bounds = HoldBounds(
            (
                UnseenUpstream("u0", 7 * SECOND, frozenset({TaskId("j", 0, 0, 1)})),
                UnseenUpstream("u1", 5 * SECOND),
                UnseenUpstream("u2", 9 * SECOND, frozenset({TaskId("k", 0, 0, 1)})),
            )
        )
        (reason,) = explain(make_progress(), HELD, bounds)
        self.assertEqual(reason.cause, HoldCause.UNSEEN_UPSTREAM)
        self.assertEqual((reason.upstream, reason.until), ("u0", 7 * SECOND))

    def test_held_task_and_task_without_room_of_one_step_are_told_apart(self):
        """Guards against a lack of room that hides the upstream that holds a task."""
        task = TaskId("j", 0, 0, 1)
        holds = StartHolds(0, 9, possible_tasks=frozenset({task}))
        unseen = UnseenUpstream("u0", 7 * SECOND, holds.possible_tasks)
        progress = make_progress(3)
        bounds = HoldBounds((unseen,))
        held, other = explain(progress, holds, bounds)
        self.assertEqual((other.cause, other.tasks), (DelayCause.NO_ROOM, 2))
        self.assertEqual((held.cause, held.tasks), (HoldCause.UNSEEN_UPSTREAM, 1))
        self.assertEqual((held.upstream, held.until), ("u0", 7 * SECOND))

    def test_no_upstream_is_named_while_only_stored_jobs_are_missing(self):
        (reason,) = explain(make_progress(), HELD, HoldBounds())
        self.assertEqual((reason.upstream, reason.until), ("", None))

    def test_open_loss_that_counts_the_longest_is_named(self):
        progress = make_progress(1)
        for run, name in ((1, "u1"), (2, "u2")):
            loss = Loss(run, name, "a", confirmed=True, fresh=True)
            progress.losses.record(0, loss)
        task = TaskId("j", 0, 0, 0)
        bounds = HoldBounds(losses={(task, 1): 60 * SECOND, (task, 2): 50 * SECOND})
        (reason,) = explain(progress, NO_HOLDS, bounds)
        self.assertEqual(reason.cause, HoldCause.LOST_UPSTREAMS)
        self.assertEqual((reason.upstream, reason.until), ("u1", 60 * SECOND))

    def test_time_left_is_never_below_zero(self):
        progress = make_progress()
        progress.not_before = SECOND
        (reason,) = explain(progress, NO_HOLDS, HoldBounds(), timedelta(0))
        self.assertEqual(reason.cause, HoldCause.REFUSED_START)
        self.assertEqual(reason.find_time_left(2 * SECOND), timedelta(0))


class ExplainWaitsTest(CellTest):
    def explain(self):
        return self.cell.scheduler.explain_waits(self.cell.now)

    def test_full_cell_names_the_steps_before(self):
        self.add_upstreams(1, cpu_millis=1_000)
        self.cell.run_for(SECOND)
        for job in ("a", "b", "c"):
            self.cell.submit(make_job(job, make_step(estimate=9 * SECOND)))
        self.cell.run_for(SECOND / 2)
        reasons = {reason.steps_before: reason.cause for reason in self.explain()}
        self.assertEqual(reasons, {0: DelayCause.NO_ROOM, 1: DelayCause.NO_ROOM})

    def test_step_without_permits_does_not_seem_to_lack_room(self):
        self.cell = FakeCell(configuration=make_configuration(advice=True))
        self.add_upstreams(1)
        self.cell.denied.add("u0")
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(SECOND)
        (reason,) = self.explain()
        self.assertEqual(reason.cause, DelayCause.NO_PERMITS)

    def test_task_with_a_run_on_a_silent_upstream_is_explained(self):
        """Guards against silence on tasks that have a run and do not run."""
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(lasting=True)))
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.explain(), [])
        (run,) = self.cell.scheduler.jobs["j"].list_runs()
        self.cell.silent.add(run.upstream)
        self.cell.run_for(2 * SECOND)
        (reason,) = self.explain()
        self.assertEqual(reason.cause, DelayCause.SILENT_UPSTREAM)
        self.assertEqual((reason.upstream, reason.tasks), (run.upstream, 1))
        self.cell.run_for(reason.find_time_left(self.cell.now) + SECOND)
        self.assertEqual(self.explain(), [])

    def test_task_that_only_a_silent_upstream_may_run_names_it(self):
        self.add_upstreams(2, cpu_millis=2_000)
        for upstream in self.cell.upstreams.values():
            for index in range(4):
                upstream.durations[TaskId("j", 0, 0, index)] = 60 * SECOND
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(4, lasting=True)))
        self.cell.run_for(SECOND / 2)
        self.cell.silent.add("u1")
        self.cell.take_over(lapse_in=10 * SECOND)
        self.cell.run_for(SECOND)
        (reason,) = self.explain()
        self.assertEqual(reason.cause, HoldCause.UNSEEN_UPSTREAM)
        self.assertEqual((reason.upstream, reason.tasks), ("u1", 2))

    def test_hold_of_an_unseen_upstream_ends_when_the_line_says(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(3)))
        self.cell.commit()
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=10 * SECOND, lost_executors={"u0"})
        self.cell.run_for(SECOND)
        (reason,) = self.explain()
        self.assertEqual((reason.upstream, reason.tasks), ("u0", 3))
        left = reason.find_time_left(self.cell.now)
        self.assertAlmostEqual(left.total_seconds(), 9.0)
        self.cell.run_for(left + SECOND / 2)
        self.assertEqual(self.explain(), [])


if __name__ == "__main__":
    unittest.main()
