"""Guards against lost answers that delay a configuration beyond the promise."""

import asyncio
import unittest
from datetime import timedelta

import attrs
from expression import Error, Ok

from almondspread.jobs.ports import OperatorInput, StoreUnavailable
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.operations import OperationsFeed
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts, run_ready_tasks

# The promise, of which a fifth is to spare.
TIME_TO_APPLY = 0.8 * 2 * SECOND
NO_ANSWER = Error(StoreUnavailable("timed out", not_done=False))


class SilentDirectory:
    """A directory that answers at once, or not at all on a connection gone silent.

    The first wait after ``begin`` and the reading after it meet such connections.
    """

    def __init__(self, clock):
        self.version = 1
        self.silent_waits = 0
        self.silent_reads = 0
        self._clock = clock
        self._read_version = 0

    def begin(self, silent_waits, silent_reads):
        self.version += 1
        self.silent_waits, self.silent_reads = silent_waits, silent_reads

    async def read_operator_input(self, timeout):
        if self.silent_reads:
            self.silent_reads -= 1
            self._clock.advance(timeout)
            return NO_ANSWER
        self._read_version = self.version
        configuration = attrs.evolve(make_configuration(), version=self.version)
        return Ok(OperatorInput(configuration))

    async def wait_for_change(self, wait, timeout):
        while self.version == self._read_version:
            await asyncio.sleep(0)
        if not self.silent_waits:
            return Ok(True)
        self.silent_waits -= 1
        self._clock.advance(timeout)
        return NO_ANSWER


class TimeToApplyTest(unittest.IsolatedAsyncioTestCase):
    async def measure(self, silent_waits, silent_reads):
        """Return how long a change takes that falls on silent connections."""
        parts = StoreParts()
        directory = SilentDirectory(parts.clock)
        access = StoreAccess(parts.store, directory, parts.clock, parts.metrics)
        applied_at = {}

        def apply(read):
            applied_at[read.configuration.version] = parts.clock.monotonic()

        feed = OperationsFeed(access, parts.clock, apply)
        running = asyncio.create_task(feed.run())
        await run_ready_tasks()
        changed_at = parts.clock.monotonic()
        directory.begin(silent_waits, silent_reads)
        while directory.version not in applied_at:
            await asyncio.sleep(0)
        running.cancel()
        return applied_at[directory.version] - changed_at

    async def test_configuration_is_in_time_after_a_connection_has_fallen_silent(self):
        self.assertLessEqual(await self.measure(1, 0), TIME_TO_APPLY)

    async def test_configuration_is_in_time_after_the_next_one_is_silent_as_well(self):
        self.assertLessEqual(await self.measure(1, 1), TIME_TO_APPLY)

    async def test_change_is_applied_at_once_where_nothing_is_lost(self):
        self.assertEqual(await self.measure(0, 0), timedelta(0))


if __name__ == "__main__":
    unittest.main()
