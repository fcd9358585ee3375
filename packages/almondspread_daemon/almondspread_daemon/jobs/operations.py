"""Follows what operators publish: the configuration, and maintenance waves."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import HistoryGone, OperatorInput
from almondspread_daemon.jobs.store_access import StoreAccess

# A connection may fall silent for good; a change must be noticed all the same.
CHANGE_WAIT_TIMEOUT = timedelta(seconds=1)
STORE_RETRY_DELAY = timedelta(milliseconds=300)


class OperationsFeed:
    """Hands over all that is read; ``take`` leaves out older configurations."""

    def __init__(
        self, store: StoreAccess, clock: Clock, take: Callable[[OperatorInput], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._take = take

    async def run(self) -> None:
        """Read what operators publish whenever it changes, until cancelled."""
        while True:
            read = await self._store.read_operator_input()
            if read.is_error():
                logger.warning("configuration not read", reason=read.error.reason)
                await self._clock.sleep(STORE_RETRY_DELAY)
                continue
            self._take(read.ok)
            await self._await_change()

    async def _await_change(self) -> None:
        """Wait until operators have published something new."""
        while True:
            changed = await self._store.wait_for_change(CHANGE_WAIT_TIMEOUT)
            if changed.is_ok():
                if changed.ok:
                    return
                continue
            if not isinstance(changed.error, HistoryGone):
                logger.warning("configuration feed cut", reason=changed.error.reason)
                await self._clock.sleep(STORE_RETRY_DELAY)
            return
