"""A deployment whose entry instances are real daemons in processes of their own."""

import asyncio
import json
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest

from almondspread.clock import Clock
from almondspread.codec import unstructure_value
from almondspread.resources import Capacity
from almondspread_daemon.settings import LogSettings
from almondspread_platform import open_client
from almondspread_standin.cell import CellOptions
from almondspread_standin.deployment import Deployment, Entry, FailureDomain, Rack
from almondspread_standin.embedded import EmbeddedCluster

PAUSE = timedelta(milliseconds=20)
READY_SECONDS = 30
STOP_SECONDS = 30
CALL_SECONDS = 10.0
MAX_CLIENTS = 32


class MeasureFailed(Exception):
    """The deployment did not come to where the measurement needs it."""


class DaemonCluster:
    """Stand-ins in this process, and one daemon process for each entry."""

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        directory: Path,
        options: CellOptions,
        **sections: Any,
    ) -> None:
        log = LogSettings(level="error", format="text")
        self._planned = EmbeddedCluster(deployment, clock, options, log=log, **sections)
        self.cell = self._planned.cell
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._clock = clock
        self._directory = directory
        self._client = open_client(MAX_CLIENTS)

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.cell.start()
        for entry in self._planned.deployment.entries:
            await self._start_daemon(entry.name)
        async with asyncio.timeout(READY_SECONDS):
            while not await self._is_ready():
                await self._clock.sleep(PAUSE)

    async def _start_daemon(self, name: str) -> None:
        """Start the daemon of one entry."""
        path = self._directory / f"{name}.json"
        settings = self._planned.make_settings(name)
        path.write_text(json.dumps(unstructure_value(settings)))
        command = ("-m", "almondspread_daemon.command", "run", "--config", str(path))
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, *command
        )

    async def _is_ready(self) -> bool:
        """Tell whether all daemons are ready and every scheduling shard is owned."""
        wanted = {f"schedule/{domain.name}/0" for domain in self._domains}
        owned = set()
        for name in self.processes:
            status = await self.fetch(name, "/v1/status")
            if status is None or not status["ready"]:
                return False
            owned.update(shard["shard"] for shard in status["shards"])
        return wanted <= owned

    @property
    def _domains(self) -> tuple[FailureDomain, ...]:
        return self._planned.deployment.failure_domains

    async def fetch(self, name: str, path: str, document: Any = None) -> Any:
        """Return the JSON answer of a daemon, ``None`` where there is none."""
        method = "GET" if document is None else "POST"
        answer = await self._call(name, method, path, document)
        return None if answer is None else json.loads(answer)

    async def fetch_text(self, name: str, path: str) -> str:
        """Return the text that a daemon answers, empty where there is none."""
        answer = await self._call(name, "GET", path, None)
        return "" if answer is None else answer.decode()

    async def _call(
        self, name: str, method: str, path: str, document: Any
    ) -> bytes | None:
        """Return the body of an answer with status 200."""
        url = self.cell.entry_urls[name]
        request = HTTPRequest(
            url + path,
            method=method,
            body=None if document is None else json.dumps(document),
            request_timeout=CALL_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return None
        return bytes(response.body) if response.code == 200 else None

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

    async def kill(self, name: str) -> None:
        """End a daemon with no warning."""
        process = self.processes.pop(name)
        process.kill()
        self.cell.platform.service.instances.remove(name)
        await process.wait()

    async def terminate(self, name: str) -> None:
        """Stop a daemon gracefully and wait for its end."""
        process = self.processes.pop(name)
        self.cell.platform.service.instances.mark_leaving(name)
        process.terminate()
        await asyncio.wait_for(process.wait(), STOP_SECONDS)
        self.cell.platform.service.instances.remove(name)

    async def stop(self) -> None:
        """End all that was started."""
        for process in self.processes.values():
            process.kill()
            await process.wait()
        self._client.close()
        await self.cell.stop()


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
