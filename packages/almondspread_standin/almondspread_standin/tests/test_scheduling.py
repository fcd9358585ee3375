"""Scheduling decisions that cross processes: real entries beside the stand-ins."""

import asyncio
import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.clock import SystemClock
from almondspread.resources import Capacity
from almondspread_daemon.settings import OwnershipSettings
from almondspread_standin.demo.client import DemoClient
from almondspread_standin.deployment import Deployment, Entry, FailureDomain, Rack
from almondspread_standin.embedded import EmbeddedCluster

PATIENCE = timedelta(seconds=30)
PAUSE = timedelta(milliseconds=20)
WORKER = Capacity(4_000, 4_096)
DOMAINS = ("umea", "lulea")


def plan_deployment(workers=(2, 2), capacities=(WORKER, WORKER)):
    """Return two failure domains with one rack and one entry each."""
    planned = []
    entries = []
    for name, count, capacity in zip(DOMAINS, workers, capacities, strict=True):
        planned.append(FailureDomain(name, (Rack(f"{name}-rack", count, capacity),)))
        entries.append(Entry(f"entry-{name}", name, 1, 2))
    return Deployment("operator", "region", tuple(planned), tuple(entries))


def make_document(kind, name, count, cpu=1_000, memory=512, command=("serve",), **more):
    """Return the document that declares a workload."""
    template = {"cpu_millis": cpu, "memory_mib": memory, "command": list(command)}
    template.update(more.pop("template", {}))
    counted = "replicas" if kind == "service" else "tasks"
    metadata = {"name": name, **more.pop("metadata", {})}
    document = {"kind": kind, "metadata": metadata, counted: count}
    return {**document, "template": template, **more}


class SchedulingCase(unittest.IsolatedAsyncioTestCase):
    """A cluster of two failure domains, and a client of its entries."""

    deployment = plan_deployment()
    ownership = None

    async def asyncSetUp(self):
        self.clock = SystemClock()
        sections = {"ownership": self.ownership} if self.ownership else {}
        self.cluster = EmbeddedCluster(self.deployment, self.clock, **sections)
        await self.cluster.start()
        self.client = DemoClient(self.cluster.urls)

    async def asyncTearDown(self):
        await self.cluster.stop()
        counted = self.cluster.cell.ledger.count()
        self.assertEqual((counted.double_runs, counted.over_commitments), (0, 0))

    async def apply(self, *documents):
        items = [{"document": document} for document in documents]
        return await self.client.call("POST", "/v1/apply", {"items": items})

    async def await_true(self, is_true):
        async with asyncio.timeout(PATIENCE.total_seconds()):
            while not is_true():
                await self.clock.sleep(PAUSE)

    async def await_status(self, name, is_wanted):
        async with asyncio.timeout(PATIENCE.total_seconds()):
            while True:
                answer = await self.client.call("GET", f"/v1/resources/{name}")
                status = answer.document["status"] or {}
                if is_wanted(status):
                    return status
                await self.clock.sleep(PAUSE)

    def count_running(self, prefix):
        return self.cluster.cell.ledger.count_running(prefix)

    def list_on(self, worker):
        return self.cluster.cell.workers[worker].agent.running


class DrainTest(SchedulingCase):
    async def test_drain_moves_a_service_without_a_gap(self):
        await self.apply(make_document("service", "s", 4))
        await self.await_status("service/s", lambda status: status["ready"])
        drained = next(name for name in self.cluster.cell.workers if self.list_on(name))
        lowest = 4
        await self.apply(
            {"kind": "worker", "metadata": {"name": drained}, "drain": True}
        )
        async with asyncio.timeout(PATIENCE.total_seconds()):
            while self.list_on(drained):
                lowest = min(lowest, self.count_running("service/s:"))
                await self.clock.sleep(PAUSE)
        lowest = min(lowest, self.count_running("service/s:"))
        self.assertEqual(lowest, 4)
        await self.await_true(lambda: self.count_running("service/s:") == 4)
        await self.apply(
            {"kind": "worker", "metadata": {"name": drained}, "drain": False},
            make_document("batch", "b", 12),
        )
        await self.await_true(lambda: self.list_on(drained))

    async def test_a_leaving_worker_is_emptied(self):
        await self.apply(make_document("service", "s", 4))
        await self.await_status("service/s", lambda status: status["ready"])
        leaving = next(name for name in self.cluster.cell.workers if self.list_on(name))
        self.cluster.cell.announce_leaving(leaving)
        await self.await_true(lambda: not self.list_on(leaving))
        await self.await_status("service/s", lambda status: status["ready"])


class PolicyTest(SchedulingCase):
    async def test_the_configured_policy_is_in_force(self):
        await self.apply(
            {"kind": "configuration", "metadata": {"name": "cell"}, "policy": "packing"}
        )
        await self.apply(make_document("batch", "packed", 8, cpu=400))
        await self.await_true(lambda: self.count_running("batch/packed:") == 8)
        used = [name for name in self.cluster.cell.workers if self.list_on(name)]
        self.assertEqual(len(used), 2)
        await self.apply(
            {"kind": "configuration", "metadata": {"name": "cell"}, "policy": "waiting"}
        )
        await self.apply(make_document("batch", "spread", 8, cpu=400))
        await self.await_true(lambda: self.count_running("batch/spread:") == 8)
        used = [name for name in self.cluster.cell.workers if self.list_on(name)]
        self.assertEqual(len(used), 4)


class WaitingTest(SchedulingCase):
    async def test_work_that_fits_no_worker_is_refused_with_the_remedy(self):
        answer = await self.apply(
            make_document("batch", "small", 1), make_document("batch", "big", 1, 4_001)
        )
        self.assertEqual(answer.status, 400)
        self.assertIn("the largest has 4000", answer.document["message"])
        self.assertIn("smaller size", answer.document["remedy"])
        self.assertTrue(answer.document["not_run"])
        listed = await self.client.call("GET", "/v1/resources/batch")
        self.assertEqual(listed.document["items"], [])

    async def test_waiting_work_says_why_at_every_entry(self):
        await self.apply(make_document("batch", "b", 20))
        status = await self.await_status(
            "batch/b", lambda status: "umea" in status["message"]
        )
        self.assertIn("0 of 2 workers fit: 2 too little processor", status["message"])
        for _ in self.cluster.entries:
            answer = await self.client.call("GET", "/v1/describe/batch/b")
            tasks = answer.document["tasks"]
            waiting = [task for task in tasks if task["state"] == "waiting"]
            self.assertEqual((len(tasks), len(waiting)), (20, 4))
            for task in waiting:
                self.assertEqual(task["reasons"], {"too little processor": 2})

    async def test_work_is_impossible_once_the_cell_lost_its_workers(self):
        await self.apply(make_document("batch", "fill", 16))
        await self.await_true(lambda: self.count_running("batch/fill:") == 16)
        await self.apply(make_document("batch", "b", 2, 4_000))
        await self.await_status("batch/b", lambda status: status["message"])
        capacity = Capacity(2_000, 2_048)
        instances = self.cluster.cell.platform.service.instances
        for name in self.cluster.cell.workers:
            instances.add(evolve(instances.find(name), capacity=capacity))
        status = await self.await_status(
            "batch/b", lambda status: status["phase"] == "impossible"
        )
        self.assertIn("the largest has 2000", status["message"])


class QuotaTest(SchedulingCase):
    async def test_a_team_keeps_to_its_quota_over_all_failure_domains(self):
        team = {"kind": "team", "metadata": {"name": "t"}}
        job = make_document(
            "batch", "b", 24, command=("sleep", "0.2"), metadata={"team": "t"}
        )
        await self.apply({**team, "cpu_millis": 3_000, "memory_mib": 9_000}, job)
        most = 0
        async with asyncio.timeout(PATIENCE.total_seconds()):
            while self.count_finished() < 24:
                most = max(most, self.count_running("batch/b:"))
                await self.clock.sleep(PAUSE)
        self.assertEqual(most, 3)
        await self.await_status("batch/b", lambda status: status["finished"] == 24)

    def count_finished(self):
        counted = self.cluster.cell.ledger.count()
        return counted.started - counted.running


class PressureTest(SchedulingCase):
    async def test_urgent_work_starts_at_a_full_cluster(self):
        saved = {"checkpointable": True, "run_seconds": 3.0}
        command = ("sleep", "3")
        await self.apply(
            make_document("batch", "b", 16, command=command, template=saved)
        )
        await self.await_true(lambda: self.count_running("batch/b:") == 16)
        await self.apply(
            make_document("batch", "u", 2, 4_000, command=("serve",), priority=900)
        )
        await self.await_true(lambda: self.count_running("batch/u:") == 2)
        status = await self.await_status(
            "batch/b", lambda status: status["finished"] == 16
        )
        self.assertEqual(status["failed"], 0)

    async def test_a_worker_that_fails_everything_is_quarantined(self):
        await self.apply(
            {
                "kind": "configuration",
                "metadata": {"name": "cell"},
                "quarantine_share": 0.5,
            }
        )
        bad = next(iter(self.cluster.cell.workers))
        self.cluster.cell.workers[bad].agent.set_faults(crash_all=True)
        jobs = []
        for number in range(6):
            name = f"b{number}"
            command = ("sleep", "0.1")
            jobs.append(make_document("batch", name, 8, command=command, attempts=20))
        await self.apply(*jobs)
        await self.await_true(lambda: self.find_exclusion(bad) == "quarantined")
        for number in range(6):
            await self.await_status(
                f"batch/b{number}", lambda status: status["finished"] == 8
            )

    def find_exclusion(self, worker):
        for entry in self.cluster.entries.values():
            for runner in entry.keeper.runners.values():
                cell = getattr(getattr(runner, "scheduler", None), "cell", None)
                if cell is not None and cell.has_worker(worker):
                    return cell.worker(worker).exclusion
        return ""


class LostDomainTest(SchedulingCase):
    deployment = plan_deployment((2, 2))
    ownership = OwnershipSettings(
        schedule_shards=1,
        request_shards=1,
        instance_lease_seconds=1.0,
        domain_gone_seconds=1.0,
    )

    async def test_replicas_of_a_domain_gone_for_good_run_in_another(self):
        await self.apply(make_document("service", "s", 6))
        await self.await_status("service/s", lambda status: status["ready"])
        self.client.urls.pop("entry-lulea")
        for name in list(self.cluster.cell.workers):
            if name.startswith("lulea"):
                await self.cluster.cell.kill_worker(name)
        await self.cluster.kill_entry("entry-lulea")
        self.assertLess(self.count_running("service/s:"), 6)
        await self.await_true(lambda: self.count_running("service/s:") == 6)
        await self.await_status("service/s", lambda status: status["ready"])


class OverflowTest(SchedulingCase):
    rare = Capacity(4_000, 4_096, 2)
    deployment = plan_deployment((1, 3), (WORKER, rare))

    async def test_waiting_tasks_go_where_there_is_room(self):
        await self.apply(make_document("batch", "b", 16))
        self.cluster.cell.platform.set_faults(lose_answers=5)
        await self.await_true(lambda: self.count_running("batch/b:") == 16)
        status = await self.await_status(
            "batch/b", lambda status: status["running"] == 16
        )
        self.assertEqual(status["waiting"], 0)
        answer = await self.client.call("GET", "/v1/describe/batch/b")
        self.assertEqual(len(answer.document["tasks"]), 16)
        await self.client.call("POST", "/v1/cancel", {"names": ["batch/b"]})
        await self.await_true(lambda: not self.count_running("batch/b:"))

    async def test_tasks_with_accelerators_find_the_domain_that_has_them(self):
        await self.apply(
            make_document("batch", "b", 6, 500, template={"accelerators": 1}),
            make_document("gang", "g", 8),
        )
        await self.await_true(lambda: self.count_running("batch/b:") == 6)
        await self.await_true(lambda: self.count_running("gang/g:") == 8)


if __name__ == "__main__":
    unittest.main()
