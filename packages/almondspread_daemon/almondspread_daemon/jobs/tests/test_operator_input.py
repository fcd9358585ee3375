import unittest
from datetime import timedelta

from expression import Error, Ok

from almondspread.jobs.ports import OperatorInput, StoreUnavailable
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts

# 1,400 queues of 200 bytes, encoded as text, over a link of 10 Mbit/s that other
# answers share.
TRANSFER_TIME = timedelta(seconds=1)
TIMED_OUT = Error(StoreUnavailable("timed out", not_done=False))


class SlowDirectory:
    """Answers after ``TRANSFER_TIME`` if the caller waits that long."""

    def __init__(self, clock):
        self._clock = clock

    async def read_operator_input(self, timeout):
        return await self._transfer(timeout, OperatorInput(None, ()))

    async def wait_for_change(self, wait, timeout):
        return await self._transfer(timeout - wait, True)

    async def _transfer(self, timeout, answer):
        self._clock.advance(min(timeout, TRANSFER_TIME))
        return Ok(answer) if timeout >= TRANSFER_TIME else TIMED_OUT


class OperatorInputTest(unittest.IsolatedAsyncioTestCase):
    """Large configurations reached instances with slow links after many attempts."""

    async def asyncSetUp(self):
        parts = StoreParts()
        directory = SlowDirectory(parts.clock)
        self.access = StoreAccess(parts.store, directory, parts.clock, parts.metrics)

    async def test_large_configuration_is_read_at_the_first_attempt(self):
        self.assertTrue((await self.access.read_operator_input()).is_ok())

    async def test_change_of_a_large_configuration_is_not_missed(self):
        self.assertTrue((await self.access.wait_for_change(SECOND)).is_ok())

    async def test_slow_transfer_does_not_slow_other_reads_down(self):
        before = self.access._read_timeout.timeout
        await self.access.read_operator_input()
        self.assertEqual(self.access._read_timeout.timeout, before)


if __name__ == "__main__":
    unittest.main()
