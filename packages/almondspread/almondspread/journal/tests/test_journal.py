import asyncio
import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.interfaces import Condition, Write
from almondspread.journal import CorruptJournal, Journal, Superseded, make_row_key
from almondspread.testing import MemoryStore, MemoryTable, run_for

SHARD = "schedule/umea/0"
OWNER_KEY = f"owner/{SHARD}"
SECOND = timedelta(seconds=1)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.store = MemoryStore()
        self.batch_count = 0

    def make_batch_id(self):
        self.batch_count += 1
        return f"batch-{self.batch_count}"

    def take_over(self, epoch):
        version = self.table.apply([], [Write(OWNER_KEY, b"%d" % epoch)]).ok
        condition = Condition(OWNER_KEY, version)
        return Journal(
            SHARD,
            epoch,
            condition,
            self.table,
            self.store,
            self.clock,
            self.make_batch_id,
        )

    async def read_events(self, epoch=99):
        recovery = (await self.take_over(epoch).recover()).ok
        return [event for row in recovery.rows for event in row.events]

    async def test_j1_superseded_owner_commits_nothing(self):
        first = self.take_over(1)
        await first.commit([b"a"])
        second = self.take_over(2)
        await second.recover()
        self.assertEqual((await first.commit([b"b"])).error, Superseded(SHARD))
        snapshot = await first.write_snapshot(b"old")
        self.assertEqual(snapshot.error, Superseded(SHARD))
        self.assertEqual((await second.commit([b"c"])).ok, 2)
        self.assertEqual(await self.read_events(), [b"a", b"c"])

    async def test_j1_paused_owner_does_not_overwrite_a_row_of_another_owner(self):
        """Both owners have the same condition, as if one claim took effect for both."""
        first = self.take_over(1)
        twin = Journal(
            SHARD,
            1,
            first._owner_condition,
            self.table,
            self.store,
            self.clock,
            self.make_batch_id,
        )
        await first.commit([b"a"])
        self.assertEqual((await twin.commit([b"b"])).error, Superseded(SHARD))
        self.assertEqual(await self.read_events(), [b"a"])

    async def test_j2_lost_answer_is_recognised_by_its_batch(self):
        journal = self.take_over(1)
        self.table.lose_answers = 2
        committing = asyncio.create_task(journal.commit([b"a"]))
        await run_for(self.clock, SECOND)
        self.assertEqual((await committing).ok, 1)
        self.assertEqual((await journal.commit([b"b"])).ok, 2)
        self.assertEqual(await self.read_events(), [b"a", b"b"])

    async def test_j2_commit_waits_out_an_outage_and_decides_nothing_meanwhile(self):
        journal = self.take_over(1)
        self.table.down = True
        committing = asyncio.create_task(journal.commit([b"a"]))
        await run_for(self.clock, 60 * SECOND)
        self.assertTrue(journal.stalled)
        self.assertFalse(committing.done())
        self.table.down = False
        await run_for(self.clock, SECOND)
        self.assertEqual((await committing).ok, 1)
        self.assertFalse(journal.stalled)

    async def test_j2_next_owner_reads_the_row_whose_answer_was_lost(self):
        journal = self.take_over(1)
        self.table.lose_answers = 1
        committing = asyncio.create_task(journal.commit([b"a"]))
        await asyncio.sleep(0)
        committing.cancel()
        self.assertEqual(await self.read_events(), [b"a"])

    async def test_j3_rows_are_deleted_only_after_the_snapshot_record(self):
        journal = self.take_over(1)
        for number in range(3):
            await journal.commit([b"%d" % number])
        self.store.down = True
        await journal.write_snapshot(b"012")
        self.assertEqual(await self.read_events(), [b"0", b"1", b"2"])

    async def test_j3_snapshot_replaces_the_rows_it_covers(self):
        journal = self.take_over(1)
        await journal.commit([b"0"])
        await journal.write_snapshot(b"snapshot")
        await journal.commit([b"1"])
        recovery = (await self.take_over(2).recover()).ok
        self.assertEqual(recovery.snapshot, b"snapshot")
        self.assertEqual([row.events for row in recovery.rows], [(b"1",)])

    async def test_rows_that_an_earlier_owner_left_are_deleted_by_the_next(self):
        journal = self.take_over(1)
        for number in range(3):
            await journal.commit([b"%d" % number])
        remaining = dict(self.table.rows)
        await journal.write_snapshot(b"012")
        for key, row in remaining.items():
            if key.startswith("journal/"):
                self.table.apply([], [Write(key, row.value)])
        next_owner = self.take_over(2)
        await next_owner.recover()
        await next_owner.commit([b"3"])
        await next_owner.write_snapshot(b"0123")
        self.assertEqual((await self.table.scan("journal/", "", 10)).ok, [])

    async def test_j4_broken_row_is_named_and_nothing_is_overwritten(self):
        journal = self.take_over(1)
        await journal.commit([b"a"])
        key = make_row_key(SHARD, 1)
        self.table.apply([], [Write(key, b"\xc1")])
        with self.assertRaises(CorruptJournal) as caught:
            await self.take_over(2).recover()
        self.assertEqual(
            (caught.exception.shard, caught.exception.location), (SHARD, key)
        )
        self.assertEqual(self.table.rows[key].value, b"\xc1")

    async def test_j4_gap_between_rows_is_named(self):
        journal = self.take_over(1)
        for number in range(3):
            await journal.commit([b"%d" % number])
        self.table.apply([], [Write(make_row_key(SHARD, 2), None)])
        with self.assertRaises(CorruptJournal) as caught:
            await self.take_over(2).recover()
        self.assertEqual(caught.exception.location, make_row_key(SHARD, 2))

    async def test_j4_missing_snapshot_object_is_named(self):
        journal = self.take_over(1)
        await journal.commit([b"a"])
        await journal.write_snapshot(b"s")
        self.store.objects.clear()
        with self.assertRaises(CorruptJournal):
            await self.take_over(2).recover()
