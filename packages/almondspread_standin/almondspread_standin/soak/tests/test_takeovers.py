import asyncio
import random
import unittest
from datetime import timedelta
from unittest import mock

from almondspread.clock import SystemClock
from almondspread.codec import encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowPut, Transaction
from almondspread.jobs.submissions import Step, Submission, TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_upstream import FakeRun, History
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak import pool as pool_module
from almondspread_standin.soak import takeovers as takeovers_module
from almondspread_standin.soak.instances import Instance, Instances
from almondspread_standin.soak.pool import NO_TIMEOUT, UpstreamPool
from almondspread_standin.soak.proxy import LinkState, Proxy
from almondspread_standin.soak.takeovers import LEADER, Takeovers
from platform_standin.store_server import StoreFaults

JOB = "0000000100000001"
TASK = TaskId(JOB, 0, 0, 0)
CLAIM = Capacity(1_000, 1_000)
LONG = timedelta(hours=1)
DOMAINS = ("north", "middle", "south")


class RecordedTakeovers(Takeovers):
    """Keeps the names of the instances that are to be lost."""

    lost = ()

    async def _lose_instance(self, instance):
        self.lost = (*self.lost, instance.name)


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    """Six upstreams of three failure domains."""

    async def asyncSetUp(self):
        self.history = History()
        submission = Submission(JOB, "jobs", "payload", (Step(1, CLAIM, lasting=True),))
        self.history.submissions[JOB] = submission
        self.store = MemoryRecordStore()
        self.pool = UpstreamPool(
            self.history, self.store, SystemClock(), random.Random(1)
        )
        for number in range(6):
            await self.pool.add(number, DOMAINS[number % 3])
        self.addAsyncCleanup(self.pool.stop)

    def place(self, member):
        """Have a run of the task at work on an upstream."""
        now = member.endpoint.read_clock()
        upstream = member.endpoint.upstream
        upstream.lease_until = now + LONG
        upstream.runs[TASK] = FakeRun(TASK, 1, now, LONG)
        self.history.running[TASK] = 1


class DarkUpstreamTest(UpstreamCase):
    async def test_dark_upstream_has_no_runs_and_loses_its_entry(self):
        member = self.pool.members[0]
        name = self.pool._find_entry_name(member)
        self.place(member)
        with mock.patch.multiple(
            pool_module, HEARTBEAT_SECONDS=0.01, EXPIRY_SECONDS=0.1
        ):
            renewal = asyncio.create_task(self.pool.run())
            self.addCleanup(renewal.cancel)
            await asyncio.sleep(0.05)
            self.assertTrue(self.store.rows[name].value)
            self.pool.darken(member)
            self.assertEqual(self.history.running[TASK], 0)
            await asyncio.sleep(0.3)
        self.assertFalse(name in self.store.rows and self.store.rows[name].value)

    async def test_dark_upstream_returns_at_a_new_address_as_a_new_incarnation(self):
        member = self.pool.members[0]
        upstream, address = member.endpoint.upstream, member.proxy.address
        self.pool.darken(member)
        await self.pool.light(member)
        self.assertNotEqual(member.proxy.address, address)
        self.assertGreater(member.endpoint.upstream.born, upstream.born)
        self.assertFalse(member.proxy.is_dark)

    async def test_room_on_upstreams_that_take_no_runs_does_not_count(self):
        whole = self.pool.count_room(CLAIM)
        first, second, third, *_ = self.pool.members
        expected = whole
        for member in (first, second):
            expected -= CLAIM.count_in(member.endpoint.upstream.capacity)
        self.place(third)
        self.pool.darken(first)
        second.draining = True
        self.assertEqual(self.pool.count_room(CLAIM), expected - 1)

    async def test_only_upstreams_that_ran_a_task_crash_under_it(self):
        first, second, *_ = self.pool.members
        self.place(first)
        await self.pool.crash(first)
        self.pool.darken(second)
        self.assertEqual(self.pool.count_crashes(JOB), 1)
        self.place(first)
        await self.pool.crash(first)
        self.assertEqual(self.pool.count_crashes(JOB), 2)
        self.assertEqual(self.pool.count_crashes("0000000100000002"), 0)


class TakeoversTest(UpstreamCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.instances = Instances(None, None, None)
        for number in range(1, 6):
            proxies = Proxy("127.0.0.1", ("", 0)), Proxy("127.0.0.1", ("", 0))
            domain = DOMAINS[number % 3]
            self.instances.instances.append(
                Instance(f"instance-{number}", domain, "", "", *proxies)
            )
        self.takeovers = RecordedTakeovers(
            self.instances, self.pool, self.store, StoreFaults(), random.Random(1)
        )
        self.addAsyncCleanup(self.takeovers.stop)
        row = LeaderRow(3, "instance-2", "a", "127.0.0.1:1", renewed=1.0)
        put = RowPut(LEADER, encode_message(row))
        await self.store.transact(Transaction(puts=(put,)), NO_TIMEOUT)

    async def test_instance_that_leads_is_found_in_the_store(self):
        self.assertEqual(self.takeovers.find_leader().name, "instance-2")

    async def test_executor_is_another_instance_of_the_failure_domain(self):
        leader = self.takeovers.find_leader()
        for domain in DOMAINS:
            executor = self.takeovers._pick_executor(leader, domain)
            self.assertIsNot(executor, leader)
            self.assertEqual(executor.domain, domain)

    async def test_half_of_the_upstreams_stay_in_reach(self):
        """Guards against a cell without room, in which nothing can be found."""
        times = ("SAME_TIME_SECONDS", "MIN_SECONDS", "MAX_SECONDS", "MAX_CUT_SECONDS")
        shares = {"DARK_SHARE": 1.0, "GONE_SHARE": 1.0, "MIN_CUT_SECONDS": 0.0}
        with mock.patch.multiple(
            takeovers_module, **shares, **dict.fromkeys(times, 0.01)
        ):
            for _ in range(12):
                await self.takeovers.take_over()
        dark = [member for member in self.pool.members if member.dark]
        self.assertEqual(len(dark), 3)
        self.assertEqual(self.takeovers.lost.count("instance-2"), 12)
        self.assertGreater(len(self.takeovers.lost), 12)

    async def test_store_is_back_after_it_was_lost(self):
        for _ in range(6):
            with mock.patch.multiple(
                takeovers_module,
                MIN_SECONDS=0.02,
                MAX_SECONDS=0.02,
                SAME_TIME_SECONDS=0,
            ):
                loss = asyncio.create_task(self.takeovers._lose_store())
                await asyncio.sleep(0.01)
                proxies = [each.store_proxy for each in self.instances.instances]
                held = all(proxy.state is LinkState.HELD for proxy in proxies)
                self.assertNotEqual(held, self.takeovers.store_faults.busy)
                await loss
            self.assertTrue(all(proxy.state is LinkState.OPEN for proxy in proxies))
            self.assertFalse(self.takeovers.store_faults.busy)


if __name__ == "__main__":
    unittest.main()
