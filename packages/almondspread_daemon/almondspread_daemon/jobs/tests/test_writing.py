import asyncio
import unittest

from almondspread_daemon.jobs.rows import name_job
from almondspread_daemon.jobs.tests.support import StoreParts
from almondspread_daemon.jobs.writing import RowWriter


class RowWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = StoreParts()
        self.store = self.parts.store
        self.writer = RowWriter(self.parts.access, self.parts.clock, "entry-1")
        self.work = asyncio.create_task(self.writer.run())

    async def asyncTearDown(self):
        self.work.cancel()

    async def write_all(self, *jobs):
        return await asyncio.gather(
            *(self.writer.write(name_job(job), b"value") for job in jobs)
        )

    def list_keys(self):
        return sorted((name.part, name.key) for name in self.store.rows)

    async def test_rows_that_come_together_share_a_transaction(self):
        """Replays a burst at a slow store, where single writes queued for seconds."""
        jobs = [f"j{number}" for number in range(40)]
        written = await self.write_all(*jobs)
        self.assertTrue(all(outcome.is_ok() for outcome in written))
        self.assertEqual(len(self.store.rows), 40)
        self.assertLessEqual(self.store.transactions, 2)

    async def test_row_that_is_there_counts_as_written(self):
        await self.write_all("a")
        first, second = await self.write_all("a", "b")
        self.assertEqual(first.ok, 0)
        self.assertGreater(second.ok, 0)
        self.assertEqual(len(self.store.rows), 2)

    async def test_refused_part_gives_way_to_the_next(self):
        """Replays the loss of a third of the store's parts."""
        self.store.refuses = lambda part: part.endswith("/0")
        (written,) = await self.write_all("a")
        self.assertTrue(written.is_ok())
        self.assertEqual(self.list_keys(), [("entry-1/1", "job/a")])

    async def test_refusal_of_all_parts_is_told_as_not_done(self):
        self.store.refuses = lambda _: True
        (written,) = await self.write_all("a")
        self.assertTrue(written.error.not_done)
        self.assertEqual(self.store.rows, {})

    async def test_lost_answer_is_settled_in_the_same_part(self):
        losses = [True]
        self.store.loses_answer = lambda: bool(losses and losses.pop())
        (written,) = await self.write_all("a")
        self.assertEqual(written.ok, 0)
        self.assertEqual(self.list_keys(), [("entry-1/0", "job/a")])

    async def test_row_nobody_waits_for_is_not_written_again(self):
        self.store.loses_answer = lambda: True
        waiting = asyncio.create_task(self.writer.write(name_job("a"), b"value"))
        await asyncio.sleep(0)
        waiting.cancel()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertLessEqual(self.store.transactions, 1)


if __name__ == "__main__":
    unittest.main()
