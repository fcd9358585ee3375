"""Guards against leases that outlast the expiry that the leader is told."""

import unittest
from datetime import timedelta

from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread_daemon.jobs.tests.support import SECOND

LEASE = 6 * SECOND
NOW = 100 * SECOND


class LeaseRenewalTest(unittest.TestCase):
    def test_later_limit_does_not_replace_an_earlier_one(self):
        """A leader that is lost must not prolong what its successor was told."""
        for limits in ((NOW + SECOND, NOW + LEASE), (NOW + LEASE, NOW + SECOND)):
            with self.subTest(limits=limits):
                leases = LeaseRenewal(LEASE, NOW)
                for limit in limits:
                    leases.set_limit(limit)
                self.assertEqual(leases.choose_lease(NOW), SECOND)
                self.assertIsNone(leases.choose_lease(NOW + SECOND))

    def test_short_renewal_does_not_bring_the_expiry_forward(self):
        """The upstream keeps the longer of both leases if calls overtake each other."""
        leases = LeaseRenewal(LEASE, NOW)
        leases.record_renewal(NOW)
        expiry = leases.expiry
        leases.set_limit(NOW + SECOND)
        leases.record_renewal(NOW + SECOND / 2)
        self.assertEqual(leases.expiry, expiry)

    def test_first_answer_ends_what_executors_of_earlier_leaders_may_renew(self):
        """A silent upstream kept its tasks for 15 s, although it had answered."""
        leases = LeaseRenewal(LEASE, NOW, 17 * SECOND, timedelta(0))
        leases.record_first_answer(NOW + SECOND)
        self.assertLess(leases.expiry, NOW + 8 * SECOND)
        self.assertGreater(leases.expiry, NOW + SECOND + LEASE)

    def test_first_answer_does_not_end_leases_of_executors_of_the_same_leader(self):
        leases = LeaseRenewal(LEASE, NOW, 17 * SECOND, 12 * SECOND)
        leases.record_first_answer(NOW + SECOND)
        self.assertEqual(leases.expiry, NOW + 12 * SECOND)

    def test_first_answer_under_a_leader_of_an_earlier_release_ends_nothing(self):
        leases = LeaseRenewal(LEASE, NOW, 17 * SECOND)
        leases.record_first_answer(NOW + SECOND)
        self.assertEqual(leases.expiry, NOW + 17 * SECOND)

    def test_no_lease_outlasts_that_of_the_leader_by_more_than_one(self):
        """The next leader counts from the last renewal of the leader's own lease."""
        leases = LeaseRenewal(LEASE, NOW, renewable_until=NOW)
        self.assertIsNone(leases.choose_lease(NOW))
        leases.extend(NOW + SECOND + LEASE)
        self.assertEqual(leases.choose_lease(NOW), LEASE)
        self.assertEqual(leases.choose_lease(NOW + SECOND), LEASE)
        self.assertEqual(leases.choose_lease(NOW + 3 * SECOND), LEASE - 2 * SECOND)
        self.assertIsNone(leases.choose_lease(NOW + SECOND + LEASE))

    def test_leader_that_tells_of_no_lease_bounds_none(self):
        leases = LeaseRenewal(LEASE, NOW)
        leases.extend(NOW + SECOND)
        self.assertEqual(leases.choose_lease(NOW + 60 * SECOND), LEASE)
        self.assertTrue(leases.may_grant(NOW + 60 * SECOND, 2 * SECOND))

    def test_older_heartbeat_takes_nothing_back(self):
        leases = LeaseRenewal(LEASE, NOW, renewable_until=NOW)
        leases.extend(NOW + LEASE)
        leases.extend(NOW + SECOND)
        self.assertEqual(leases.choose_lease(NOW), LEASE)

    def test_expiry_counts_a_lease_that_an_earlier_agent_has_just_renewed(self):
        earlier = LeaseRenewal(LEASE, NOW - LEASE)
        earlier.record_renewal(NOW)
        for left in (timedelta(0), SECOND):
            with self.subTest(left=left):
                leases = LeaseRenewal(LEASE, NOW, left)
                self.assertGreaterEqual(leases.expiry, earlier.expiry)


if __name__ == "__main__":
    unittest.main()
