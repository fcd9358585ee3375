"""The upstreams of a soak, each behind a proxy and registered in the store."""

import asyncio
import random
from datetime import timedelta

from attrs import define, field
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from almondspread.clock import Clock
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_upstream import FakeUpstream, History
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.job_kinds import TaskBehaviour
from almondspread_standin.soak.proxy import Proxy
from platform_standin.formats import MAX_HOLD_MS, encode_upstream_entry
from platform_standin.upstream_server import (
    UpstreamEndpoint,
    UpstreamFaults,
    UpstreamServer,
)

HEARTBEAT_SECONDS = 0.5
LOOPBACK = "127.0.0.1"
NO_TIMEOUT = NO_TIME = timedelta(0)
MAX_LEASE = timedelta(milliseconds=MAX_HOLD_MS)
# This share of the crashed upstreams start again under the id that they had.
KEPT_ID_SHARE = 0.5
# This share of these write the entry of the earlier start once more, and this late.
LATE_ENTRY_SHARE = 0.3
LATE_ENTRY_SECONDS = 0.2
FIRST_START_MS = 1_767_000_000_000
# The entry of an upstream that is silent for so long is removed.
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
# Capacity of an upstream: both thousandths of a core and MiB of memory.
SIZES = (4_000, 8_000, 16_000)


@define(eq=False)
class PoolMember:
    """One upstream address, whose current incarnation may crash and be replaced.

    ``incarnation`` numbers the incarnations, ``id_number`` the ids, and ``sequence``
    the heartbeats. While its machine is ``down``, ``dark`` and out of reach, or
    ``cut_off`` from the store alone, no incarnation writes an entry.
    """

    number: int
    domain: str
    endpoint: UpstreamEndpoint
    server: HTTPServer
    proxy: Proxy
    draining: bool = False
    down: bool = False
    dark: bool = False
    cut_off: bool = False
    incarnation: int = 1
    id_number: int = 1
    sequence: int = 0


@define(eq=False)
class UpstreamPool:
    """All upstreams; each renews its entry in the store at every heartbeat.

    ``crashes`` counts the upstreams that have crashed under each task. The first
    incarnations have run for ``uptime`` before.
    """

    history: History
    store: MemoryRecordStore
    clock: Clock
    rng: random.Random
    behaviour: TaskBehaviour = field(factory=TaskBehaviour)
    faults: UpstreamFaults = field(factory=UpstreamFaults)
    kept_id_share: float = KEPT_ID_SHARE
    uptime: timedelta = NO_TIME
    members: list[PoolMember] = field(factory=list)
    crashes: dict[TaskId, int] = field(factory=dict)
    _expiries: dict[RowName, float] = field(factory=dict)
    _dark_proxies: list[Proxy] = field(factory=list)

    async def add(self, number: int, domain: str) -> None:
        """Add an upstream, and start its server and its proxy."""
        upstream = self._make_upstream(number, id_number=1, incarnation=1)
        endpoint = UpstreamEndpoint(upstream, self.clock, self.faults, self.uptime)
        sockets = bind_sockets(0, LOOPBACK)
        server = UpstreamServer(endpoint)
        server.add_sockets(sockets)
        proxy = Proxy(LOOPBACK, sockets[0].getsockname()[:2])
        await proxy.start()
        self.members.append(PoolMember(number, domain, endpoint, server, proxy))

    def _make_upstream(
        self, number: int, id_number: int, incarnation: int
    ) -> FakeUpstream:
        """Return a new incarnation, whose capacity is chosen at random."""
        size = self.rng.choice(SIZES)
        return FakeUpstream(
            f"u{number}-{id_number}",
            Capacity(size, size, 0),
            self.history,
            FIRST_START_MS + incarnation,
            self.behaviour.durations,
            self.behaviour.failing,
            max_lease=MAX_LEASE,
        )

    async def crash(self, member: PoolMember) -> None:
        """Crash an upstream; a new incarnation of it runs at its address at once.

        The new incarnation has the id of the crashed one, or another id.
        """
        old_entry = self._encode_entry(member)
        old_name = self._find_entry_name(member)
        keeps_id = self.rng.random() < self.kept_id_share
        writes_late = keeps_id and self.rng.random() < LATE_ENTRY_SHARE
        if not keeps_id:
            await self._remove_entry(member)
            member.id_number += 1
        self._replace(member)
        member.proxy.reset()
        if writes_late:
            await self._put(old_name, self._encode_entry(member))
            incarnation = member.incarnation
            await asyncio.sleep(LATE_ENTRY_SECONDS)
            if member.incarnation == incarnation:
                await self._put(old_name, old_entry)

    def restart(self, member: PoolMember, *, silences: bool) -> None:
        """Start the next incarnation of an upstream under its id and at its address.

        Open connections are reset, or fall silent; new ones reach it at once.
        """
        self._replace(member)
        if silences:
            member.proxy.silence()
        else:
            member.proxy.reset()

    async def list_again(self, member: PoolMember) -> None:
        """Have an upstream reach the store, where it writes its entry at once."""
        member.cut_off = False
        if member.dark or member.down:
            return
        name = self._find_entry_name(member)
        self._expiries.pop(name, None)
        member.sequence += 1
        await self._put(name, self._encode_entry(member))

    def _replace(self, member: PoolMember) -> None:
        """Crash an incarnation, and start the next one at the same endpoint."""
        upstream = member.endpoint.upstream
        upstream.advance(member.endpoint.read_clock())
        # Whoever has not been told of the end of a run takes it for one that crashed.
        for task in {*upstream.runs, *(end.task for end in upstream.ends)}:
            self.crashes[task] = self.crashes.get(task, 0) + 1
        upstream.crash()
        member.incarnation += 1
        member.endpoint.start(
            self._make_upstream(member.number, member.id_number, member.incarnation)
        )
        member.draining = False

    def count_crashes(self, job: str) -> int:
        """Return how many upstreams have crashed under one task of a job, at most."""
        counts = [count for task, count in self.crashes.items() if task.job == job]
        return max(counts, default=0)

    def cut_off(self, member: PoolMember) -> None:
        """Cut an upstream off from the store, so that its entry expires."""
        member.cut_off = True
        name = self._find_entry_name(member)
        self._expiries[name] = asyncio.get_running_loop().time() + EXPIRY_SECONDS

    def darken(self, member: PoolMember) -> None:
        """Lose an upstream with all its runs, without a trace on its connections."""
        member.dark = True
        member.proxy.is_dark = True
        name = self._find_entry_name(member)
        self._expiries[name] = asyncio.get_running_loop().time() + EXPIRY_SECONDS
        if self.rng.random() >= self.kept_id_share:
            member.id_number += 1
        self._replace(member)

    async def light(self, member: PoolMember) -> None:
        """Have the next incarnation of a dark upstream be reached, at a new address."""
        self._dark_proxies.append(member.proxy)
        member.proxy = Proxy(LOOPBACK, member.proxy.target)
        await member.proxy.start()
        self._expiries.pop(self._find_entry_name(member), None)
        member.dark = False

    async def _remove_expired(self) -> None:
        """Remove the entries of upstreams that have been dark for long enough."""
        now = asyncio.get_running_loop().time()
        for name, expiry in list(self._expiries.items()):
            if expiry <= now:
                del self._expiries[name]
                await self._remove(name)

    def count_room(self, claim: Capacity) -> int:
        """Return how many tasks of a size have room on upstreams that take runs."""
        count = 0
        for member in self.members:
            if member.dark or member.down or member.draining:
                continue
            free = member.endpoint.upstream.capacity
            for task in member.endpoint.upstream.runs:
                free = free.minus(self.history.find_claim(task))
            count += max(0, claim.count_in(free))
        return count

    async def maintain(self, member: PoolMember, seconds: float) -> None:
        """Replace an upstream, and bring its machine up again after some seconds."""
        await self.crash(member)
        await asyncio.sleep(seconds)
        member.down = False

    def advance_all(self) -> None:
        """Advance the current incarnations of all upstreams."""
        for member in self.members:
            member.endpoint.upstream.advance(member.endpoint.read_clock())

    async def run(self) -> None:
        """Advance all upstreams and renew their entries until cancelled."""
        while True:
            for member in self.members:
                if member.down or member.dark or member.cut_off:
                    continue
                member.sequence += 1
                member.endpoint.upstream.advance(member.endpoint.read_clock())
                await self._put(
                    self._find_entry_name(member), self._encode_entry(member)
                )
            await self._remove_expired()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _find_entry_name(self, member: PoolMember) -> RowName:
        """Return the name of the entry of the current incarnation."""
        return RowName("servers", "", member.endpoint.upstream.name)

    def _encode_entry(self, member: PoolMember) -> bytes:
        """Return the entry of the current incarnation."""
        return encode_upstream_entry(
            member.endpoint.upstream,
            member.proxy.address,
            member.domain,
            member.draining,
            member.sequence,
        )

    async def _put(self, name: RowName, entry: bytes) -> None:
        """Write an entry."""
        await self.store.transact(Transaction(puts=(RowPut(name, entry),)), NO_TIMEOUT)

    async def _remove_entry(self, member: PoolMember) -> None:
        """Remove the entry of the current incarnation."""
        await self._remove(self._find_entry_name(member))

    async def _remove(self, name: RowName) -> None:
        await self.store.transact(Transaction(removals=(name,)), NO_TIMEOUT)

    async def stop(self) -> None:
        """Stop the servers and the proxies."""
        for member in self.members:
            member.server.stop()
            await member.proxy.stop()
        for proxy in self._dark_proxies:
            await proxy.stop()
