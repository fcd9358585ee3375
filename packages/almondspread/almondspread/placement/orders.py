"""A sorted order of workers by free amounts that skips those that cannot fit.

Entries are kept in short sorted buckets, each with the largest second amount in
it. A search for workers with enough of both amounts skips a whole bucket by one
comparison, so its cost grows with the number of buckets and not with the number
of workers that have enough of the first amount but too little of the second.
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
    """Workers sorted by a first free amount, then a second, then the name.

    >>> order = FreeOrder()
    >>> for entry in [(4, 1, "a"), (2, 9, "b"), (4, 9, "c"), (6, 8, "d")]:
    ...     order.add(entry)
    >>> list(order.iterate_ascending(3, 5)), list(order.iterate_descending(3, 5)), order.count_below(4)
    (['c', 'd'], ['d', 'c'], 1)
    """

    __slots__ = ("_buckets", "_ends", "_peaks")

    def __init__(self) -> None:
        self._buckets: list[list[Entry]] = []
        self._ends: list[Entry] = []
        self._peaks: list[int] = []

    def __bool__(self) -> bool:
        return bool(self._buckets)

    def add(self, entry: Entry) -> None:
        """Add an entry that is not in the order."""
        ends = self._ends
        if not ends:
            self._buckets.append([entry])
            ends.append(entry)
            self._peaks.append(entry[1])
            return
        place = bisect_left(ends, entry)
        if place == len(ends):
            place -= 1
            ends[place] = entry
        bucket = self._buckets[place]
        insort(bucket, entry)
        if entry[1] > self._peaks[place]:
            self._peaks[place] = entry[1]
        if len(bucket) > MAX_BUCKET_SIZE:
            self._split(place)

    def remove(self, entry: Entry) -> None:
        """Remove an entry that is in the order."""
        place = bisect_left(self._ends, entry)
        bucket = self._buckets[place]
        del bucket[bisect_left(bucket, entry)]
        if not bucket:
            del self._buckets[place], self._ends[place], self._peaks[place]
            return
        self._ends[place] = bucket[-1]
        if entry[1] == self._peaks[place]:
            self._peaks[place] = _find_peak(bucket)
        if len(bucket) < MIN_BUCKET_SIZE and len(self._buckets) > 1:
            self._merge(place)

    def iterate_ascending(self, first: int, second: int) -> Iterator[str]:
        """Yield the workers with enough of both amounts, least first amount first."""
        low = (first,)
        start = bisect_left(self._ends, low)
        for place in range(start, len(self._buckets)):
            if self._peaks[place] < second:
                continue
            bucket = self._buckets[place]
            begin = bisect_left(bucket, low) if place == start else 0
            for position in range(begin, len(bucket)):
                entry = bucket[position]
                if entry[1] >= second:
                    yield entry[2]

    def iterate_descending(self, first: int, second: int) -> Iterator[str]:
        """Yield the workers with enough of both amounts, most first amount first."""
        low = (first,)
        start = bisect_left(self._ends, low)
        for place in range(len(self._buckets) - 1, start - 1, -1):
            if self._peaks[place] < second:
                continue
            for entry in reversed(self._buckets[place]):
                if entry[0] < first:
                    return
                if entry[1] >= second:
                    yield entry[2]

    def count_below(self, first: int) -> int:
        """Return how many workers have less than ``first`` of the first amount."""
        low = (first,)
        start = bisect_left(self._ends, low)
        count = 0
        for place in range(start):
            count += len(self._buckets[place])
        if start < len(self._buckets):
            count += bisect_left(self._buckets[start], low)
        return count

    def _split(self, place: int) -> None:
        """Divide one bucket in two."""
        bucket = self._buckets[place]
        middle = len(bucket) // 2
        upper = bucket[middle:]
        del bucket[middle:]
        self._buckets.insert(place + 1, upper)
        self._ends[place] = bucket[-1]
        self._ends.insert(place + 1, upper[-1])
        self._peaks[place] = _find_peak(bucket)
        self._peaks.insert(place + 1, _find_peak(upper))

    def _merge(self, place: int) -> None:
        """Join a short bucket with its neighbour."""
        lower = place if place + 1 < len(self._buckets) else place - 1
        upper = lower + 1
        self._buckets[lower].extend(self._buckets[upper])
        self._ends[lower] = self._ends[upper]
        self._peaks[lower] = max(self._peaks[lower], self._peaks[upper])
        del self._buckets[upper], self._ends[upper], self._peaks[upper]
        if len(self._buckets[lower]) > MAX_BUCKET_SIZE:
            self._split(lower)
