"""Daemon processes for the measurements of scheduling."""

import asyncio
from datetime import timedelta
from typing import Any

from almondspread.resources import Capacity
from almondspread_standin.deployment import Deployment, Entry, FailureDomain, Rack
from almondspread_standin.processes import DaemonProcesses

PAUSE = timedelta(milliseconds=20)
READY_SECONDS = 30


class MeasureFailed(Exception):
    """The deployment did not come to where the measurement needs it."""


class DaemonCluster(DaemonProcesses):
    """Daemon processes whose scheduling shards are driven and counted."""

    async def start(self) -> None:
        """Start everything and wait until every scheduling shard is owned."""
        await super().start()
        async with asyncio.timeout(READY_SECONDS):
            while not await self._is_ready():
                await self._clock.sleep(PAUSE)

    async def _is_ready(self) -> bool:
        """Tell whether all daemons are ready and every scheduling shard is owned."""
        wanted = {
            f"schedule/{domain.name}/0" for domain in self.deployment.failure_domains
        }
        owned = set()
        for name in self.processes:
            status = await self.fetch(name, "/v1/status")
            if status is None or not status["ready"]:
                return False
            owned.update(shard["shard"] for shard in status["shards"])
        return wanted <= owned

    async def apply(self, documents: list[dict[str, Any]]) -> None:
        """Declare resources in one change."""
        items = [{"document": document} for document in documents]
        name = next(iter(self.processes))
        if await self.fetch(name, "/v1/apply", {"items": items}) is None:
            raise MeasureFailed("the resources were not accepted")

    async def find_owner(self, shard: str) -> str:
        """Return which daemon owns a shard."""
        for name in self.processes:
            status = await self.fetch(name, "/v1/status")
            for owned in status["shards"] if status else ():
                if owned["shard"] == shard:
                    return name
        raise MeasureFailed(f"no daemon owns {shard}")

    async def count_tasks(self) -> dict[str, int]:
        """Return how many tasks the owners of all shards count in each state."""
        counts = {"running": 0, "waiting": 0}
        for name in self.processes:
            status = await self.fetch(name, "/v1/status")
            for owned in status["shards"] if status else ():
                for state in counts:
                    counts[state] += owned.get(state, 0)
        return counts


def make_deployment(
    domains: int, racks: int, workers: int, capacity: Capacity, entries: int
) -> Deployment:
    """Return a deployment of equal failure domains.

    ``workers`` are for each rack, ``racks`` and ``entries`` for each failure domain.
    """
    built = []
    instances = []
    for number in range(1, domains + 1):
        name = f"domain-{number}"
        listed = []
        for rack in range(1, racks + 1):
            listed.append(Rack(f"{name}-rack-{rack}", workers, capacity))
        built.append(FailureDomain(name, tuple(listed)))
        for entry in range(1, entries + 1):
            # The ports are chosen anew when the deployment starts.
            port = 10 * len(instances) + 1
            instances.append(Entry(f"{name}-entry-{entry}", name, port, port + 1))
    return Deployment("measured", "region", tuple(built), tuple(instances))


def describe_batch(
    name: str, tasks: int, size: Capacity, seconds: float, priority: int = 0
) -> dict[str, Any]:
    """Return the document of a batch job whose tasks sleep."""
    return {
        "kind": "batch",
        "metadata": {"name": name},
        "tasks": tasks,
        "priority": priority,
        "template": {
            "cpu_millis": size.cpu_millis,
            "memory_mib": size.memory_mib,
            "command": ["sleep", str(seconds)],
        },
    }
