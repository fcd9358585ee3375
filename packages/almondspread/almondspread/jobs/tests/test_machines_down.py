"""What the leader knows of an upstream whose machine it has taken down, or may not."""

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import (
    MILLISECOND,
    SECOND,
    CellTest,
    RestartCellTest,
    make_job,
    make_step,
)


class MachineDownTest(RestartCellTest):
    """Upstreams may start again under their identity, also after a maintenance."""

    def test_run_that_was_shown_is_lost_with_its_machine(self):
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.restart_upstream(name)
        self.cell.scheduler.record_machine_down(name, self.cell.now)
        self.assertEqual(self.cell.scheduler.jobs["j"].list_runs(), [])
        self.cell.run_for(5 * SECOND)
        self.assert_completed("j")

    def test_start_that_may_have_reached_the_next_incarnation_is_not_made_again(self):
        """The answer to the order is heard before the upstream's next start is."""
        self.hold_back_start()
        name = self.submit_long()
        self.cell.hears_restarts = self.cell.directory_is_up = False
        self.cell.restart_upstream(name)
        self.cell.hold_back = lambda _: False
        self.deliver_held_start()
        self.assertEqual(self.cell.history.starts, 1)
        self.cell.scheduler.record_machine_down(name, self.cell.now)
        self.assertEqual(self.find_upstream(), name)
        self.cell.hears_restarts = self.cell.directory_is_up = True
        self.cell.run_for(5 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.assert_completed("j")

    def test_unknown_upstream_is_ignored(self):
        self.cell.scheduler.record_machine_down("x", self.cell.now)
        self.assertNotIn("x", self.cell.scheduler.cell_state.upstreams)


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
