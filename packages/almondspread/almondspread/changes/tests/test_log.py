import asyncio
import unittest

from attrs import evolve
from expression import Error, Ok

from almondspread.changes import Entry
from almondspread.changes.entries import HEAD_KEY, make_entry_key
from almondspread.changes.tests.faults import declare, make_instances, settle
from almondspread.codec import decode_message, encode_message
from almondspread.errors import Conflict, OutcomeUnknown, Unavailable
from almondspread.interfaces import Write


class LogTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table, self.store, self.clock, made = make_instances("a", "b")
        self.a, self.b = made

    async def run_all(self, *running):
        return await settle(self.clock, *running)

    def read_entry(self, revision):
        return decode_message(self.table.rows[make_entry_key(revision)].value, Entry)

    def assert_head(self, revision):
        self.assertEqual(self.table.rows[HEAD_KEY].value, str(revision).encode())


class AppendTest(LogTest):
    async def test_concurrent_appends_commit_one_after_the_other(self):
        outcomes = await self.run_all(self.a.declare("x"), self.b.declare("y"))
        self.assertEqual(sorted(outcome.ok for outcome in outcomes), [1, 2])
        await self.run_all(self.a.log.catch_up(), self.b.log.catch_up())
        self.assertEqual(self.a.describe(), self.b.describe())
        self.assertEqual(self.a.log.cache.revision, 2)

    async def test_appends_of_one_instance_share_an_entry(self):
        calls = [self.a.declare(f"x{number}") for number in range(20)]
        outcomes = await self.run_all(*calls)
        self.assertEqual({outcome.ok for outcome in outcomes}, {1})
        self.assertEqual(self.table.row_writes, 2)

    async def test_two_changes_of_one_part_take_two_entries(self):
        outcomes = await self.run_all(self.a.declare("x", 1), self.a.declare("x", 2))
        self.assertEqual([outcome.ok for outcome in outcomes], [1, 2])
        self.assertEqual(self.a.describe(), (2, {"x": (2, 2)}))

    async def test_shared_entry_names_each_author(self):
        first = self.a.log.append("anna", lambda _: Ok([declare("x")]))
        second = self.a.log.append("bo", lambda _: Ok([declare("y")]))
        await self.run_all(first, second)
        await self.run_all(self.b.log.catch_up())
        authors = [self.b.log.cache.find("team", n).author for n in ("x", "y")]
        self.assertEqual(authors, ["anna", "bo"])

    async def test_append_sees_earlier_appends_of_its_entry(self):
        def reject_existing(cache):
            if cache.find("team", "x"):
                return Error(Conflict("there is one", "use it"))
            return Ok([declare("x")])

        calls = [self.a.log.append("a", reject_existing) for _ in range(2)]
        outcomes = await self.run_all(*calls)
        self.assertEqual(outcomes[0].ok, 1)
        self.assertIsInstance(outcomes[1].error, Conflict)

    async def test_rejection_is_based_on_the_head(self):
        def reject_absent(cache):
            if cache.find("team", "x"):
                return Ok([])
            return Error(Conflict("there is none", "make it"))

        await self.run_all(self.b.log.catch_up())
        await self.run_all(self.a.declare("x"))
        (outcome,) = await self.run_all(self.b.log.append("b", reject_absent))
        self.assertEqual(outcome.ok, 1)

    async def test_pushed_head_version_avoids_a_read(self):
        await self.run_all(self.a.declare("x"))
        entry, version = self.a.pushed[0]
        self.assertTrue(self.b.log.receive(entry, version))
        self.table.row_reads = 0
        await self.run_all(self.b.declare("y"))
        self.assertEqual(self.table.row_reads, 0)
        self.assert_head(2)


class LostReplyTest(LogTest):
    async def test_append_with_lost_reply_is_found_in_the_log(self):
        self.table.lose_answers = 1
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertEqual(outcome.ok, 1)
        self.assert_head(1)
        self.assertEqual([entry.revision for entry, _ in self.a.pushed], [1])

    async def test_append_with_lost_reply_is_found_before_a_later_entry(self):
        self.table.lose_answers = 1
        self.table.on_transact = self._append_another
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertEqual(outcome.ok, 1)
        self.assertEqual(self.a.describe(), (2, {"x": (1, 1), "y": (1, 2)}))

    def _append_another(self):
        self.table.on_transact = None
        entry = evolve(
            self.read_entry(1), revision=2, batch="b-9", changes=(declare("y"),)
        )
        row = Write(make_entry_key(2), encode_message(entry))
        self.table.apply([], [Write(HEAD_KEY, b"2"), row])

    async def test_delayed_append_takes_effect_once(self):
        await self.run_all(self.a.log.catch_up())
        self.table.late = 1
        self.table.on_read = self._apply_held
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertEqual(outcome.ok, 1)
        self.assert_head(1)

    def _apply_held(self):
        """Apply the delayed append right after the head was read without it."""
        self.table.on_read = None
        self.assertTrue(self.table.apply_held()[0].is_ok())

    async def test_delayed_append_after_another_never_takes_effect(self):
        self.table.late = 1
        outcomes = await self.run_all(self.a.declare("x", 5), self.b.declare("x", 7))
        self.assertEqual(sorted(outcome.ok for outcome in outcomes), [1, 2])
        self.assertTrue(self.table.apply_held()[0].is_error())
        self.assert_head(2)

    async def test_own_entry_pushed_by_a_peer_is_not_written_again(self):
        self.table.lose_answers = 1
        self.table.on_transact = self._push_before_read
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertEqual(outcome.ok, 1)
        self.assert_head(1)

    def _push_before_read(self):
        """Let a peer push the entry before the instance reads the log."""
        self.table.on_transact = None
        version = self.table.rows[HEAD_KEY].version
        loop = asyncio.get_running_loop()
        loop.call_soon(self.a.log.receive, self.read_entry(1), version)

    async def test_own_entry_pushed_by_a_peer_before_the_reply(self):
        self.table.on_transact = lambda: self.a.log.receive(self.read_entry(1))
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertEqual(outcome.ok, 1)
        self.assertEqual(self.a.log.cache.revision, 1)

    async def test_outage_error_tells_whether_the_outcome_is_known(self):
        self.table.down = True
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertIsInstance(outcome.error, Unavailable)
        self.assertIs(outcome.error.not_run, True)
        self.table.down = False
        await self.run_all(self.a.log.catch_up())
        self.table.late = 1_000
        (outcome,) = await self.run_all(self.a.declare("x"))
        self.assertIsInstance(outcome.error, OutcomeUnknown)
        self.assertIsNone(outcome.error.not_run)

    async def test_cancelled_caller_does_not_cancel_the_commit(self):
        first = asyncio.ensure_future(self.a.declare("x"))
        second = asyncio.ensure_future(self.a.declare("y"))
        await asyncio.sleep(0)
        first.cancel()
        (outcome,) = await self.run_all(second)
        self.assertEqual(outcome.ok, 1)
        self.assertEqual(self.a.describe()[1].keys(), {"x", "y"})


class UnreadableTest(LogTest):
    async def break_entry(self, value):
        await self.run_all(self.a.declare("x"), self.a.declare("x", 2))
        row = make_entry_key(2)
        self.table.apply([], [Write(row, value)])
        before = dict(self.table.rows)
        (read,) = await self.run_all(self.b.log.catch_up())
        self.assertIn(row, read.error.describe())
        self.assertEqual(self.b.log.fault, read.error.describe())
        (outcome,) = await self.run_all(self.b.declare("y"))
        self.assertIsInstance(outcome.error, Unavailable)
        self.assertIn(row, outcome.error.message)
        self.assertEqual(self.b.describe(), (1, {"x": (1, 1)}))
        self.assertEqual(dict(self.table.rows), before)

    async def test_undecodable_row(self):
        await self.break_entry(b"\xc1")

    async def test_missing_row(self):
        await self.break_entry(None)

    async def test_partly_undecodable_entry_is_rejected(self):
        good = declare("y")
        unknown = evolve(declare("z"), kind="planet", value=b"\x81\xa4kind\xa6planet")
        entry = Entry(2, "new", "a", 0.0, (good, unknown))
        await self.break_entry(encode_message(entry))
        self.assertFalse(self.b.log.receive(entry))
        self.assertEqual(self.b.log.cache.spec_revision, 1)

    async def test_repaired_row_clears_the_fault(self):
        await self.break_entry(b"\xc1")
        entry, _ = self.a.pushed[1]
        self.table.apply([], [Write(make_entry_key(2), encode_message(entry))])
        await self.run_all(self.b.log.catch_up())
        self.assertEqual((self.b.log.fault, self.b.log.cache.revision), ("", 2))

    async def test_head_behind_the_cache_is_rejected(self):
        await self.run_all(self.a.declare("x"), self.a.declare("x", 2))
        self.table.apply([], [Write(HEAD_KEY, b"1")])
        (read,) = await self.run_all(self.a.log.catch_up())
        self.assertIn("behind revision 2", read.error.describe())
        self.assertEqual(self.a.log.cache.revision, 2)


if __name__ == "__main__":
    unittest.main()
