import unittest
from datetime import timedelta

from expression import Error, Ok

from almondspread.jobs.operator_rows import OperatorRow, OperatorRowStates
from almondspread.jobs.ports import StoreUnavailable
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts

# 1,400 queues of 200 bytes, encoded as text, over a link of 10 Mbit/s that other
# answers share.
TRANSFER_TIME = timedelta(seconds=1)
LARGE = OperatorRowStates((OperatorRow("config", 3, bytes(280_000)),), 3)
TIMED_OUT = Error(StoreUnavailable("timed out", not_done=False))


class SlowDirectory:
    """Begins its answers at once, and completes them after ``TRANSFER_TIME``.

    It fails if the caller does not wait that long.
    """

    def __init__(self, clock):
        self._clock = clock

    async def read_operator_rows(self, times):
        return await self._transfer(times.whole)

    async def follow_operator_rows(self, after, wait, times):
        return await self._transfer(times.whole - wait)

    async def _transfer(self, timeout):
        self._clock.advance(min(timeout, TRANSFER_TIME))
        return Ok(LARGE) if timeout >= TRANSFER_TIME else TIMED_OUT


class OperatorInputTest(unittest.IsolatedAsyncioTestCase):
    """Large configurations reached instances with slow links after many attempts."""

    async def asyncSetUp(self):
        parts = StoreParts()
        directory = SlowDirectory(parts.clock)
        self.access = StoreAccess(parts.store, directory, parts.clock, parts.metrics)

    async def test_large_configuration_is_read_at_the_first_attempt(self):
        self.assertTrue((await self.access.read_operator_rows()).is_ok())

    async def test_change_of_a_large_configuration_is_not_missed(self):
        self.assertTrue((await self.access.follow_operator_rows(2, SECOND)).is_ok())

    async def test_slow_transfer_does_not_slow_other_reads_down(self):
        before = self.access._read_timeout.timeout
        await self.access.read_operator_rows()
        self.assertEqual(self.access._read_timeout.timeout, before)

    async def test_slow_transfer_does_not_delay_the_detection_of_lost_answers(self):
        before = self.access._begin_timeout.timeout
        await self.access.read_operator_rows()
        await self.access.follow_operator_rows(2, SECOND)
        self.assertEqual(self.access._begin_timeout.timeout, before)


if __name__ == "__main__":
    unittest.main()
