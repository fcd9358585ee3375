"""A sorted list of workers by two free amounts, with a search on both.

Entries are stored in short sorted buckets. Each bucket also stores the largest second
amount of its entries, so a search for workers with enough of both amounts skips a
bucket after one comparison. The cost of a search therefore grows with the number of
buckets, not with the number of workers that have enough of the first amount but too
little of the second.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator

MAX_BUCKET_SIZE = 48
MIN_BUCKET_SIZE = 12

Entry = tuple[int, int, str]


def _find_peak(bucket: list[Entry]) -> int:
    """Return the largest second amount in a bucket."""
    return max([entry[1] for entry in bucket])


class FreeOrder:
    """Workers sorted by a first free amount, then a second amount, then by name.

    An entry is a tuple of the first amount, the second amount and the worker's name.

    >>> order = FreeOrder()
    >>> for entry in [(4, 1, "a"), (2, 9, "b"), (4, 9, "c"), (6, 8, "d")]:
    ...     order.add(entry)
    >>> list(order.iterate_ascending(3, 5)), list(order.iterate_descending(3, 5))
    (['c', 'd'], ['d', 'c'])
    >>> order.count_below(4)
    1
    """

    __slots__ = ("_buckets", "_ends", "_peaks")

    def __init__(self) -> None:
        self._buckets: list[list[Entry]] = []
        self._ends: list[Entry] = []
        self._peaks: list[int] = []

    def __bool__(self) -> bool:
        return bool(self._buckets)

    def add(self, entry: Entry) -> None:
        """Add an entry, which must not be present yet."""
        ends = self._ends
        if not ends:
            self._buckets.append([entry])
            ends.append(entry)
            self._peaks.append(entry[1])
            return
        index = bisect_left(ends, entry)
        if index == len(ends):
            index -= 1
            ends[index] = entry
        bucket = self._buckets[index]
        insort(bucket, entry)
        if entry[1] > self._peaks[index]:
            self._peaks[index] = entry[1]
        if len(bucket) > MAX_BUCKET_SIZE:
            self._split(index)

    def remove(self, entry: Entry) -> None:
        """Remove an entry, which must be present."""
        index = bisect_left(self._ends, entry)
        bucket = self._buckets[index]
        del bucket[bisect_left(bucket, entry)]
        if not bucket:
            del self._buckets[index], self._ends[index], self._peaks[index]
            return
        self._ends[index] = bucket[-1]
        if entry[1] == self._peaks[index]:
            self._peaks[index] = _find_peak(bucket)
        if len(bucket) < MIN_BUCKET_SIZE and len(self._buckets) > 1:
            self._merge(index)

    def iterate_ascending(self, first: int, second: int) -> Iterator[str]:
        """Yield workers with enough of both amounts, by increasing first amount."""
        lower_bound = (first,)
        start = bisect_left(self._ends, lower_bound)
        for index in range(start, len(self._buckets)):
            if self._peaks[index] < second:
                continue
            bucket = self._buckets[index]
            begin = bisect_left(bucket, lower_bound) if index == start else 0
            for position in range(begin, len(bucket)):
                entry = bucket[position]
                if entry[1] >= second:
                    yield entry[2]

    def iterate_descending(self, first: int, second: int) -> Iterator[str]:
        """Yield workers with enough of both amounts, by decreasing first amount."""
        lower_bound = (first,)
        start = bisect_left(self._ends, lower_bound)
        for index in range(len(self._buckets) - 1, start - 1, -1):
            if self._peaks[index] < second:
                continue
            for entry in reversed(self._buckets[index]):
                if entry[0] < first:
                    return
                if entry[1] >= second:
                    yield entry[2]

    def count_below(self, first: int) -> int:
        """Return the number of workers whose first amount is less than ``first``."""
        lower_bound = (first,)
        start = bisect_left(self._ends, lower_bound)
        count = 0
        for index in range(start):
            count += len(self._buckets[index])
        if start < len(self._buckets):
            count += bisect_left(self._buckets[start], lower_bound)
        return count

    def _split(self, index: int) -> None:
        """Split a bucket in the middle."""
        bucket = self._buckets[index]
        middle = len(bucket) // 2
        upper = bucket[middle:]
        del bucket[middle:]
        self._buckets.insert(index + 1, upper)
        self._ends[index] = bucket[-1]
        self._ends.insert(index + 1, upper[-1])
        self._peaks[index] = _find_peak(bucket)
        self._peaks.insert(index + 1, _find_peak(upper))

    def _merge(self, index: int) -> None:
        """Merge a short bucket with an adjacent one.

        The merged bucket is split again if it exceeds ``MAX_BUCKET_SIZE``.
        """
        lower = index if index + 1 < len(self._buckets) else index - 1
        upper = lower + 1
        self._buckets[lower].extend(self._buckets[upper])
        self._ends[lower] = self._ends[upper]
        self._peaks[lower] = max(self._peaks[lower], self._peaks[upper])
        del self._buckets[upper], self._ends[upper], self._peaks[upper]
        if len(self._buckets[lower]) > MAX_BUCKET_SIZE:
            self._split(lower)
