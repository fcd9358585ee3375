"""Entry daemons in processes of their own, beside stand-in minions in this one."""

import asyncio
import json
import signal
import sys
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread.clock import SystemClock
from almondspread.codec import unstructure_value
from almondspread.resources import Capacity
from almondspread_daemon.settings import (
    LogSettings,
    OwnershipSettings,
    RequestSettings,
)
from almondspread_platform import open_client
from almondspread_standin.cell import CellOptions
from almondspread_standin.deployment import Deployment
from almondspread_standin.deployment.layout import (
    Entry,
    FailureDomain,
    MinionGroup,
    Rack,
)
from almondspread_standin.embedded import EmbeddedCluster
from almondspread_standin.minions import KindBehaviour, MinionAgent

DOMAINS = ("umea", "lulea", "skelleftea")
SERVICE = "route"
READY_SECONDS = 30.0
STOP_SECONDS = 90.0
PAUSE = timedelta(milliseconds=50)
BALANCER_LAG_SECONDS = 1.0


class EntryFleet:
    """Starts, stops, pauses and kills entries; ``agents`` hold the minions' truth."""

    def __init__(
        self,
        entries: int,
        minions: int,
        behaviours: dict[str, KindBehaviour],
        requests: RequestSettings,
        directory: Path,
    ) -> None:
        deployment = make_deployment(entries, minions)
        self._clock = SystemClock()
        self._planned = EmbeddedCluster(
            deployment,
            self._clock,
            CellOptions(behaviours=behaviours),
            log=LogSettings(level="error", format="text"),
            ownership=OwnershipSettings(
                schedule_shards=1, request_shards=4, instance_lease_seconds=3.0
            ),
            requests=requests,
        )
        self.cell = self._planned.cell
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.agents: list[MinionAgent] = []
        self._balanced: set[str] = set()
        self._directory = directory
        self._client = open_client(64)

    @property
    def urls(self) -> list[str]:
        """The addresses of the entries that the balancer sends to."""
        return [self.cell.entry_urls[name] for name in sorted(self._balanced)]

    @property
    def minion_addresses(self) -> list[str]:
        """The addresses of the running minions."""
        return [server.address for server in self.cell.minions.values()]

    async def start(self) -> None:
        """Start everything and wait until all entries route to all minions."""
        self.cell.start()
        for server in self.cell.minions.values():
            self.agents.append(server.agent)
        for planned in self._planned.deployment.entries:
            await self.start_entry(planned.name)
        async with asyncio.timeout(READY_SECONDS):
            for name in list(self.processes):
                await self.wait_ready(name)
        await self._clock.sleep(timedelta(seconds=2))

    async def start_entry(self, name: str) -> None:
        """Start the process of one entry."""
        path = self._directory / f"{name}.json"
        settings = self._planned.make_settings(name)
        path.write_text(json.dumps(unstructure_value(settings)))
        for planned in self._planned.deployment.entries:
            if planned.name == name:
                instance = planned.describe_instance("127.0.0.1")
                self.cell.platform.service.instances.add(instance)
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "almondspread_daemon.command",
            "run",
            "--config",
            str(path),
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready."""
        url = self.cell.entry_urls[name] + "/readyz"
        while True:
            try:
                answer = await self._client.fetch(HTTPRequest(url), raise_error=False)
                if answer.code == 200:
                    self._balanced.add(name)
                    return
            except (HTTPClientError, OSError):
                pass
            await self._clock.sleep(PAUSE)

    async def terminate(self, name: str) -> int:
        """Stop an entry gracefully and return its exit status."""
        self.cell.platform.service.instances.mark_leaving(name)
        process = self.processes[name]
        process.terminate()
        # The balancer goes on to send here until it has seen the readiness fail.
        await self._clock.sleep(timedelta(seconds=BALANCER_LAG_SECONDS / 2))
        self._balanced.discard(name)
        del self.processes[name]
        status = await asyncio.wait_for(process.wait(), STOP_SECONDS)
        self.cell.platform.service.instances.remove(name)
        return status

    async def kill(self, name: str) -> None:
        """End an entry with no warning."""
        process = self.processes.pop(name)
        self._balanced.discard(name)
        process.kill()
        await process.wait()
        self.cell.platform.service.instances.remove(name)

    async def pause(self, name: str, duration: timedelta) -> None:
        """Have an entry stand still for a while."""
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await self._clock.sleep(duration)
        process.send_signal(signal.SIGCONT)

    def find_most_in_flight(self) -> int:
        """Return the most requests that any minion ever had at once."""
        return max(agent.max_in_flight for agent in self.agents)

    async def stop(self) -> None:
        """End everything that was started."""
        for process in self.processes.values():
            process.kill()
            await process.wait()
        self._client.close()
        await self.cell.stop()


def make_deployment(entries: int, minions: int) -> Deployment:
    """Return three failure domains with entries and minions spread over them."""
    domains = []
    planned = []
    for index, name in enumerate(DOMAINS):
        count = minions // 3 + (1 if index < minions % 3 else 0)
        rack = Rack(f"{name}-rack", 1, Capacity(1_000, 1_024))
        group = MinionGroup(SERVICE, count)
        domains.append(FailureDomain(name, (rack,), (group,)))
    for number in range(entries):
        port = 2 * number + 1
        domain = DOMAINS[number % 3]
        planned.append(Entry(f"entry-{number + 1}", domain, port, port + 1))
    return Deployment("measured", "region", tuple(domains), tuple(planned))


def make_directory() -> Any:
    """Return a directory for settings that is removed after the measurement."""
    return tempfile.TemporaryDirectory(prefix="almondspread-measure-")
