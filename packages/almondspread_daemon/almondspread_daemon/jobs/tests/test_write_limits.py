import asyncio
import unittest

from attrs import evolve

from almondspread.errors import InvalidInput
from almondspread.jobs.access import Allowed
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.jobs.store_limits import StoreLimits, find_excess
from almondspread.testing.cell_input import QUEUE, make_configuration
from almondspread_daemon.jobs.job_service import JobService
from almondspread_daemon.jobs.rows import make_job_key
from almondspread_daemon.jobs.state_cache import JobStateCache
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    make_key_check,
    make_submission,
    record_refusals,
)
from almondspread_daemon.jobs.tests.writer_case import WriterTestCase

LIMITS = StoreLimits()


class WriteLimitsTest(WriterTestCase):
    async def write_all(self, count, size):
        keys = [make_job_key(f"j{number}") for number in range(count)]
        return await asyncio.gather(
            *(self.writer.write(key, bytes(size), SECOND) for key in keys)
        )

    async def test_burst_of_submissions_is_split_into_calls(self):
        """Guards against 60 conditional writes in one call, which may hold 50."""
        refusals = record_refusals(self.parts.access)
        written = await self.write_all(140, 100)
        self.assertTrue(all(outcome.is_ok() for outcome in written))
        self.assertEqual(refusals, [])

    async def test_burst_of_large_submissions_is_split_into_calls(self):
        refusals = record_refusals(self.parts.access)
        written = await self.write_all(30, LIMITS.row_bytes)
        self.assertTrue(all(outcome.is_ok() for outcome in written))
        self.assertEqual(refusals, [])

    async def test_refused_row_fails_alone(self):
        rows = [("small-1", 10), ("large", LIMITS.row_bytes + 1), ("small-2", 10)]
        first, large, second = await asyncio.gather(
            *(self.writer.write(key, bytes(size), SECOND) for key, size in rows)
        )
        self.assertTrue(first.is_ok() and second.is_ok())
        self.assertTrue(large.error.not_done and large.error.permanent)
        # It was not even sent.
        self.assertEqual(self.store.excesses, [])

    async def test_job_larger_than_a_row_is_invalid_at_once(self):
        service = JobService(
            self.parts.access,
            self.writer,
            self.parts.store_clock,
            self.parts.clock,
            JobStateCache(),
            self.parts.metrics,
            lambda _: None,
            lambda: True,
            make_key_check(self.parts),
        )
        service.configuration = make_configuration()
        submission = make_submission("j", QUEUE)
        step = evolve(submission.steps[0], image="x" * LIMITS.row_bytes)
        large = evolve(submission, steps=(step,))
        queue = service.configuration.queues[QUEUE]
        refused = await service.submit(queue, large, 3 * SECOND, Allowed())
        self.assertIsInstance(refused.error, InvalidInput)
        self.assertEqual(self.store.transactions, 0)


class FindExcessTest(unittest.TestCase):
    def test_store_without_excess_takes_a_call(self):
        self.assertEqual(find_excess(_make_call(10, 100), LIMITS), "")

    def test_each_limit_of_the_store_is_enforced(self):
        cases = {
            "entries": _make_call(101, 1),
            "bytes": _make_call(20, 60_000),
            "the row": _make_call(1, LIMITS.row_bytes + 1),
            "longer": _make_call(1, 1, key="k" * 201),
            "several": _make_call(2, 1, partition="other"),
        }
        for reason, transaction in cases.items():
            with self.subTest(reason):
                self.assertIn(reason, find_excess(transaction, LIMITS))


def _make_call(count, size, key="k", partition="p"):
    puts = []
    for number in range(count):
        name = RowName("t", partition if number else "p", f"{key}{number}")
        puts.append(RowPut(name, bytes(size)))
    return Transaction(puts=tuple(puts))


if __name__ == "__main__":
    unittest.main()
