import unittest

import attrs

from almondspread_daemon.jobs.tests.support import make_settings


class StrengthTest(unittest.TestCase):
    def test_weakest_part_of_a_machine_decides_how_fit_it_is_to_lead(self):
        """Replays the grown site, where a small machine led and fell behind."""
        strong = attrs.evolve(make_settings(), cores=2.15, link_mbps=200.0)
        small = attrs.evolve(make_settings(), cores=0.516, link_mbps=10.0)
        usual = attrs.evolve(make_settings(), cores=1.07, link_mbps=1_000.0)
        self.assertEqual(strong.strength, 1.0)
        self.assertEqual(usual.strength, 1.0)
        self.assertAlmostEqual(small.strength, 0.1)
        self.assertEqual(strong.claim_delay.total_seconds(), 0)
        self.assertGreater(small.claim_delay.total_seconds(), 0.5)


if __name__ == "__main__":
    unittest.main()
