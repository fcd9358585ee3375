"""Decides when a leader that cannot use the store lets another instance lead."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.jobs.store_access import StoreAccess

# At the end of a full store outage, the store serves some instances a little sooner.
# The leader need not resign if it is among the later ones.
RESIGNATION_DELAY = timedelta(milliseconds=400)


class Resignation:
    """Makes the leader resign if the store serves a member, but not the leader."""

    def __init__(
        self, store: StoreAccess, clock: Clock, resign: Callable[[str], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._resign = resign
        self._task: asyncio.Task[None] | None = None

    def handle_store_reached(self, served_instance: str) -> None:
        """Handle a report of ``served_instance`` that the store serves it."""
        if self._store.is_unavailable and self._task is None:
            self._task = asyncio.create_task(self._resign_after_delay(served_instance))

    async def _resign_after_delay(self, served_instance: str) -> None:
        """Resign unless the store serves this instance again within the delay."""
        await self._clock.sleep(RESIGNATION_DELAY)
        self._task = None
        if self._store.is_unavailable:
            self._resign(served_instance)

    def close(self) -> None:
        """Cancel a pending resignation."""
        if self._task is not None:
            self._task.cancel()
