import unittest
from datetime import timedelta

from almondspread.requests import MinionHealth, eject_outlier
from almondspread.requests.health import BASE_EJECTION_TIME, PROBATION_SUCCESSES

NOW = timedelta(seconds=100)


class TestHealth(unittest.TestCase):
    def setUp(self):
        self.all = [MinionHealth() for _ in range(6)]

    def fail(self, health, times=10):
        ejected = False
        for _ in range(times):
            health.record_failure()
            ejected = ejected or eject_outlier(health, self.all, NOW)
        return ejected

    def test_single_failing_minion_is_ejected_then_on_probation(self):
        failing = self.all[0]
        self.assertTrue(self.fail(failing))
        self.assertFalse(failing.admits_request(0, NOW))
        later = NOW + BASE_EJECTION_TIME
        self.assertTrue(failing.admits_request(0, later))
        self.assertFalse(failing.admits_request(1, later))
        for _ in range(PROBATION_SUCCESSES):
            failing.record_success("lookup", 0.01)
        self.assertTrue(failing.admits_request(5, later))

    def test_ejections_are_bounded_to_a_fraction(self):
        ejected = [self.fail(health) for health in self.all[:3]]
        self.assertEqual(ejected, [True, True, False])

    def test_no_minion_is_ejected_if_all_fail(self):
        for _ in range(20):
            for health in self.all:
                health.record_failure()
        for health in self.all:
            self.assertFalse(eject_outlier(health, self.all, NOW))

    def test_few_failures_do_not_eject(self):
        self.assertFalse(self.fail(self.all[0], times=2))

    def test_each_ejection_is_longer(self):
        failing = self.all[0]
        failing.eject(NOW)
        first = failing.ejected_until
        failing.eject(NOW)
        self.assertGreater(failing.ejected_until, first)


if __name__ == "__main__":
    unittest.main()
