"""Answers on their way to the records of their keys.

A minion's answer to a keyed request is kept here until the owner of its key says that
it is journalled. The owner may die or change meanwhile: the answer is then offered to
whichever instance owns the key, so that it can be fetched later.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define
from loguru import logger

from almondspread.clock import Clock
from almondspread_daemon.peers.request_messages import DeliverAnswer

INITIAL_DELAY = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(milliseconds=500)
MAX_ANSWER_AGE = timedelta(minutes=10)
MAX_PENDING_BYTES = 32 * 1024 * 1024

DeliverToOwner = Callable[[DeliverAnswer], Awaitable[bool]]


@define
class _PendingAnswer:
    """An answer and since when it is kept."""

    answer: DeliverAnswer
    added_at: timedelta
    first_attempt_at: timedelta


class AnswerDeliveries:
    """Keeps answers until they are journalled; the oldest go first when full."""

    def __init__(self, offer: DeliverToOwner, clock: Clock) -> None:
        self._deliver = offer
        self._clock = clock
        self._pending: dict[tuple[str, str], _PendingAnswer] = {}
        self._pending_bytes = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, answer: DeliverAnswer, at_once: bool) -> None:
        """Keep an answer, and offer it at once or after a first pause."""
        now = self._clock.monotonic()
        self.discard(answer.service, answer.key)
        pause = timedelta(0) if at_once else INITIAL_DELAY
        self._pending[answer.service, answer.key] = _PendingAnswer(
            answer, now, now + pause
        )
        self._pending_bytes += len(answer.body)
        while self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1:
            service, key = next(iter(self._pending))
            logger.error("the answer under key {} of {} is dropped", key, service)
            self.discard(service, key)

    def discard(self, service: str, key: str) -> None:
        """Drop an answer that is journalled."""
        kept = self._pending.pop((service, key), None)
        if kept is not None:
            self._pending_bytes -= len(kept.answer.body)

    async def run(self) -> None:
        """Offer what is kept again and again until cancelled."""
        while True:
            await self.deliver_due()
            await self._clock.sleep(RETRY_INTERVAL)

    async def deliver_due(self) -> None:
        """Offer once each answer that is due."""
        for place, kept in list(self._pending.items()):
            now = self._clock.monotonic()
            if now < kept.first_attempt_at:
                continue
            if await self._deliver(kept.answer) or now - kept.added_at > MAX_ANSWER_AGE:
                self.discard(*place)
