"""Platform, workers and minions of one deployment in one process."""

import asyncio
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.interfaces import Instance
from almondspread_standin.deployment import Deployment, FailureDomain, MinionGroup, Rack
from almondspread_standin.listening import LOOPBACK
from almondspread_standin.minions import KindBehaviour, MinionAgent, MinionServer
from almondspread_standin.platform_server import PlatformServer
from almondspread_standin.workers import Ledger, WorkerAgent, WorkerServer

SETTLE_INTERVAL = timedelta(milliseconds=100)


@define(frozen=True)
class CellOptions:
    """Ports and rates of a stand-in cell.

    With a ``base_port``, workers and minions listen on the ports from there on in
    the order of the deployment; with 0 each takes any free one. Rates are in rows a
    second, 0 for no limit.
    """

    platform_port: int = 0
    base_port: int = 0
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0
    behaviours: dict[str, KindBehaviour] = field(factory=dict)


class StandInDeployment:
    """Everything of a deployment but its entries, which the instance list names.

    ``workers`` and ``minions`` map names to servers, whose ``agent`` holds the fault
    switches and the truth. ``ledger`` is the truth over all workers.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        options: CellOptions | None = None,
    ) -> None:
        self.deployment = deployment
        self.ledger = Ledger()
        self.workers: dict[str, WorkerServer] = {}
        self.minions: dict[str, MinionServer] = {}
        self._domains: dict[str, str] = {}
        self._clock = clock
        self._options = options or CellOptions()
        self._next_port = self._options.base_port
        self._settling: asyncio.Task[None] | None = None
        self.platform = PlatformServer(
            clock,
            port=self._options.platform_port,
            writes_per_second=self._options.writes_per_second,
            reads_per_second=self._options.reads_per_second,
        )

    @property
    def platform_address(self) -> str:
        """``IP:port`` of the platform once it listens."""
        return self.platform.address

    @property
    def servers(self) -> dict[str, WorkerServer | MinionServer]:
        """All workers and minions by name."""
        return {**self.workers, **self.minions}

    @property
    def entry_urls(self) -> dict[str, str]:
        """The address of each entry's HTTP listener by the entry's name."""
        urls: dict[str, str] = {}
        for entry in self.deployment.entries:
            urls[entry.name] = f"http://{LOOPBACK}:{entry.http_port}"
        return urls

    def start(self) -> None:
        """Listen everywhere and fill the instance list."""
        self.platform.start()
        for entry in self.deployment.entries:
            self.platform.service.instances.add(entry.describe_instance(LOOPBACK))
        for domain in self.deployment.failure_domains:
            self._start_domain(domain)
        self.platform.service.instances.tell_all()
        self._settling = asyncio.get_running_loop().create_task(self._settle())

    async def stop(self) -> None:
        """Stop everything that was started."""
        if self._settling is not None:
            self._settling.cancel()
        for server in self.servers.values():
            await server.stop()
        await self.platform.stop()

    async def kill_worker(self, name: str) -> None:
        """Cut a worker's power; the list tells of it after its lag."""
        server = self.workers.pop(name)
        server.agent.die()
        self.platform.service.instances.remove(name)
        await server.stop()

    async def kill_minion(self, name: str) -> None:
        """Cut a minion's power; the list tells of it after its lag."""
        server = self.minions.pop(name)
        self.platform.service.instances.remove(name)
        await server.stop()

    def announce_leaving(self, name: str) -> None:
        """Mark a worker or minion as leaving, in the list and in its own answers."""
        self.platform.service.instances.mark_leaving(name)
        self.servers[name].agent.set_faults(leaving=True)

    def cut_off(self, failure_domain: str) -> None:
        """Cut a failure domain off from the platform and from all other domains.

        Connections between entries are not carried here and stay as they are.
        """
        others = []
        for domain in self.deployment.failure_domains:
            if domain.name != failure_domain:
                others.append(domain.name)
        self.platform.set_faults(cut_off=(failure_domain,))
        for name, server in self.servers.items():
            inside = self._domains[name] == failure_domain
            cut = tuple(others) if inside else (failure_domain,)
            server.agent.set_faults(cut_off=cut)

    def reconnect(self) -> None:
        """End every cut between failure domains."""
        self.platform.set_faults(cut_off=())
        for server in self.servers.values():
            server.agent.set_faults(cut_off=())

    def _start_domain(self, domain: FailureDomain) -> None:
        """Start the workers and minions of one failure domain."""
        for rack in domain.racks:
            for name in rack.list_worker_names():
                self._start_worker(name, rack, domain)
        for group in domain.minions:
            for name in group.list_minion_names(domain.name):
                self._start_minion(name, group, domain)

    def _start_worker(self, name: str, rack: Rack, domain: FailureDomain) -> None:
        """Start one worker and list it."""
        agent = WorkerAgent(name, rack.capacity, self._clock, self.ledger)
        server = WorkerServer(agent, self.ledger, self._take_port())
        server.start()
        self.workers[name] = server
        self._domains[name] = domain.name
        self.platform.service.instances.add(
            Instance(
                name,
                "worker",
                server.address,
                domain.name,
                rack.name,
                capacity=rack.capacity,
            )
        )

    def _start_minion(
        self, name: str, group: MinionGroup, domain: FailureDomain
    ) -> None:
        """Start one minion and list it."""
        agent = MinionAgent(
            name,
            group.service,
            self._clock,
            slots=group.slots,
            connections=group.connections,
            behaviours=self._options.behaviours,
        )
        server = MinionServer(agent, self._take_port())
        server.start()
        self.minions[name] = server
        self._domains[name] = domain.name
        self.platform.service.instances.add(
            Instance(
                name,
                "minion",
                server.address,
                domain.name,
                service=group.service,
                slots=group.slots,
                connections=group.connections,
            )
        )

    def _take_port(self) -> int:
        """Return the next port, 0 where any free one will do."""
        if self._options.base_port == 0:
            return 0
        port = self._next_port
        self._next_port += 1
        return port

    async def _settle(self) -> None:
        """Keep the ledger up to date between exchanges."""
        while True:
            await self._clock.sleep(SETTLE_INTERVAL)
            for server in list(self.workers.values()):
                server.agent.settle()
