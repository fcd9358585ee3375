import asyncio
import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.interfaces import Write
from almondspread_platform.messages import ReadCall, ScanCall, TransactCall
from almondspread_standin.platform_server.service import PlatformService


async def run_ready():
    """Let every task run until it waits for the clock."""
    for _ in range(10):
        await asyncio.sleep(0)


class RateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.service = PlatformService(
            self.clock, writes_per_second=10, reads_per_second=100
        )

    async def begin(self, call):
        task = asyncio.create_task(call)
        self.addCleanup(task.cancel)
        await run_ready()
        return task

    async def advance(self, milliseconds):
        self.clock.advance(timedelta(milliseconds=milliseconds))
        await run_ready()

    def transact(self, count):
        writes = tuple(Write(f"k{number}", b"") for number in range(count))
        return self.service.transact(TransactCall(writes=writes))

    async def test_row_writes_are_held_to_their_rate(self):
        tasks = []
        for _ in range(30):
            tasks.append(await self.begin(self.transact(2)))
        done = []
        for _ in range(6):
            done.append(sum(task.done() for task in tasks))
            await self.advance(1_000)
        self.assertEqual(done, [1, 6, 11, 16, 21, 26])
        self.assertEqual(self.service.counters.row_writes, 60)

    async def test_writes_wait_for_a_large_one_before_them(self):
        self.assertTrue((await self.begin(self.transact(20))).done())
        waiting = await self.begin(self.transact(1))
        await self.advance(1_999)
        self.assertFalse(waiting.done())
        await self.advance(1)
        self.assertTrue(waiting.done())

    async def test_objects_share_the_rate_of_the_rows(self):
        self.assertTrue((await self.begin(self.service.put_object("a", b""))).done())
        waiting = await self.begin(self.transact(1))
        self.assertFalse(waiting.done())
        await self.advance(100)
        self.assertTrue(waiting.done())

    async def test_reads_do_not_wait_for_writes(self):
        await self.begin(self.transact(100))
        keys = tuple(f"k{number}" for number in range(50))
        first = await self.begin(self.service.read(ReadCall(keys)))
        self.assertEqual(len(first.result()), 50)
        scan = await self.begin(self.service.scan(ScanCall("k", "", 100)))
        await self.advance(499)
        self.assertFalse(scan.done())
        await self.advance(1)
        self.assertTrue(scan.done())

    async def test_idle_time_is_not_saved_up(self):
        await self.advance(10_000)
        tasks = []
        for _ in range(3):
            tasks.append(await self.begin(self.transact(10)))
        self.assertEqual([task.done() for task in tasks], [True, False, False])


if __name__ == "__main__":
    unittest.main()
