"""A table service in memory whose answers can be lost or refused."""

from expression import Error, Ok, Result
from sortedcontainers import SortedDict

from almondspread.interfaces.table import (
    Condition,
    ConditionFailed,
    Row,
    TableUnavailable,
    Write,
)


class MemoryTable:
    """Keeps rows in memory; ``down`` and ``lose_answers`` cause its faults.

    While ``down`` is set nothing takes effect. Each transaction while
    ``lose_answers`` is above zero takes effect, but its answer is lost.
    """

    def __init__(self) -> None:
        self.rows: SortedDict = SortedDict()
        self.revision = 0
        self.down = False
        self.lose_answers = 0
        self.row_writes = 0
        self.row_reads = 0

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply all writes if all conditions hold; return the new revision."""
        if self.down:
            return Error(TableUnavailable("the table service is down"))
        outcome = self.apply(conditions, writes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Error(TableUnavailable("the answer was lost"))
        return outcome

    def apply(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply a transaction at once, without faults."""
        for condition in conditions:
            row = self.rows.get(condition.key)
            version = row.version if row else 0
            if version != condition.version:
                return Error(ConditionFailed(condition.key, version))
        self.revision += 1
        for write in writes:
            self.row_writes += 1
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            self.rows[write.key] = Row(write.key, write.value, self.revision)
        return Ok(self.revision)

    async def read(self, keys: list[str]) -> Result[list[Row], TableUnavailable]:
        """Return those of the named rows that exist."""
        if self.down:
            return Error(TableUnavailable("the table service is down"))
        self.row_reads += len(keys)
        return Ok([self.rows[key] for key in keys if key in self.rows])

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], TableUnavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``."""
        if self.down:
            return Error(TableUnavailable("the table service is down"))
        start = max(prefix, after)
        found: list[Row] = []
        for key in self.rows.irange(start):
            if not key.startswith(prefix) or len(found) == limit:
                break
            if key == after:
                continue
            found.append(self.rows[key])
        self.row_reads += len(found)
        return Ok(found)
