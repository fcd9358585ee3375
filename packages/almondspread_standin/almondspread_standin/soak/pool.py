"""The upstreams of a soak: their model, their addresses and their entries."""

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
SIZES = (4_000, 8_000, 16_000)


@define(eq=False)
class PoolMember:
    """One address, and the upstream that lives there now."""

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
    """All upstreams; each writes its entry again and again."""

    history: History
    store: MemoryRecordStore
    clock: Clock
    source: random.Random
    members: list[PoolMember] = field(factory=list)

    async def add(self, number: int, domain: str) -> None:
        """Add an upstream."""
        host = UpstreamEndpoint(self._make_upstream(number, 1), self.clock)
        sockets = bind_sockets(0, LOOPBACK)
        server = HTTPServer(host.make_application())
        server.add_sockets(sockets)
        proxy = Proxy(LOOPBACK, sockets[0].getsockname()[:2])
        await proxy.start()
        self.members.append(PoolMember(number, domain, host, server, proxy))

    def _make_upstream(self, number: int, life: int) -> FakeUpstream:
        """Return a new incarnation."""
        size = self.source.choice(SIZES)
        return FakeUpstream(f"u{number}-{life}", Capacity(size, size, 0), self.history)

    async def crash(self, place: PoolMember) -> None:
        """Replace an upstream by a new incarnation at the same address."""
        await self._remove_entry(place)
        place.endpoint.upstream.crash()
        place.incarnation += 1
        place.endpoint.upstream = self._make_upstream(place.number, place.incarnation)
        place.draining = False
        place.proxy.reset()

    async def maintain(self, place: PoolMember, seconds: float) -> None:
        """Have another incarnation run at an address after its machine was down."""
        await self.crash(place)
        await asyncio.sleep(seconds)
        place.down = False

    async def run(self) -> None:
        """Advance the upstreams and write their entries until cancelled."""
        while True:
            for place in self.members:
                if place.down:
                    continue
                place.sequence += 1
                place.endpoint.upstream.advance(self.clock.monotonic())
                name = RowName("servers", "", place.endpoint.upstream.name)
                entry = encode_upstream_entry(
                    place.endpoint.upstream,
                    place.proxy.address,
                    place.domain,
                    place.draining,
                    place.sequence,
                )
                await self.store.transact(
                    Transaction(puts=(RowPut(name, entry),)), NO_TIMEOUT
                )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _remove_entry(self, place: PoolMember) -> None:
        """Remove the entry of an incarnation that is gone."""
        name = RowName("servers", "", place.endpoint.upstream.name)
        await self.store.transact(Transaction(removals=(name,)), NO_TIMEOUT)

    async def stop(self) -> None:
        """Stop listening."""
        for place in self.members:
            place.server.stop()
            await place.proxy.stop()
