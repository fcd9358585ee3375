"""A TCP proxy that injects network faults: delays, stalls, resets, cuts, silence."""

import asyncio
import socket
import struct
from enum import StrEnum

from attrs import define, field

CHUNK_BYTES = 65_536
HELD_POLL_SECONDS = 0.02
# With SO_LINGER set to zero seconds, closing a socket sends RST instead of FIN.
ZERO_LINGER = struct.pack("ii", 1, 0)


class LinkState(StrEnum):
    """How a proxy treats the bytes of its connections.

    ``open`` forwards them. ``held`` stalls both directions and ``deaf`` only the
    responses; stalled bytes are forwarded once the link is open again. ``refused``
    resets all connections, including new ones.
    """

    OPEN = "open"
    HELD = "held"
    DEAF = "deaf"
    REFUSED = "refused"


@define(eq=False)
class Proxy:
    """Forwards connections to ``target``.

    ``delay`` is in seconds and applies to each chunk. Port 0 lets the system choose
    ``listen_port`` at the start. ``accepted`` counts the connections so far. Once it
    ``is_dark``, nothing passes any more, whatever the state of the link.
    """

    listen_host: str
    target: tuple[str, int]
    listen_port: int = 0
    state: LinkState = LinkState.OPEN
    delay: float = 0.0
    is_dark: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    accepted: int = 0
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    # Connections are numbered as they are accepted; those up to this one are silent.
    _last_silent: int = 0

    async def start(self) -> None:
        """Start to listen for connections."""
        self._server = await asyncio.start_server(
            self._serve, self.listen_host, self.listen_port
        )
        self.listen_port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address at which the proxy listens, as ``IP:port``."""
        return f"{self.listen_host}:{self.listen_port}"

    def set_state(self, state: LinkState) -> None:
        """Change the state of the link, which applies to open connections as well."""
        self.state = state
        if state is LinkState.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset(writer)

    def silence(self) -> None:
        """Have all open connections fall silent for good, while new ones work.

        Neither side hears of it: what is sent is lost, also that a side has closed.
        """
        self._last_silent = self.accepted

    async def stop(self) -> None:
        """Stop listening, and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until either side closes it."""
        if self.state is LinkState.REFUSED:
            reset(writer)
            return
        self.accepted += 1
        number = self.accepted
        serve_task = asyncio.current_task()
        assert serve_task is not None
        self._tasks.add(serve_task)
        self._writers.add(writer)
        try:
            await self._connect(number, reader, writer)
        except asyncio.CancelledError:
            # The proxy stops. A cancelled task would make asyncio log a traceback.
            return
        finally:
            self._tasks.discard(serve_task)
            self._writers.discard(writer)

    async def _connect(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target once the link allows it, and forward."""
        while self.is_dark or self.state is LinkState.HELD:
            await asyncio.sleep(HELD_POLL_SECONDS)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self._writers.add(target_writer)
        forward_tasks = (
            asyncio.create_task(
                self._forward(number, reader, target_writer, is_response=False)
            ),
            asyncio.create_task(
                self._forward(number, target_reader, writer, is_response=True)
            ),
        )
        self._tasks.update(forward_tasks)
        await asyncio.wait(forward_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in forward_tasks:
            task.cancel()
        self._tasks.difference_update(forward_tasks)
        for open_writer in (writer, target_writer):
            open_writer.close()
        self._writers.discard(target_writer)

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        """Forward the bytes of one direction, delayed or stalled as the link is.

        Those of a connection whose ``number`` is silent are lost.
        """
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self._is_blocked(is_response):
                    await asyncio.sleep(HELD_POLL_SECONDS)
                if number <= self._last_silent:
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # A side has reset the connection, or closed it with bytes unread.
            pass
        if self.is_dark or number <= self._last_silent:
            # Until the proxy stops, the other side does not hear of the end.
            await asyncio.Event().wait()

    def _is_blocked(self, is_response: bool) -> bool:
        """Return whether the link stalls the bytes of a direction."""
        if self.is_dark or self.state is LinkState.HELD:
            return True
        return self.state is LinkState.DEAF and is_response


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    # A connection that is already closed has no file descriptor any more.
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()
