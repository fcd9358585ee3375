"""Structured logs on standard error: one event a line, bounded under storms."""

import json
import logging
import sys
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import define
from loguru import logger
from opentelemetry import trace

from almondspread.clock import Clock
from almondspread_daemon.settings import LogSettings

MAX_LINES_PER_CALL_SITE = 20
RATE_WINDOW = timedelta(seconds=10)
MAX_CALL_SITES = 1_024


@define
class _Window:
    """How many lines one place in the code logged in the present window."""

    started: timedelta
    lines: int = 0
    suppressed: int = 0


def make_rate_filter(clock: Clock) -> Callable[[Any], bool]:
    """Return a filter that lets each place in the code log so many lines a window.

    The first line that passes after some were held back tells how many.
    """
    windows: dict[tuple[str, int], _Window] = {}

    def accept(record: Any) -> bool:
        now = clock.monotonic()
        place = (record["name"], record["line"])
        window = windows.get(place)
        if window is None or now - window.started >= RATE_WINDOW:
            if window is not None and window.suppressed:
                record["extra"]["suppressed"] = window.suppressed
            if len(windows) >= MAX_CALL_SITES:
                windows.clear()
            window = windows[place] = _Window(now)
        window.lines += 1
        if window.lines <= MAX_LINES_PER_CALL_SITE:
            return True
        window.suppressed += 1
        return False

    return accept


def format_json(record: Any) -> str:
    """Return a log record as one line of JSON, with the trace it belongs to."""
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "logger": f"{record['name']}:{record['line']}",
        "message": record["message"],
        **record["extra"],
    }
    context = trace.get_current_span().get_span_context()
    if context.is_valid:
        document["trace_id"] = trace.format_trace_id(context.trace_id)
        document["span_id"] = trace.format_span_id(context.span_id)
    if record["exception"] is not None:
        document["exception"] = repr(record["exception"].value)
    return json.dumps(document, default=str)


class _LibraryHandler(logging.Handler):
    """Passes what libraries log on, so that it is structured and bounded as well."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of the standard library's logging."""
        place = logger.patch(
            lambda target: target.update(name=record.name, line=record.lineno)
        )
        place.opt(exception=record.exc_info).log(record.levelname, record.getMessage())


def configure_logs(settings: LogSettings, instance: str, clock: Clock) -> None:
    """Write one line for each event, as JSON or as text."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    logging.basicConfig(handlers=[_LibraryHandler()], level=logging.WARNING, force=True)
    arguments: dict[str, Any] = {
        "level": settings.level.upper(),
        "filter": make_rate_filter(clock),
        "backtrace": False,
        "diagnose": False,
    }
    if settings.format == "json":
        logger.add(_write_json, format="{message}", **arguments)
        return
    logger.add(sys.stderr, **arguments)


def _write_json(message: Any) -> None:
    """Write one record to standard error."""
    sys.stderr.write(format_json(message.record) + "\n")
