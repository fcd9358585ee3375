import unittest
from datetime import timedelta

from almondspread.jobs.leases import (
    compute_inherited_lease_time,
    compute_longest_lease_time,
)
from almondspread.jobs.messages import Assignment
from almondspread.jobs.scheduler import Scheduler
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts, make_settings


class EndedExecutorTest(unittest.TestCase):
    """Guards against a long wait for an executor whose process has surely ended."""

    def setUp(self):
        self.scheduler = Scheduler(2, make_configuration())
        self.clock = StoreParts().clock
        self.settings = make_settings()
        self.assignments = Assignments(self.scheduler, self.settings, self.clock)
        self.longest = compute_inherited_lease_time(self.settings.lease)
        self.after_its_end = compute_longest_lease_time(self.settings.lease)

    def inherit(self, until=timedelta(0)):
        upstream = FakeUpstream("u", Capacity(1_000, 1_000), History())
        assignment = Assignment(17, "entry-2", "old", until)
        lapse = self.clock.monotonic() + self.longest
        self.scheduler.inherit_upstream(make_entry(upstream, 0), lapse, assignment)

    def join(self, instance, process):
        now = self.clock.monotonic()
        member = Member(instance, "umea", 1.0, lambda _: None, now, incarnation=process)
        self.assignments.add_member(member)

    def read_wait(self):
        upstream = self.scheduler.cell_state.upstreams["u"]
        return upstream.leases_until - self.clock.monotonic()

    def test_leases_end_soon_after_the_instance_has_started_again(self):
        self.inherit()
        self.join("entry-2", "new")
        self.assertLess(abs(self.read_wait() - self.after_its_end), SECOND / 10)

    def test_process_that_runs_on_may_renew(self):
        self.inherit()
        self.join("entry-2", "old")
        self.join("entry-3", "new")
        self.assertGreater(self.read_wait(), self.longest - SECOND)

    def test_leases_of_executors_before_it_count(self):
        self.inherit(until=self.clock.monotonic() + 9 * SECOND)
        self.join("entry-2", "new")
        self.assertGreater(self.read_wait(), 9 * SECOND - SECOND / 10)


if __name__ == "__main__":
    unittest.main()
