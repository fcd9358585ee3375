"""State and rules of the stand-in platform, without its sockets."""

from attrs import define, evolve
from expression import Result

from almondspread.clock import Clock
from almondspread.interfaces import ConditionFailed, Row, TableUnavailable
from almondspread.testing import MemoryStore, MemoryTable
from almondspread_platform.messages import ReadCall, ScanCall, TransactCall
from almondspread_standin.platform_server.faults import PlatformFaults
from almondspread_standin.platform_server.instances import LaggingInstances
from almondspread_standin.platform_server.rate import RateLimit


@define
class PlatformCounters:
    """What was asked of the platform since it started."""

    calls: int = 0
    transactions: int = 0
    conflicts: int = 0
    row_writes: int = 0
    row_reads: int = 0
    object_puts: int = 0
    object_gets: int = 0
    object_deletes: int = 0
    list_reads: int = 0


class PlatformService:
    """The table, the object store and the list with their faults and rates.

    Table and object store share the rates: a row and an object take one turn each.
    """

    def __init__(
        self, clock: Clock, writes_per_second: float, reads_per_second: float
    ) -> None:
        self.clock = clock
        self.table = MemoryTable()
        self.store = MemoryStore()
        self.instances = LaggingInstances(clock)
        self.faults = PlatformFaults()
        self.counters = PlatformCounters()
        self.write_rate = RateLimit(writes_per_second, clock)
        self.read_rate = RateLimit(reads_per_second, clock)

    def is_down(self, part: str) -> bool:
        """Tell whether a part refuses its calls: ``table``, ``store`` or ``list``."""
        if self.faults.down:
            return True
        if part == "store":
            return self.faults.store_down
        return part == "list" and self.faults.list_down

    def lose_next_answer(self) -> bool:
        """Tell whether the answer of this transaction is to be lost, and count it."""
        left = self.faults.lose_answers
        if left <= 0:
            return False
        self.faults = evolve(self.faults, lose_answers=left - 1)
        return True

    async def transact(
        self, call: TransactCall
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply a transaction once its row writes have had their turn."""
        await self.write_rate.take_turn(len(call.writes))
        outcome = self.table.apply(list(call.conditions), list(call.writes))
        self.counters.transactions += 1
        if outcome.is_error():
            self.counters.conflicts += 1
            return outcome
        self.counters.row_writes += len(call.writes)
        return outcome

    async def read(self, call: ReadCall) -> list[Row]:
        """Return the named rows once their reads have had their turn."""
        await self.read_rate.take_turn(len(call.keys))
        self.counters.row_reads += len(call.keys)
        rows: list[Row] = (await self.table.read(list(call.keys))).ok
        return rows

    async def scan(self, call: ScanCall) -> list[Row]:
        """Return rows of a prefix; each row found takes its turn as one read."""
        rows: list[Row] = (
            await self.table.scan(call.prefix, call.after, call.limit)
        ).ok
        reads = max(1, len(rows))
        self.counters.row_reads += reads
        await self.read_rate.take_turn(reads)
        return rows

    async def put_object(self, name: str, data: bytes) -> None:
        """Keep an object once it has had its turn."""
        await self.write_rate.take_turn(1)
        self.counters.object_puts += 1
        await self.store.put(name, data)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, if there is one, once its read has had its turn."""
        await self.read_rate.take_turn(1)
        self.counters.object_gets += 1
        data: bytes | None = (await self.store.get(name)).ok
        return data

    async def delete_object(self, name: str) -> None:
        """Forget an object once the change has had its turn."""
        await self.write_rate.take_turn(1)
        self.counters.object_deletes += 1
        await self.store.delete(name)
