"""Entries of another writer at the addresses of upstreams that are cut off."""

import asyncio
import random

from attrs import define

from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.pool import NO_TIMEOUT, UpstreamPool
from platform_standin.formats import SERVICE, encode_upstream_entry

MIN_SECONDS, MAX_SECONDS = 2.5, 5.5
SERVICES = ("unknown", SERVICE)


@define(eq=False)
class ForeignEntries:
    """Cuts upstreams off from the store, beside an entry at their address.

    All instances reach these upstreams, and renew their leases.
    """

    pool: UpstreamPool
    store: MemoryRecordStore
    rng: random.Random
    _written: int = 0

    async def write(self) -> None:
        """Have an upstream's entry expire beside another one at its address."""
        members = [
            member
            for member in self.pool.members
            if not (member.dark or member.down or member.cut_off)
        ]
        if not members:
            return
        member = self.rng.choice(members)
        service = self.rng.choice(SERVICES)
        seconds = self.rng.uniform(MIN_SECONDS, MAX_SECONDS)
        self._written += 1
        name = RowName("servers", "", f"x-{self._written}")
        upstream = member.endpoint.upstream
        entry = encode_upstream_entry(
            upstream, member.proxy.address, member.domain, False, 1, service
        )
        await self.store.transact(Transaction(puts=(RowPut(name, entry),)), NO_TIMEOUT)
        self.pool.cut_off(member)
        await asyncio.sleep(seconds)
        member.cut_off = False
        await self.store.transact(Transaction(removals=(name,)), NO_TIMEOUT)
