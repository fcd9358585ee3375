"""Counts the watches that this instance serves."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from almondspread_daemon.following.watch_lines import LineCache


class WatchTracker:
    """Counts the watches, so that a stop can wait until all have ended.

    ``lines`` is the cache of rendered entries that all watches share.
    """

    def __init__(self) -> None:
        self.lines = LineCache()
        self.count = 0
        self._all_ended = asyncio.Event()
        self._all_ended.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a watch for as long as the block runs."""
        self.count += 1
        self._all_ended.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._all_ended.set()

    async def wait_until_ended(self, timeout: timedelta) -> bool:
        """Wait until no watch is served; false after the timeout."""
        try:
            await asyncio.wait_for(self._all_ended.wait(), timeout.total_seconds())
        except TimeoutError:
            return False
        return True
