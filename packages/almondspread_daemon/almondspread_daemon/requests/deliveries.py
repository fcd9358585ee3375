"""Delivery of answers to the owners of their keys, with retries.

An instance keeps a minion's answer to a keyed request until the owner of its key
confirms that the answer is journalled. If that owner fails or changes, the answer is
delivered to the instance that owns the key then, so that callers can still fetch it.
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
    """An answer that is not known to be journalled, with monotonic times."""

    answer: DeliverAnswer
    added_at: timedelta
    first_attempt_at: timedelta


class AnswerDeliveries:
    """Keeps answers until they are journalled, and delivers them with retries.

    ``deliver`` sends an answer to the owner of its key, and returns whether the answer
    is journalled. The oldest answers are dropped where all together exceed
    ``MAX_PENDING_BYTES``, or once they are older than ``MAX_ANSWER_AGE``.
    """

    def __init__(self, deliver: DeliverToOwner, clock: Clock) -> None:
        self._deliver = deliver
        self._clock = clock
        self._pending: dict[tuple[str, str], _PendingAnswer] = {}
        self._pending_bytes = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, answer: DeliverAnswer, at_once: bool) -> None:
        """Keep an answer, and deliver it from now on or after ``INITIAL_DELAY``.

        The delay leaves time for the owner to report the answer as journalled.
        """
        now = self._clock.monotonic()
        self.discard(answer.service, answer.key)
        delay = timedelta(0) if at_once else INITIAL_DELAY
        self._pending[answer.service, answer.key] = _PendingAnswer(
            answer, now, now + delay
        )
        self._pending_bytes += len(answer.body)
        while self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1:
            service, key = next(iter(self._pending))
            logger.error(
                "too many undelivered bytes: answer to key {} of service {} dropped",
                key,
                service,
            )
            self.discard(service, key)

    def discard(self, service: str, key: str) -> None:
        """Drop the answer to a key, if one is kept."""
        pending = self._pending.pop((service, key), None)
        if pending is not None:
            self._pending_bytes -= len(pending.answer.body)

    async def run(self) -> None:
        """Deliver the kept answers repeatedly until cancelled."""
        while True:
            await self.deliver_due()
            await self._clock.sleep(RETRY_INTERVAL)

    async def deliver_due(self) -> None:
        """Try once to deliver each answer whose initial delay is over."""
        for entry_key, pending in list(self._pending.items()):
            now = self._clock.monotonic()
            if now < pending.first_attempt_at:
                continue
            if (
                await self._deliver(pending.answer)
                or now - pending.added_at > MAX_ANSWER_AGE
            ):
                self.discard(*entry_key)
