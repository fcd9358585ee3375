import unittest

import attrs

from almondspread_daemon.jobs.tests.support import make_settings


class StrengthTest(unittest.TestCase):
    def test_strength_is_that_of_the_weakest_resource(self):
        """Guards against a small machine that leads a large cell and falls behind."""
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
