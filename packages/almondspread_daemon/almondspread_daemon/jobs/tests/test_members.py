import unittest
from datetime import timedelta

from almondspread.jobs.messages import AskPermits, PermitsAnswered, WatchUpstream
from almondspread.jobs.scheduler import Scheduler
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History
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
        answer = PermitsAnswered("j", 0, 0, {}, timedelta(0))
        member.record_advice_answer(answer)
        self.assertEqual(member.advice_seconds, 0)
        member.record_advice_answer(answer)

    def test_answer_to_another_request_frees_nothing(self):
        (name,) = self.ask(SHORT)
        member = self.assignments.members.members[name]
        member.record_advice_answer(PermitsAnswered("k", 0, 0, {}, timedelta(0)))
        self.assertEqual(member.advice_seconds, SHORT)

    def list_lost(self, act):
        """Return what the scheduler is told of requests while ``act`` runs."""
        told = []
        handle_report = self.scheduler.handle_report
        self.scheduler.handle_report = lambda report, now: told.append(report)
        act()
        self.scheduler.handle_report = handle_report
        return told

    def test_requests_lost_with_the_link_of_a_member_are_told_at_once(self):
        """Their steps were not asked about again for the 4 s of a request."""
        lost = PermitsAnswered("j", 0, 0, None, timedelta(0))
        for leave in (self.assignments.remove_member, self.rejoin):
            with self.subTest(leave=leave):
                (name,) = self.ask(SHORT)
                member = self.assignments.members.members[name]
                told = self.list_lost(lambda leave=leave, member=member: leave(member))
                self.assertEqual(told, [lost])

    def rejoin(self, member):
        """Have a member come back over another link."""
        self.assignments.add_member(
            Member(member.instance, "domain", 1.0, self.sent.append, timedelta(0))
        )

    def test_all_slots_are_counted(self):
        self.ask(SHORT, 3)
        slots = self.assignments.members.count_advice_slots()
        self.assertEqual(slots, 8 * MAX_ADVICE_REQUESTS - 3)


class RejoiningMemberTest(unittest.TestCase):
    """Guards against upstreams that change hands because a link fell silent."""

    def setUp(self):
        self.scheduler = Scheduler(1, make_configuration())
        self.assignments = Assignments(
            self.scheduler, make_settings(), StoreParts().clock
        )
        entries = []
        for number in range(6):
            upstream = FakeUpstream(f"u{number}", Capacity(1_000, 1_000), History())
            entries.append(make_entry(upstream, number))
        self.scheduler.update_upstreams(entries, timedelta(0))

    def join(self, instance, cores=1.0):
        """Add a member; return the list to which its orders go."""
        orders = []
        self.assignments.add_member(
            Member(instance, "umea", cores, orders.append, timedelta(0))
        )
        return orders

    def list_upstreams(self, instance):
        return set(self.assignments.members.members[instance].upstreams)

    def test_member_that_comes_back_keeps_its_upstreams(self):
        # Its machine is small, so that others would be chosen for its upstreams.
        self.join("back", cores=0.5)
        others = [self.join(f"m{number}") for number in range(2)]
        held = self.list_upstreams("back")
        self.assertEqual(len(held), 2)
        for orders in others:
            orders.clear()
        orders = self.join("back", cores=0.5)
        self.assertEqual(self.list_upstreams("back"), held)
        watched = {each.upstream for each in orders if isinstance(each, WatchUpstream)}
        self.assertEqual(watched, held)
        self.assertEqual(others, [[], []])


if __name__ == "__main__":
    unittest.main()
