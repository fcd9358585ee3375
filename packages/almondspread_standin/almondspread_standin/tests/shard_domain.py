"""One failure domain by a manual clock: keepers, workers and what lies between."""

import asyncio
from collections import Counter
from datetime import timedelta

from attrs import evolve
from expression import Error, Ok

from almondspread.changes.cache import ResourceCache
from almondspread.changes.entries import Entry, make_removal_change, make_spec_change
from almondspread.clock import ManualClock
from almondspread.interfaces import Instance, TableUnavailable, WorkerUnreachable
from almondspread.ownership import Claimant, Member, Members
from almondspread.resources import Capacity, parse_resource
from almondspread.scheduling import CellCapacities
from almondspread.scheduling.leases import LeaseTerms
from almondspread.testing import MemoryStore, MemoryTable, run_for
from almondspread_daemon.shards import (
    CellView,
    RoomCache,
    ScheduleShard,
    ShardManager,
)
from almondspread_daemon.shards.workers import ExchangeIntervals
from almondspread_standin.workers import Ledger, WorkerAgent

SECOND = timedelta(seconds=1)
SHARD = "schedule/umea/0"
CAPACITY = Capacity(4_000, 4_096)
TERMS = LeaseTerms(
    lease_duration=10 * SECOND,
    delivery_timeout=5 * SECOND,
    horizon=300 * SECOND,
    clock_rate_bound=0.001,
    clock_offset_bound=0.5 * SECOND,
)
SUSPECT_AFTER = SECOND
INSTANCE_LEASE = 3 * SECOND
BEAT = 0.25 * SECOND


class NodeClock:
    """The clock of one process: while that is paused, none of its waits end."""

    def __init__(self, clock):
        self._clock = clock
        self.now = clock.now
        self.monotonic = clock.monotonic
        self.going = asyncio.Event()
        self.going.set()

    async def sleep(self, duration):
        await self._clock.sleep(duration)
        await self.going.wait()


class DomainTable:
    """The table as one instance reaches it.

    The next ``delay`` transactions get no answer and take effect when they are
    delivered from ``delayed``, if ever.
    """

    def __init__(self, table, clock):
        self.table = table
        self.cut = False
        self.delay = 0
        self.delayed = []
        self._clock = clock

    async def _pass(self, call, *arguments):
        await self._clock.going.wait()
        if self.cut:
            return Error(TableUnavailable("cut off"))
        return await call(*arguments)

    async def transact(self, conditions, writes):
        if self.delay > 0:
            self.delay -= 1
            self.delayed.append((conditions, writes))
            return Error(TableUnavailable("no answer yet"))
        return await self._pass(self.table.transact, conditions, writes)

    async def read(self, keys):
        return await self._pass(self.table.read, keys)

    async def scan(self, prefix, after, limit):
        return await self._pass(self.table.scan, prefix, after, limit)


class Node:
    """One instance: its members, keeper and way to the table and the workers."""

    def __init__(self, domain, name, address):
        self.domain = domain
        self.name = name
        domain.started += 1
        self.terms = evolve(TERMS, horizon=domain.horizon)
        self.claimant = Claimant(name, f"{domain.started:04d}", address)
        self.members = Members(SUSPECT_AFTER)
        self.clock = NodeClock(domain.clock)
        self.table = DomainTable(domain.table, self.clock)
        self.cut_workers = set()
        self.hold_exchanges = False
        self.repeat_exchanges = False
        self.lose_reports = False
        self.cut_peers = False
        self.cache = ResourceCache()
        self.published = []
        self.keeper = ShardManager(
            self.claimant,
            "umea",
            {SHARD: self.make_shard},
            self.members,
            self.table,
            domain.store,
            self.clock,
            domain.make_batch,
            INSTANCE_LEASE,
            self.terms.horizon,
            self.beat_all,
            domain.announce,
        )
        self.catch_up()
        self.task = asyncio.create_task(self.keeper.run())

    def make_shard(self, ownership, journal, stopped):
        return ScheduleShard(
            ownership,
            journal,
            self.table,
            stopped,
            self.terms,
            (SHARD,),
            self.cache,
            lambda _: list(self.domain.listed.values()),
            self,
            self.clock,
            ExchangeIntervals(0.5 * SECOND, 0.5 * SECOND),
            CellView(RoomCache(self.domain.clock), CellCapacities, lambda _: None),
            lambda _, reports: self.published.append(reports),
            self.domain.make_batch,
        )

    @property
    def shard(self):
        return self.keeper.runners.get(SHARD)

    def catch_up(self):
        for entry in self.domain.entries[self.cache.revision :]:
            self.cache.apply(entry)
        if self.shard is not None:
            self.shard.wake()

    async def exchange(self, address, message):
        """Carry one exchange, as the gateway to the workers."""
        if self.hold_exchanges or self.repeat_exchanges:
            self.domain.held.append((address, message))
        if self.hold_exchanges or address in self.cut_workers:
            return Error(WorkerUnreachable("no answer"))
        report = self.domain.deliver(address, message)
        await self.clock.going.wait()
        if report is None or self.lose_reports:
            return Error(WorkerUnreachable("no answer"))
        return Ok(report)

    @property
    def is_paused(self):
        return not self.clock.going.is_set()

    def beat_all(self):
        for other in list(self.domain.nodes.values()):
            if other is self or self.cut_peers or other.cut_peers:
                continue
            if not self.is_paused and not other.is_paused:
                self.beat(other)

    def beat(self, to):
        to.members.record_heartbeat(
            Member(
                self.name,
                self.claimant.address,
                "umea",
                self.claimant.incarnation,
                self.domain.clock.monotonic(),
                ready=True,
                leaving=self.keeper.leaving,
                shards=self.keeper.list_epochs(),
            )
        )

    async def kill(self):
        self.task.cancel()
        del self.domain.nodes[self.name]
        await asyncio.gather(self.task, return_exceptions=True)


class Domain:
    """Workers, instances and the platform of one failure domain."""

    def __init__(self, workers=3, horizon=TERMS.horizon):
        self.horizon = horizon
        self.clock = ManualClock()
        self.table = MemoryTable()
        self.store = MemoryStore()
        self.ledger = Ledger()
        self.entries = []
        self.nodes = {}
        self.started = 0
        self.batches = 0
        self.listed = {}
        self.agents = {}
        self.held = []
        for number in range(workers):
            self.add_worker(f"w{number}", f"address-{number}")
        self.beating = asyncio.create_task(self.send_beats())

    def add_worker(self, name, address):
        rack = f"rack-{name}"
        self.agents[address] = WorkerAgent(name, CAPACITY, self.clock, self.ledger)
        self.listed[name] = Instance(
            name, "worker", address, "umea", rack, capacity=CAPACITY
        )

    def add_node(self, name, address=None):
        node = Node(self, name, address or f"peer-{name}")
        self.nodes[name] = node
        return node

    def deliver(self, address, message):
        """Hand an exchange to a worker; ``None`` where nobody answers."""
        agent = self.agents.get(address)
        if agent is None or not agent.alive:
            return None
        return agent.exchange(message)

    def make_batch(self):
        self.batches += 1
        return f"batch-{self.batches}"

    def announce(self, message):
        for node in list(self.nodes.values()):
            if not node.cut_peers and not node.is_paused:
                asyncio.ensure_future(node.keeper.handle_released(message, None))

    async def send_beats(self):
        while True:
            for node in list(self.nodes.values()):
                node.beat_all()
            await self.clock.sleep(BEAT)

    def declare(self, kind, name, tasks, command=("serve",), **fields):
        count = "replicas" if kind == "service" else "tasks"
        size = {"cpu_millis": 1_000, "memory_mib": 512, "command": list(command)}
        parsed = parse_resource(
            {
                "kind": kind,
                "metadata": {"name": name},
                count: tasks,
                "template": size,
                **fields,
            }
        )
        self.append(make_spec_change(*parsed.ok))

    def remove(self, kind, name):
        self.append(make_removal_change(kind, name))

    def append(self, change):
        revision = len(self.entries) + 1
        self.entries.append(Entry(revision, f"b{revision}", "me", 0.0, (change,)))

    def catch_up(self):
        for node in self.nodes.values():
            if not node.table.cut:
                node.catch_up()

    async def run(self, seconds, step=0.1):
        await run_for(self.clock, seconds * SECOND, step * SECOND)
        for agent in self.agents.values():
            agent.settle()

    def list_running(self):
        """Return how many attempts run of each task, by the workers themselves."""
        running = Counter()
        for agent in self.agents.values():
            running.update(name.rpartition("/")[0] for name in agent.running)
        return running

    def find_owner(self):
        owners = [node for node in self.nodes.values() if node.shard is not None]
        return owners[0] if len(owners) == 1 else None

    async def close(self):
        self.beating.cancel()
        for node in list(self.nodes.values()):
            await node.kill()
