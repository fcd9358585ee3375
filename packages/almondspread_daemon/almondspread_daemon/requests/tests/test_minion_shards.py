import asyncio
import unittest
from datetime import timedelta

from expression import Error, Ok

from almondspread.clock import ManualClock
from almondspread.interfaces import (
    Condition,
    Instance,
    MinionAnswer,
    MinionRequest,
    Write,
)
from almondspread.ownership import Member, Ownership
from almondspread.ownership.authority import Authority
from almondspread.testing import MemoryTable
from almondspread_daemon.peers.messages import Accepted, Refused
from almondspread_daemon.peers.request_messages import ConfirmOwner, SlotsInUse
from almondspread_daemon.requests.idle_slots import store_idle_records
from almondspread_daemon.requests.minion_calls import MinionCalls
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.minion_shards import MinionShard, MinionTimings
from almondspread_platform.minions import MinionFault

SHARD = "minions/umea/0"
SECOND = timedelta(seconds=1)
LEASE = 3 * SECOND
DENIED = Refused("unavailable", "another owner", "ask it")


class GatedClient:
    """A client whose calls wait for a gate, then check ``may_send`` before sending."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.sent = 0

    async def call(self, address, request, timeout, may_send):
        await self.gate.wait()
        if not may_send():
            return Error(MinionFault("denied", not_sent=True))
        self.sent += 1
        return Ok(MinionAnswer(200, b"{}"))


class TestMinionShard(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.table.apply([], [Write(f"owner/{SHARD}", b"me")])
        self.client = GatedClient()
        self.peers = [Member("peer", "address", "umea", "i", timedelta(0))]
        self.replies = {}
        bounds = {"lookup": 4, "recalculation": 4}
        self.pools = MinionPools("umea", (SHARD,), self.clock, lambda _: bounds)
        self.calls = MinionCalls(self.pools, self.client, self.clock, lambda _: None)
        self.pools.update_minions(
            [Instance("m-1", "minion", "a", "umea", service="route", slots=4)]
        )

    def make_shard(self, epoch):
        condition = Condition(f"owner/{SHARD}", self.table.revision)
        timings = MinionTimings(LEASE, 2 * SECOND, 60 * SECOND)
        shard = MinionShard(
            Ownership(SHARD, epoch, condition, Authority(LEASE, timedelta(0))),
            self.pools,
            self.table,
            lambda: self.peers,
            self.ask,
            timings,
            self.clock,
        )
        shard.assume_all_in_use()
        self.pools.attach_shard(shard.slots)
        return shard

    async def ask(self, member, message, timeout):
        default = Accepted() if isinstance(message, ConfirmOwner) else None
        return self.replies.get(type(message).__name__, default)

    def take(self, kind="lookup"):
        due = self.clock.monotonic() + SECOND
        return self.pools.acquire_slot("route", kind, due, wait=False)

    def count_free(self):
        load = self.pools.compute_loads()["route"]
        return load.free

    async def test_first_owner_sends_at_once(self):
        shard = self.make_shard(1)
        self.assertTrue((await self.take()).is_error())
        self.assertTrue(await shard.renew_send_lease())
        self.assertTrue((await self.take()).is_ok())

    async def test_paused_owner_sends_nothing_after_its_send_lease(self):
        shard = self.make_shard(1)
        await shard.renew_send_lease()
        ticket = (await self.take()).ok
        due = self.clock.monotonic() + 60 * SECOND
        request = MinionRequest("route", "lookup", b"")
        sending = asyncio.create_task(self.calls.send_request(ticket, request, due))
        await asyncio.sleep(0)
        self.clock.advance(LEASE / 2)
        self.client.gate.set()
        self.assertIs((await sending).error.not_run, True)
        self.assertEqual(self.client.sent, 0)
        self.assertTrue((await self.take()).is_error())
        await shard.renew_send_lease()
        self.assertTrue((await self.take()).is_ok())

    async def test_nothing_is_sent_after_the_deadline(self):
        shard = self.make_shard(1)
        await shard.renew_send_lease()
        ticket = (await self.take()).ok
        due = self.clock.monotonic() + SECOND / 2
        request = MinionRequest("route", "lookup", b"")
        sending = asyncio.create_task(self.calls.send_request(ticket, request, due))
        await asyncio.sleep(0)
        self.clock.advance(SECOND / 2)
        self.client.gate.set()
        self.assertIs((await sending).error.not_run, True)
        self.assertEqual(self.client.sent, 0)

    async def test_request_not_sent_by_its_deadline_is_told_as_not_run(self):
        """Its outcome was told as unknown, though nothing was sent and never is."""
        shard = self.make_shard(1)
        await shard.renew_send_lease()
        ticket = (await self.take()).ok
        due = self.clock.monotonic() + SECOND / 20
        request = MinionRequest("route", "lookup", b"")
        answer = await self.calls.send_request(ticket, request, due)
        self.assertIs(answer.error.not_run, True)
        # The stopped clock would still allow it.
        self.client.gate.set()
        await self.calls.wait_until_idle()
        self.assertEqual(self.client.sent, 0)

    async def test_later_owner_ends_the_send_lease(self):
        shard = self.make_shard(1)
        self.replies["ConfirmOwner"] = DENIED
        self.assertFalse(await shard.renew_send_lease())
        self.replies.clear()
        other = self.make_shard(1)
        self.table.apply([], [Write(f"owner/{SHARD}", b"other")])
        self.assertTrue(await other.renew_send_lease())
        self.assertFalse(await other.renew_send_lease())

    async def test_owner_keeps_sending_while_the_table_is_down(self):
        shard = self.make_shard(1)
        self.table.down = True
        for _ in range(10):
            self.assertTrue(await shard.renew_send_lease())
            self.assertTrue((await self.take()).is_ok() or self.count_free() == 0)
            self.clock.advance(LEASE / 6)
        self.assertTrue(shard.slots.may_send(self.clock.monotonic()))

    async def test_owner_without_peers_keeps_sending_but_not_right_after_a_pause(self):
        shard = self.make_shard(1)
        self.table.down = True
        self.peers = []
        await shard.renew_send_lease()
        self.clock.advance(LEASE)
        await shard.renew_send_lease()
        self.assertFalse(shard.slots.may_send(self.clock.monotonic()))
        self.clock.advance(LEASE / 6)
        await shard.renew_send_lease()
        self.assertTrue(shard.slots.may_send(self.clock.monotonic()))

    async def test_unreachable_peer_and_table_end_the_send_lease(self):
        shard = self.make_shard(1)
        await shard.renew_send_lease()
        self.table.down = True
        self.replies["ConfirmOwner"] = None
        self.clock.advance(LEASE / 2)
        await shard.renew_send_lease()
        self.assertFalse(shard.slots.may_send(self.clock.monotonic()))

    async def test_crash_counts_all_slots_until_the_longest_request_ended(self):
        shard = self.make_shard(2)
        # Lookups have ended after 3 + 2 + 2 s and all requests after 3 + 60 + 30 s:
        # the instance lease, the longest duration and the grace period of the kind.
        for elapsed, free in ((0, 0), (6.9, 0), (7.1, 1), (92.9, 1), (93.1, 4)):
            self.clock.advance(elapsed * SECOND - self.clock.monotonic())
            await shard.renew_send_lease()
            self.assertEqual(self.count_free(), free, elapsed)

    async def test_handover_counts_the_reported_slots(self):
        shard = self.make_shard(2)
        self.replies["FetchSlots"] = SlotsInUse(1, True, {"m-1": 3})
        recovering = asyncio.create_task(shard.recover_slots(shard.slots))
        await asyncio.sleep(0.01)
        await shard.renew_send_lease()
        self.assertEqual(self.count_free(), 1)
        self.replies["FetchSlots"] = SlotsInUse(1, True, {})
        self.clock.advance(SECOND)
        await recovering
        await shard.renew_send_lease()
        self.assertEqual(self.count_free(), 4)

    async def test_idle_record_of_a_stopped_owner_frees_all_slots(self):
        await store_idle_records(self.table, {SHARD: 4})
        for epoch, free in ((6, 0), (5, 4)):
            shard = self.make_shard(epoch)
            recovering = asyncio.create_task(shard.recover_slots(shard.slots))
            await asyncio.sleep(0.01)
            await shard.renew_send_lease()
            self.assertEqual(self.count_free(), free)
            recovering.cancel()

    async def test_report_is_ignored_unless_the_former_owner_has_released(self):
        shard = self.make_shard(3)
        for report in (SlotsInUse(2, False, {}), SlotsInUse(1, True, {})):
            self.replies["FetchSlots"] = report
            recovering = asyncio.create_task(shard.recover_slots(shard.slots))
            await asyncio.sleep(0.01)
            await shard.renew_send_lease()
            self.assertEqual(self.count_free(), 0)
            recovering.cancel()


if __name__ == "__main__":
    unittest.main()
