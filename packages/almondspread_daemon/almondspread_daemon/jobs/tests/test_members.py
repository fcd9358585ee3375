import unittest
from datetime import timedelta

from almondspread.jobs.messages import AskPermits
from almondspread.jobs.scheduler import Scheduler
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.members import MAX_ADVICE_REQUESTS, Member
from almondspread_daemon.jobs.tests.support import StoreParts, make_settings

SHORT, LONG = 0.03, 0.6


class AdviserTest(unittest.TestCase):
    def setUp(self):
        self.scheduler = Scheduler(1, make_configuration())
        self.assignments = Assignments(
            self.scheduler, make_settings(), StoreParts().clock
        )
        self.sent = []
        for number in range(8):
            name = f"m{number}"
            self.assignments.add_member(
                Member(
                    name,
                    "domain",
                    1.0,
                    lambda message, name=name: self.sent.append((name, message)),
                    timedelta(0),
                )
            )

    def ask(self, seconds, times=1):
        """Send requests; return the members that got them, in order."""
        self.sent.clear()
        for _ in range(times):
            self.assignments.send_order(AskPermits("j", 0, 0, ("u",), seconds))
        return [name for name, _ in self.sent]

    def test_short_requests_do_not_queue_behind_long_ones(self):
        """Decisions of 30 ms came after 0.3 s and more while others took 0.6 s."""
        long = self.ask(LONG, 100)
        self.assertEqual(len(long), 6 * MAX_ADVICE_REQUESTS)
        short = self.ask(SHORT)
        self.assertNotIn(short[0], long)

    def test_request_goes_to_the_member_that_is_free_first(self):
        first = self.ask(LONG)
        self.assertEqual(set(first) & set(self.ask(SHORT, 7)), set())

    def test_answered_request_frees_the_member(self):
        (name,) = self.ask(SHORT)
        member = self.assignments.members.members[name]
        member.record_advice_answer()
        self.assertEqual(sum(member.advice_seconds), 0)
        member.record_advice_answer()

    def test_all_slots_are_counted(self):
        self.ask(SHORT, 3)
        slots = self.assignments.members.count_advice_slots()
        self.assertEqual(slots, 8 * MAX_ADVICE_REQUESTS - 3)


if __name__ == "__main__":
    unittest.main()
