import asyncio
import unittest

from almondspread_standin.measures.reports import measure_reports


class ReportsTest(unittest.TestCase):
    def test_one_appender_spares_rows(self):
        result = asyncio.run(measure_reports(24, 1, 60, 2.0))
        shared, alone = result["shared"], result["each_alone"]
        self.assertEqual(shared["refused_per_second"], 0)
        self.assertGreater(shared["row_writes_per_second"], 0)
        self.assertLess(
            10 * shared["row_writes_per_second"], alone["row_writes_per_second"]
        )


if __name__ == "__main__":
    unittest.main()
