"""A table with injected faults and instances that share it, for change log tests."""

import asyncio
from datetime import timedelta

from expression import Error, Ok

from almondspread.changes import ChangeLog
from almondspread.changes.entries import make_spec_change
from almondspread.clock import ManualClock
from almondspread.interfaces import TableUnavailable
from almondspread.resources import Metadata, Team
from almondspread.testing import MemoryStore, MemoryTable

STEP = timedelta(milliseconds=50)


class DelayingTable(MemoryTable):
    """A table that delays the next ``late`` transactions until ``apply_held``.

    The caller of a delayed transaction gets ``TableUnavailable``. ``on_transact`` and
    ``on_read`` are called after each call has taken effect and before it returns.
    """

    def __init__(self):
        super().__init__()
        self.late = 0
        self.held = []
        self.on_transact = None
        self.on_read = None

    async def transact(self, conditions, writes):
        if self.late:
            self.late -= 1
            self.held.append((conditions, writes))
            return Error(TableUnavailable("no answer in time"))
        outcome = await super().transact(conditions, writes)
        if self.on_transact is not None:
            self.on_transact()
        return outcome

    async def read(self, keys):
        rows = await super().read(keys)
        if self.on_read is not None:
            self.on_read()
        return rows

    def apply_held(self):
        """Apply the delayed transactions and return their outcomes."""
        held, self.held = self.held, []
        return [self.apply(conditions, writes) for conditions, writes in held]


class Instance:
    """The change log of one instance.

    ``pushed`` records the entries that it pushed and ``seen`` the revisions that its
    cache has reached.
    """

    def __init__(self, name, table, store, clock, compact_entries=1_000_000):
        self.name = name
        self.pushed = []
        self.seen = [0]
        self.batches = 0
        self.log = ChangeLog(
            table,
            store,
            clock,
            self._make_batch,
            lambda: self.seen.append(self.log.cache.revision),
            lambda entry, version: self.pushed.append((entry, version)),
            compact_entries,
        )

    def _make_batch(self):
        self.batches += 1
        return f"{self.name}-{self.batches}"

    async def declare(self, name, cpu_millis=1):
        return await self.log.append(
            self.name, lambda _: Ok([declare(name, cpu_millis)])
        )

    def describe(self):
        found = {}
        for item in self.log.cache.iterate():
            found[item.name] = (item.resource.cpu_millis, item.resource_version)
        return self.log.cache.revision, found


def declare(name, cpu_millis=1):
    return make_spec_change("team", Team(Metadata(name), cpu_millis, 1))


def make_instances(*names, table=None, compact_entries=1_000_000):
    table = table or DelayingTable()
    store = MemoryStore()
    clock = ManualClock()
    instances = [Instance(name, table, store, clock, compact_entries) for name in names]
    return table, store, clock, instances


async def settle(clock, *calls):
    """Run calls until all are done, advancing the clock while they wait."""
    tasks = [asyncio.ensure_future(call) for call in calls]
    while not all(task.done() for task in tasks):
        for _ in range(20):
            await asyncio.sleep(0)
        clock.advance(STEP)
    return [task.result() for task in tasks]
