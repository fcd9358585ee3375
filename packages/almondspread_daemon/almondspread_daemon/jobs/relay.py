"""Writes through the leader while the store is unavailable to this instance."""

import asyncio
from datetime import timedelta

from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import StoreUnavailable
from almondspread_daemon.jobs.link_messages import RowWritten, WriteRow
from almondspread_daemon.jobs.links import LeaderLink

# A running leader sends heartbeats more often than this.
MAX_LEADER_SILENCE = timedelta(milliseconds=500)
LINK_LOST = StoreUnavailable("the link to the leader was lost", not_done=False)


class RowRelay:
    """Sends rows to the leader to write, while only the leader reaches the store."""

    def __init__(self, clock: Clock) -> None:
        self.lease_holds = False
        self._clock = clock
        self._leader: LeaderLink | None = None
        self._pending: dict[int, asyncio.Future[Result[int, StoreUnavailable]]] = {}
        self._last_number = 0

    @property
    def is_open(self) -> bool:
        """Whether the leader's lease holds and its last message is recent."""
        if self._leader is None or not self.lease_holds:
            return False
        return self._clock.monotonic() - self._leader.last_heard < MAX_LEADER_SILENCE

    def attach_leader(self, leader: LeaderLink) -> None:
        """Send rows to a new leader."""
        self._leader = leader
        self.lease_holds = True

    def detach_leader(self) -> None:
        """Fail all pending writes, which the leader may or may not have applied."""
        self._leader = None
        waiting, self._pending = self._pending, {}
        for outcome in waiting.values():
            if not outcome.done():
                outcome.set_result(Error(LINK_LOST))

    async def write(self, key: str, value: bytes) -> Result[int, StoreUnavailable]:
        """Have the leader insert a row; return its version, 0 if it existed.

        The error tells whether the row may have been written.
        """
        if self._leader is None:
            return Error(StoreUnavailable("there is no leader", not_done=True))
        self._last_number += 1
        number = self._last_number
        outcome: asyncio.Future[Result[int, StoreUnavailable]]
        outcome = asyncio.get_running_loop().create_future()
        self._pending[number] = outcome
        self._leader.link.send(WriteRow(number, key, value))
        logger.info("write sent to leader", key=key, number=number)
        try:
            return await outcome
        finally:
            self._pending.pop(number, None)

    def handle_answer(self, answer: RowWritten) -> None:
        """Complete a pending write with the leader's answer."""
        outcome = self._pending.get(answer.number)
        if outcome is None or outcome.done():
            return
        if answer.failure:
            failure = StoreUnavailable(answer.failure, answer.not_done)
            outcome.set_result(Error(failure))
            return
        outcome.set_result(Ok(answer.version))
