"""A loopback proxy whose connections can be delayed, silenced, reset or cut one way."""

import asyncio
import socket
import struct
from enum import StrEnum

from attrs import define, field

CHUNK_BYTES = 65_536
HELD_POLL = 0.02
# Makes a close send a reset.
LINGER_NOT_AT_ALL = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """What becomes of bytes: ``held`` ones pass once the link is ``open`` again.

    ``deaf`` holds only what comes back; ``refused`` resets connections, also new ones.
    """

    OPEN = "open"
    HELD = "held"
    DEAF = "deaf"
    REFUSED = "refused"


@define(eq=False)
class Proxy:
    """Passes connections to an address on; ``delay`` is seconds for each chunk."""

    listen_host: str
    target: tuple[str, int]
    listen_port: int = 0
    state: LinkState = LinkState.OPEN
    delay: float = 0.0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.listen_host, self.listen_port
        )
        self.listen_port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:port``."""
        return f"{self.listen_host}:{self.listen_port}"

    def set_state(self, state: LinkState) -> None:
        """Change what becomes of bytes, also of open connections."""
        self.state = state
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on."""
        if self.state is LinkState.REFUSED:
            _reset(writer)
            return
        while self.state is LinkState.HELD:
            await asyncio.sleep(HELD_POLL)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, far_writer}
        passing = (
            asyncio.create_task(self._pass(reader, far_writer, returning=False)),
            asyncio.create_task(self._pass(far_reader, writer, returning=True)),
        )
        self._tasks.update(passing)
        await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        for task in passing:
            task.cancel()
        self._tasks.difference_update(passing)
        for each in (writer, far_writer):
            each.close()
            self._writers.discard(each)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        returning: bool,
    ) -> None:
        """Pass bytes of one direction on, when the link lets them."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self._holds(returning):
                    await asyncio.sleep(HELD_POLL)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            return

    def _holds(self, returning: bool) -> bool:
        """Tell whether bytes of a direction must wait."""
        if self.state is LinkState.HELD:
            return True
        return self.state is LinkState.DEAF and returning


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    raw = writer.get_extra_info("socket")
    # A connection that has closed by itself has no descriptor left.
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT_AT_ALL)
    writer.transport.abort()
