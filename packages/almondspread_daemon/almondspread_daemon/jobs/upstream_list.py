"""Keeps the upstreams of a leader in step with the list that the platform has."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.store_access import StoreAccess

POLL_INTERVAL = timedelta(milliseconds=500)


class UpstreamList:
    """Reads the list of upstreams and assigns them to members.

    ``note_upstreams`` is called after each reading, with whether there are new ones.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        assignments: Assignments,
        store: StoreAccess,
        clock: Clock,
        note_upstreams: Callable[[bool], None],
    ) -> None:
        self._scheduler = scheduler
        self._assignments = assignments
        self._store = store
        self._clock = clock
        self._note_upstreams = note_upstreams

    async def run(self) -> None:
        """Read the list once per ``POLL_INTERVAL`` until cancelled."""
        while True:
            read_at = self._clock.monotonic()
            listed = await self._store.list_upstreams()
            if listed.is_ok():
                now = self._clock.monotonic()
                added = self._scheduler.update_upstreams(listed.ok, now, read_at)
                self._assignments.rebalance()
                self._assignments.resend_silent_watch_orders()
                self._note_upstreams(bool(added))
            else:
                logger.warning("upstream list not read", reason=listed.error.reason)
            await self._clock.sleep(POLL_INTERVAL)
