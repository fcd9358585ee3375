"""Periodic update of one scheduling shard's grants of team quotas."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.scheduling import Scheduler
from almondspread.scheduling.grants import TeamGrants
from almondspread_daemon.background import Waker

GRANT_UPDATE_INTERVAL = timedelta(seconds=1)
MIN_GRANT_UPDATE_INTERVAL = timedelta(milliseconds=50)


class GrantUpdater:
    """Requests the quota that waiting tasks need and returns unused quota.

    ``wake_shard`` is called after the grants have changed.
    """

    def __init__(
        self,
        grants: TeamGrants,
        scheduler: Scheduler,
        clock: Clock,
        wake_shard: Callable[[], None],
    ) -> None:
        self._grants = grants
        self._scheduler = scheduler
        self._clock = clock
        self._wake_shard = wake_shard
        self._waker = Waker(clock)
        self._row_errors: dict[str, str] = {}

    def wake(self) -> None:
        """Start the next update without waiting for the interval to end."""
        self._waker.wake()

    async def run(self) -> None:
        """Update the grants until cancelled."""
        while True:
            if await self._grants.update_grants(
                self._scheduler.compute_quota_demands()
            ):
                self._wake_shard()
            if self._grants.row_errors != self._row_errors:
                self._row_errors = dict(self._grants.row_errors)
                logger.error(
                    "no quota is granted to this shard for these teams: {}",
                    self._row_errors,
                )
            await self._clock.sleep(MIN_GRANT_UPDATE_INTERVAL)
            await self._waker.wait(GRANT_UPDATE_INTERVAL)
