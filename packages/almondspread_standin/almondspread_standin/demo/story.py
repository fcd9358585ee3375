"""What the demonstration does and checks, on one deployment."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

from attrs import define

from almondspread.clock import Clock
from almondspread_standin.demo.client import Answer, DemoClient
from almondspread_standin.embedded import EmbeddedCluster

STEP_TIMEOUT = timedelta(seconds=12)
PAUSE = timedelta(milliseconds=50)

Report = Callable[[str, str], None]


class DemoFailed(Exception):
    """A line of the demonstration did not hold."""


@define(frozen=True)
class Names:
    """The workloads of a deployment that the demonstration follows."""

    service: str
    batch: str
    gang: str
    request_service: str


class Story:
    """One run of the demonstration on one deployment."""

    def __init__(
        self,
        cluster: EmbeddedCluster,
        workloads: Path,
        clock: Clock,
        report: Report,
    ) -> None:
        self._cluster = cluster
        self._clock = clock
        self._report = report
        self._documents = json.loads(workloads.read_text())
        self._client = DemoClient(cluster.urls)
        self._status: dict[str, dict[str, Any]] = {}
        self._names = find_names(self._documents)
        self._key = "demo-recalculation-1"

    async def run(self) -> None:
        """Tell the whole story; raises ``DemoFailed`` at the first false line."""
        await self._apply()
        watch = asyncio.create_task(self._follow())
        try:
            await self._step("service", self._await_service)
            await self._step("gang together", self._await_gang_together)
            await self._step("lookup", self._look_up)
            await self._step("recalculation", self._recalculate)
            await self._step("duplicate", self._repeat)
            await self._step("graceful stop", self._stop_entry)
            await self._step("kill", self._kill_entry)
            await self._step("gang", self._await_gang)
            await self._step("batch", self._await_batch)
            await self._step("after the kill", self._repeat)
            await self._step("service kept", self._await_service)
            await self._step("truth", self._check_truth)
        finally:
            watch.cancel()

    async def _step(self, name: str, act: Callable[[], Awaitable[str]]) -> None:
        """Carry out one step within its time and report what it saw."""
        try:
            async with asyncio.timeout(STEP_TIMEOUT.total_seconds()):
                self._report(name, await act())
        except TimeoutError:
            status = json.dumps(self._status)
            raise DemoFailed(f"{name}: not in time; last status {status}") from None

    async def _apply(self) -> None:
        """Declare the deployment's resources."""
        items = [{"document": d, "resource_version": 0} for d in self._documents]
        answer = await self._client.call("POST", "/v1/apply", {"items": items})
        check(answer.status == 200, f"apply answered {answer}")
        self._revision = answer.document["revision"]
        self._report("apply", f"{len(items)} resources at revision {self._revision}")

    async def _follow(self) -> None:
        """Follow the workloads by a watch, taken up again after each cut."""
        while True:
            path = f"/v1/watch?from={self._revision - 1}&kinds=service,batch,gang"
            await self._client.watch(path, self._take_line)
            await self._clock.sleep(PAUSE)

    def _take_line(self, line: dict[str, Any]) -> None:
        """Note the latest status of a workload."""
        self._revision = max(self._revision, line["revision"])
        if line.get("status"):
            self._status[f"{line['kind']}/{line['name']}"] = line["status"]

    async def _await(self, name: str, is_true: Callable[[dict], bool]) -> dict:
        """Wait until the watch has shown a status that is as wanted."""
        while True:
            status = self._status.get(name, {})
            if is_true(status):
                return status
            await self._clock.sleep(PAUSE)

    async def _await_service(self) -> str:
        """Wait until the service runs, and look at how it is spread."""
        name = f"service/{self._names.service}"
        await self._await(name, lambda status: status.get("ready", False))
        answer = await self._client.call("GET", f"/v1/describe/{name}")
        workers = {task["worker"] for task in answer.document["tasks"]}
        racks = {worker.rpartition("-")[0] for worker in workers}
        check(len(racks) > 1, f"{name} runs in one rack only: {racks}")
        return f"{len(answer.document['tasks'])} replicas over {len(racks)} racks"

    async def _look_up(self) -> str:
        """Ask a minion a lookup."""
        path = f"/v1/requests/{self._names.request_service}/lookup"
        answer = await self._client.call("POST", path, {"stop": 17})
        while was_refused(answer):
            await self._clock.sleep(PAUSE)
            answer = await self._client.call("POST", path, {"stop": 17})
        check(answer.status == 200, f"the lookup was answered {answer}")
        return f"answered by {answer.document['minion']}"

    async def _recalculate(self) -> str:
        """Have a minion run a recalculation under a new key."""
        answer = await self._submit()
        check(
            answer.status == 200 and answer.outcome == "answered",
            f"the recalculation was answered {answer}",
        )
        return f"run by {answer.document['minion']}"

    async def _repeat(self) -> str:
        """Submit the same recalculation again, at another entry."""
        answer = await self._submit()
        check(
            answer.status == 200 and answer.outcome == "recorded",
            f"the duplicate was answered {answer}",
        )
        check(self._count_runs() == 1, f"the key ran {self._count_runs()} times")
        return "answered from the record; it ran once"

    async def _submit(self) -> Answer:
        """Submit the recalculation, again while it is refused as not run."""
        path = f"/v1/requests/{self._names.request_service}/recalculation"
        while True:
            answer = await self._client.call(
                "POST",
                path,
                {"municipality": "one"},
                {"Idempotency-Key": self._key},
            )
            if not was_refused(answer):
                return answer
            await self._clock.sleep(PAUSE)

    def _count_runs(self) -> int:
        """Return how often minions really ran the recalculation."""
        runs = 0
        for server in self._cluster.cell.minions.values():
            runs += server.agent.runs_by_key[self._key]
        return runs

    async def _stop_entry(self) -> str:
        """Stop one entry gracefully while work is running."""
        name = sorted(self._cluster.entries)[0]
        running = self._cluster.cell.ledger.count().running
        self._client.urls.pop(name)
        await self._cluster.stop_entry(name)
        return f"{name} left while {running} tasks ran"

    async def _kill_entry(self) -> str:
        """Kill the entry that owns most scheduling shards."""
        entries = self._cluster.entries
        name = max(entries, key=lambda entry: len(entries[entry].keeper.runners))
        shards = len(entries[name].keeper.runners)
        running = self._cluster.cell.ledger.count().running
        self._client.urls.pop(name)
        await self._cluster.kill_entry(name)
        return f"{name} killed with {shards} shards while {running} tasks ran"

    async def _await_gang_together(self) -> str:
        """Wait until workers really run all tasks of the gang at once."""
        tasks = self._find_document("gang", self._names.gang)["tasks"]
        prefix = f"gang/{self._names.gang}:"
        while self._cluster.cell.ledger.count_running(prefix) < tasks:
            await self._clock.sleep(PAUSE)
        return f"{tasks} tasks run at the same time"

    def _find_document(self, kind: str, name: str) -> dict[str, Any]:
        """Return the declaration of one resource."""
        for document in self._documents:
            if document["kind"] == kind and document["metadata"]["name"] == name:
                return document
        raise DemoFailed(f"{kind}/{name} is not declared")

    async def _await_gang(self) -> str:
        """Wait until the gang has finished."""
        name = f"gang/{self._names.gang}"
        status = await self._await(
            name, lambda status: status.get("phase") == "finished"
        )
        return f"{status['finished']} of {status['tasks']} tasks finished"

    async def _await_batch(self) -> str:
        """Wait until the batch job is done."""
        name = f"batch/{self._names.batch}"
        status = await self._await(
            name, lambda status: status.get("phase") == "finished"
        )
        return f"{status['finished']} of {status['tasks']} tasks finished"

    async def _check_truth(self) -> str:
        """Compare with what workers and minions really ran."""
        counted = self._cluster.cell.ledger.count()
        check(not counted.double_runs, f"{counted.double_runs} tasks ran twice at once")
        check(not counted.over_commitments, f"{counted.over_commitments} overcommitted")
        check(not counted.repeated_attempts, "an attempt was started again")
        return f"{counted.started} attempts started, none doubled, none over capacity"


def find_names(documents: list[dict[str, Any]]) -> Names:
    """Return the first workload of each kind."""
    first: dict[str, str] = {}
    for document in documents:
        first.setdefault(document["kind"], document["metadata"]["name"])
    return Names(
        first["service"], first["batch"], first["gang"], first["request-service"]
    )


def was_refused(answer: Answer) -> bool:
    """Tell whether a request was refused for now and not run."""
    return answer.status in (429, 503)


def check(holds: bool, message: str) -> None:
    """Fail the demonstration where something does not hold."""
    if not holds:
        raise DemoFailed(message)
