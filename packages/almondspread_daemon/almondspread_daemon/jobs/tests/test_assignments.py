import unittest
from datetime import timedelta

from almondspread.jobs.messages import UpstreamSilent, WatchUpstream
from almondspread.jobs.scheduler import Scheduler
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.tests.support import StoreParts, make_settings


class SilentUpstreamTest(unittest.TestCase):
    """Guards against leases that count from the start anew with each new executor."""

    def setUp(self):
        self.scheduler = Scheduler(1, make_configuration())
        self.assignments = Assignments(
            self.scheduler, make_settings(), StoreParts().clock
        )
        entries = []
        for number in range(6):
            upstream = FakeUpstream(f"u{number}", Capacity(1_000, 1_000), History())
            entries.append(make_entry(upstream, number))
        self.scheduler.update_upstreams(entries, timedelta(0))
        self.join("m0")

    def join(self, instance):
        """Add a member; return the upstreams that it is ordered to watch."""
        orders = []
        self.assignments.add_member(
            Member(instance, "umea", 1.0, orders.append, timedelta(0))
        )
        return [each.upstream for each in orders if isinstance(each, WatchUpstream)]

    def test_silent_upstream_keeps_its_executor_when_a_member_joins(self):
        for number in range(3):
            self.scheduler.handle_report(
                UpstreamSilent(f"u{number}", 1, timedelta(seconds=4)), timedelta(0)
            )
        self.assertEqual(sorted(self.join("m1")), ["u3", "u4", "u5"])
        self.assertEqual(self.join("m2"), ["u3"])


if __name__ == "__main__":
    unittest.main()
