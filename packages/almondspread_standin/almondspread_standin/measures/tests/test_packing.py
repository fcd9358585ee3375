import json
import unittest

from click.testing import CliRunner

from almondspread_standin.measures import measure


class MeasurePackingTest(unittest.TestCase):
    def test_starts_all_and_urgent_work_at_once(self):
        arguments = ["packing", "--deployment", "norrland", "--load", "0.4"]
        outcome = CliRunner().invoke(measure, arguments, catch_exceptions=False)
        result = json.loads(outcome.output.splitlines()[-1])
        self.assertEqual((result["overcommitted"], result["unstarted"]), (0, 0))
        self.assertLess(result["urgent_start_p99_s"], 2.4)
        self.assertLessEqual(result["packing"], 1.0)
        self.assertGreater(result["wait_p99_s"]["gang"], 0)
        kinds = ["batch", "gang", "service", "urgent"]
        for prefix in ("", "baseline_", "baseline_skipping_"):
            self.assertEqual(sorted(result[f"{prefix}wait_p99_s"]), kinds)
