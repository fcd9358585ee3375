"""Upstreams whose capacity shrinks and grows again while they run."""

from datetime import timedelta

from almondspread.jobs.configuration import Configuration, Service
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import SERVICE, make_configuration
from almondspread.testing.fake_cell import FakeCell


class ShrinkingUpstreamTest(CellTest):
    """A start put an upstream over a capacity that had shrunk seconds before."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.upstream = self.cell.upstreams["u0"]

    def resize(self, cpu_millis):
        self.upstream.capacity = Capacity(cpu_millis, cpu_millis)

    def test_nothing_is_started_on_an_entry_that_may_be_out_of_date(self):
        self.cell.directory_is_up = False
        self.cell.step()
        self.resize(2_000)
        self.cell.run_for(3 * SECOND)
        self.cell.submit(make_job("j", make_step(4)))
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 0)
        self.cell.directory_is_up = True
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")

    def test_runs_go_on_and_new_ones_wait_while_the_capacity_is_smaller(self):
        long = [TaskId("long", 0, 0, index) for index in range(3)]
        self.upstream.durations.update(dict.fromkeys(long, 5 * SECOND))
        self.cell.submit(make_job("long", make_step(3)))
        self.cell.run_for(SECOND)
        self.resize(2_000)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(2)))
        self.cell.run_for(2 * SECOND)
        self.assertEqual(self.cell.history.starts, 3)
        self.cell.run_for(5 * SECOND)
        self.assert_completed("long", "j")

    def test_run_that_is_being_stopped_still_counts_after_a_shrink(self):
        self.upstream.durations[TaskId("long", 0, 0, 0)] = 9 * SECOND
        self.cell.submit(make_job("long", make_step(size=Capacity(3_000, 100))))
        self.cell.run_for(SECOND)
        self.resize(3_000)
        self.cell.step()
        self.cell.scheduler.cancel_job("long", self.cell.now)
        self.cell.submit(make_job("j", make_step(size=Capacity(2_000, 100))))
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")

    def test_grown_capacity_is_used_again(self):
        self.resize(1_000)
        self.cell.run_for(SECOND)
        self.resize(4_000)
        self.cell.submit(make_job("j", make_step(4)))
        self.cell.run_for(timedelta(milliseconds=500))
        self.assertEqual(self.cell.history.starts, 4)

    def test_next_leader_does_not_use_the_capacity_of_before(self):
        self.resize(2_000)
        self.cell.take_over()
        self.cell.submit(make_job("j", make_step(4)))
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")


class EnforcedCapacityTest(CellTest):
    def setUp(self):
        queues = make_configuration().queues
        services = {SERVICE: Service(SERVICE, enforces_capacity=True)}
        self.cell = FakeCell(configuration=Configuration(1, queues, services))

    def test_upstreams_that_refuse_what_does_not_fit_are_used_all_the_while(self):
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.directory_is_up = False
        self.cell.run_for(4 * SECOND)
        self.cell.submit(make_job("j", make_step(4)))
        self.cell.run_for(2 * SECOND)
        self.assert_completed("j")
