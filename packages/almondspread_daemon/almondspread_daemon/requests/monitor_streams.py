"""The buffered stream of a monitor from one minion, held by the minion's owner.

Each line is a JSON object with an increasing ``position``. Lines are buffered until
they are fetched. If the buffer exceeds its limit, the stream is cancelled and the
caller resumes from the last position, so that a slow caller takes no unbounded memory.
"""

import asyncio
import json
from datetime import timedelta

MAX_BUFFERED_BYTES = 256 * 1024
MAX_LINE_BYTES = 64 * 1024


class MonitorStream:
    """Buffers the lines of one minion's stream until they are fetched.

    ``position`` is that of the latest line received, or at first the position after
    which the stream was opened.
    """

    def __init__(self, position: int) -> None:
        self.position = position
        self.is_wanted = True
        self.has_ended = False
        self._partial = b""
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._changed = asyncio.Event()

    def feed(self, chunk: bytes) -> None:
        """Buffer the complete lines in a chunk of the stream.

        An incomplete last line waits for the next chunk; the stream is cancelled if
        that line is longer than ``MAX_LINE_BYTES``.
        """
        *lines, self._partial = (self._partial + chunk).split(b"\n")
        for line in lines:
            self._add_line(line)
        if len(self._partial) > MAX_LINE_BYTES:
            self.cancel()

    def _add_line(self, line: bytes) -> None:
        """Buffer one line, unless its position was received before.

        A line without a position, or a full buffer, cancels the stream.
        """
        if not self.is_wanted or not line.strip():
            return
        position = parse_position(line)
        if position is None or self._buffered_bytes > MAX_BUFFERED_BYTES:
            self.cancel()
            return
        if position <= self.position:
            return
        self.position = position
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._changed.set()

    def cancel(self) -> None:
        """Accept no more lines, and have the minion's owner close the stream."""
        self.is_wanted = False
        self._changed.set()

    def mark_ended(self) -> None:
        """Record that the stream has ended; an incomplete last line is dropped."""
        self.has_ended = True
        self._changed.set()

    async def fetch(self, wait: timedelta) -> tuple[list[bytes], bool]:
        """Return the lines since the last call, and whether the stream is over.

        Waits up to ``wait`` for a line or for the end of the stream.
        """
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await self._changed.wait()
        except TimeoutError:
            pass
        self._changed.clear()
        lines, self._lines = self._lines, []
        self._buffered_bytes = 0
        ended = self.has_ended or not self.is_wanted
        if ended:
            self._changed.set()
        return lines, ended


def parse_position(line: bytes) -> int | None:
    """Return the position of a line, or ``None`` if the line has no valid one.

    >>> parse_position(b'{"position": 7, "stop": 17}')
    7
    """
    try:
        position = json.loads(line)["position"]
    except (ValueError, TypeError, KeyError):
        return None
    return position if type(position) is int else None
