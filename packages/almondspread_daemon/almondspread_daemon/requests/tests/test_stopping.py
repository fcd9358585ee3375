import asyncio
import unittest

from almondspread_daemon.requests.tests.support import ClusterTestCase
from almondspread_daemon.stopping import stop_within_bound


class TestStopping(ClusterTestCase):
    async def test_stop_lets_requests_in_flight_finish(self):
        leaving = "entry-2"
        entry = self.cluster.entries[leaving]
        key = self.pick_key(leaving)
        self.set_faults(held=True)
        calls = [
            asyncio.create_task(self.send(leaving, "recalculation", key)),
            asyncio.create_task(self.send("entry-1", "recalculation", "other")),
            asyncio.create_task(self.send(leaving, seconds=0.9)),
        ]
        await self.wait_until(lambda: self.count_in_flight() == 3)
        stopping = asyncio.create_task(entry.stop())
        await self.wait_until(lambda: entry.stopping)
        self.assertFalse(entry.is_ready)
        self.set_faults(held=False)
        for call in calls:
            self.assertEqual((await call).status, 200)
        await stopping
        del self.cluster.entries[leaving]
        again = await self.send("entry-3", "recalculation", key)
        while again.status == 503:
            self.assertIs(again.document["not_run"], True)
            again = await self.send("entry-3", "recalculation", key)
        self.assertEqual((again.status, again.outcome), (200, "recorded"))
        self.assertEqual(self.count_runs(key), 1)
        self.assert_limits_kept()

    async def test_entry_serves_until_the_balancer_has_seen_that_it_is_not_ready(self):
        entry = self.cluster.entries["entry-1"]
        stopping = asyncio.create_task(entry.stop())
        await self.wait_until(lambda: entry.keeper.leaving)
        self.assertFalse(entry.stopping)
        self.assertEqual((await self.send("entry-1")).status, 200)
        await stopping
        del self.cluster.entries["entry-1"]

    async def test_end_now_answers_open_calls_with_an_unknown_outcome(self):
        entry = self.cluster.entries["entry-1"]
        self.set_faults(held=True)
        call = asyncio.create_task(self.send("entry-1", "recalculation", "cut"))
        await self.wait_until(lambda: self.count_runs("cut") == 1)
        await entry.end_now()
        reply = await call
        self.assertEqual(reply.status, 504)
        self.assertIsNone(reply.document["not_run"])
        del self.cluster.entries["entry-1"]

    async def test_second_signal_ends_a_waiting_stop(self):
        entry = self.cluster.entries["entry-1"]
        self.set_faults(held=True)
        call = asyncio.create_task(self.send("entry-1", "recalculation", "slow"))
        await self.wait_until(lambda: self.count_runs("slow") == 1)
        hurried = asyncio.Event()
        bound = entry.settings.requests.stop_bound
        stopping = asyncio.create_task(
            stop_within_bound(entry.stop(), entry.end_now, hurried, bound)
        )
        await self.wait_until(lambda: entry.stopping)
        self.assertFalse(call.done())
        hurried.set()
        await stopping
        reply = await call
        self.assertEqual(reply.status, 504)
        self.assertIsNone(reply.document["not_run"])
        del self.cluster.entries["entry-1"]

    async def test_minion_that_reports_leaving_gets_no_further_request(self):
        leaving = self.agents[0]
        leaving.set_faults(leaving=True)
        while not leaving.runs:
            for name in self.cluster.entries:
                await self.send(name)
        seen = len(leaving.runs)
        for name in list(self.cluster.entries) * 5:
            self.assertEqual((await self.send(name)).status, 200)
        self.assertEqual(len(leaving.runs), seen)

    async def test_minion_listed_as_leaving_gets_no_request(self):
        name = sorted(self.cluster.cell.minions)[0]
        agent = self.cluster.cell.minions[name].agent
        self.cluster.cell.platform.service.instances.mark_leaving(name)
        await self.wait_until(
            lambda: all(
                entry.requests.pools.pools["route"].minions[name].leaving
                for entry in self.entries
            )
        )
        for entry in list(self.cluster.entries) * 5:
            self.assertEqual((await self.send(entry)).status, 200)
        self.assertEqual(len(agent.runs), 0)

    async def test_next_owner_knows_that_a_minion_is_leaving(self):
        leaving = self.agents[0]
        leaving.set_faults(leaving=True)
        while not leaving.runs:
            for name in self.cluster.entries:
                await self.send(name)
        shard = None
        for entry in self.entries:
            minion = entry.requests.pools.pools["route"].minions[leaving.name]
            if minion.shard.epoch and not minion.shard.released:
                shard, owner = minion.shard.shard, entry
        await owner.stop()
        del self.cluster.entries[owner.settings.name]
        await self.wait_until(
            lambda: any(shard in entry.keeper.runners for entry in self.entries)
        )
        seen = len(leaving.runs)
        for name in list(self.cluster.entries) * 5:
            await self.send(name)
        self.assertEqual(len(leaving.runs), seen)


if __name__ == "__main__":
    unittest.main()
