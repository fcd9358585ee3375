"""What the leader knows of an upstream whose machine it may take down."""

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import (
    SECOND,
    CellTest,
    make_job,
    make_step,
)


class KnownRunsTest(CellTest):
    """Guards against machines that are taken for empty because nothing is known."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(2)
        for upstream in self.cell.upstreams.values():
            for index in range(2):
                upstream.durations[TaskId("j", 0, 0, index)] = 60 * SECOND
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(2, lasting=True)))
        self.cell.run_for(SECOND)

    def count_runs(self):
        names = self.cell.upstreams
        return {name: self.cell.scheduler.count_runs(name) for name in names}

    def test_runs_of_an_upstream_that_has_not_reported_are_not_known(self):
        before = self.count_runs()
        self.assertEqual(sum(before.values()), 2)
        self.cell.silent.add("u0")
        self.cell.take_over()
        self.cell.run_for(SECOND)
        self.assertIsNone(self.count_runs()["u0"])
        self.cell.silent.clear()
        self.cell.run_for(SECOND)
        self.assertEqual(self.count_runs(), before)

    def test_upstream_whose_leases_have_expired_runs_nothing(self):
        self.cell.upstreams["u0"].crash()
        self.cell.silent.add("u0")
        self.cell.take_over(lapse_in=2 * SECOND, lost_executors=("u0",))
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.count_runs()["u0"], 0)

    def test_runs_are_not_known_while_some_job_is_not_loaded(self):
        missing = self.cell.history.submissions.pop("j")
        self.cell.take_over()
        self.cell.history.submissions["j"] = missing
        self.cell.scheduler.is_complete = False
        self.cell.run_for(SECOND)
        self.assertIn(None, self.count_runs().values())
