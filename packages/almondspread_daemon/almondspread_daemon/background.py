"""Tasks that run beside others, whose failure must not go unseen."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


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
