import itertools
import math
import unittest

from almondspread_standin.soak.calm import (
    Disturbance,
    compute_deadline,
    find_calm_start,
)


def is_lost_by_rule(now, last_end, faults, room_since):
    """Return whether the rule calls a task lost, for whole seconds up to ``now``.

    The three seconds without a run begin six seconds after the last run or later, and
    no fault touches these or the four seconds before them.
    """
    for begin in range(now - 2):
        touched = any(fault.ended > begin - 4 for fault in faults)
        is_late = begin >= last_end + 6 and begin >= room_since
        if is_late and not touched:
            return True
    return False


class DeadlineTest(unittest.TestCase):
    """Guards against bounds that are not those of the rule LOST."""

    def test_task_is_lost_exactly_when_the_rule_says_so(self):
        times = range(8, 20)
        for last_end, ended, room_since, now in itertools.product(times, repeat=4):
            now += 8
            faults = [Disturbance("cut", 2, 5), Disturbance("kill", 5, ended)]
            calm_since = find_calm_start(faults)
            deadline = compute_deadline(last_end, calm_since, room_since)
            by_rule = is_lost_by_rule(now, last_end, faults, room_since)
            self.assertEqual(now >= deadline, by_rule, (last_end, ended, room_since))

    def test_task_is_not_lost_while_a_fault_is_under_way(self):
        calm_since = find_calm_start([Disturbance("kill", 1, 2), Disturbance("cut", 1)])
        self.assertEqual(compute_deadline(0, calm_since, 0), math.inf)

    def test_task_is_not_lost_without_room(self):
        self.assertEqual(compute_deadline(0, 0, math.inf), math.inf)

    def test_cell_without_faults_was_always_calm(self):
        self.assertEqual(compute_deadline(10, find_calm_start([]), -math.inf), 19)


if __name__ == "__main__":
    unittest.main()
