"""Replays of a store that falls silent, refuses everything, and comes back."""

import asyncio
import unittest
from datetime import timedelta

from expression import Error, Ok

from almondspread.clock import ManualClock
from almondspread.jobs.ports import (
    Committed,
    ConditionsFailed,
    RowChanges,
    RowsPage,
    StoreUnavailable,
    Transaction,
)
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.store_access import (
    CALL_ABANDONED,
    OUTAGE_THRESHOLD,
    StoreAccess,
)
from almondspread_daemon.jobs.tests.support import run_ready_tasks

DONE = Committed(1, timedelta(0))
PAGE = RowsPage((), False, 1, timedelta(0))
SILENT = Error(StoreUnavailable("timed out", not_done=False))
REFUSED = Error(StoreUnavailable("status 503", not_done=True, refused=True))
MOMENT = timedelta(milliseconds=10)
WAIT = timedelta(seconds=1)


class HeldStore:
    """Calls in the order in which they came, which a test answers by hand."""

    def __init__(self):
        self.calls = []

    async def _hold(self):
        answer = asyncio.get_running_loop().create_future()
        self.calls.append(answer)
        return await answer

    async def read(self, table, part, start, end, timeout):
        return await self._hold()

    async def follow(self, table, after, wait, timeout):
        return await self._hold()


class StoreAccessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.store = HeldStore()
        metrics = JobMetrics("entry-1", "zone")
        self.access = StoreAccess(self.store, None, self.clock, metrics)

    async def read(self):
        """Begin a call a moment after the one before."""
        self.clock.advance(MOMENT)
        call = asyncio.create_task(self.access.read("table", ""))
        await run_ready_tasks()
        return call

    async def answer(self, number, outcome):
        self.store.calls[number].set_result(outcome)
        await run_ready_tasks()

    async def lose(self):
        """Have two calls in a row fail, more than the patience apart."""
        for _ in range(2):
            await self.read()
            await self.answer(-1, SILENT)
            self.clock.advance(OUTAGE_THRESHOLD)

    async def test_long_wait_ends_when_the_store_is_back(self):
        """Found on a day with a silent store: new jobs were seen 2 s after its end."""
        feed = asyncio.create_task(self.access.follow("table", 1, WAIT))
        await run_ready_tasks()
        await self.lose()
        self.assertTrue(self.access.is_unavailable)
        late = await self.read()
        self.clock.advance(WAIT)
        await self.read()
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(self.access.is_unavailable)
        self.assertEqual((await feed).error, CALL_ABANDONED)
        self.assertEqual((await late).error, CALL_ABANDONED)

    async def test_calls_that_are_not_much_older_go_on(self):
        await self.lose()
        recent = await self.read()
        await self.read()
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(recent.done())
        await self.answer(-2, Ok(PAGE))
        self.assertTrue((await recent).is_ok())

    async def test_slow_answer_gives_up_nothing(self):
        """Found on a day with a slow store: claims and commits, whose writes take
        longer than reads, were given up while they were carried out."""
        await self.lose()
        write = await self.read()
        self.clock.advance(timedelta(milliseconds=200))
        await self.read()
        self.clock.advance(timedelta(milliseconds=350))
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(self.access.is_unavailable)
        self.assertFalse(write.done())
        await self.answer(-2, Ok(PAGE))
        self.assertTrue((await write).is_ok())

    async def test_overtaken_call_outside_an_outage_is_left_to_its_timeout(self):
        feed = asyncio.create_task(self.access.follow("table", 1, WAIT))
        await self.read()
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(feed.done())
        await self.answer(0, Ok(RowChanges((), 1)))
        self.assertTrue((await feed).is_ok())

    async def test_failure_of_an_overtaken_call_tells_nothing(self):
        """Found on the same day: the store counted as lost again while it answered."""
        old = await self.read()
        await self.read()
        await self.answer(-1, Ok(PAGE))
        await self.answer(0, SILENT)
        self.assertTrue((await old).is_error())
        self.clock.advance(2 * OUTAGE_THRESHOLD)
        self.assertFalse(self.access.is_unavailable)

    async def test_quick_reads_do_not_cut_slow_writes_short(self):
        """Found on a day with a slow store: its commits timed out again and again."""
        timeouts = []

        async def transact(transaction, timeout):
            timeouts.append(timeout)
            self.clock.advance(min(timeout, timedelta(milliseconds=1_000)))
            return SILENT if timeout < timedelta(seconds=1) else Ok(DONE)

        self.store.transact = transact
        for _ in range(6):
            await self.access.transact(Transaction())
            await self.read()
            await self.answer(-1, Ok(PAGE))
        self.assertGreater(min(timeouts[1:]), timedelta(seconds=1))

    def hold_writes(self):
        async def transact(transaction, timeout):
            return await self.store._hold()

        self.store.transact = transact
        return asyncio.create_task(self.access.transact(Transaction()))

    async def await_second_attempt(self):
        while len(self.store.calls) < 2:
            await asyncio.sleep(0.01)

    async def test_late_answer_to_a_write_still_counts(self):
        """Found on a day with a slow store: each write was stored by the attempt that
        had just been given up, and the next one had to wait behind it."""
        writing = self.hold_writes()
        await self.await_second_attempt()
        await self.answer(0, Ok(DONE))
        self.assertEqual((await writing).ok, DONE)

    async def test_lost_answer_is_made_up_for_by_a_second_attempt(self):
        writing = self.hold_writes()
        await self.await_second_attempt()
        conflict = Error(ConditionsFailed(()))
        await self.answer(1, conflict)
        self.assertEqual((await writing).error, conflict.error)

    async def test_refused_second_attempt_does_not_make_a_write_not_done(self):
        writing = self.hold_writes()
        await self.await_second_attempt()
        await self.answer(1, REFUSED)
        self.assertFalse(writing.done())
        await self.answer(0, SILENT)
        failure = (await writing).error
        self.assertFalse(failure.not_done)
        self.assertFalse(failure.refused)

    async def test_store_that_refuses_everything_counts_as_lost(self):
        """Found on a day on which it turned a third of the instances away."""
        await self.read()
        await self.answer(-1, REFUSED)
        self.assertFalse(self.access.is_unavailable)
        self.clock.advance(OUTAGE_THRESHOLD + MOMENT)
        self.assertTrue(self.access.is_unavailable)

    async def test_answered_call_between_refusals_keeps_it(self):
        await self.read()
        await self.answer(-1, REFUSED)
        await self.read()
        await self.answer(-1, Ok(PAGE))
        await self.read()
        await self.answer(-1, REFUSED)
        self.clock.advance(OUTAGE_THRESHOLD - MOMENT)
        self.assertFalse(self.access.is_unavailable)


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    async def test_probes_do_not_wait_for_each_other(self):
        clock = ManualClock()
        store = HeldStore()
        access = StoreAccess(store, None, clock, JobMetrics("entry-1", "zone"))
        probing = asyncio.create_task(access.run_probes())
        await run_ready_tasks()
        call = asyncio.create_task(access.read("table", ""))
        await run_ready_tasks()
        store.calls[0].set_result(SILENT)
        await call
        for _ in range(10):
            clock.advance(timedelta(milliseconds=200))
            await run_ready_tasks()
        self.assertEqual(len(store.calls), 5)
        store.calls[-1].set_result(Ok(PAGE))
        await run_ready_tasks()
        self.assertFalse(access.is_unavailable)
        probing.cancel()


if __name__ == "__main__":
    unittest.main()
