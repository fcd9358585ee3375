"""Sends the states of jobs from the leader to all members."""

import asyncio
from datetime import timedelta

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.link_messages import StatesChanged

# Each message to all members costs a write for each of them, so that in large cells job
# states are sent less often.
INTERVAL_PER_MEMBER = timedelta(microseconds=500)


class StateAnnouncer:
    """Groups the changes of job states into messages to all members."""

    def __init__(
        self, scheduler: Scheduler, assignments: Assignments, clock: Clock
    ) -> None:
        self._scheduler = scheduler
        self._assignments = assignments
        self._clock = clock
        self._wanted = asyncio.Event()

    def note_changes(self) -> None:
        """Have ``run`` send the states that have changed."""
        self._wanted.set()

    async def run(self) -> None:
        """Send changed states, at an interval that grows with the members."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            self.announce()
            members = len(self._assignments.members.members)
            await self._clock.sleep(INTERVAL_PER_MEMBER * members)

    def announce(self) -> None:
        """Send the states that have changed at once."""
        states = self._scheduler.take_announcements()
        if states:
            self._assignments.broadcast(StatesChanged(tuple(states)))

    def describe_all(self) -> StatesChanged:
        """Return a message with the states of all jobs whose end is not stored."""
        return StatesChanged(
            tuple(self._scheduler.list_unfinished_states()), whole=True
        )
