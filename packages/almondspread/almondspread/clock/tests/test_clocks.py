import time
import unittest
from datetime import timedelta
from unittest.mock import patch

from almondspread.clock import SystemClock

SUSPENDED = 5.0


class SystemClockTest(unittest.TestCase):
    @unittest.skipUnless(hasattr(time, "CLOCK_BOOTTIME"), "needs CLOCK_BOOTTIME")
    def test_time_of_a_suspended_machine_counts(self):
        """A leader that was suspended for 5 s went on under its lease of 1.2 s."""
        read_clock = time.clock_gettime

        def read_after_suspension(clock):
            passed = SUSPENDED if clock == time.CLOCK_BOOTTIME else 0.0
            return read_clock(clock) + passed

        clock = SystemClock()
        before = clock.monotonic()
        with patch("time.clock_gettime", read_after_suspension):
            passed = clock.monotonic() - before
        self.assertGreaterEqual(passed, timedelta(seconds=SUSPENDED))

    def test_time_never_goes_back(self):
        clock = SystemClock()
        readings = [clock.monotonic() for _ in range(100)]
        self.assertEqual(readings, sorted(readings))


if __name__ == "__main__":
    unittest.main()
