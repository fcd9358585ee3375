"""Writes that the leader makes for instances which the store turns away."""

import asyncio
from datetime import timedelta

from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.ports import StoreUnavailable
from almondspread_daemon.jobs.links import LeaderLink, RowWritten, WriteRow

# A leader shows signs of life more often than this.
MAX_LEADER_SILENCE = timedelta(milliseconds=500)
LINK_LOST = StoreUnavailable("the link to the leader was lost", not_done=False)


class RowRelay:
    """Has the leader write rows while the store serves it, but not this instance."""

    def __init__(self, clock: Clock) -> None:
        self.lease_holds = False
        self._clock = clock
        self._leader: LeaderLink | None = None
        self._pending: dict[int, asyncio.Future[Result[int, StoreUnavailable]]] = {}
        self._last_number = 0

    @property
    def is_open(self) -> bool:
        """Whether the leader is heard and the store has confirmed it lately."""
        if self._leader is None or not self.lease_holds:
            return False
        return self._clock.monotonic() - self._leader.last_heard < MAX_LEADER_SILENCE

    def attach_leader(self, leader: LeaderLink) -> None:
        """Send rows to this leader from now on."""
        self._leader = leader
        self.lease_holds = True

    def detach_leader(self) -> None:
        """Have no leader; whether it wrote what it was sent is not known."""
        self._leader = None
        waiting, self._pending = self._pending, {}
        for written in waiting.values():
            if not written.done():
                written.set_result(Error(LINK_LOST))

    async def write(self, key: str, value: bytes) -> Result[int, StoreUnavailable]:
        """Have a row written unless it is there; return its version, 0 if it was."""
        if self._leader is None:
            return Error(StoreUnavailable("there is no leader", not_done=True))
        self._last_number += 1
        number = self._last_number
        written: asyncio.Future[Result[int, StoreUnavailable]]
        written = asyncio.get_running_loop().create_future()
        self._pending[number] = written
        self._leader.link.send(WriteRow(number, key, value))
        logger.info("write relayed", key=key, number=number)
        try:
            return await written
        finally:
            self._pending.pop(number, None)

    def handle_answer(self, answer: RowWritten) -> None:
        """Take the leader's answer."""
        written = self._pending.get(answer.number)
        if written is None or written.done():
            return
        if answer.failure:
            failure = StoreUnavailable(answer.failure, answer.not_done)
            written.set_result(Error(failure))
            return
        written.set_result(Ok(answer.version))
