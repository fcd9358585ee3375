import asyncio
import unittest

from almondspread_standin.measures.reports import measure_reports


class ReportsTest(unittest.TestCase):
    def test_one_appender_spares_rows_and_conflicts(self):
        result = asyncio.run(measure_reports(6, 1, 40, 3.0))
        shared, alone = result["shared"], result["each_alone"]
        self.assertEqual(shared["refused_per_second"], 0)
        self.assertGreater(alone["refused_per_second"], 0)
        self.assertGreater(shared["row_writes_per_second"], 0)
        self.assertLess(
            2 * shared["row_writes_per_second"], alone["row_writes_per_second"]
        )


if __name__ == "__main__":
    unittest.main()
