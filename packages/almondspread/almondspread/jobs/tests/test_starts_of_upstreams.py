"""Entries of upstreams whose start goes back, or was not known before."""

from almondspread.jobs.incarnations import find_next_token
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import (
    MILLISECOND,
    SECOND,
    RestartCellTest,
    make_job,
    make_step,
)
from almondspread.testing.cell_input import make_entry

TASK = TaskId("j", 0, 0, 0)


class UnknownStartTest(RestartCellTest):
    """Upstreams that did not tell their start at first."""

    first_start = None

    def test_run_goes_on_where_the_start_becomes_known(self):
        """The upstream has not restarted, and takes a while to report."""
        name = self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        upstream = self.cell.upstreams[name]
        upstream.name, upstream.born = f"{name}@5", 5
        self.cell.upstreams = {each.name: each for each in self.cell.upstreams.values()}
        self.cell.silent.add(upstream.name)
        self.cell.run_for(200 * MILLISECOND)
        self.cell.silent.clear()
        self.cell.run_for(6 * SECOND)
        self.assert_completed("j")


class StartThatGoesBackTest(RestartCellTest):
    """Entries of a start that lies before the known one."""

    upstream_count = 1

    def setUp(self):
        super().setUp()
        self.old = self.cell.upstreams["u0"]
        self.name = self.cell.restart_upstream("u0")
        self.cell.run_for(SECOND)

    def test_entry_of_an_earlier_incarnation_ends_no_runs(self):
        """An upstream's last write may arrive after the first of its next start."""
        self.submit_long()
        self.cell.run_for(500 * MILLISECOND)
        self.cell.directory_is_up = False
        for _ in range(5):
            entries = [make_entry(self.old, 0)]
            self.cell.scheduler.update_upstreams(entries, self.cell.now)
            self.cell.step()
        self.cell.directory_is_up = True
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_start_that_goes_back_counts_once_the_upstream_shows_it(self):
        """The clock of its machine was set back before it started again."""
        self.cell.now, now = self.cell.now - 60 * SECOND, self.cell.now
        new = self.cell.restart_upstream(self.name)
        self.cell.now = now
        self.cell.hears_restarts = False
        self.cell.run_for(SECOND)
        self.assertNotIn(new, self.cell.scheduler.cell_state.upstreams)
        self.cell.hears_restarts = True
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")

    def test_start_that_goes_back_counts_once_all_leases_have_expired(self):
        """It is at another address, so that its executor cannot meet it."""
        self.cell.hears_restarts = False
        self.cell.directory_is_up = False
        self.cell.silent.add(self.name)
        self.cell.run_for(300 * MILLISECOND)
        upstream = self.cell.scheduler.cell_state.upstreams[self.name]
        entry = make_entry(self.old, 7)
        while not upstream.has_ended(self.cell.now):
            self.cell.scheduler.update_upstreams([entry], self.cell.now)
            self.assertNotIn("u0", self.cell.scheduler.cell_state.upstreams)
            self.cell.step()
        self.cell.scheduler.update_upstreams([entry], self.cell.now)
        self.assertIn("u0", self.cell.scheduler.cell_state.upstreams)

    def test_upstream_that_answers_as_before_is_used_again(self):
        """Its executor has fenced it for the sake of a restart that was none."""
        upstream = self.cell.upstreams[self.name]
        token = find_next_token(self.cell.find_token_for(self.name))
        upstream.renew_leases(token, 0, None, self.cell.now)
        self.cell.report_restart(self.name)
        self.cell.step()
        self.cell.submit(make_job("j", make_step()))
        self.cell.run_for(3 * SECOND)
        self.assert_completed("j")
