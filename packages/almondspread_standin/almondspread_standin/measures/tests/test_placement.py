import json
import unittest

from click.testing import CliRunner

from almondspread_standin.measures import measure


class MeasurePlacementTest(unittest.TestCase):
    def test_decides_as_the_full_scan_does(self):
        arguments = ["placement", "--workers", "12", "--tasks", "1500", "--no-slopes"]
        outcome = CliRunner().invoke(measure, arguments, catch_exceptions=False)
        result = json.loads(outcome.output.splitlines()[-1])
        self.assertTrue(result["same_as_baseline"])
        self.assertEqual(result["overcommitted"], 0)
        self.assertGreater(result["placed"], 500)
        self.assertGreater(result["deferred"], 0)
