"""Structured logs on standard error: one line per event, limited in rate."""

import json
import logging
import sys
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from attrs import define
from loguru import logger
from opentelemetry import trace

from almondspread.clock import Clock

if TYPE_CHECKING:
    # Processes that read their settings in another way do without this package.
    from almondspread_daemon.settings import LogSettings

MAX_LINES_PER_CALL_SITE = 20
RATE_WINDOW = timedelta(seconds=10)
MAX_CALL_SITES = 1_024


@define
class _Window:
    """The lines that one call site has logged in the current rate window."""

    started: timedelta
    lines: int = 0
    suppressed: int = 0


def make_rate_filter(clock: Clock) -> Callable[[Any], bool]:
    """Return a filter that limits the lines of each call site in a rate window.

    If the filter suppressed lines in one window, the call site's next line carries
    their number.
    """
    windows: dict[tuple[str, int], _Window] = {}

    def accept(record: Any) -> bool:
        now = clock.monotonic()
        call_site = (record["name"], record["line"])
        window = windows.get(call_site)
        if window is None or now - window.started >= RATE_WINDOW:
            if window is not None and window.suppressed:
                record["extra"]["suppressed"] = window.suppressed
            if len(windows) >= MAX_CALL_SITES:
                windows.clear()
            window = windows[call_site] = _Window(now)
        window.lines += 1
        if window.lines <= MAX_LINES_PER_CALL_SITE:
            return True
        window.suppressed += 1
        return False

    return accept


def format_json(record: Any) -> str:
    """Return a log record as one line of JSON, with the current trace and span."""
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
    """Forwards logs of libraries, so that they are structured and limited in rate."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a standard library record under the record's own call site."""
        patched = logger.patch(
            lambda target: target.update(name=record.name, line=record.lineno)
        )
        patched.opt(exception=record.exc_info).log(
            record.levelname, record.getMessage()
        )


def configure_logs(settings: "LogSettings", instance: str, clock: Clock) -> None:
    """Configure logs on standard error, as JSON or text, for this process."""
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
    """Write one record to standard error as JSON."""
    sys.stderr.write(format_json(message.record) + "\n")
