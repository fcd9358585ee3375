"""Log lines on standard output: gathered, bounded, and never waited for."""

import os
import sys
from typing import Any

from loguru import logger

from almondspread_daemon.telemetry.logs import format_json

MAX_BUFFERED_BYTES = 256 * 1024
STDOUT_DESCRIPTOR = 1


class LineWriter:
    """Gathers lines and writes them whenever standard output takes them.

    Lines beyond the bound are dropped and counted; the next line that fits is
    preceded by one that tells how many were.
    """

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def add(self, line: str) -> None:
        """Gather one line."""
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
        """Write as much as standard output takes at once."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more.
                self._buffer.clear()
                return
            del self._buffer[:written]


def configure_buffered_logs(
    writer: LineWriter, instance: str, level: str = "INFO"
) -> None:
    """Have every event logged as one line of JSON through the writer."""
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
    """Log an error that ends the process."""
    logger.opt(exception=(kind, error, trace)).critical("process ends")
    sys.__excepthook__(kind, error, trace)
