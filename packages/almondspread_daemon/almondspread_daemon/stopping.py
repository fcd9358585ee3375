"""The bound of a graceful shutdown."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from almondspread_daemon.background import start_task


async def stop_within_bound(
    stop: Coroutine[Any, Any, None],
    end_now: Callable[[], Awaitable[None]],
    hurried: asyncio.Event,
    bound: timedelta,
) -> None:
    """Stop gracefully; end at once at the bound or where it is hurried."""
    stopping = start_task(stop)
    waiting = asyncio.create_task(hurried.wait())
    await asyncio.wait(
        [stopping, waiting],
        timeout=bound.total_seconds(),
        return_when=asyncio.FIRST_COMPLETED,
    )
    waiting.cancel()
    if stopping.done() and stopping.exception() is None:
        return
    stopping.cancel()
    await asyncio.wait([stopping])
    await end_now()
