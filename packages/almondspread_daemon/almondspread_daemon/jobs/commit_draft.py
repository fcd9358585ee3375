"""What one commit holds, as far as it fits into one call to the store."""

from attrs import define, field

from almondspread.jobs.ports import RowCondition, RowPut, Transaction
from almondspread.jobs.store_limits import StoreLimits
from almondspread_daemon.jobs.row_chunks import RowChange


@define(eq=False)
class CommitDraft:
    """The changes of a commit under ``condition``, which also writes ``renewal``."""

    condition: RowCondition
    renewal: RowPut
    limits: StoreLimits
    changes: list[RowChange] = field(factory=list)
    _entries: int = 2
    _bytes: int = 0

    def __attrs_post_init__(self) -> None:
        self._bytes = len(self.renewal.value)

    def add(self, change: RowChange) -> bool:
        """Add a change whole, or return false if there is no room for it."""
        entries = self._entries + len(change.puts) + len(change.removals)
        size = self._bytes + change.size
        if entries > self.limits.call_entries or size > self.limits.values_bytes:
            return False
        self._entries, self._bytes = entries, size
        self.changes.append(change)
        return True

    @property
    def size(self) -> int:
        """The number of bytes of all values."""
        return self._bytes

    def make_transaction(self) -> Transaction:
        """Return the transaction that applies all changes, or none of them."""
        puts = [self.renewal]
        removals = []
        for change in self.changes:
            puts.extend(change.puts)
            removals.extend(change.removals)
        return Transaction((self.condition,), tuple(puts), tuple(removals))
