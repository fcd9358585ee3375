import asyncio
import unittest

import attrs
from expression import Error, Ok

from almondspread.jobs.apply_budget import ApplyBudget
from almondspread.jobs.operator_rows import OperatorRow, OperatorRowStates
from almondspread.jobs.ports import HistoryGone, OperatorInput, StoreUnavailable
from almondspread.jobs.waves import MaintenanceWave
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.operations import NO_WAIT, OperationsFeed
from almondspread_daemon.jobs.store_access import CALL_ABANDONED
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts, make_instance

BUDGET = ApplyBudget()
UNAVAILABLE = Error(StoreUnavailable("status 503", not_done=True, refused=True))
WAVE = MaintenanceWave(1, ("m",), 60 * SECOND, 1)


def make_operations(version, *waves):
    return OperatorInput(attrs.evolve(make_configuration(), version=version), waves)


def make_states(version):
    row = OperatorRow("config", version, b"")
    return OperatorRowStates((row,), version)


NO_CHANGE = OperatorRowStates((), 1)


class ScriptedStore:
    """Answers reads and waits from two lists, and then hangs."""

    def __init__(self, reads, waits):
        self.reads = list(reads)
        self.waits = list(waits)
        self.waited = []

    async def read_operator_rows(self):
        await asyncio.sleep(0)
        return await self._next(self.reads)

    async def follow_operator_rows(self, after, wait):
        self.waited.append((after, wait))
        await asyncio.sleep(0)
        return await self._next(self.waits)

    async def _next(self, answers):
        if not answers:
            await asyncio.Event().wait()
        return answers.pop(0)


class OperationsFeedTest(unittest.IsolatedAsyncioTestCase):
    async def feed(self, reads, waits):
        """Return the versions passed on from readings and from the feed, and the store.

        A feed that tells of no change counts as version 0.
        """
        store = ScriptedStore(reads, waits)
        read, changed = [], []
        parts = StoreParts()
        feed = OperationsFeed(store, parts.clock, BUDGET, read.append, changed.append)
        running = asyncio.create_task(feed.run())
        for _ in range(50):
            await asyncio.sleep(0)
        running.cancel()
        versions = [states.rows[0].version for states in read]
        changes = [states.rows[0].version if states.rows else 0 for states in changed]
        return versions, changes, store

    async def test_each_change_is_passed_on(self):
        reads = [Ok(make_states(1))]
        waits = [Ok(NO_CHANGE), Ok(make_states(4)), Ok(make_states(9))]
        versions, changes, store = await self.feed(reads, waits)
        self.assertEqual((versions, changes), ([1], [0, 4, 9]))
        self.assertEqual([after for after, _ in store.waited], [1, 1, 4, 9])

    async def test_everything_is_read_again_after_lost_history(self):
        reads = [Ok(make_states(1)), UNAVAILABLE, Ok(make_states(2))]
        versions, changes, _ = await self.feed(reads, [Error(HistoryGone())])
        self.assertEqual((versions, changes), ([1, 2], []))

    async def test_changes_are_asked_for_without_a_wait_after_a_failure(self):
        """A change that a lost answer told must not wait for the next change."""
        for failure in (CALL_ABANDONED, UNAVAILABLE.error):
            with self.subTest(failure=failure):
                waits = [Error(failure), Ok(make_states(2))]
                _, changes, store = await self.feed([Ok(make_states(1))], waits)
                self.assertEqual(changes, [2])
                wait = BUDGET.wait
                self.assertEqual(store.waited, [(1, wait), (1, NO_WAIT), (2, wait)])

    async def test_all_rows_are_read_if_only_the_feed_is_silent(self):
        """An instance whose feed was silent did not know a route after 2.03 s.

        No other instance could tell it, as the store turned all of them away.
        """
        reads = [Ok(make_states(1)), Ok(make_states(2)), Ok(make_states(3))]
        versions, _, store = await self.feed(reads, [Error(CALL_ABANDONED)] * 4)
        self.assertEqual(versions, [1, 2, 3])
        wait = BUDGET.wait
        expected = [(1, wait), (1, NO_WAIT), (2, wait), (2, NO_WAIT), (3, wait)]
        self.assertEqual(store.waited, expected)

    async def test_answer_of_an_older_version_does_not_set_the_feed_back(self):
        waits = [Ok(make_states(7)), Ok(make_states(5))]
        _, _, store = await self.feed([Ok(make_states(6))], waits)
        self.assertEqual([after for after, _ in store.waited], [6, 7, 7])


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
