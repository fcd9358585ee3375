"""Tasks that run beside others, and waits that can be cut short."""

import asyncio
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from loguru import logger

from almondspread.clock import Clock


class Waker:
    """A wait for some time by the clock that can be cut short from elsewhere.

    A wake that comes while nobody waits ends the next wait at once.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._woken = False
        self._sleep: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """End the wait under way, or the next one."""
        self._woken = True
        if self._sleep is not None:
            self._sleep.cancel()

    async def wait(self, limit: timedelta) -> None:
        """Wait until woken, at most for ``limit``."""
        if not self._woken:
            self._sleep = asyncio.create_task(self._clock.sleep(limit))
            try:
                await asyncio.wait([self._sleep])
            finally:
                self._sleep.cancel()
                self._sleep = None
        self._woken = False


def start_task(running: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task and log its failure, if it ever fails."""
    task = asyncio.create_task(running)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    """Log the failure of a task that should run until it is cancelled."""
    if task.cancelled() or task.exception() is None:
        return
    logger.opt(exception=task.exception()).error("a task of the instance failed")
