"""Answers of upstreams that list only some of the ends that nobody has acknowledged.

Of a run that such an answer does not show, nothing is known: its end may be one of the
others.
"""

from almondspread.jobs.messages import StartRun
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import (
    MILLISECOND,
    SECOND,
    CellTest,
    make_job,
    make_step,
)

TASKS = 4
LISTED = 2


class TruncatedEndsTest(CellTest):
    """Done tasks ran again: more had ended than an upstream lists at a time."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(2, 1_000 * TASKS)
        for upstream in self.cell.upstreams.values():
            upstream.listed_ends = LISTED
        self.cell.run_for(SECOND)

    def run_unwatched(self, duration):
        """Let time pass in which no instance runs."""
        self.cell.now += duration
        for upstream in self.cell.upstreams.values():
            upstream.advance(self.cell.now)

    def test_next_leader_starts_no_task_whose_end_is_not_listed_yet(self):
        self.cell.submit(make_job("j", make_step(TASKS)))
        self.cell.step()
        self.run_unwatched(2 * SECOND)
        self.cell.take_over(lost_executors=list(self.cell.upstreams))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, TASKS)

    def test_run_that_was_stopped_has_not_ended_before_all_ends_are_listed(self):
        """The store takes no ends, so that none are acknowledged."""
        self.cell.upstreams["u0"].durations[TaskId("late", 0, 0, 0)] = 50 * MILLISECOND
        self.cell.draining.add("u1")
        self.cell.step()
        self.cell.submit(make_job("j", make_step(2 * LISTED)))
        self.cell.step()
        self.cell.store_is_up = False
        self.cell.run_for(2 * SECOND)
        self.cell.lose_answer = lambda order: isinstance(order, StartRun)
        self.cell.submit(make_job("late", make_step()))
        self.cell.scheduler.allow_starts(len(self.cell.versions))
        self.cell.run_for(2 * SECOND)
        self.cell.lose_answer = lambda _: False
        self.cell.store_is_up = True
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j", "late")
        self.assertEqual(self.cell.history.starts, 2 * LISTED + 1)

    def test_upstream_is_used_once_it_has_listed_all_ends(self):
        self.cell.submit(make_job("j", make_step(TASKS)))
        self.cell.step()
        self.run_unwatched(2 * SECOND)
        self.cell.take_over(lost_executors=list(self.cell.upstreams))
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("k", make_step(2 * TASKS)))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j", "k")
