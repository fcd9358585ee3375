import asyncio
import unittest
from datetime import timedelta

from loguru import logger

from almondspread.clock import ManualClock
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import Write
from almondspread.ownership import Claimant, Members, OwnerRecord, make_owner_key
from almondspread.testing import MemoryStore, MemoryTable, run_for
from almondspread_daemon.shards import ShardManager

SECOND = timedelta(seconds=1)
SHARDS = [f"requests/umea/{number}" for number in range(12)]


class SlowTable(MemoryTable):
    """A table that delays each call by the same time, however many are in progress."""

    def __init__(self, clock, delay):
        super().__init__()
        self._clock = clock
        self.delay = delay
        self.transactions = 0

    async def transact(self, conditions, writes):
        self.transactions += 1
        await self._clock.sleep(self.delay)
        return await super().transact(conditions, writes)

    async def read(self, keys):
        await self._clock.sleep(self.delay)
        return await super().read(keys)


class QuietRunner:
    """A runner that does nothing until it is stopped; a busy one does not stop."""

    def __init__(self):
        self.stopped = asyncio.Event()
        self.busy = False

    async def run(self):
        await self.stopped.wait()

    async def stop(self):
        if not self.busy:
            self.stopped.set()


class KeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("almondspread_daemon")
        self.addCleanup(logger.enable, "almondspread_daemon")
        self.clock = ManualClock()
        self.table = SlowTable(self.clock, SECOND)
        self.released = []
        self.batches = 0
        self.keeper = ShardManager(
            Claimant("entry-1", "1", "127.0.0.1:1"),
            "umea",
            {shard: lambda *_: QuietRunner() for shard in SHARDS},
            Members(SECOND),
            self.table,
            MemoryStore(),
            self.clock,
            self.make_batch,
            3 * SECOND,
            60 * SECOND,
            lambda: None,
            self.released.append,
        )
        self.task = asyncio.create_task(self.keeper.run())

    async def asyncTearDown(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def make_batch(self):
        self.batches += 1
        return f"batch-{self.batches}"

    async def test_slow_table_delays_many_shards_no_longer_than_one(self):
        """Each takeover consists of a read, a second read and the claim, 1 s each."""
        await run_for(self.clock, 3.5 * SECOND)
        self.assertEqual(len(self.keeper.list_epochs()), len(SHARDS))

    async def test_planned_stop_releases_all_shards_in_one_transaction(self):
        await run_for(self.clock, 3.5 * SECOND)
        before = self.table.transactions
        leaving = asyncio.create_task(self.keeper.hand_over_all())
        await run_for(self.clock, 2 * SECOND)
        self.assertTrue(leaving.done())
        self.assertEqual(self.table.transactions - before, 1)
        self.assertEqual({message.shard for message in self.released}, set(SHARDS))

    async def test_busy_shard_does_not_delay_the_handover_of_others(self):
        await run_for(self.clock, 3.5 * SECOND)
        busy = self.keeper.runners[SHARDS[0]]
        busy.busy = True
        leaving = asyncio.create_task(self.keeper.hand_over_all())
        await run_for(self.clock, 30 * SECOND)
        self.assertFalse(leaving.done())
        self.assertEqual(len(self.released), len(SHARDS) - 1)
        busy.stopped.set()
        await run_for(self.clock, 2 * SECOND)
        self.assertTrue(leaving.done())
        self.assertEqual(len(self.released), len(SHARDS))

    async def test_lost_shard_does_not_prevent_the_release_of_others(self):
        await run_for(self.clock, 3.5 * SECOND)
        lost = make_owner_key(SHARDS[0])
        other = encode_message(OwnerRecord("entry-2", "2", 2, "127.0.0.1:2", "other"))
        self.table.apply([], [Write(lost, other)])
        leaving = asyncio.create_task(self.keeper.hand_over_all())
        await run_for(self.clock, 20 * SECOND)
        self.assertTrue(leaving.done())
        self.assertEqual(self.table.rows[lost].value, other)
        for shard in SHARDS[1:]:
            row = self.table.rows[make_owner_key(shard)]
            self.assertTrue(decode_message(row.value, OwnerRecord).is_released)

    async def test_j4_undecodable_owner_row_stops_only_its_own_shard(self):
        self.table.apply([], [Write(make_owner_key(SHARDS[0]), b"\xc1")])
        await run_for(self.clock, 5 * SECOND)
        self.assertEqual(list(self.keeper.faults), [SHARDS[0]])
        self.assertEqual(len(self.keeper.list_epochs()), len(SHARDS) - 1)
