import asyncio
import unittest
from datetime import timedelta

from expression import Error

from almondspread.clock import ManualClock
from almondspread.interfaces import ConditionFailed, TableUnavailable
from almondspread.ownership import (
    Claimant,
    claim_shard,
    make_owner_key,
    read_owner,
    release_shards,
)
from almondspread.testing import MemoryTable, run_for

SHARD = "schedule/umea/0"
HORIZON = timedelta(hours=2)
FIRST = Claimant("entry-1", "1-a", "127.0.0.1:1")
SECOND = Claimant("entry-2", "1-b", "127.0.0.1:2")


class FailingTable(MemoryTable):
    """A table that can leave transactions unanswered and keep them for later."""

    def __init__(self):
        super().__init__()
        self.delays_transactions = False
        self.delayed_transactions = []

    async def transact(self, conditions, writes):
        if not self.delays_transactions:
            return await super().transact(conditions, writes)
        self.delayed_transactions.append((conditions, writes))
        return Error(TableUnavailable("no answer yet"))


class ClaimTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = FailingTable()
        self.claim_count = 0

    async def claim(self, claimant, expected=None):
        self.claim_count += 1
        task = asyncio.create_task(
            claim_shard(
                self.table,
                self.clock,
                SHARD,
                claimant,
                expected,
                f"claim-{self.claim_count}",
                HORIZON,
            )
        )
        await run_for(self.clock, timedelta(seconds=1))
        return await task

    async def read(self):
        return (await read_owner(self.table, SHARD)).ok

    async def test_c1_lost_answer_is_settled_by_reading(self):
        self.table.lose_answers = 1
        owned = (await self.claim(FIRST)).ok
        self.assertEqual((owned.epoch, owned.condition.version), (1, 1))
        self.assertEqual(self.table.row_writes, 1)

    async def test_c1_only_one_of_two_claims_of_one_owner_row_succeeds(self):
        await self.claim(FIRST)
        refused = await self.claim(SECOND)
        self.assertIsInstance(refused.error, ConditionFailed)

    async def test_c1_release_by_the_same_process_is_not_taken_for_a_claim(self):
        owned = (await self.claim(FIRST)).ok
        await release_shards(self.table, FIRST, [owned])
        again = (await self.claim(FIRST, (await self.read()).record)).ok
        self.assertEqual(again.epoch, 2)
        self.assertNotEqual(again.condition, owned.condition)

    async def test_c1_earlier_claim_of_the_same_process_is_not_taken_for_this_one(self):
        owned = (await self.claim(FIRST)).ok
        again = (await self.claim(FIRST, (await self.read()).record)).ok
        self.assertEqual(again.epoch, 2)
        self.assertNotEqual(again.condition, owned.condition)

    async def test_c2_late_claim_does_not_displace_a_later_owner(self):
        self.table.delays_transactions = True
        self.assertIsInstance((await self.claim(FIRST)).error, TableUnavailable)
        self.table.delays_transactions = False
        owned = (await self.claim(SECOND)).ok
        for conditions, writes in self.table.delayed_transactions:
            self.assertTrue(self.table.apply(conditions, writes).is_error())
        self.assertEqual((await self.read()).version, owned.condition.version)

    async def test_authority_starts_before_the_claim(self):
        before = self.clock.monotonic()
        owned = (await self.claim(FIRST)).ok
        self.assertEqual(owned.authority.confirmed_at, before)
        self.assertTrue(owned.authority.is_valid(before + HORIZON))
        self.assertFalse(owned.authority.is_valid(before + HORIZON * 1.001))

    async def test_shards_are_released_together_or_not_at_all(self):
        owned = (await self.claim(FIRST)).ok
        other = (await self.claim(FIRST, (await self.read()).record)).ok
        outcome = await release_shards(self.table, FIRST, [other, owned])
        self.assertEqual(
            outcome.error,
            ConditionFailed(make_owner_key(SHARD), other.condition.version),
        )
        self.assertEqual((await self.read()).record.instance, "entry-1")
