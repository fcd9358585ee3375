"""Runs the passes of the scheduler of one leader epoch."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.announcer import StateAnnouncer
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.wall_time import estimate_wall_time

# Delays a scheduler pass after an event, so that one pass handles a batch of events.
BATCH_DELAY = timedelta(milliseconds=4)
# A long pass is followed by a pause of this multiple, in which links are served.
PASS_PAUSE_FACTOR = 1.0
IDLE_PASS_INTERVAL = timedelta(milliseconds=100)


class PassLoop:
    """Runs a scheduler pass after each batch of events, or an idle interval.

    ``instance`` is the leader's own. ``request_commit`` is called with decisions to
    store.
    """

    def __init__(
        self,
        instance: str,
        scheduler: Scheduler,
        assignments: Assignments,
        committer: Committer,
        announcer: StateAnnouncer,
        request_commit: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._scheduler = scheduler
        self._assignments = assignments
        self._committer = committer
        self._announcer = announcer
        self._request_commit = request_commit
        self._clock = clock
        self._began = clock.monotonic()
        self._wanted = asyncio.Event()

    def request(self) -> None:
        """Have a pass handle an event soon."""
        self._wanted.set()

    async def run(self) -> None:
        """Run passes until cancelled."""
        duration = timedelta(0)
        while True:
            try:
                async with asyncio.timeout(IDLE_PASS_INTERVAL.total_seconds()):
                    await self._wanted.wait()
                await self._clock.sleep(max(BATCH_DELAY, duration * PASS_PAUSE_FACTOR))
            except TimeoutError:
                pass
            self._wanted.clear()
            began = self._clock.monotonic()
            self.run_pass()
            duration = self._clock.monotonic() - began

    def run_pass(self) -> None:
        """Run one scheduler pass and send its orders."""
        members = self._assignments.members
        now = self._clock.monotonic()
        self._assignments.update_unresponsive_upstreams()
        wall = estimate_wall_time(
            members.members.values(), self._instance, self._clock, now - self._began
        )
        orders = self._scheduler.schedule(
            now,
            wall,
            members.count_advice_slots(),
            self._committer.lease_holds,
        )
        for order in orders:
            self._assignments.send_order(order)
        if self._scheduler.has_unrecorded_upstreams() or self._scheduler.has_changes:
            self._request_commit()
        if self._scheduler.has_announcements:
            self._announcer.note_changes()
