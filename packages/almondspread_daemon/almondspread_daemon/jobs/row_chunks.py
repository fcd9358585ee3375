"""Values that may be too large for one row, spread over several."""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from attrs import define, field

from almondspread.jobs.ports import RowName, RowPut

T = TypeVar("T")


def pack_chunks(
    items: Sequence[T], measure: Callable[[T], int], limit: int
) -> list[list[T]]:
    """Return the items, in order, in chunks of limited size; at least one chunk.

    ``measure`` returns the size of an item. An item that is larger than ``limit`` is a
    chunk of its own.

    >>> pack_chunks([3, 3, 3, 9, 1], lambda item: item, 6)
    [[3, 3], [3], [9], [1]]
    """
    chunks: list[list[T]] = [[]]
    size = 0
    for item in items:
        item_size = measure(item)
        if chunks[-1] and size + item_size > limit:
            chunks.append([])
            size = 0
        chunks[-1].append(item)
        size += item_size
    return chunks


def make_chunk_name(name: RowName, number: int) -> RowName:
    """Return the name of the row of one chunk; the first has the value's own name.

    >>> make_chunk_name(RowName("t", "p", "k"), 2).key
    'k/2'
    """
    if number == 0:
        return name
    return RowName(name.table, name.partition, f"{name.key}/{number}")


def parse_chunk_key(key: str) -> tuple[str, int]:
    """Return the key of a value and the number of the chunk that a row's key names.

    >>> parse_chunk_key("k/2"), parse_chunk_key("k")
    (('k', 2), ('k', 0))
    """
    value_key, _, number = key.rpartition("/")
    if value_key and number.isdecimal():
        return value_key, int(number)
    return key, 0


@define(frozen=True)
class RowChange:
    """Rows to write and to remove together, for a value of ``chunks`` rows."""

    name: RowName
    chunks: int
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowName, ...] = ()

    @property
    def size(self) -> int:
        """The number of bytes of all values."""
        return sum(len(put.value) for put in self.puts)


@define(eq=False)
class StoredChunks:
    """Counts the rows that the store may hold of each value, where it is not one.

    A write whose outcome is unknown may have stored its rows.
    """

    _counts: dict[RowName, int] = field(factory=dict)

    def restore(self, names: Iterable[RowName]) -> None:
        """Count rows that are in the store, by their names."""
        for name in names:
            key, number = parse_chunk_key(name.key)
            if number:
                self._raise(RowName(name.table, name.partition, key), number + 1)

    def plan_write(self, name: RowName, values: list[bytes]) -> RowChange:
        """Return the change that makes the store hold these chunks and no others."""
        puts = []
        for number, value in enumerate(values):
            puts.append(RowPut(make_chunk_name(name, number), value))
        surplus = range(len(values), self._counts.get(name, 1))
        removals = tuple(make_chunk_name(name, number) for number in surplus)
        return RowChange(name, len(values), tuple(puts), removals)

    def plan_removal(self, name: RowName) -> RowChange:
        """Return the change that removes all rows of a value."""
        numbers = range(self._counts.get(name, 1))
        return RowChange(
            name, 0, removals=tuple(make_chunk_name(name, number) for number in numbers)
        )

    def record_sent(self, change: RowChange) -> None:
        """Record that a change is sent, so that the store may hold its rows."""
        self._raise(change.name, change.chunks)

    def record_stored(self, change: RowChange) -> None:
        """Record that a change is stored."""
        self._counts.pop(change.name, None)
        self._raise(change.name, change.chunks)

    def _raise(self, name: RowName, count: int) -> None:
        """Record that the store may hold this many rows of a value."""
        if count > self._counts.get(name, 1):
            self._counts[name] = count
