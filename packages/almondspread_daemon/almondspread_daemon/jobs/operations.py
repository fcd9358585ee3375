"""Follows what operators publish: the configuration and the maintenance waves."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import HistoryGone, OperatorInput
from almondspread_daemon.jobs.store_access import StoreAccess

# A connection may hang without an error, so each wait has a timeout.
CHANGE_WAIT_TIMEOUT = timedelta(seconds=1)
STORE_RETRY_DELAY = timedelta(milliseconds=300)


class OperationsFeed:
    """Passes everything that operators publish to ``handle``.

    A read may return an older configuration than an earlier read did; ``handle`` must
    ignore it.
    """

    def __init__(
        self, store: StoreAccess, clock: Clock, handle: Callable[[OperatorInput], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._handle = handle
        self._confirmed_at = clock.monotonic()

    async def run(self) -> None:
        """Read what operators publish, first once and then after each change."""
        while True:
            read = await self._store.read_operator_input()
            if read.is_error():
                logger.warning("configuration not read", reason=read.error.reason)
                await self._clock.sleep(STORE_RETRY_DELAY)
                continue
            age = self._clock.monotonic() - self._confirmed_at
            logger.info("configuration read", seconds_unconfirmed=age.total_seconds())
            self._confirmed_at = self._clock.monotonic()
            self._handle(read.ok)
            await self._await_change()

    async def _await_change(self) -> None:
        """Wait until operators have published a change, or the feed of changes fails.

        After a failure the caller must read everything again.
        """
        while True:
            changed = await self._store.wait_for_change(CHANGE_WAIT_TIMEOUT)
            if changed.is_ok():
                if changed.ok:
                    return
                self._confirmed_at = self._clock.monotonic()
                continue
            if not isinstance(changed.error, HistoryGone):
                logger.warning(
                    "configuration feed interrupted", reason=changed.error.reason
                )
                await self._clock.sleep(STORE_RETRY_DELAY)
            return
