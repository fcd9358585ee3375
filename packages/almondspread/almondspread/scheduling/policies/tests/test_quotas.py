import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.quotas import OverQuota, TeamQuotas

TOTAL = Capacity(100, 200, 10)


class TeamQuotasTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.builds(
                    Capacity, st.integers(0, 9), st.integers(0, 9), st.integers(0, 3)
                ),
                st.booleans(),
            ),
            max_size=40,
        )
    )
    def test_equals_a_recount(self, steps):
        ledger = TeamQuotas(TOTAL)
        quota = Capacity(20, 20, 5)
        ledger.set_team("a", quota, 2.0)
        held = []
        for team, size, release in steps:
            if release and held:
                ledger.release(*held.pop(0))
                continue
            used = self.recount(held, team).plus(size)
            allowed = team == "b" or used.fits_in(quota)
            self.assertEqual(ledger.find_exceeded_quota(team, size) is None, allowed)
            if not allowed:
                with self.assertRaises(OverQuota):
                    ledger.commit(team, size)
                continue
            ledger.commit(team, size)
            held.append((team, size))
        for team, weight in (("a", 2.0), ("b", 1.0)):
            used = self.recount(held, team)
            self.assertEqual(ledger.get_usage(team), used)
            parts = (used.cpu_millis / 100, used.memory_mib / 200)
            share = max(*parts, used.accelerators / 10) / weight
            self.assertAlmostEqual(ledger.compute_share(team), share)

    def recount(self, held, team):
        used = Capacity(0, 0, 0)
        for owner, size in held:
            used = used.plus(size) if owner == team else used
        return used

    def test_lowered_quota_keeps_the_committed_capacity(self):
        quotas = TeamQuotas(TOTAL)
        quotas.commit("a", Capacity(50, 50))
        quotas.set_team("a", Capacity(10, 10), 1.0)
        self.assertEqual(quotas.get_usage("a"), Capacity(50, 50))
        self.assertIsNotNone(quotas.find_exceeded_quota("a", Capacity(1, 1)))
        self.assertIsNone(quotas.find_insufficient_quota("a", Capacity(10, 10)))
        self.assertIsNotNone(quotas.find_insufficient_quota("a", Capacity(11, 1)))
        quotas.restore("a", Capacity(1, 1))
        self.assertEqual(quotas.get_usage("a"), Capacity(51, 51))
