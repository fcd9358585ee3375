import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread_platform.clients import (
    MAX_ANSWERED,
    MAX_CLIENTS,
    MIN_OPEN_INTERVAL,
    ClientSet,
)


class FakeClient:
    """A client without connections, which notes that it was closed."""

    is_closed = False

    def close(self):
        assert not self.is_closed
        self.is_closed = True


class ClientSetTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        # Most machines have been up for longer than a process of this test.
        self.clock.advance(timedelta(days=400))
        self.opened = [FakeClient()]
        self.clients = ClientSet(self.opened[0], self.open_client, self.clock)

    def open_client(self):
        self.opened.append(FakeClient())
        return self.opened[-1]

    def answer(self, address):
        """Make a call that is answered; return its client."""
        use = self.clients.begin_call(address)
        self.clients.end_call(use)
        self.clients.record_answer(address, use)
        return use.client

    def lose(self, address):
        """Make a call that is not answered; return whether connections go."""
        use = self.clients.begin_call(address)
        self.clients.end_call(use)
        return self.clients.give_up_connections(address, use)

    def lose_after_pause(self, address):
        self.clock.advance(MIN_OPEN_INTERVAL)
        return self.lose(address)

    def test_only_the_address_without_an_answer_moves(self):
        for address in ("a", "b"):
            self.answer(address)
        self.assertTrue(self.lose("a"))
        self.assertIs(self.answer("a"), self.opened[1])
        self.assertIs(self.answer("b"), self.opened[0])
        self.assertFalse(self.opened[0].is_closed)

    def test_addresses_lost_together_share_one_new_client(self):
        addresses = [str(number) for number in range(300)]
        for address in addresses:
            self.answer(address)
        for address in addresses:
            self.assertTrue(self.lose(address))
        self.assertEqual(len(self.opened), 2)
        self.assertTrue(self.opened[0].is_closed)

    def test_address_that_has_not_answered_moves_no_further(self):
        """A frozen upstream would otherwise cost new connections without end."""
        self.answer("a")
        self.assertTrue(self.lose("a"))
        for _ in range(10):
            self.assertFalse(self.lose_after_pause("a"))
        self.assertEqual(len(self.opened), 2)
        self.answer("a")
        self.assertTrue(self.lose_after_pause("a"))

    def test_call_through_an_earlier_client_tells_nothing_of_the_next(self):
        self.answer("a")
        late = self.clients.begin_call("a")
        self.assertTrue(self.lose("a"))
        self.answer("a")
        self.clock.advance(MIN_OPEN_INTERVAL)
        self.clients.end_call(late)
        self.assertFalse(self.clients.give_up_connections("a", late))
        self.clients.record_answer("a", late)
        self.assertIs(self.answer("a"), self.opened[1])

    def test_late_call_through_a_dropped_client_tells_nothing_either(self):
        self.answer("sound")
        late = self.clients.begin_call("sound")
        for _ in range(2 * MAX_CLIENTS):
            self.answer("a")
            self.assertTrue(self.lose_after_pause("a"))
        current = self.answer("sound")
        self.assertIsNot(current, late.client)
        self.clock.advance(MIN_OPEN_INTERVAL)
        self.clients.end_call(late)
        self.assertFalse(self.clients.give_up_connections("sound", late))
        self.assertIs(self.answer("sound"), current)

    def test_clients_are_opened_no_more_often_than_the_interval(self):
        for _ in range(10):
            self.answer("a")
            self.lose("a")
            self.clock.advance(MIN_OPEN_INTERVAL / 2)
        self.assertEqual(len(self.opened), 1 + 5)

    def test_number_of_clients_is_bounded(self):
        for number in range(3 * MAX_CLIENTS):
            self.answer(f"sound-{number}")
            self.answer("a")
            self.assertTrue(self.lose_after_pause("a"))
        open_now = [client for client in self.opened if not client.is_closed]
        self.assertLessEqual(len(open_now), MAX_CLIENTS)
        for number in range(3 * MAX_CLIENTS):
            self.assertFalse(self.answer(f"sound-{number}").is_closed)

    def test_client_out_of_use_is_closed_after_its_last_call(self):
        self.answer("a")
        long = self.clients.begin_call("a")
        self.assertTrue(self.lose("a"))
        self.assertFalse(self.opened[0].is_closed)
        self.clients.end_call(long)
        self.assertTrue(self.opened[0].is_closed)

    def test_remembered_addresses_are_bounded(self):
        for number in range(2 * MAX_ANSWERED):
            self.answer(str(number))
        use = self.clients.begin_call("a")
        self.assertLessEqual(len(use.answered), MAX_ANSWERED)


if __name__ == "__main__":
    unittest.main()
