"""One leg of a monitor: a standing stream from one minion, held by its owner.

Each line is a JSON object with a growing ``position``. Lines wait here until they are
fetched; where they are not fetched in time the leg is cut, to be resumed from the last
position, so that a slow caller takes no unbounded memory.
"""

import asyncio
import json
from datetime import timedelta

MAX_BUFFERED_BYTES = 256 * 1024
MAX_LINE_BYTES = 64 * 1024


class MonitorStream:
    """The lines of one standing stream that were not fetched yet."""

    def __init__(self, position: int) -> None:
        self.position = position
        self.is_wanted = True
        self.has_ended = False
        self._partial = b""
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._changed = asyncio.Event()

    def feed(self, chunk: bytes) -> None:
        """Take in a piece of the stream, whole lines of which can be fetched."""
        *lines, self._partial = (self._partial + chunk).split(b"\n")
        for line in lines:
            self._add_line(line)
        if len(self._partial) > MAX_LINE_BYTES:
            self.cancel()

    def _add_line(self, line: bytes) -> None:
        """Take in one line, unless it was seen before."""
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
        """Want no more of the stream."""
        self.is_wanted = False
        self._changed.set()

    def mark_ended(self) -> None:
        """Note that the stream has ended; half a line at its end is dropped."""
        self.has_ended = True
        self._changed.set()

    async def fetch(self, wait: timedelta) -> tuple[list[bytes], bool]:
        """Return the lines since the last call, and whether no more will come."""
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
    """Return the position of a line, ``None`` where it has none.

    >>> parse_position(b'{"position": 7, "stop": 17}')
    7
    """
    try:
        position = json.loads(line)["position"]
    except (ValueError, TypeError, KeyError):
        return None
    return position if type(position) is int else None
