"""The exchange with one worker: one task, for as long as the shard is owned."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.interfaces import WorkerExchange, WorkerGateway, WorkerReport
from almondspread.scheduling import Scheduler
from almondspread.scheduling.leases import WorkerLeases

FAILURES_BEFORE_UNREACHABLE = 3


class WorkerLink:
    """Carries a worker's run list to it and its report back."""

    def __init__(
        self,
        worker: str,
        address: str,
        scheduler: Scheduler,
        leases: WorkerLeases,
        gateway: WorkerGateway,
        clock: Clock,
        interval: timedelta,
        may_act: Callable[[], bool],
        wake_owner: Callable[[], None],
    ) -> None:
        self.worker = worker
        self.address = address
        self.unreachable = False
        self._scheduler = scheduler
        self._leases = leases
        self._gateway = gateway
        self._clock = clock
        self._interval = interval
        self._may_act = may_act
        self._wake_owner = wake_owner
        self._wake = asyncio.Event()
        self._failures = 0
        self._settled: set[str] = set()

    def wake(self) -> None:
        """Have the next exchange happen at once."""
        self._wake.set()

    def settle(self, attempt: str) -> None:
        """Acknowledge an end that the journal has committed, at the next exchange."""
        self._settled.add(attempt)

    async def run(self) -> None:
        """Exchange with the worker until cancelled."""
        while True:
            # A process that was paused may have lost the shard in the meantime.
            if self._may_act():
                await self._exchange()
            self._wake.clear()
            try:
                async with asyncio.timeout(self._interval.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _exchange(self) -> None:
        """Carry out one exchange."""
        acknowledged = tuple(self._settled)
        message = self._scheduler.compose_exchange(
            self.worker, self._clock.now().timestamp(), acknowledged
        )
        self._leases.note_renewal(self.worker, self._clock.monotonic())
        outcome = await self._gateway.exchange(self.address, message)
        if outcome.is_error():
            self._note_failure(outcome.error.reason)
            return
        self._take_report(message, outcome.ok)

    def _take_report(self, message: WorkerExchange, report: WorkerReport) -> None:
        """Pass a report on to the scheduler."""
        self._failures = 0
        if self.unreachable:
            logger.info("worker {} answers again", self.worker)
            self.unreachable = False
            self._wake_owner()
        self._settled.difference_update(message.acknowledged)
        self._settled.update(self._scheduler.take_report(self.worker, report))
        if report.ended or message.starts:
            self._wake_owner()

    def _note_failure(self, reason: str) -> None:
        """Count an exchange without an answer."""
        self._failures += 1
        if self._failures == FAILURES_BEFORE_UNREACHABLE:
            logger.warning("worker {} does not answer: {}", self.worker, reason)
            self.unreachable = True
            self._wake_owner()
