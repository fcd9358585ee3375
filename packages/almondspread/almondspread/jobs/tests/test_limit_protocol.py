"""Searches the interleavings of two leaders for a workspace above its limit."""

import unittest

from almondspread.testing.limit_protocol import (
    LimitProtection,
    LimitProtocol,
    LimitWorld,
)
from almondspread.testing.state_search import search_states

MAX_STATES = 400_000


class LimitProtocolTest(unittest.TestCase):
    def search(self, *removed):
        protocol = LimitProtocol(frozenset(removed))
        return search_states(
            LimitWorld(), protocol.list_steps, lambda world: world.violation, MAX_STATES
        )

    def test_no_order_of_steps_exceeds_the_limit(self):
        """Guards against a count that two leaders together can exceed."""
        result = self.search()
        self.assertEqual(result.violation, "", result.trace)
        self.assertGreater(result.states, 10_000)

    def test_each_protection_is_needed(self):
        """Guards against a model that finds nothing."""
        for protection in LimitProtection:
            with self.subTest(protection=protection):
                self.assertTrue(self.search(protection).violation)


if __name__ == "__main__":
    unittest.main()
