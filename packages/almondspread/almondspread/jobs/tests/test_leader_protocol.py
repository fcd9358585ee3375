import unittest

from almondspread.testing.leader_protocol import LeaderProtocol
from almondspread.testing.protocol_state import Protection, World
from almondspread.testing.state_search import search_states

MAX_STATES = 200_000


class LeaderProtocolTest(unittest.TestCase):
    def search(self, *removed):
        protocol = LeaderProtocol(frozenset(removed))
        return search_states(
            World(), protocol.list_steps, lambda world: world.violation, MAX_STATES
        )

    def test_no_order_of_steps_runs_the_task_twice(self):
        result = self.search()
        self.assertEqual(result.violation, "", result.trace)
        self.assertGreater(result.states, 50_000)

    def test_each_protection_is_needed(self):
        for protection in Protection:
            with self.subTest(protection=protection):
                self.assertTrue(self.search(protection).violation)


if __name__ == "__main__":
    unittest.main()
