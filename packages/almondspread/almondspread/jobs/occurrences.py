"""Which occurrences of a job have begun, and which of those are finished.

A repeated job may run a million times. What is kept and stored of it depends on the
occurrences that are open, and not on those that have been.
"""

from attrs import define, field

# Each open task takes memory, and time in each pass of the scheduler.
MAX_OPEN_TASKS = 2_000
# Finished occurrences behind an open one take one bit each in the stored record.
MAX_SPAN = 50_000


@define(eq=False)
class Occurrences:
    """The ``count`` occurrences of a job, numbered from 0, of ``tasks`` tasks each.

    Those before ``next_number`` have begun. All before ``first_open`` are finished, and
    those in ``finished_later`` are finished while an earlier one is open.

    >>> occurrences = Occurrences(count=3, tasks=1)
    >>> [occurrences.begin(), occurrences.begin()]
    [0, 1]
    >>> occurrences.finish(1)
    >>> occurrences.first_open, occurrences.count_open()
    (0, 1)
    >>> occurrences.finish(0)
    >>> occurrences.first_open, occurrences.count_open()
    (2, 0)
    """

    count: int
    tasks: int
    next_number: int = 0
    first_open: int = 0
    finished_later: set[int] = field(factory=set)

    @property
    def have_all_begun(self) -> bool:
        """Whether no occurrence is left to begin."""
        return self.next_number >= self.count

    def count_open(self) -> int:
        """Return how many occurrences have begun and are not finished."""
        return self.next_number - self.first_open - len(self.finished_later)

    @property
    def has_room(self) -> bool:
        """Whether so few occurrences are open that another may begin."""
        most = max(1, MAX_OPEN_TASKS // max(1, self.tasks))
        return (
            self.count_open() < most and self.next_number - self.first_open < MAX_SPAN
        )

    def begin(self) -> int:
        """Begin the next occurrence, and return its number."""
        occurrence = self.next_number
        self.next_number += 1
        return occurrence

    def is_finished(self, occurrence: int) -> bool:
        """Return whether an occurrence is finished."""
        return occurrence < self.first_open or occurrence in self.finished_later

    def finish(self, occurrence: int) -> None:
        """Record that an occurrence is finished; the call is idempotent."""
        if self.is_finished(occurrence):
            return
        self.finished_later.add(occurrence)
        while self.first_open in self.finished_later:
            self.finished_later.discard(self.first_open)
            self.first_open += 1
        self.next_number = max(self.next_number, self.first_open)

    def encode_finished(self) -> bytes:
        """Return ``finished_later`` as a little-endian bitmap from ``first_open`` on.

        >>> occurrences = Occurrences(9, 1, next_number=4, finished_later={1, 3})
        >>> occurrences.encode_finished()
        b'\\n'
        """
        if not self.finished_later:
            return b""
        last = max(self.finished_later) - self.first_open
        bitmap = bytearray(last // 8 + 1)
        for occurrence in self.finished_later:
            position = occurrence - self.first_open
            bitmap[position // 8] |= 1 << position % 8
        return bytes(bitmap)

    def restore(self, first_open: int, finished: bytes) -> None:
        """Restore what an earlier leader has stored, before any occurrence begins.

        ``finished`` is a bitmap as ``encode_finished`` returns it.
        """
        self.next_number = self.first_open = min(first_open, self.count)
        for position in range(8 * len(finished)):
            if finished[position // 8] >> position % 8 & 1:
                self.finished_later.add(first_open + position)
