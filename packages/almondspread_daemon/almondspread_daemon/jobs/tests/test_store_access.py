"""Tests of a store that stops answering or refuses calls, and then recovers."""

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
    """Holds calls in the order of their arrival until a test answers them."""

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
        metrics = JobMetrics("entry-1", "umea")
        self.access = StoreAccess(self.store, None, self.clock, metrics)

    async def read(self):
        """Begin a call a moment after the previous one."""
        self.clock.advance(MOMENT)
        call = asyncio.create_task(self.access.read("table", ""))
        await run_ready_tasks()
        return call

    async def answer(self, number, outcome):
        self.store.calls[number].set_result(outcome)
        await run_ready_tasks()

    async def lose(self):
        """Have two calls in a row fail, an outage threshold apart."""
        for _ in range(2):
            await self.read()
            await self.answer(-1, SILENT)
            self.clock.advance(OUTAGE_THRESHOLD)

    async def test_long_poll_ends_when_the_store_recovers(self):
        """Guards against a long poll that a silent store never answers.

        Such a call delayed the detection of new jobs until 2 s after the outage.
        """
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

    async def test_calls_that_are_not_much_older_stay_pending(self):
        await self.lose()
        recent = await self.read()
        await self.read()
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(recent.done())
        await self.answer(-2, Ok(PAGE))
        self.assertTrue((await recent).is_ok())

    async def test_slow_answer_abandons_no_calls(self):
        """Guards against abandoned claims and commits that a slow store still applies.

        Their writes take longer than the reads that are answered meanwhile.
        """
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

    async def test_older_call_outside_an_outage_is_not_abandoned(self):
        feed = asyncio.create_task(self.access.follow("table", 1, WAIT))
        await self.read()
        await self.answer(-1, Ok(PAGE))
        self.assertFalse(feed.done())
        await self.answer(0, Ok(RowChanges((), 1)))
        self.assertTrue((await feed).is_ok())

    async def test_failure_of_an_older_call_than_the_answered_one_is_ignored(self):
        """Guards against an outage that is detected while a slow store answers."""
        old = await self.read()
        await self.read()
        await self.answer(-1, Ok(PAGE))
        await self.answer(0, SILENT)
        self.assertTrue((await old).is_error())
        self.clock.advance(2 * OUTAGE_THRESHOLD)
        self.assertFalse(self.access.is_unavailable)

    async def test_fast_reads_do_not_shorten_the_timeout_of_writes(self):
        """Guards against commits that always time out at a slow store."""
        timeouts = []

        async def transact(transaction, timeout, repeats):
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
        async def transact(transaction, timeout, repeats):
            return await self.store._hold()

        self.store.transact = transact
        return asyncio.create_task(self.access.transact(Transaction()))

    async def await_second_attempt(self):
        while len(self.store.calls) < 2:
            await asyncio.sleep(0.01)

    async def test_late_answer_to_a_write_still_counts(self):
        """Guards against ignoring the answer to the first attempt of a write.

        A slow store applied each write by the attempt that had just been given up, and
        the next attempt was queued behind it.
        """
        writing = self.hold_writes()
        await self.await_second_attempt()
        await self.answer(0, Ok(DONE))
        self.assertEqual((await writing).ok, DONE)

    async def test_second_attempt_replaces_a_lost_answer(self):
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

    async def test_store_that_refuses_all_calls_becomes_unavailable(self):
        """In one outage, the store refused all calls of a third of the instances."""
        await self.read()
        await self.answer(-1, REFUSED)
        self.assertFalse(self.access.is_unavailable)
        self.clock.advance(OUTAGE_THRESHOLD + MOMENT)
        self.assertTrue(self.access.is_unavailable)

    async def test_answered_call_between_refusals_keeps_the_store_available(self):
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
        access = StoreAccess(store, None, clock, JobMetrics("entry-1", "umea"))
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
