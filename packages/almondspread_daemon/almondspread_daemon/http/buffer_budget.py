"""The decisions on the bytes of requests that a process holds.

All listeners of a process share one ``BufferBudget`` for the bytes of requests that
were received and not yet answered. An eighth of them is for small requests alone, so
that a few large ones cannot keep ordinary callers out. Nothing here does I/O: a caller
of these methods closes the connections that they return.
"""

from datetime import timedelta

from attrs import define, field

from almondspread_daemon.http.client_connection import Connection

# This part of the limit, one eighth, is for small requests.
SMALL_SHARE = 8


@define
class BufferBudget:
    """The bytes of requests that were received and not yet answered.

    ``small`` and ``large`` are those of requests up to ``SMALL_BODY_BYTES``, and of
    larger ones. ``unsent`` are the bytes of answers that clients have not taken yet.
    ``holders`` are the connections whose request is still incomplete.
    """

    limit: int
    small: int = 0
    large: int = 0
    unsent: int = 0
    holders: dict[Connection, None] = field(factory=dict)

    @property
    def total(self) -> int:
        """The bytes of all requests."""
        return self.small + self.large

    def charge(self, connection: Connection, count: int) -> None:
        """Add bytes that a connection has received."""
        connection.held += count
        if connection.is_large:
            self.large += count
        else:
            self.small += count

    def enlarge(self, connection: Connection) -> None:
        """Count a request as a large one from now on."""
        if connection.is_large:
            return
        connection.is_large = True
        self.small -= connection.held
        self.large += connection.held

    def release(self, connection: Connection) -> None:
        """Free the bytes of a request that was answered, refused or lost."""
        self.charge(connection, -connection.held)
        connection.is_large = False
        self.holders.pop(connection, None)

    def admits(self, is_large: bool) -> bool:
        """Tell whether a new body may begin; the last quarter is for begun ones."""
        if not is_large and self.small < self._small_limit:
            return True
        if is_large and self.large > self._admission_limit - self._small_limit:
            return False
        return self.total <= self._admission_limit

    def list_stalled(self, is_large: bool, now: timedelta) -> list[Connection]:
        """Return connections without progress to close, so that a body may begin.

        For a small body, small requests that take long give way as well.
        """
        stalled = []
        for holder in self.holders:
            is_slow = not is_large and not holder.is_large and holder.is_slow(now)
            if holder.is_stalled(now) or is_slow:
                stalled.append(holder)
        target = self._admission_limit - (self._small_limit if is_large else 0)
        return _select(stalled, self.total - target, now)

    def list_excess(self, now: timedelta) -> list[Connection]:
        """Return the connections to close, none while the bytes are within the limit.

        The connection that has held the most for the longest time without progress
        comes first. An eighth of the limit is freed, so that the next selection does
        not follow at once.
        """
        spare = self.limit // 8
        large_limit = self.limit - self._small_limit
        if self.large > large_limit:
            holders = [holder for holder in self.holders if holder.is_large]
            return _select(holders, self.large - large_limit + spare, now)
        if self.total <= self.limit:
            return []
        return _select(list(self.holders), self.total - self.limit + spare, now)

    @property
    def is_exceeded(self) -> bool:
        """Whether requests hold more than they may."""
        return self.total > self.limit or self.large > self.limit - self._small_limit

    @property
    def admits_answers(self) -> bool:
        """Whether further answers may be made; else clients have to read first."""
        return self.unsent <= self.limit

    @property
    def _admission_limit(self) -> int:
        """The bytes beyond which no new body may begin."""
        return self.limit - self.limit // 4

    @property
    def _small_limit(self) -> int:
        """The bytes that only small requests may hold."""
        return self.limit // SMALL_SHARE


def _select(
    candidates: list[Connection], excess: int, now: timedelta
) -> list[Connection]:
    """Return the connections to close to free ``excess`` bytes."""

    def rank(holder: Connection) -> tuple[float, int]:
        stalled = (now - holder.progress).total_seconds()
        return holder.held * stalled, holder.held

    selected: list[Connection] = []
    for holder in sorted(candidates, key=rank, reverse=True):
        if excess <= 0:
            break
        excess -= holder.held
        selected.append(holder)
    return selected
