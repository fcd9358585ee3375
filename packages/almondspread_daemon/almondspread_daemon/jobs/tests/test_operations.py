import asyncio
import unittest

import attrs
from expression import Error, Ok

from almondspread.jobs.maintenance import MaintenanceWave
from almondspread.jobs.ports import HistoryGone, OperatorInput, StoreUnavailable
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.operations import CHANGE_WAIT_TIMEOUT, OperationsFeed
from almondspread_daemon.jobs.store_access import CALL_ABANDONED
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts, make_instance

UNAVAILABLE = Error(StoreUnavailable("status 503", not_done=True, refused=True))
WAVE = MaintenanceWave(1, ("m",), 60 * SECOND, 1)


def make_operations(version, *waves):
    return OperatorInput(attrs.evolve(make_configuration(), version=version), waves)


class ScriptedStore:
    """Answers reads and waits from two lists, and then hangs."""

    def __init__(self, reads, waits):
        self.reads = list(reads)
        self.waits = list(waits)
        self.wait_timeouts = []

    async def read_operator_input(self):
        await asyncio.sleep(0)
        return await self._next(self.reads)

    async def wait_for_change(self, wait):
        self.wait_timeouts.append(wait)
        await asyncio.sleep(0)
        return await self._next(self.waits)

    async def _next(self, answers):
        if not answers:
            await asyncio.Event().wait()
        return answers.pop(0)


class OperationsFeedTest(unittest.IsolatedAsyncioTestCase):
    async def feed(self, reads, waits):
        """Return the versions passed to the handler, and the store."""
        store = ScriptedStore(reads, waits)
        handled = []
        parts = StoreParts()
        feed = OperationsFeed(store, parts.clock, handled.append)
        running = asyncio.create_task(feed.run())
        for _ in range(50):
            await asyncio.sleep(0)
        running.cancel()
        return [each.configuration.version for each in handled], store

    async def test_each_change_is_read(self):
        reads = [Ok(make_operations(1)), Ok(make_operations(4))]
        versions, _ = await self.feed(reads, [Ok(False), Ok(True)])
        self.assertEqual(versions, [1, 4])

    async def test_everything_is_read_again_after_a_failed_wait(self):
        for failure in (HistoryGone(), CALL_ABANDONED, UNAVAILABLE.error):
            with self.subTest(failure=failure):
                reads = [Ok(make_operations(1)), UNAVAILABLE, Ok(make_operations(2))]
                versions, _ = await self.feed(reads, [Error(failure)])
                self.assertEqual(versions, [1, 2])

    async def test_wait_is_no_longer_than_a_change_may_take_to_apply(self):
        """On a connection that hangs, only the timeout ends a wait."""
        _, store = await self.feed([Ok(make_operations(1))], [Ok(False)] * 3)
        self.assertEqual(set(store.wait_timeouts), {CHANGE_WAIT_TIMEOUT})
        self.assertLessEqual(CHANGE_WAIT_TIMEOUT, SECOND)


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        parts = StoreParts()
        self.instance = make_instance(parts, parts.access)

    def apply(self, operations):
        self.instance._apply_operations(operations)
        configuration = self.instance.job_service.configuration
        return configuration.version if configuration is not None else None

    async def test_older_configuration_is_ignored(self):
        for version, in_force in ((5, 5), (3, 5), (5, 5), (9, 9), (8, 9)):
            with self.subTest(version=version):
                self.assertEqual(self.apply(make_operations(version)), in_force)

    async def test_unreadable_configuration_row_is_ignored(self):
        self.apply(make_operations(5))
        self.assertEqual(self.apply(OperatorInput(None)), 5)

    async def test_waves_are_kept_until_this_instance_leads(self):
        self.apply(make_operations(5, WAVE))
        self.assertEqual(self.instance._waves, (WAVE,))


if __name__ == "__main__":
    unittest.main()
