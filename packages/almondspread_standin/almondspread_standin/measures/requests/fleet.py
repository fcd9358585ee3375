"""Entry daemons in processes of their own, beside stand-in minions in this one."""

import asyncio
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

from almondspread.clock import SystemClock
from almondspread.resources import Capacity
from almondspread_daemon.settings import (
    OwnershipSettings,
    RequestSettings,
)
from almondspread_standin.cell import CellOptions
from almondspread_standin.deployment import Deployment
from almondspread_standin.deployment.layout import (
    Entry,
    FailureDomain,
    MinionGroup,
    Rack,
)
from almondspread_standin.minions import KindBehaviour, MinionAgent
from almondspread_standin.processes import DaemonProcesses

DOMAINS = ("umea", "lulea", "skelleftea")
SERVICE = "route"
SETTLE_TIME = timedelta(seconds=2)
BALANCER_LAG_SECONDS = 1.0


class EntryFleet(DaemonProcesses):
    """Daemon processes behind a balancer; ``agents`` hold the minions' truth."""

    def __init__(
        self,
        entries: int,
        minions: int,
        behaviours: dict[str, KindBehaviour],
        requests: RequestSettings,
        directory: Path,
    ) -> None:
        super().__init__(
            make_deployment(entries, minions),
            SystemClock(),
            directory,
            CellOptions(behaviours=behaviours),
            ownership=OwnershipSettings(
                schedule_shards=1, request_shards=4, instance_lease_seconds=3.0
            ),
            requests=requests,
        )
        self.agents: list[MinionAgent] = []
        self._balanced: set[str] = set()

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
        await super().start()
        for server in self.cell.minions.values():
            self.agents.append(server.agent)
        await self._clock.sleep(SETTLE_TIME)

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry is ready, and have the balancer send to it."""
        await super().wait_ready(name)
        self._balanced.add(name)

    async def terminate(self, name: str) -> int:
        """Stop an entry gracefully and return its exit status.

        The balancer goes on to send there until it has seen the readiness fail.
        """
        stopping = asyncio.create_task(super().terminate(name))
        await self._clock.sleep(timedelta(seconds=BALANCER_LAG_SECONDS / 2))
        self._balanced.discard(name)
        return await stopping

    async def kill(self, name: str) -> None:
        """End an entry with no warning."""
        self._balanced.discard(name)
        await super().kill(name)

    def find_most_in_flight(self) -> int:
        """Return the most requests that any minion ever had at once."""
        return max(agent.max_in_flight for agent in self.agents)


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
