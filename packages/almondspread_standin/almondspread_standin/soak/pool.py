"""The upstreams of a soak, each behind a proxy and registered in the store."""

import asyncio
import random
from datetime import timedelta

from attrs import define, field
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from almondspread.clock import Clock
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_upstream import FakeUpstream, History
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.proxy import Proxy
from platform_standin.formats import encode_upstream_entry
from platform_standin.upstream_server import UpstreamEndpoint

HEARTBEAT_SECONDS = 0.5
LOOPBACK = "127.0.0.1"
NO_TIMEOUT = timedelta(0)
# Capacity of an upstream: both thousandths of a core and MiB of memory.
SIZES = (4_000, 8_000, 16_000)


@define(eq=False)
class PoolMember:
    """One upstream address, whose current incarnation may crash and be replaced.

    ``incarnation`` numbers the incarnations, and ``sequence`` the heartbeats. While
    its machine is ``down``, no incarnation writes an entry.
    """

    number: int
    domain: str
    endpoint: UpstreamEndpoint
    server: HTTPServer
    proxy: Proxy
    draining: bool = False
    down: bool = False
    incarnation: int = 1
    sequence: int = 0


@define(eq=False)
class UpstreamPool:
    """All upstreams; each renews its entry in the store at every heartbeat."""

    history: History
    store: MemoryRecordStore
    clock: Clock
    rng: random.Random
    members: list[PoolMember] = field(factory=list)

    async def add(self, number: int, domain: str) -> None:
        """Add an upstream, and start its server and its proxy."""
        endpoint = UpstreamEndpoint(self._make_upstream(number, 1), self.clock)
        sockets = bind_sockets(0, LOOPBACK)
        server = HTTPServer(endpoint.make_application())
        server.add_sockets(sockets)
        proxy = Proxy(LOOPBACK, sockets[0].getsockname()[:2])
        await proxy.start()
        self.members.append(PoolMember(number, domain, endpoint, server, proxy))

    def _make_upstream(self, number: int, incarnation: int) -> FakeUpstream:
        """Return a new incarnation, whose capacity is chosen at random."""
        size = self.rng.choice(SIZES)
        return FakeUpstream(
            f"u{number}-{incarnation}", Capacity(size, size, 0), self.history
        )

    async def crash(self, member: PoolMember) -> None:
        """Crash an upstream and replace it by a new incarnation at its address."""
        await self._remove_entry(member)
        member.endpoint.upstream.crash()
        member.incarnation += 1
        member.endpoint.start(self._make_upstream(member.number, member.incarnation))
        member.draining = False
        member.proxy.reset()

    async def maintain(self, member: PoolMember, seconds: float) -> None:
        """Replace an upstream, and bring its machine up again after some seconds."""
        await self.crash(member)
        await asyncio.sleep(seconds)
        member.down = False

    async def run(self) -> None:
        """Advance all upstreams and renew their entries until cancelled."""
        while True:
            for member in self.members:
                if member.down:
                    continue
                member.sequence += 1
                member.endpoint.upstream.advance(member.endpoint.read_clock())
                name = RowName("servers", "", member.endpoint.upstream.name)
                entry = encode_upstream_entry(
                    member.endpoint.upstream,
                    member.proxy.address,
                    member.domain,
                    member.draining,
                    member.sequence,
                )
                await self.store.transact(
                    Transaction(puts=(RowPut(name, entry),)), NO_TIMEOUT
                )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _remove_entry(self, member: PoolMember) -> None:
        """Remove the entry of the current incarnation."""
        name = RowName("servers", "", member.endpoint.upstream.name)
        await self.store.transact(Transaction(removals=(name,)), NO_TIMEOUT)

    async def stop(self) -> None:
        """Stop the servers and the proxies."""
        for member in self.members:
            member.server.stop()
            await member.proxy.stop()
