"""When a leader that the store does not serve lets another instance lead."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.jobs.store_access import StoreAccess

# At the end of an outage of the whole store, some instances are served a little sooner.
RESIGN_PATIENCE = timedelta(milliseconds=400)


class Resignation:
    """Has the leader resign where the store serves a member, and not the leader."""

    def __init__(
        self, store: StoreAccess, clock: Clock, resign: Callable[[str], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._resign = resign
        self._waiting: asyncio.Task[None] | None = None

    def handle_store_reached(self, served: str) -> None:
        """Note that the store serves the instance ``served``."""
        if self._store.is_unavailable and self._waiting is None:
            self._waiting = asyncio.create_task(self._wait(served))

    async def _wait(self, served: str) -> None:
        """Resign unless the store serves this instance soon."""
        await self._clock.sleep(RESIGN_PATIENCE)
        self._waiting = None
        if self._store.is_unavailable:
            self._resign(served)

    def close(self) -> None:
        """Consider it no longer."""
        if self._waiting is not None:
            self._waiting.cancel()
