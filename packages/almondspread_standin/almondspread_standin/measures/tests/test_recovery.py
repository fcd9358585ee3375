import unittest

from almondspread_standin.measures.recovery import measure_recovery


class RecoveryMeasureTest(unittest.IsolatedAsyncioTestCase):
    async def test_both_ways_rebuild_the_same_state(self):
        result = await measure_recovery(100, 50, 30, 0.0, seed=3)
        self.assertTrue(result["recovery_equal"])
        self.assertGreater(result["recovery_snapshot_bytes"], 0)
