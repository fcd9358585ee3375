import unittest

from platform_standin.machine_server import MachineFleet, StandinMachine, Wave


class MachineFleetTest(unittest.TestCase):
    """The stand-in of the machine service fences orders and detects violations."""

    def setUp(self):
        self.fleet = MachineFleet()
        self.down = set()
        for name in ("a", "b", "c"):
            self.add_machine(name)
        self.fleet.waves[1] = Wave(("a", "b"), 1)

    def add_machine(self, name):
        self.fleet.machines[name] = StandinMachine(
            name,
            lambda: f"upstream-{name}",
            lambda: name not in self.down,
            lambda: self.down.add(name),
        )

    def test_order_is_carried_out_once(self):
        for _ in range(3):
            self.assertEqual(self.fleet.maintain("a", 1, "one", 5), "")
        self.assertEqual(self.fleet.maintained, {("a", 1)})
        self.assertEqual(self.fleet.violations, [])

    def test_order_with_lower_token_is_fenced(self):
        self.fleet.maintain("a", 1, "one", 5)
        self.assertEqual(self.fleet.maintain("a", 1, "two", 4), "fence")

    def test_two_holders_with_one_token_are_a_violation(self):
        self.fleet.maintain("a", 1, "one", 5)
        self.fleet.maintain("a", 1, "two", 5)
        self.assertIn("two holders", self.fleet.violations[0])

    def test_more_machines_down_than_allowed_are_a_violation(self):
        self.fleet.maintain("a", 1, "one", 5)
        self.fleet.maintain("b", 1, "one", 5)
        self.assertIn("more than 1", self.fleet.violations[0])

    def test_next_machine_may_go_down_once_the_first_is_up(self):
        self.fleet.maintain("a", 1, "one", 5)
        self.down.clear()
        self.fleet.maintain("b", 1, "one", 5)
        self.assertEqual(self.fleet.violations, [])

    def test_wave_reported_complete_too_early_is_a_violation(self):
        self.fleet.maintain("a", 1, "one", 5)
        self.fleet.check_completed(1)
        self.assertEqual(len(self.fleet.violations), 1)

    def test_order_outside_its_wave_or_for_a_down_machine_is_rejected(self):
        self.assertEqual(self.fleet.maintain("c", 1, "one", 5), "wave")
        self.down.add("a")
        self.assertEqual(self.fleet.maintain("a", 1, "one", 5), "busy")


if __name__ == "__main__":
    unittest.main()
