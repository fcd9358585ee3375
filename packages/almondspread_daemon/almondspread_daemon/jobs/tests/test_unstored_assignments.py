import unittest
from datetime import timedelta

from almondspread.jobs.scheduler import Scheduler
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.tests.support import StoreParts, make_settings

UPSTREAMS = 6


class UnstoredAssignmentTest(unittest.TestCase):
    """Guards against leases that lapse because an assignment cannot be stored."""

    def setUp(self):
        self.scheduler = Scheduler(1, make_configuration())
        self.can_store = True
        self.assignments = Assignments(
            self.scheduler,
            make_settings(),
            StoreParts().clock,
            lambda: self.can_store,
        )
        entries = []
        for number in range(UPSTREAMS):
            upstream = FakeUpstream(f"u{number}", Capacity(1_000, 1_000), History())
            entries.append(make_entry(upstream, number))
        self.scheduler.update_upstreams(entries, timedelta(0))
        self.first = self.join("entry-1")

    def join(self, instance, **fields):
        member = Member(instance, "umea", 1.0, lambda _: None, timedelta(0), **fields)
        self.assignments.add_member(member)
        return member

    def test_member_that_joins_takes_no_upstreams_while_the_store_is_away(self):
        self.can_store = False
        second = self.join("entry-2")
        self.assertEqual(len(self.first.upstreams), UPSTREAMS)
        self.can_store = True
        self.assignments.rebalance()
        self.assertEqual(len(second.upstreams), UPSTREAMS // 2)

    def test_member_that_leaves_keeps_its_upstreams_while_the_store_is_away(self):
        second = self.join("entry-2")
        self.can_store = False
        self.assignments.drain_member(self.first)
        self.assertEqual(len(self.first.upstreams), UPSTREAMS // 2)
        self.can_store = True
        self.assignments.rebalance()
        self.assertEqual(len(second.upstreams), UPSTREAMS)

    def test_leader_gives_its_upstreams_to_the_first_member_that_joins(self):
        """The loss of a leader would else be that of an executor, too."""
        self.assignments.remove_member(self.first)
        leader = self.join("entry-3", leads=True)
        self.assertEqual(len(leader.upstreams), UPSTREAMS)
        second = self.join("entry-2")
        self.assertEqual(len(second.upstreams), UPSTREAMS)


if __name__ == "__main__":
    unittest.main()
