import unittest

from almondspread.interfaces import Condition, ConditionFailed, Write
from almondspread.testing import MemoryTable


class MemoryTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_transaction_is_whole_or_nothing(self):
        table = MemoryTable()
        self.assertEqual((await table.transact([], [Write("a", b"1")])).ok, 1)
        writes = [Write("a", b"2"), Write("b", b"2")]
        outcome = await table.transact([Condition("a", 0)], writes)
        self.assertEqual(outcome.error, ConditionFailed("a", 1))
        self.assertEqual(
            [row.value for row in (await table.read(["a", "b"])).ok], [b"1"]
        )

    async def test_lost_answer_takes_effect(self):
        table = MemoryTable()
        table.lose_answers = 1
        self.assertTrue((await table.transact([], [Write("a", b"1")])).is_error())
        self.assertEqual(len((await table.scan("a", "", 10)).ok), 1)
