import unittest
from datetime import timedelta

from almondspread.scheduling.leases import LeaseTerms, WorkerLeases

SECOND = timedelta(seconds=1)
TERMS = LeaseTerms(
    lease_duration=10 * SECOND,
    delivery_timeout=5 * SECOND,
    horizon=100 * SECOND,
    clock_rate_bound=0.1,
    clock_offset_bound=2 * SECOND,
)


class LeasesTest(unittest.TestCase):
    def make_leases(self, stopped_at=None):
        return WorkerLeases(TERMS, 50 * SECOND, stopped_at)

    def test_l2_lapse_time_adds_timeout_duration_and_clock_bounds(self):
        leases = self.make_leases(50 * SECOND)
        leases.record_renewal("w", 60 * SECOND)
        self.assertEqual(leases.find_lapse_time("w"), (60 + 2 + 16.5) * SECOND)

    def test_l4_previous_owner_may_renew_until_the_horizon(self):
        leases = self.make_leases()
        leases.record_renewal("w", 60 * SECOND)
        self.assertEqual(leases.find_lapse_time("w"), (50 + 110 + 18.5) * SECOND)

    def test_l4_first_evidence_ends_renewals_of_the_previous_owner(self):
        leases = self.make_leases()
        leases.record_previous_owner_stopped(70 * SECOND)
        leases.record_previous_owner_stopped(90 * SECOND)
        self.assertEqual(leases.find_lapse_time("w"), (70 + 18.5) * SECOND)
        leases.record_renewal("w", 80 * SECOND)
        self.assertEqual(leases.find_lapse_time("w"), (80 + 18.5) * SECOND)

    def test_l4_evidence_after_the_horizon_has_no_effect(self):
        leases = self.make_leases()
        leases.record_previous_owner_stopped(500 * SECOND)
        self.assertEqual(leases.find_lapse_time("w"), (160 + 18.5) * SECOND)
