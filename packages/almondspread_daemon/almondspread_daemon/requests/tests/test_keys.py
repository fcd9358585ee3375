import asyncio
import itertools
import unittest
from datetime import timedelta

from expression import Ok

from almondspread.clock import ManualClock, SystemClock
from almondspread.interfaces import MinionAnswer
from almondspread.journal import Journal
from almondspread.ownership import Claimant, claim_shard, read_owner
from almondspread.testing import MemoryStore, MemoryTable
from almondspread_daemon.peers.request_messages import SubmitCall
from almondspread_daemon.requests.dispatches import HeldSlot
from almondspread_daemon.requests.key_journal import ROWS_BEFORE_SNAPSHOT
from almondspread_daemon.requests.key_shards import KeyShard

SHARD = "requests/umea/0"
LARGE = b"x" * 100_000


class TestKeyShard(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = SystemClock()
        self.table = MemoryTable()
        self.store = MemoryStore()
        self.batches = itertools.count()
        self.answers = {}
        self.sent = []
        self.released = 0
        self.has_successor = True
        self.queued = []
        self.running = []

    async def asyncTearDown(self):
        for task in self.running:
            task.cancel()

    async def open_shard(self, instance):
        read = await read_owner(self.table, SHARD)
        claimed = await claim_shard(
            self.table,
            self.clock,
            SHARD,
            Claimant(instance, instance, "address"),
            read.ok.record,
            f"claim-{next(self.batches)}",
            timedelta(hours=1),
        )
        ownership = claimed.ok
        journal = Journal(
            SHARD,
            ownership.epoch,
            ownership.condition,
            self.table,
            self.store,
            self.clock,
            lambda: f"batch-{next(self.batches)}",
        )
        shard = KeyShard(
            ownership,
            journal,
            self.store,
            self.acquire_slot,
            self.queued.append,
            lambda service, key: None,
            self.is_owner,
            lambda: self.has_successor,
            self.clock,
        )
        self.running.append(asyncio.create_task(shard.run()))
        while not shard.recovered:
            await asyncio.sleep(0)
        return shard

    async def is_owner(self, ownership):
        rows = await self.table.read([f"owner/{SHARD}"])
        return rows.ok[0].version == ownership.condition.version

    async def acquire_slot(self, service, kind, due):
        async def send(shard, request, due):
            self.sent.append(request.key)
            return Ok(MinionAnswer(200, self.answers.get(request.key, b"done")))

        return Ok(HeldSlot(send, self.count_release))

    def count_release(self):
        self.released += 1

    async def submit(self, shard, key, body=b"body"):
        due = self.clock.monotonic() + timedelta(seconds=10)
        deadline = self.clock.now().timestamp() + 10
        message = SubmitCall(SHARD, "route", "recalculation", key, body, deadline)
        return await shard.submit(message, due)

    async def test_key_that_is_not_sent_by_its_deadline_is_told_as_not_run(self):
        """It was told as still being run, if its submission gave up just before it."""
        shard = await self.open_shard("one")
        waiting = asyncio.get_running_loop().create_future()

        async def acquire_no_slot(service, kind, due):
            await waiting

        shard._acquire_slot = acquire_no_slot
        due = self.clock.monotonic() + timedelta(milliseconds=50)
        deadline = self.clock.now().timestamp() + 0.05
        calls = []
        for number in range(20):
            key = f"k{number}"
            message = SubmitCall(SHARD, "route", "recalculation", key, b"", deadline)
            calls.append(shard.submit(message, due))
        for problem in await asyncio.gather(*calls):
            self.assertIs(problem.not_run, True, problem)
        self.assertEqual(self.sent, [])

    async def test_snapshot_bounds_the_rows_read_at_takeover(self):
        shard = await self.open_shard("a")
        for number in range(ROWS_BEFORE_SNAPSHOT):
            await self.submit(shard, f"key-{number}")
        async with asyncio.timeout(10):
            while f"snapshot/{SHARD}" not in self.table.rows:
                await asyncio.sleep(0)
        successor = await self.open_shard("b")
        self.assertEqual(len(successor.records), len(shard.records))
        again = await self.submit(successor, "key-3")
        self.assertEqual((again.body, again.recorded), (b"done", True))
        self.assertEqual(self.sent.count("key-3"), 1)
        journal = [key for key in self.table.rows if key.startswith("journal/")]
        self.assertLess(len(journal), 2 * ROWS_BEFORE_SNAPSHOT)

    async def test_large_answer_is_stored_in_the_object_store(self):
        shard = await self.open_shard("a")
        self.answers["large"] = LARGE
        self.assertEqual((await self.submit(shard, "large")).body, LARGE)
        self.assertLess(shard.records.size_bytes, 10_000)
        for row in self.table.rows.values():
            self.assertLess(len(row.value), 10_000)
        successor = await self.open_shard("b")
        again = await self.submit(successor, "large")
        self.assertEqual((again.body, again.recorded), (LARGE, True))
        self.store.down = True
        unread = await self.submit(successor, "large")
        self.assertIs(unread.not_run, False)

    async def test_superseded_owner_sends_nothing(self):
        shard = await self.open_shard("a")
        successor = await self.open_shard("b")
        refused = await self.submit(shard, "k")
        self.assertIs(refused.not_run, True)
        self.assertIsNone(refused.earlier_not_run)
        self.assertEqual(self.sent, [])
        self.assertEqual((await self.submit(successor, "k")).body, b"done")
        self.assertEqual(self.sent, ["k"])

    async def test_answer_of_a_superseded_owner_is_delivered_to_its_successor(self):
        shard = await self.open_shard("a")
        original = self.acquire_slot

        async def acquire_slot(service, kind, due):
            slot = (await original(service, kind, due)).ok

            async def send(*arguments):
                self.successor = await self.open_shard("b")
                return await slot.send(*arguments)

            return Ok(HeldSlot(send, slot.release))

        shard._acquire_slot = acquire_slot
        self.assertEqual((await self.submit(shard, "k")).body, b"done")
        unknown = await self.submit(self.successor, "k")
        self.assertIsNone(unknown.not_run)
        self.assertEqual(len(self.queued), 1)
        self.assertTrue(await self.successor.record_answer(self.queued[0]))
        again = await self.submit(self.successor, "k")
        self.assertEqual((again.body, again.recorded), (b"done", True))
        self.assertEqual(self.sent, ["k"])

    async def test_answer_is_queued_when_its_owner_is_cancelled_in_a_commit(self):
        shard = await self.open_shard("a")
        original = self.acquire_slot

        async def acquire_slot(service, kind, due):
            slot = (await original(service, kind, due)).ok

            async def send(*arguments):
                self.table.down = True
                return await slot.send(*arguments)

            return Ok(HeldSlot(send, slot.release))

        shard._acquire_slot = acquire_slot
        self.assertEqual((await self.submit(shard, "k")).body, b"done")
        self.running[0].cancel()
        await asyncio.wait([self.running[0]])
        async with asyncio.timeout(10):
            while not self.queued:
                await asyncio.sleep(0)
        self.assertEqual(self.queued[0].body, b"done")

    async def test_owner_without_successor_journals_its_answers_before_it_stops(self):
        shard = await self.open_shard("a")
        self.has_successor = False
        original = self.acquire_slot
        sent, gate = asyncio.Event(), asyncio.Event()

        async def acquire_slot(service, kind, due):
            slot = (await original(service, kind, due)).ok

            async def send(*arguments):
                sent.set()
                await gate.wait()
                return await slot.send(*arguments)

            return Ok(HeldSlot(send, slot.release))

        shard._acquire_slot = acquire_slot
        submitting = asyncio.create_task(self.submit(shard, "k"))
        await sent.wait()
        stopping = asyncio.create_task(shard.stop())
        await asyncio.sleep(0)
        gate.set()
        await stopping
        self.assertEqual((await submitting).body, b"done")
        again = await self.submit(await self.open_shard("b"), "k")
        self.assertEqual((again.body, again.recorded), (b"done", True))
        self.assertEqual(self.queued, [])

    async def test_stale_owner_does_not_report_a_missing_key_as_not_run(self):
        shard = await self.open_shard("a")
        self.assertIs((await shard.fetch_record("route", "k")).not_run, True)
        await self.open_shard("b")
        self.assertIsNone((await shard.fetch_record("route", "k")).not_run)

    async def test_slow_journal_releases_the_slot_and_sends_nothing_before_commit(self):
        shard = await self.open_shard("a")
        self.table.down = True
        submitting = asyncio.create_task(self.submit(shard, "k"))
        async with asyncio.timeout(9):
            while not self.released:
                await asyncio.sleep(0.01)
        self.assertEqual(self.sent, [])
        self.table.down = False
        self.assertEqual((await submitting).body, b"done")
        self.assertEqual((self.sent, self.released), (["k"], 1))

    async def test_request_past_its_deadline_after_the_commit_is_not_sent(self):
        self.clock = ManualClock()
        shard = await self.open_shard("a")
        self.table.down = True
        submitting = asyncio.create_task(self.submit(shard, "k"))
        for _ in range(20):
            await asyncio.sleep(0)
        self.clock.advance(timedelta(seconds=11))
        self.table.down = False
        for _ in range(200):
            self.clock.advance(timedelta(milliseconds=200))
            await asyncio.sleep(0)
        refused = await submitting
        self.assertIs(refused.not_run, True)
        self.assertEqual(self.sent, [])
        self.assertEqual((await self.submit(shard, "k")).body, b"done")


if __name__ == "__main__":
    unittest.main()
