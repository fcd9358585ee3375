"""Structured logs on standard error."""

import sys

from loguru import logger

from almondspread_daemon.settings import LogSettings


def configure_logs(settings: LogSettings, instance: str) -> None:
    """Write one line for each event, as JSON or as text."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    logger.add(
        sys.stderr,
        level=settings.level.upper(),
        serialize=settings.format == "json",
        backtrace=False,
        diagnose=False,
    )
