"""Non-blocking log output: lines are buffered up to a bound, then dropped."""

import os
import sys
from typing import Any

from loguru import logger

from almondspread_daemon.telemetry.logs import format_json

MAX_BUFFERED_BYTES = 256 * 1024
STDOUT_DESCRIPTOR = 1


class LineWriter:
    """Buffers log lines and writes them to standard output without blocking.

    Lines that do not fit into the buffer are dropped and counted. The next line that
    fits is preceded by one with the number of dropped lines.
    """

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def add(self, line: str) -> None:
        """Add one line to the buffer, or drop it if the buffer is full."""
        data = line.encode(errors="replace") + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        if self._unreported_drops:
            self._buffer += b'{"message": "lines dropped", "count": %d}\n' % (
                self._unreported_drops
            )
            self._unreported_drops = 0
        self._buffer += data

    def flush(self) -> None:
        """Write as much of the buffer as standard output accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log has closed its end; the lines cannot be written.
                self._buffer.clear()
                return
            del self._buffer[:written]


def configure_buffered_logs(
    writer: LineWriter, instance: str, level: str = "INFO"
) -> None:
    """Log every event as one line of JSON through the writer.

    Exceptions that end the process are logged as well.
    """
    logger.remove()
    logger.configure(extra={"instance": instance})
    logger.add(
        lambda message: writer.add(format_json(message.record)),
        format="{message}",
        level=level,
        backtrace=False,
        diagnose=False,
    )
    sys.excepthook = _log_exception


def _log_exception(kind: type[BaseException], error: BaseException, trace: Any) -> None:
    """Log an unhandled exception, which ends the process."""
    logger.opt(exception=(kind, error, trace)).critical(
        "the process ends after an unhandled exception"
    )
    sys.__excepthook__(kind, error, trace)
