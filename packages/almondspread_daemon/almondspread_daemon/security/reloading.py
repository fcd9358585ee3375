"""Tokens put in force again when the settings file changes, without a restart."""

from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from loguru import logger

from almondspread.clock import Clock
from almondspread_daemon.security.tokens import TokenTable
from almondspread_daemon.settings import read_settings

CHECK_INTERVAL = timedelta(seconds=5)


def make_token_reloader(path: Path, table: TokenTable) -> Callable[[], bool]:
    """Return a function that takes tokens from a changed file; it tells whether.

    A file with any fault changes nothing: the tokens in force stay. So they do if the
    file has none, which it may at another address than the one in use. The first call
    reads the file in any case, as it may have changed since the process read it.
    """
    known: int | None = None

    def reload() -> bool:
        """Take the tokens of the file if it has changed."""
        nonlocal known
        try:
            current = path.stat().st_mtime_ns
        except OSError as error:
            logger.error("settings {} cannot be looked at: {}", path, error)
            return False
        if current == known:
            return False
        known = current
        loaded = read_settings(path)
        if loaded.is_error():
            logger.error("changed settings are refused: {}", loaded.error.to_text())
            return False
        if not loaded.ok.tokens and table.is_guarded:
            # Every request would count as an administrator's, at the address in use.
            logger.error("changed settings without tokens take effect at a restart")
            return False
        if not table.replace(loaded.ok.tokens):
            return False
        logger.info("tokens are read again; other settings need a restart")
        return True

    return reload


async def follow_tokens(path: Path, table: TokenTable, clock: Clock) -> None:
    """Look at the settings file again and again until cancelled."""
    reload = make_token_reloader(path, table)
    while True:
        await clock.sleep(CHECK_INTERVAL)
        reload()
