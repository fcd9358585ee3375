"""Follows the configuration that operators publish."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.ports import HistoryGone
from almondspread_daemon.jobs.store_access import StoreAccess

# A connection may fall silent for good; a change must be noticed all the same.
CONFIGURATION_WAIT = timedelta(seconds=1)
STORE_PAUSE = timedelta(milliseconds=300)


class ConfigurationFeed:
    """Hands over each configuration that is read; ``take`` leaves out older ones."""

    def __init__(
        self, store: StoreAccess, clock: Clock, take: Callable[[Configuration], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._take = take

    async def run(self) -> None:
        """Read the configuration whenever it changes, until cancelled."""
        while True:
            read = await self._store.read_configuration()
            if read.is_error():
                logger.warning("configuration not read", reason=read.error.reason)
                await self._clock.sleep(STORE_PAUSE)
                continue
            if read.ok is not None:
                self._take(read.ok)
            await self._await_change()

    async def _await_change(self) -> None:
        """Wait until operators have published something new."""
        while True:
            changed = await self._store.wait_for_change(CONFIGURATION_WAIT)
            if changed.is_ok():
                if changed.ok:
                    return
                continue
            if not isinstance(changed.error, HistoryGone):
                logger.warning("configuration feed cut", reason=changed.error.reason)
                await self._clock.sleep(STORE_PAUSE)
            return
