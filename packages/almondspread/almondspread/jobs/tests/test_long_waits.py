import unittest

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.long_waits import MAX_TOLD_AT_ONCE, LongWaits
from almondspread.jobs.tests.cells import SECOND
from almondspread.jobs.wait_reasons import DelayCause, WaitReason


def make_reason(job, cause=DelayCause.NO_ROOM):
    return WaitReason(job, 0, 0, 1, cause)


class LongWaitsTest(unittest.TestCase):
    def setUp(self):
        self.waits = LongWaits()

    def choose(self, reasons, at):
        """Return the jobs that are told of at a second."""
        found = self.waits.choose(reasons, at * SECOND)
        return [wait.reason.job for wait in found]

    def test_lines_of_a_full_cell_are_bounded_and_take_turns(self):
        reasons = [make_reason(f"j{number}") for number in range(20)]
        told = [self.choose(reasons, at) for at in range(2, 7)]
        self.assertTrue(all(len(jobs) <= MAX_TOLD_AT_ONCE for jobs in told))
        self.assertEqual(sorted(sum(told, [])), sorted(r.job for r in reasons))

    def test_held_step_is_told_of_before_the_steps_that_lack_room(self):
        """Guards against a full cell that hides the few steps that are held."""
        reasons = [make_reason(f"j{number}") for number in range(20)]
        reasons.append(make_reason("held", HoldCause.UNSEEN_UPSTREAM))
        self.choose(reasons, 0)
        self.assertEqual(self.choose(reasons, 2)[0], "held")

    def test_wait_goes_on_when_its_cause_changes_and_begins_anew_after_a_start(self):
        self.choose([make_reason("j")], 0)
        changed = [make_reason("j", DelayCause.NO_PERMITS)]
        (wait,) = self.waits.choose(changed, 3 * SECOND)
        self.assertEqual(wait.waited, 3 * SECOND)
        self.choose([], 4)
        self.assertEqual(self.choose([make_reason("j")], 5), [])


if __name__ == "__main__":
    unittest.main()
