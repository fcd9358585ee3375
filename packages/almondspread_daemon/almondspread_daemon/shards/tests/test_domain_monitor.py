import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.interfaces import Instance
from almondspread_daemon.shards.domain_monitor import DomainMonitor

MINUTE = timedelta(minutes=1)


def list_instances(*places):
    listed = {}
    for role, domain in places:
        name = f"{role}-{domain}"
        listed[name] = Instance(name, role, "", domain)
    return listed


class DomainWatchTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.watch = DomainMonitor(("umea", "lulea"), self.clock, 5 * MINUTE)

    def update(self, *places):
        self.watch.update(list_instances(*places))

    def test_domain_is_gone_after_its_absence_from_the_list(self):
        self.update(("entry", "umea"), ("minion", "lulea"))
        self.clock.advance(4 * MINUTE)
        self.assertFalse(self.watch.is_gone("lulea"))
        self.clock.advance(MINUTE)
        self.assertTrue(self.watch.is_gone("lulea"))
        self.assertFalse(self.watch.is_gone("umea"))

    def test_listed_worker_restarts_the_absence_time(self):
        self.update(("entry", "umea"))
        self.clock.advance(4 * MINUTE)
        self.update(("entry", "umea"), ("worker", "lulea"))
        self.update(("entry", "umea"))
        self.clock.advance(4 * MINUTE)
        self.assertFalse(self.watch.is_gone("lulea"))

    def test_no_domain_is_gone_before_the_list_is_known(self):
        self.clock.advance(60 * MINUTE)
        self.assertFalse(self.watch.is_gone("umea"))


if __name__ == "__main__":
    unittest.main()
