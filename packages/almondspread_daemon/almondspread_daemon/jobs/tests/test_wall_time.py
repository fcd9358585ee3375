import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.tests.support import SECOND
from almondspread_daemon.jobs.wall_time import (
    NO_OCCURRENCE_DUE,
    READING_PATIENCE,
    estimate_wall_time,
    measure_offset,
)

HALF_HOUR = timedelta(minutes=30)


class SteppedClock(ManualClock):
    """A clock whose time of day a test moves."""

    step = timedelta(0)

    def now(self):
        return super().now() + self.step


class WallTimeTest(unittest.TestCase):
    def setUp(self):
        self.clock = SteppedClock()
        self.clock.advance(100 * SECOND)
        self.truth = self.clock.now()

    def make_member(self, name, ahead=timedelta(0)):
        member = Member(name, "domain", 1.0, lambda _: None, timedelta(0))
        seconds = (self.truth + ahead).timestamp()
        member.wall_offset = measure_offset(seconds, self.clock.monotonic())
        return member

    def estimate(self, *members, epoch_age=READING_PATIENCE):
        return estimate_wall_time(members, "own", self.clock, epoch_age)

    def test_new_leader_whose_clock_has_jumped_waits_for_others(self):
        """Its first passes had no other clock, and started occurrences early."""
        self.clock.step = HALF_HOUR
        members = []
        for name in ("a", "b"):
            early = self.estimate(*members, epoch_age=READING_PATIENCE / 2)
            self.assertEqual(early, NO_OCCURRENCE_DUE)
            members.append(self.make_member(name))
        known = self.estimate(*members, epoch_age=READING_PATIENCE / 2)
        self.assertEqual(known, self.truth)

    def test_leader_whose_clock_jumps_starts_nothing_too_early(self):
        """Occurrences were due by the leader's own time of day, half an hour early."""
        self.clock.step = HALF_HOUR
        others = [self.make_member("a"), self.make_member("b")]
        self.assertEqual(self.estimate(*others), self.truth)

    def test_minority_of_members_moves_nothing(self):
        members = [self.make_member("a", HALF_HOUR), self.make_member("b")]
        self.assertEqual(self.estimate(*members), self.truth)
        members = [self.make_member("a", -HALF_HOUR), self.make_member("b")]
        self.assertEqual(self.estimate(*members), self.truth)

    def test_estimate_goes_on_between_heartbeats(self):
        members = [self.make_member("a"), self.make_member("b")]
        self.clock.step = -HALF_HOUR
        self.clock.advance(5 * SECOND)
        self.assertEqual(self.estimate(*members), self.truth + 5 * SECOND)

    def test_earlier_of_two_readings_counts(self):
        members = [self.make_member("a", HALF_HOUR)]
        self.assertEqual(self.estimate(*members), self.truth)

    def test_member_that_tells_no_time_is_left_out(self):
        member = self.make_member("a")
        member.wall_offset = None
        self.assertEqual(self.estimate(member), self.truth)


if __name__ == "__main__":
    unittest.main()
