"""A whole deployment in one process: stand-ins and real entry instances."""

import asyncio
import random
import socket
from datetime import timedelta
from typing import Any

from attrs import evolve

from almondspread.clock import Clock
from almondspread_daemon.entry import Entry
from almondspread_daemon.settings import (
    HttpSettings,
    OwnershipSettings,
    PeerSettings,
    PlatformSettings,
    RequestSettings,
    SchedulingSettings,
    Settings,
)
from almondspread_standin.cell import CellOptions, StandInDeployment
from almondspread_standin.deployment import Deployment
from almondspread_standin.listening import LOOPBACK
from almondspread_standin.partitions import CuttableClient

SHORT_POLL = timedelta(milliseconds=500)
READY_TIMEOUT = timedelta(seconds=10)
READY_PAUSE = timedelta(milliseconds=50)
FIRST_ENTRY_PORT = 20_000
LAST_ENTRY_PORT = 32_000


def find_free_ports(count: int) -> list[int]:
    """Return different loopback ports that nothing listens on.

    They lie below the ports that the system gives to those that ask for any, so that
    none of the stand-ins that start in the meantime takes one.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(FIRST_ENTRY_PORT, LAST_ENTRY_PORT)
        if port in found:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            found.append(port)
    return found


class EmbeddedCluster:
    """Starts the entries of a deployment beside its stand-ins, on free ports.

    ``sections`` are sections of the settings that replace those for short runs, and
    ``poll`` is how often the platform's list and the change log are looked at.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        options: CellOptions | None = None,
        poll: timedelta = SHORT_POLL,
        **sections: Any,
    ) -> None:
        entries = []
        ports = iter(find_free_ports(2 * len(deployment.entries)))
        for entry in deployment.entries:
            entries.append(evolve(entry, http_port=next(ports), peer_port=next(ports)))
        self.deployment = evolve(deployment, entries=tuple(entries))
        self.cell = StandInDeployment(self.deployment, clock, options)
        self.entries: dict[str, Entry] = {}
        self._clock = clock
        self._poll = poll
        self._sections = sections
        self._clients: dict[str, CuttableClient] = {}
        self._cut_domain = ""

    @property
    def urls(self) -> dict[str, str]:
        """The address of each running entry's HTTP listener, by name."""
        found = {}
        for name, url in self.cell.entry_urls.items():
            if name in self.entries:
                found[name] = url
        return found

    async def start(self) -> None:
        """Start everything and wait until every entry is ready.

        The debug mode of the event loop is turned off for good: unittest turns it on,
        and its stack for every callback takes so long that leases run out.
        """
        asyncio.get_running_loop().set_debug(False)
        self.cell.start()
        for planned in self.deployment.entries:
            await self.start_entry(planned.name)
        await self.wait_ready()

    async def start_entry(self, name: str) -> Entry:
        """Start one entry of the deployment."""
        entry = Entry(self.make_settings(name), self._clock)
        client = CuttableClient(lambda port: self._is_cut(name, port))
        entry.neighbours._client = client
        self._clients[name] = client
        self.entries[name] = entry
        await entry.start()
        return entry

    def cut_off(self, failure_domain: str) -> None:
        """Cut a failure domain off from the platform and from all other domains."""
        self._cut_domain = failure_domain
        self.cell.cut_off(failure_domain)
        for client in self._clients.values():
            client.close_cut()

    def reconnect(self) -> None:
        """End the cut between failure domains."""
        self._cut_domain = ""
        self.cell.reconnect()

    def _is_cut(self, name: str, port: int) -> bool:
        """Tell whether an entry is cut off from the one with a peer port."""
        domains = {}
        ports = {}
        for entry in self.deployment.entries:
            domains[entry.name] = entry.failure_domain
            ports[entry.peer_port] = entry.failure_domain
        inside = self._cut_domain in (domains[name], ports.get(port))
        return bool(self._cut_domain) and inside and domains[name] != ports.get(port)

    def make_settings(self, name: str) -> Settings:
        """Return the settings of one entry, quick enough for a short run."""
        planned = {entry.name: entry for entry in self.deployment.entries}[name]
        platform = f"http://{self.cell.platform_address}"
        sections: dict[str, Any] = {
            "ownership": OwnershipSettings(
                schedule_shards=1, request_shards=2, instance_lease_seconds=1.5
            ),
            "scheduling": SchedulingSettings(
                task_lease_seconds=5.0,
                exchange_milliseconds=250,
                idle_exchange_milliseconds=500,
            ),
            "requests": RequestSettings(
                balancer_lag_seconds=0.5, stop_bound_seconds=15.0
            ),
        }
        sections.update(self._sections)
        return Settings(
            name=name,
            operator=self.deployment.operator,
            region=self.deployment.region,
            failure_domain=planned.failure_domain,
            failure_domains=tuple(
                domain.name for domain in self.deployment.failure_domains
            ),
            platform=PlatformSettings(
                table_url=platform,
                store_url=platform,
                instances_url=platform,
                timeout_milliseconds=1_000,
                poll_milliseconds=round(self._poll / timedelta(milliseconds=1)),
            ),
            http=HttpSettings(listen=f"{LOOPBACK}:{planned.http_port}"),
            peer=PeerSettings(listen=f"{LOOPBACK}:{planned.peer_port}"),
            **sections,
        )

    async def wait_ready(self) -> None:
        """Wait until every entry is ready and every shard has an owner."""
        async with asyncio.timeout(READY_TIMEOUT.total_seconds()):
            while not self._is_ready():
                await self._clock.sleep(READY_PAUSE)

    def _is_ready(self) -> bool:
        """Tell whether all entries are ready and all shards are owned."""
        owned = set()
        for entry in self.entries.values():
            if not entry.is_ready:
                return False
            for shard, runner in entry.keeper.runners.items():
                if getattr(runner, "recovered", False):
                    owned.add(shard)
        wanted = set()
        for entry in self.entries.values():
            wanted.update(entry.planned_shards)
        return wanted <= owned

    async def stop_entry(self, name: str) -> None:
        """Stop an entry gracefully."""
        self.cell.platform.service.instances.mark_leaving(name)
        await self.entries[name].stop()
        self.cell.platform.service.instances.remove(name)
        del self.entries[name]

    async def kill_entry(self, name: str) -> None:
        """End an entry with no warning; the list tells of it after its lag."""
        entry = self.entries.pop(name)
        await entry.close()
        await entry.http_server.close_all_connections()
        self.cell.platform.service.instances.remove(name)

    async def stop(self) -> None:
        """Stop everything."""
        for entry in list(self.entries.values()):
            await entry.close()
        self.entries.clear()
        await self.cell.stop()
