"""Troubles with the store that only some instances or some calls see."""

import asyncio
import random
from datetime import timedelta

from attrs import define

from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.instances import Instances
from platform_standin.formats import list_odd_entries
from platform_standin.store_server import ClientFaults, StoreFaults, TurnedAway

MIN_SECONDS, MAX_SECONDS = 2.0, 8.0
NO_TIMEOUT = timedelta(0)


@define(eq=False)
class StoreTroubles:
    """Turns instances away, silences the feed and writes odd entries of upstreams.

    Each trouble undoes itself at its end.
    """

    instances: Instances
    store: MemoryRecordStore
    store_faults: StoreFaults
    rng: random.Random

    async def _wait_random_time(self) -> None:
        await asyncio.sleep(self.rng.uniform(MIN_SECONDS, MAX_SECONDS))

    async def turn_away(self) -> None:
        """Turn some instances away, but not all of them."""
        count = self.rng.randint(1, len(self.instances.instances) - 1)
        chosen = self.rng.sample(self.instances.instances, count)
        manner = self.rng.choice(tuple(TurnedAway))
        for instance in chosen:
            instance.store_faults.turned_away = manner
        await self._wait_random_time()
        for instance in chosen:
            instance.store_faults.turned_away = None

    async def silence_feed(self) -> None:
        """Have the feeds of one instance deliver nothing, without an error."""
        faults: ClientFaults = self.rng.choice(self.instances.instances).store_faults
        faults.feed_is_silent = True
        await self._wait_random_time()
        faults.feed_is_silent = False

    async def write_odd_entries(self) -> None:
        """Have another writer put odd entries among those of the upstreams."""
        entries = list_odd_entries()
        names = [RowName("servers", "", f"odd-{n}") for n in range(len(entries))]
        for name, entry in zip(names, entries, strict=True):
            await self._put(Transaction(puts=(RowPut(name, entry),)))
        await self._wait_random_time()
        for name in names:
            await self._put(Transaction(removals=(name,)))

    async def _put(self, transaction: Transaction) -> None:
        """Apply a transaction of another writer."""
        outcome = await self.store.transact(transaction, NO_TIMEOUT)
        assert outcome.is_ok(), outcome
