"""Guards against lost answers that delay a configuration beyond the promise."""

import asyncio
import unittest
from datetime import timedelta

from expression import Error, Ok

from almondspread.jobs.apply_budget import ApplyBudget
from almondspread.jobs.operator_rows import OperatorRow, OperatorRowStates
from almondspread.jobs.ports import HistoryGone, StoreUnavailable
from almondspread_daemon.jobs.operations import OperationsFeed
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.support import SECOND, StoreParts, run_ready_tasks

# The promises of the platform's smaller and larger deployments.
LIMITS = (2 * SECOND, 4 * SECOND)
SPARE_SHARE = 0.2
NO_ANSWER = Error(StoreUnavailable("timed out", not_done=False))
REFUSED = Error(StoreUnavailable("status 503", not_done=True, refused=True))
GONE = Error(HistoryGone())
SILENT, LOST = "silent", "lost"


class FailingDirectory:
    """A directory that answers at once, but for the calls that ``troubles`` name.

    These calls follow the next change: on a ``SILENT`` or ``LOST`` one the caller waits
    in vain, and any other trouble is its answer.
    """

    def __init__(self, clock):
        self.version = 1
        self.troubles = []
        self._clock = clock
        self._told = 0

    def change(self, troubles):
        self.troubles = list(troubles)
        self.version += 1

    def _answer(self, times):
        if self.troubles:
            trouble = self.troubles.pop(0)
            if trouble not in (SILENT, LOST):
                return trouble
            self._clock.advance(times.begins)
            return NO_ANSWER
        self._told = self.version
        row = OperatorRow("config", self.version, b"")
        return Ok(OperatorRowStates((row,), self.version))

    async def read_operator_rows(self, times):
        await asyncio.sleep(0)
        return self._answer(times)

    async def follow_operator_rows(self, after, wait, times):
        await asyncio.sleep(0)
        while self.version == self._told and wait:
            await asyncio.sleep(0)
        return self._answer(times)


class TimeToApplyTest(unittest.IsolatedAsyncioTestCase):
    async def measure(self, limit, *troubles):
        """Return how long a change takes, beside troubles with the calls after it."""
        parts = StoreParts()
        directory = FailingDirectory(parts.clock)
        budget = ApplyBudget(limit)
        access = StoreAccess(
            parts.store, directory, parts.clock, parts.metrics, budget=budget
        )
        known_at = {}

        def take(states):
            for row in states.rows:
                known_at.setdefault(row.version, parts.clock.monotonic())

        feed = OperationsFeed(access, parts.clock, budget, take, take)
        running = asyncio.create_task(feed.run())
        await run_ready_tasks()
        changed_at = parts.clock.monotonic()
        directory.change(troubles)
        while directory.version not in known_at:
            await asyncio.sleep(0)
        running.cancel()
        return known_at[directory.version] - changed_at

    async def check(self, *troubles):
        for limit in LIMITS:
            with self.subTest(limit=limit):
                time = await self.measure(limit, *troubles)
                self.assertLessEqual(time, limit * (1 - SPARE_SHARE))

    async def test_configuration_is_in_time_after_a_connection_has_fallen_silent(self):
        await self.check(SILENT)

    async def test_configuration_is_in_time_after_the_next_one_is_silent_as_well(self):
        await self.check(SILENT, LOST)

    async def test_configuration_is_in_time_after_three_troubles_in_a_row(self):
        await self.check(SILENT, REFUSED, LOST)

    async def test_configuration_is_in_time_after_lost_history_and_a_lost_answer(self):
        await self.check(GONE, LOST)

    async def test_change_is_applied_at_once_where_nothing_is_lost(self):
        for limit in LIMITS:
            self.assertEqual(await self.measure(limit), timedelta(0))

    def test_longest_time_has_a_fifth_to_spare(self):
        for limit in LIMITS:
            time = ApplyBudget(limit).compute_longest_time()
            self.assertLessEqual(time, limit * (1 - SPARE_SHARE))


if __name__ == "__main__":
    unittest.main()
