import asyncio
import tempfile
import unittest
from pathlib import Path

from almondspread_standin.soak.command import ROOT
from almondspread_standin.soak.soak import Soak, SoakPlan

SECONDS = 6.0
# Seeds that once broke a promise, each with its cause.
REGRESSIONS = {
    # A leader began with leave to start jobs beyond its last commit.
    3: "test_new_job_waits_for_the_commit_also_while_all_count_as_inherited",
}


class SoakTest(unittest.TestCase):
    def run_soak(self, seed, seconds=SECONDS):
        with tempfile.TemporaryDirectory() as folder:
            plan = SoakPlan(seed, seconds, instances=3, upstreams=4)
            return asyncio.run(Soak(plan, ROOT, Path(folder)).run())

    def test_real_processes_keep_their_promises_under_faults(self):
        result = self.run_soak(1)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.completed, 0)
        self.assertGreater(result.faults, 0)

    def test_seeds_that_once_failed_keep_their_promises(self):
        for seed in REGRESSIONS:
            with self.subTest(seed=seed):
                self.assertEqual(self.run_soak(seed, 12.0).violations, [])


if __name__ == "__main__":
    unittest.main()
