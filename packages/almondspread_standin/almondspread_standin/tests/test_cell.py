import asyncio
import json
import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.clock import SystemClock
from almondspread.interfaces import (
    AttemptStart,
    Condition,
    ConditionFailed,
    MinionRequest,
    WorkerExchange,
    Write,
)
from almondspread.resources import Capacity
from almondspread_platform import (
    HttpCaller,
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    HttpWorkerGateway,
    MinionClient,
    open_client,
)
from almondspread_standin import StandInDeployment
from almondspread_standin.cell import CellOptions
from almondspread_standin.deployment import (
    Deployment,
    Entry,
    FailureDomain,
    MinionGroup,
    Rack,
)
from almondspread_standin.minions import KindBehaviour
from almondspread_standin.platform_server import PlatformFaults

SECOND = timedelta(seconds=1)
BRIEF = timedelta(milliseconds=60)
QUICK = {"lookup": KindBehaviour(timedelta(0)), "recalculation": KindBehaviour(BRIEF)}


def describe_domain(name):
    rack = Rack(f"{name}-rack", 1, Capacity(4_000, 8_192))
    return FailureDomain(name, (rack,), (MinionGroup("route", 1),))


DEPLOYMENT = Deployment(
    "operator",
    "region",
    (describe_domain("umea"), describe_domain("lulea")),
    (Entry("entry-1", "umea", 1, 2),),
)


class CellTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        options = CellOptions(behaviours=QUICK)
        self.cell = StandInDeployment(DEPLOYMENT, SystemClock(), options)
        self.cell.start()
        self.http = open_client(8)
        self.caller = HttpCaller(self.http, caller_domain="umea")
        self.table = HttpTable(self.caller, self.cell.platform_address, SECOND)
        self.minions = MinionClient(self.caller)

    async def asyncTearDown(self):
        await self.caller.wait_idle()
        self.http.close()
        await self.cell.stop()

    async def call_minion(self, name="route-umea-1", kind="recalculation", **changes):
        server = self.cell.minions[name]
        server.agent.set_faults(**changes)
        request = MinionRequest("route", kind, b"body", key="k")
        return await self.minions.call(server.address, request, SECOND)

    async def test_table_over_http(self):
        writes = [Write("a/1", b"x"), Write("a/2", b"\x00\xff")]
        self.assertEqual((await self.table.transact([], writes)).ok, 1)
        refused = await self.table.transact([Condition("a/1", 0)], writes)
        self.assertEqual(refused.error, ConditionFailed("a/1", 1))
        deleted = await self.table.transact([], [Write("a/1", None)])
        self.assertEqual(deleted.ok, 2)
        rows = (await self.table.scan("a/", "", 10)).ok
        self.assertEqual([(row.key, row.value) for row in rows], [("a/2", b"\x00\xff")])
        self.assertEqual((await self.table.read(["a/2", "a/3"])).ok, rows)

    async def test_lost_answer_takes_effect_once(self):
        await self.table.read([])
        self.cell.platform.set_faults(lose_answers=1)
        outcome = await self.table.transact([], [Write("a", b"1")])
        self.assertTrue(outcome.is_error())
        self.assertEqual(self.cell.platform.service.counters.transactions, 1)
        self.assertEqual((await self.table.read(["a"])).ok[0].version, 1)

    async def test_down_platform_changes_nothing(self):
        self.cell.platform.set_faults(down=True)
        self.assertTrue((await self.table.transact([], [Write("a", b"1")])).is_error())
        self.cell.platform.set_faults(down=False)
        self.assertEqual((await self.table.read(["a"])).ok, [])

    async def test_objects_over_http(self):
        store = HttpObjectStore(self.caller, self.cell.platform_address, SECOND)
        self.assertIsNone((await store.get("snap/1 å")).ok)
        self.assertTrue((await store.put("snap/1 å", b"data")).is_ok())
        self.assertTrue((await store.put("empty", b"")).is_ok())
        self.assertEqual((await store.get("snap/1 å")).ok, b"data")
        self.assertEqual((await store.get("empty")).ok, b"")
        self.assertTrue((await store.delete("snap/1 å")).is_ok())
        self.assertIsNone((await store.get("snap/1 å")).ok)

    async def test_instances_lag(self):
        listing = HttpInstanceList(self.caller, self.cell.platform_address, SECOND)
        self.cell.platform.set_faults(list_lag_seconds=3_600.0)
        self.cell.announce_leaving("route-umea-1")
        told = {instance.name: instance for instance in (await listing.list()).ok}
        self.assertFalse(told["route-umea-1"].leaving)
        self.assertEqual(told["umea-rack-1"].capacity, Capacity(4_000, 8_192))
        self.assertEqual(told["entry-1"].address, "127.0.0.1:2")
        self.cell.platform.set_faults(list_lag_seconds=0.0)
        told = {instance.name: instance for instance in (await listing.list()).ok}
        self.assertTrue(told["route-umea-1"].leaving)

    async def test_cut_off_domain_reaches_only_itself(self):
        gateway = HttpWorkerGateway(self.caller, BRIEF)
        self.cell.cut_off("umea")
        start = AttemptStart("t/1", Capacity(1, 1), ("serve",), 60.0, 4e9)
        near = self.cell.workers["umea-rack-1"]
        far = self.cell.workers["lulea-rack-1"]
        asked = await gateway.exchange(near.address, WorkerExchange(expires=4e9))
        message = WorkerExchange(
            starts=(start,), incarnation=asked.ok.incarnation, expires=4e9
        )
        self.assertTrue((await gateway.exchange(far.address, message)).is_error())
        self.assertEqual(far.agent.running, ())
        report = (await gateway.exchange(near.address, message)).ok
        self.assertEqual([usage.attempt for usage in report.running], ["t/1"])
        table = HttpTable(self.caller, self.cell.platform_address, BRIEF)
        self.assertTrue((await table.transact([], [Write("a", b"1")])).is_error())
        self.cell.reconnect()
        asked = await gateway.exchange(far.address, WorkerExchange(expires=4e9))
        message = evolve(message, incarnation=asked.ok.incarnation)
        self.assertTrue((await gateway.exchange(far.address, message)).is_ok())
        self.assertEqual((await self.table.read(["a"])).ok, [])
        self.assertEqual(self.cell.ledger.count().double_runs, 1)

    async def test_minion_fault_modes(self):
        self.assertEqual((await self.call_minion()).ok.status, 200)
        self.assertTrue((await self.call_minion(leaving=True)).ok.leaving)
        for mode in ("close", "half"):
            outcome = await self.call_minion(mode=mode)
            self.assertFalse(outcome.error.not_sent)
        self.assertEqual((await self.call_minion(mode="refuse")).ok.status, 503)
        agent = self.cell.minions["route-umea-1"].agent
        self.assertEqual(agent.runs_by_key["k"], 4)
        self.assertEqual(agent.count().in_flight, 0)
        self.assertEqual(agent.count().max_in_flight, 1)
        self.assertEqual(agent.count().max_connections, 1)

    async def test_caller_keeps_to_its_connections(self):
        caller = HttpCaller(self.http, per_address=2)
        minions = MinionClient(caller)
        server = self.cell.minions["route-umea-1"]
        request = MinionRequest("route", "recalculation", b"x", key="k")
        calls = [minions.call(server.address, request, SECOND) for _ in range(6)]
        for answer in await asyncio.gather(*calls):
            self.assertTrue(answer.is_ok())
        counters = server.agent.count()
        self.assertEqual((counters.runs, counters.max_in_flight), (6, 2))
        self.assertEqual(counters.max_connections, 2)
        self.assertEqual(counters.keys_run_again, 1)

    async def set_faults_by_http(self, document):
        body = json.dumps(document).encode()
        path = f"http://{self.cell.platform_address}/faults"
        answer = await self.http.fetch(
            path, method="POST", body=body, raise_error=False
        )
        return answer.code

    async def test_faults_by_http(self):
        faults = {"lose_answers": 2, "cut_off": ["umea"]}
        self.assertEqual(await self.set_faults_by_http(faults), 200)
        self.assertEqual(await self.set_faults_by_http({"delay_ms": 5}), 200)
        for wrong in ({"down": "yes"}, {"dwn": True}, ["down"]):
            self.assertEqual(await self.set_faults_by_http(wrong), 400)
        expected = PlatformFaults(lose_answers=2, cut_off=("umea",), delay_ms=5.0)
        self.assertEqual(self.cell.platform.service.faults, expected)

    async def test_killed_minion_was_not_sent(self):
        address = self.cell.minions["route-umea-1"].address
        await self.cell.kill_minion("route-umea-1")
        request = MinionRequest("route", "lookup", b"")
        fault = (await self.minions.call(address, request, SECOND)).error
        self.assertTrue(fault.not_sent)


if __name__ == "__main__":
    unittest.main()
