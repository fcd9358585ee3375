"""Shares of a service by weight and dominant resource."""

import unittest

from almondspread.jobs.fair_shares import Demand, compute_shares, count_within_share
from almondspread.resources.capacity import Capacity

WHOLE = Capacity(10_000, 10_000, 10)


def compute(*demands):
    shares = compute_shares(WHOLE, [Demand(*each) for each in demands])
    return {name: round(share, 3) for name, share in shares.items()}


class FairSharesTest(unittest.TestCase):
    def test_nothing_is_bounded_while_all_demands_fit(self):
        """Guards against shares that hold back work in a cell with room."""
        found = compute(
            ("a", 1.0, Capacity(6_000, 100)), ("b", 9.0, Capacity(4_000, 100))
        )
        self.assertEqual(found, {"a": 0.6, "b": 5.4})
        found = compute(
            ("a", 1.0, Capacity(6_000, 100)), ("b", 9.0, Capacity(3_000, 100))
        )
        self.assertEqual(found, {})

    def test_full_service_is_shared_by_weight(self):
        """Guards against equal shares of unequal weights."""
        large = Capacity(90_000, 1_000)
        found = compute(("a", 1.0, large), ("b", 3.0, large))
        self.assertEqual(found, {"a": 0.25, "b": 0.75})

    def test_share_that_is_not_wanted_is_lent(self):
        """Guards against capacity kept for a workspace that has little work."""
        large = Capacity(90_000, 1_000)
        small = Capacity(1_000, 100)
        found = compute(("a", 1.0, large), ("b", 1.0, large), ("c", 8.0, small))
        self.assertEqual((found["a"], found["b"]), (0.45, 0.45))

    def test_dominant_resource_decides(self):
        """Guards against shares of processor alone."""
        found = compute(
            ("a", 1.0, Capacity(10_000, 40_000)), ("b", 1.0, Capacity(40_000, 10_000))
        )
        self.assertEqual(found, {"a": 0.8, "b": 0.8})

    def test_short_resource_bounds_only_those_that_use_it(self):
        """Guards against work without accelerators held back by a lack of these."""
        found = compute(
            ("a", 1.0, Capacity(100, 100, 30)),
            ("b", 1.0, Capacity(100, 100, 30)),
            ("c", 1.0, Capacity(9_000, 100)),
        )
        self.assertEqual(found, {"a": 0.5, "b": 0.5})

    def test_resource_that_a_service_lacks_has_no_share(self):
        """Guards against a division by a capacity of 0."""
        shares = compute_shares(
            Capacity(0, 0), [Demand("a", 1.0, Capacity(1_000, 1, 1))]
        )
        self.assertEqual(shares, {})

    def test_tasks_are_counted_until_the_share_is_reached(self):
        """Guards against a burst that takes more than its share in one pass."""
        claim = Capacity(1_000, 100)
        for used, expected in ((0, 5), (4_500, 1), (5_000, 0), (9_000, 0)):
            count = count_within_share(claim, Capacity(used, 0), WHOLE, 0.5)
            self.assertEqual(count, expected)


if __name__ == "__main__":
    unittest.main()
