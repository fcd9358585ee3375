"""A clock of the system and one that tests move by hand."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

# ``CLOCK_MONOTONIC`` of Linux stands still while the machine is suspended.
MONOTONIC_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """What a rule may ask of time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC; it may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since some fixed moment; it never goes back.

        It goes on while the machine is suspended, so that no lease outlives that.
        """

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""


class SystemClock:
    """The clock of this machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the machine's monotonic time."""
        return timedelta(seconds=time.clock_gettime(MONOTONIC_CLOCK))

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration on the running event loop."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that stands still until a test moves it.

    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.monotonic()
    datetime.timedelta(seconds=2)
    """

    def __init__(self) -> None:
        self._start = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta(0)
        self._order = itertools.count()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the start of 2026 plus what the clock was advanced by."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return what the clock was advanced by."""
        return self._elapsed

    async def sleep(self, duration: timedelta) -> None:
        """Wait until the clock was advanced by the duration."""
        if duration <= timedelta(0):
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due = self._elapsed + duration
        heapq.heappush(self._sleepers, (due, next(self._order), future))
        await future

    def advance(self, duration: timedelta) -> None:
        """Move the clock forward and wake the sleepers that are due."""
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            _, _, future = heapq.heappop(self._sleepers)
            if future.done():
                continue
            future.set_result(None)
