import asyncio
import unittest

from almondspread.changes.entries import ENTRY_PREFIX, SNAPSHOT_KEY
from almondspread.changes.tests.faults import Instance, make_instances, settle
from almondspread.errors import OutcomeUnknown, Unavailable
from almondspread.interfaces import Write

ENTRIES = 10


class CompactionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        made = make_instances("a", "b", compact_entries=ENTRIES)
        self.table, self.store, self.clock, (self.a, self.b) = made

    async def run_all(self, *running):
        return await settle(self.clock, *running)

    async def grow(self, instance, entries):
        for number in range(entries):
            await self.run_all(instance.declare(f"team-{number % 7}", number))
            await self.run_all(instance.log.compact())

    def list_rows(self):
        return [key for key in self.table.rows if key.startswith(ENTRY_PREFIX)]

    def start_instance(self):
        return Instance("c", self.table, self.store, self.clock, ENTRIES)

    async def test_rows_and_objects_stay_bounded(self):
        await self.grow(self.a, 20 * ENTRIES)
        self.assertLessEqual(len(self.list_rows()), 2 * ENTRIES)
        self.assertEqual(len(self.store.objects), 2)

    async def test_new_instance_reads_snapshot_then_entries(self):
        await self.grow(self.a, 5 * ENTRIES + 3)
        started = self.start_instance()
        await self.run_all(started.log.catch_up())
        self.assertEqual(started.describe(), self.a.describe())
        # The entries after the older snapshot are kept, so that they serve watches.
        kept = started.log.cache.revision - started.log.cache.oldest_revision
        self.assertGreaterEqual(kept, ENTRIES)

    async def test_instance_far_behind_reads_snapshot(self):
        await self.run_all(self.b.declare("old"))
        await self.run_all(self.a.log.catch_up())
        await self.grow(self.a, 5 * ENTRIES)
        await self.run_all(self.b.log.catch_up())
        self.assertEqual(self.b.describe(), self.a.describe())
        self.assertEqual(self.b.seen, sorted(self.b.seen))

    async def test_concurrent_compactions_leave_one_record(self):
        await self.grow(self.a, 3 * ENTRIES - 1)
        await self.run_all(self.b.log.catch_up())
        await self.run_all(self.b.declare("last"))
        await self.run_all(self.a.log.catch_up())
        await self.run_all(self.a.log.compact(), self.b.log.compact())
        self.assertEqual(len(self.store.objects), 2)
        started = self.start_instance()
        await self.run_all(started.log.catch_up())
        self.assertEqual(started.describe(), self.a.describe())

    async def test_lost_replies_and_outages_of_the_store(self):
        for round_number in range(6):
            self.store.down = round_number % 3 == 1
            await self.grow(self.a, ENTRIES - 1)
            await self.run_all(self.a.declare("last", round_number))
            self.table.lose_answers = 1
            await self.run_all(self.a.log.compact())
            self.table.lose_answers = 0
        self.store.down = False
        await self.grow(self.a, 3 * ENTRIES)
        self.assertEqual(len(self.store.objects), 2)
        started = self.start_instance()
        await self.run_all(started.log.catch_up())
        self.assertEqual(started.describe(), self.a.describe())

    async def test_append_replaced_by_a_snapshot_has_unknown_outcome(self):
        await self.run_all(self.b.log.catch_up())
        self.table.late = 1
        waiting = asyncio.ensure_future(self.b.declare("x"))
        while not self.table.held:
            await asyncio.sleep(0)
        # The log is trimmed before the instance can read whether its append committed.
        for number in range(4 * ENTRIES):
            outcome = await self.a.declare("team", number)
            self.assertTrue(outcome.is_ok())
            await self.a.log.compact()
        (outcome,) = await self.run_all(waiting)
        self.assertIsInstance(outcome.error, OutcomeUnknown)

    async def break_snapshot(self, damage):
        await self.grow(self.a, 4 * ENTRIES)
        damage()
        before = dict(self.table.rows)
        started = self.start_instance()
        (read,) = await self.run_all(started.log.catch_up())
        self.assertIn("snapshot", read.error.describe())
        (outcome,) = await self.run_all(started.declare("x"))
        self.assertIsInstance(outcome.error, Unavailable)
        self.assertEqual(started.log.cache.revision, 0)
        self.assertEqual(dict(self.table.rows), before)

    async def test_undecodable_object(self):
        def damage():
            for name in self.store.objects:
                self.store.objects[name] = b"\xc1"

        await self.break_snapshot(damage)

    async def test_missing_object(self):
        await self.break_snapshot(lambda: self.store.objects.clear())

    async def test_undecodable_record(self):
        def damage():
            self.table.apply([], [Write(SNAPSHOT_KEY, b"\xc1")])

        await self.break_snapshot(damage)


if __name__ == "__main__":
    unittest.main()
