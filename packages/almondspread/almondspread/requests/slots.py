"""Slots of the minions that one instance owns, counted exactly."""

import asyncio
from collections import deque
from datetime import timedelta

from attrs import define, field


@define
class MinionSlots:
    """One minion: its slots, those in use, and whether it takes new requests."""

    name: str
    address: str
    slots: int
    in_flight: int = 0
    leaving: bool = False
    ready_at: timedelta = field(default=timedelta(0))

    def has_room(self, now: timedelta) -> bool:
        """Tell whether one more request may go to the minion."""
        if self.leaving or now < self.ready_at:
            return False
        return self.in_flight < self.slots


class SlotPool:
    """The owned minions of one service, and requests that wait for a slot."""

    def __init__(self, queue_length: int) -> None:
        self.minions: dict[str, MinionSlots] = {}
        self._queue_length = queue_length
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def free(self) -> int:
        """How many slots are free."""
        return sum(m.slots - m.in_flight for m in self.minions.values())

    def take(self, now: timedelta) -> MinionSlots | None:
        """Take a slot of the least loaded minion, ``None`` where all are in use."""
        best = None
        for minion in self.minions.values():
            if not minion.has_room(now):
                continue
            if best is None or minion.in_flight < best.in_flight:
                best = minion
        if best is not None:
            best.in_flight += 1
        return best

    def give_back(self, minion: MinionSlots) -> None:
        """Return a slot once the minion is done with the request."""
        minion.in_flight -= 1
        while self._waiting:
            future = self._waiting.popleft()
            if not future.done():
                future.set_result(None)
                return

    @property
    def is_queue_full(self) -> bool:
        """Whether no more requests may wait for a slot."""
        return len(self._waiting) >= self._queue_length

    async def wait(self, timeout: float) -> bool:
        """Wait for a slot to become free; false where none did in time."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        try:
            await asyncio.wait_for(future, timeout)
        except TimeoutError:
            return False
        finally:
            if future in self._waiting:
                self._waiting.remove(future)
        return True
