"""Moving a manual clock while tasks of the event loop follow it."""

import asyncio
from datetime import timedelta

from almondspread.clock import ManualClock

TURNS_PER_STEP = 12


async def run_for(
    clock: ManualClock, duration: timedelta, step: timedelta = timedelta(seconds=0.1)
) -> None:
    """Advance the clock in steps and let all that is due run after each."""
    left = duration
    await settle_tasks()
    while left > timedelta(0):
        moved = min(step, left)
        clock.advance(moved)
        left -= moved
        await settle_tasks()


async def settle_tasks() -> None:
    """Give the tasks that can go on some turns of the event loop."""
    for _ in range(TURNS_PER_STEP):
        await asyncio.sleep(0)
