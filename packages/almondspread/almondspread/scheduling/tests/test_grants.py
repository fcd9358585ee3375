import asyncio
import random
import unittest
from datetime import timedelta

from expression import Error
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from almondspread.clock import ManualClock
from almondspread.codec import decode_message
from almondspread.interfaces import Condition, TableUnavailable, Write
from almondspread.resources import Capacity
from almondspread.scheduling import ShardState
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.grants import (
    MAX_RETRY_DELAY,
    UNUSED_GRANT_TIMEOUT,
    GrantRow,
    QuotaDemand,
    TeamGrants,
    apply_grant_request,
    make_grant_key,
)
from almondspread.scheduling.rules import TeamRule
from almondspread.testing import MemoryTable

TEAM = "t"
TASK = Capacity(100, 10)
QUOTA = 10
RULE = TeamRule(TASK.times(QUOTA), 1.0, 1)
SHARDS = st.integers(0, 2)


class FaultyTable:
    """A table that loses responses, fails transactions or applies them later."""

    def __init__(self, table):
        self.table = table
        self.fault = "none"
        self.late = []
        self.before_write = None

    async def transact(self, conditions, writes):
        if self.before_write is not None:
            self.before_write()
        if self.fault == "none":
            return await self.table.transact(conditions, writes)
        if self.fault == "lost":
            await self.table.transact(conditions, writes)
        if self.fault == "late":
            self.late.append((conditions, writes))
        return Error(TableUnavailable(self.fault))

    async def read(self, keys):
        if self.fault == "down":
            return Error(TableUnavailable("down"))
        return await self.table.read(keys)


class Owner:
    """The owner of one shard, with the number of its team's running tasks."""

    def __init__(self, number, table, clock, used=0):
        self.shard = f"schedule/d{number}/0"
        self.table = FaultyTable(table)
        self.key = f"owner/{self.shard}"
        version = table.apply([], [Write(self.key, b"")]).ok
        self.decisions = Decisions(ShardState(), clock)
        self.used = used
        self.wanted = 0
        for _ in range(used):
            self.decisions.teams.restore(TEAM, TASK)
        self.grants = TeamGrants(
            self.shard,
            Condition(self.key, version),
            self.table,
            clock,
            random.Random(number),
            self.decisions,
        )
        self.grants.set_rules({TEAM: RULE})

    def bind(self):
        """Bind one task if the limit of the shard allows it."""
        if self.decisions.teams.find_exceeded_quota(TEAM, TASK) is None:
            self.decisions.teams.commit(TEAM, TASK)
            self.used += 1

    def release(self):
        """End one task."""
        if self.used:
            self.decisions.teams.release(TEAM, TASK)
            self.used -= 1

    async def settle(self):
        """Request a grant for the running and the wanted tasks."""
        demands = {}
        if self.wanted:
            demands[TEAM] = QuotaDemand(TASK.times(self.used + self.wanted), TASK)
        await self.grants.update_grants(demands)


class GrantMachine(RuleBasedStateMachine):
    """Three shards under one quota, with faults of the table and takeovers."""

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.loop = asyncio.new_event_loop()
        self.owners = [Owner(n, self.table, self.clock) for n in range(3)]
        self.stale = []
        self.late = []

    def teardown(self):
        self.loop.close()

    @rule(shard=SHARDS, wanted=st.integers(0, 12))
    def want(self, shard, wanted):
        self.owners[shard].wanted = wanted

    @rule(
        shard=SHARDS,
        fault=st.sampled_from(("none", "none", "lost", "late", "down")),
        meanwhile=st.booleans(),
    )
    def settle(self, shard, fault, meanwhile):
        owner = self.owners[shard]
        owner.table.fault = fault
        owner.table.before_write = owner.bind if meanwhile else None
        self.loop.run_until_complete(owner.settle())
        self.late.extend(owner.table.late)
        owner.table.late.clear()

    @rule(shard=SHARDS, times=st.integers(1, 12))
    def bind(self, shard, times):
        for _ in range(times):
            self.owners[shard].bind()

    @rule(shard=SHARDS, times=st.integers(1, 12))
    def release(self, shard, times):
        for _ in range(times):
            self.owners[shard].release()

    @rule(seconds=st.integers(1, 6))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @precondition(lambda self: self.late)
    @rule(place=st.integers(0, 5))
    def land(self, place):
        conditions, writes = self.late.pop(place % len(self.late))
        self.table.apply(conditions, writes)

    @rule(shard=SHARDS)
    def take_over(self, shard):
        self.stale.append(self.owners[shard])
        used = self.owners[shard].used
        self.owners[shard] = Owner(shard, self.table, self.clock, used)

    @precondition(lambda self: self.stale)
    @rule()
    def settle_stale(self):
        owner = self.stale[-1]
        owner.table.fault = "none"
        owner.wanted = 12
        self.loop.run_until_complete(owner.settle())

    @rule(shard=SHARDS)
    def declare_again(self, shard):
        owner = self.owners[shard]
        if owner.used:
            return
        owner.grants.set_rules({})
        owner.grants.set_rules({TEAM: RULE})

    @invariant()
    def sums_keep_to_the_quota(self):
        used = sum(owner.used for owner in self.owners)
        assert used <= QUOTA, f"{used} tasks run"
        row = self.table.rows.get(make_grant_key(TEAM))
        granted = decode_message(row.value, GrantRow).grants if row else {}
        assert sum(grant.cpu_millis for grant in granted.values()) <= QUOTA * 100
        for owner in self.owners:
            limit = owner.grants._grant_states[TEAM].limit
            assert limit.fits_in(granted.get(owner.shard, Capacity(0, 0))), owner.shard


class SumTest(unittest.TestCase):
    def test_sum_over_shards_under_faults_and_takeovers(self):
        options = settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=150,
            stateful_step_count=40,
        )
        run_state_machine_as_test(GrantMachine, settings=options)


class GrantsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.owners = [Owner(n, self.table, self.clock) for n in range(2)]

    async def settle_all(self, rounds=1):
        for _ in range(rounds):
            for owner in self.owners:
                await owner.settle()
                for _ in range(owner.wanted):
                    before = owner.used
                    owner.bind()
                    owner.wanted -= owner.used - before
            self.clock.advance(MAX_RETRY_DELAY)

    async def test_the_whole_quota_can_be_used(self):
        for owner in self.owners:
            owner.wanted = 8
        await self.settle_all(8)
        self.assertEqual(sum(owner.used for owner in self.owners), QUOTA)

    async def test_an_unused_grant_is_returned_for_another_shard(self):
        first, second = self.owners
        first.wanted = QUOTA
        await self.settle_all()
        for _ in range(QUOTA):
            first.release()
        second.wanted = QUOTA
        await self.settle_all()
        self.assertEqual(second.used, 0)
        self.clock.advance(UNUSED_GRANT_TIMEOUT)
        await self.settle_all(3)
        self.assertEqual(second.used, QUOTA)

    async def test_a_grant_too_small_for_a_task_is_returned(self):
        half = TASK.times(QUOTA // 2)
        size = TASK.times(QUOTA // 2 + 1)
        for owner in self.owners:
            await owner.grants.update_grants({TEAM: QuotaDemand(half, TASK)})
        found = False
        for _ in range(12):
            for owner in self.owners:
                await owner.grants.update_grants({TEAM: QuotaDemand(size, size)})
                shortage = owner.decisions.teams.find_exceeded_quota(TEAM, size)
                found = found or shortage is None
            self.clock.advance(MAX_RETRY_DELAY)
        self.assertTrue(found)

    async def test_a_lowered_quota_raises_no_grant(self):
        first, second = self.owners
        first.wanted = 8
        await self.settle_all()
        lowered = TeamRule(TASK.times(4), 1.0, 2)
        second.grants.set_rules({TEAM: lowered})
        second.wanted = 1
        await self.settle_all()
        self.assertEqual((first.used, second.used), (8, 0))
        first.wanted = 2
        await self.settle_all()
        self.assertEqual(first.used, 8)

    async def test_a_row_that_does_not_decode_is_not_overwritten(self):
        self.table.apply([], [Write(make_grant_key(TEAM), b"\xc1")])
        self.owners[0].wanted = 3
        await self.settle_all(2)
        self.assertEqual(self.owners[0].used, 0)
        self.assertIn(TEAM, self.owners[0].grants.row_errors)
        self.assertEqual(self.table.rows[make_grant_key(TEAM)].value, b"\xc1")

    def test_an_older_quota_raises_no_grant(self):
        row = GrantRow(3, {"a": TASK})
        changed = apply_grant_request(row, "a", TASK.times(2), RULE)
        self.assertEqual(changed.grants["a"], TASK)
        self.assertEqual(
            apply_grant_request(row, "a", Capacity(0, 0), RULE).revision, 3
        )

    async def test_a_raise_with_a_lost_response_takes_effect(self):
        owner = self.owners[0]
        owner.wanted = 3
        owner.table.fault = "lost"
        await self.settle_all()
        self.assertEqual(owner.used, 0)
        owner.table.fault = "none"
        await self.settle_all()
        self.assertEqual(owner.used, 3)

    async def test_a_superseded_owner_changes_no_grant(self):
        stale = self.owners[0]
        stale.wanted = 8
        await self.settle_all()
        self.owners[0] = Owner(0, self.table, self.clock, stale.used)
        for _ in range(8):
            stale.release()
        for _ in range(2):
            await stale.settle()
            self.clock.advance(UNUSED_GRANT_TIMEOUT)
        row = decode_message(self.table.rows[make_grant_key(TEAM)].value, GrantRow)
        self.assertEqual(row.grants[stale.shard], TASK.times(8))

    async def test_a_late_return_does_not_undercut_a_redeclared_team(self):
        first, second = self.owners
        first.wanted = 8
        await self.settle_all()
        for _ in range(8):
            first.release()
        first.table.fault = "late"
        await first.settle()
        self.clock.advance(UNUSED_GRANT_TIMEOUT)
        await first.settle()
        first.table.fault = "none"
        first.grants.set_rules({})
        first.grants.set_rules({TEAM: RULE})
        first.wanted = 8
        await first.settle()
        for _ in range(8):
            first.bind()
        self.assertEqual(first.used, 8)
        for conditions, writes in first.table.late:
            self.table.apply(conditions, writes)
        second.wanted = QUOTA
        await second.settle()
        for _ in range(QUOTA):
            second.bind()
        self.assertLessEqual(first.used + second.used, QUOTA)


if __name__ == "__main__":
    unittest.main()
