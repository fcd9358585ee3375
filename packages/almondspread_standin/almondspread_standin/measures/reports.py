"""What status reports cost the table, on a simulated clock."""

import asyncio
import itertools
import random
from datetime import timedelta
from typing import Any

from expression import Error, Ok, Result

from almondspread.changes import ChangeLog, Entry
from almondspread.changes.entries import make_spec_change
from almondspread.clock import ManualClock
from almondspread.interfaces import Condition, Row, TableUnavailable, Write
from almondspread.ownership import Member
from almondspread.resources import BatchJob, Metadata, TaskTemplate
from almondspread.testing import MemoryStore, MemoryTable
from almondspread_daemon.peers import CallContext, PeerFault
from almondspread_daemon.shards.publisher import StatusPublisher

TABLE_DELAY = timedelta(milliseconds=2)
STEP = timedelta(milliseconds=1)
TURNS_A_STEP = 12
WORKLOADS = 60
RUN_SECONDS = 5.0
CONTEXT = CallContext(10.0, "")


class DelayedTable(MemoryTable):
    """A table whose calls take effect and are answered after a delay."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.transactions = 0
        self.conflicts = 0
        self._clock = clock

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, Any]:
        """Apply a transaction between two delays."""
        await self._clock.sleep(TABLE_DELAY)
        outcome = await super().transact(conditions, writes)
        self.transactions += 1
        self.conflicts += outcome.is_error()
        await self._clock.sleep(TABLE_DELAY)
        return outcome

    async def read(self, keys: list[str]) -> Result[list[Row], TableUnavailable]:
        """Read between two delays."""
        await self._clock.sleep(TABLE_DELAY)
        rows = await super().read(keys)
        await self._clock.sleep(TABLE_DELAY)
        return rows


class ReportLoad:
    """Instances with one shard each that report on common workloads."""

    def __init__(self, instances: int, seed: int, shared: bool) -> None:
        self.clock = ManualClock()
        self.table = DelayedTable(self.clock)
        self.logs: dict[str, ChangeLog] = {}
        self.publishers: dict[str, StatusPublisher] = {}
        self.entry_bytes = 0
        self._shared = shared
        self._random = random.Random(seed)
        self._counts: dict[tuple[str, str], int] = {}
        self._batches = itertools.count()
        store = MemoryStore()
        for number in range(instances):
            name = f"entry-{number}"
            self.logs[name] = ChangeLog(
                self.table,
                store,
                self.clock,
                lambda: f"batch-{next(self._batches)}",
                lambda: None,
                self._push,
            )
            self.publishers[name] = StatusPublisher(
                self.logs[name],
                self.clock,
                name,
                self,  # type: ignore[arg-type]
                lambda _: 1,
            )

    def _push(self, entry: Entry, head_version: int) -> None:
        """Hand an entry to every instance."""
        for change in entry.changes:
            self.entry_bytes += len(change.value or b"")
        for log in self.logs.values():
            log.receive(entry, head_version)

    def list_live(self) -> list[Member]:
        """Return all instances, or none where each is to append by itself."""
        if not self._shared:
            return []
        now = self.clock.monotonic()
        return [Member(n, n, "d", n, now, ready=True) for n in self.publishers]

    async def call(
        self, address: str, message: Any, _: timedelta
    ) -> Result[Any, PeerFault]:
        """Hand reports to another instance."""
        if address not in self.publishers:
            return Error(PeerFault("no such instance", True))
        return Ok(await self.publishers[address].handle_reports(message, CONTEXT))

    async def run(self, seconds: float, starts_per_second: int) -> None:
        """Start and end tasks at a rate, for a simulated time."""
        changes = []
        for number in range(WORKLOADS):
            job = BatchJob(Metadata(f"job-{number}"), 1_000, TaskTemplate(100, 64))
            changes.append(make_spec_change("batch", job))
        first = self.logs["entry-0"]
        declared = asyncio.ensure_future(
            first.append("operator", lambda _: Ok(changes))
        )
        await self._advance(timedelta(seconds=1))
        await declared
        self.table.row_writes = self.table.row_reads = 0
        self.table.transactions = self.table.conflicts = self.entry_bytes = 0
        tasks = [asyncio.ensure_future(p.run()) for p in self.publishers.values()]
        pause = timedelta(seconds=1 / starts_per_second)
        ends: list[tuple[timedelta, tuple[str, str]]] = []
        stop_at = self.clock.monotonic() + timedelta(seconds=seconds)
        while self.clock.monotonic() < stop_at:
            key = (self._random.choice(list(self.publishers)), self._pick_job())
            self._count(key, 1)
            ends.append((self.clock.monotonic() + timedelta(seconds=RUN_SECONDS), key))
            while ends and ends[0][0] <= self.clock.monotonic():
                self._count(ends.pop(0)[1], -1)
            await self._advance(pause)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _pick_job(self) -> str:
        """Return one of the workloads."""
        return f"job-{self._random.randrange(WORKLOADS)}"

    def _count(self, key: tuple[str, str], difference: int) -> None:
        """Change how many tasks run and report it."""
        instance, job = key
        self._counts[key] = self._counts.get(key, 0) + difference
        report = {"created_revision": 1, "running": self._counts[key]}
        self.publishers[instance].publish(instance, {("batch", job): report})

    async def _advance(self, duration: timedelta) -> None:
        """Move the clock step by step and let what is due run."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            for _ in range(TURNS_A_STEP):
                await asyncio.sleep(0)
            self.clock.advance(min(STEP, end - self.clock.monotonic()))


async def measure_reports(
    instances: int, seed: int, starts_per_second: int, seconds: float
) -> dict[str, Any]:
    """Measure one appender for all, beside each instance appending by itself."""
    result: dict[str, Any] = {"instances": instances, "seed": seed}
    for name, shared in (("shared", True), ("each_alone", False)):
        load = ReportLoad(instances, seed, shared)
        await load.run(seconds, starts_per_second)
        table = load.table
        result[name] = {
            "row_writes_per_second": round(table.row_writes / seconds, 1),
            "row_reads_per_second": round(table.row_reads / seconds, 1),
            "transactions_per_second": round(table.transactions / seconds, 1),
            "refused_per_second": round(table.conflicts / seconds, 1),
            "report_bytes_per_second": round(load.entry_bytes / seconds),
        }
    return result
