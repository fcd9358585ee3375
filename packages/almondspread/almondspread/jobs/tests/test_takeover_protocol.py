import unittest

from almondspread.testing.state_search import search_states
from almondspread.testing.takeover_protocol import TakeoverProtocol
from almondspread.testing.takeover_state import TakeoverProtection, make_world

# docs/design/takeover.md tells what was searched for the others, in larger worlds.
NEEDED_BY_ONE_TAKEOVER = (
    TakeoverProtection.FENCING,
    TakeoverProtection.CONDITIONAL_COMMIT,
    TakeoverProtection.COUNT_FROM_ARRIVAL,
    TakeoverProtection.COUNT_UNTIL_EXPIRY,
    TakeoverProtection.COUNT_ENDS,
    TakeoverProtection.NOTHING_AFTER_TELLING,
    TakeoverProtection.WAIT_WITHOUT_RECORD,
)
MAX_STATES = 50_000


class TakeoverProtocolTest(unittest.TestCase):
    def search(self, *removed, returns=0):
        protocol = TakeoverProtocol(frozenset(removed), max_epoch=2)
        return search_states(
            make_world((0, 1), returns=returns),
            protocol.list_steps,
            lambda world: world.violation,
            MAX_STATES,
        )

    def test_no_order_of_steps_of_a_takeover_runs_the_task_twice(self):
        result = self.search()
        self.assertEqual(result.violation, "", result.trace)
        self.assertGreater(result.states, 8_000)

    def test_each_protection_of_a_takeover_is_needed(self):
        for protection in NEEDED_BY_ONE_TAKEOVER:
            with self.subTest(protection=protection):
                self.assertTrue(self.search(protection).violation)

    def test_superseded_leader_gives_orders_to_an_executor_that_returns(self):
        result = self.search(TakeoverProtection.OWN_LEADER_ONLY, returns=1)
        self.assertTrue(result.violation)


if __name__ == "__main__":
    unittest.main()
