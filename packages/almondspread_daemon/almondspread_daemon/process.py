"""The process of one entry instance, from its start to the exit status."""

import asyncio
import signal
from pathlib import Path

from almondspread.clock import SystemClock
from almondspread_daemon.background import start_task
from almondspread_daemon.entry import Entry
from almondspread_daemon.security.reloading import follow_tokens
from almondspread_daemon.settings import Settings
from almondspread_daemon.stopping import stop_within_bound
from almondspread_daemon.telemetry.logs import configure_logs


async def run_entry(settings: Settings, path: Path) -> int:
    """Run an instance until it is told to stop; return the exit status.

    ``path`` is the settings file, whose tokens are followed.
    """
    clock = SystemClock()
    configure_logs(settings.log, settings.name, clock)
    entry = Entry(settings, clock)
    told = asyncio.Event()
    hurried = asyncio.Event()

    def take_signal() -> None:
        """Start a graceful shutdown, and hurry it at the second signal."""
        if told.is_set():
            hurried.set()
        told.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, take_signal)
    await entry.start()
    following = start_task(follow_tokens(path, entry.tokens, clock))
    await told.wait()
    try:
        await stop_within_bound(
            entry.stop(), entry.end_now, hurried, settings.requests.stop_bound
        )
    finally:
        following.cancel()
    return 0
