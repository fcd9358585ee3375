"""Streams of typed messages between the leader and its followers."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from datetime import timedelta
from functools import partial

from loguru import logger
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from almondspread_daemon.frames import NOTIFICATION, Frame, read_frames
from almondspread_daemon.incoming_streams import (
    DEFAULT_LIMITS,
    READ_BYTES,
    IncomingStreams,
    StreamLimits,
    ignore_refusal,
)
from almondspread_daemon.jobs.link_messages import LINK_CODEC

MAX_UNSENT_BYTES = 8 * 1024 * 1024


class SharedMessage:
    """A message to several instances, which is encoded once."""

    def __init__(self, message: object) -> None:
        self.message = message
        self._encoded: bytes | None = None

    def encode(self) -> bytes:
        """Return the message as it goes over a link."""
        if self._encoded is None:
            self._encoded = _encode(self.message)
        return self._encoded


def _encode(message: object) -> bytes:
    """Return a message as it goes over a link."""
    return Frame(NOTIFICATION, 0, LINK_CODEC.to_plain(message)).encode()


class Link:
    """A stream of messages; all messages of one event loop pass leave in one write.

    ``closed_here`` is set once this side has closed the stream. ``incoming`` has the
    limits on a stream that the other side has opened.
    """

    def __init__(
        self, stream: IOStream, incoming: IncomingStreams | None = None
    ) -> None:
        self._stream = stream
        self._incoming = incoming
        self._unsent: list[bytes] = []
        self.closed_here = False
        self.bytes_sent = 0
        self.bytes_received = 0
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES

    @property
    def is_open(self) -> bool:
        """Whether the stream is open."""
        return not self._stream.closed()

    def send(self, message: object) -> None:
        """Queue a message for sending; drop the message if the stream is closed."""
        if self._stream.closed():
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        if isinstance(message, SharedMessage):
            self._unsent.append(message.encode())
        else:
            self._unsent.append(_encode(message))

    def _flush(self) -> None:
        """Write the queued messages to the stream."""
        data = b"".join(self._unsent)
        self._unsent.clear()
        try:
            self._stream.write(data)
            self.bytes_sent += len(data)
        except StreamClosedError:
            return
        except StreamBufferFullError:
            logger.warning(
                "closing link to peer", reason="the peer does not read its messages"
            )
            self._stream.close()

    async def receive_messages(self) -> AsyncIterator[object]:
        """Yield arriving messages until the stream is closed."""
        try:
            async for frame in self._read_frames():
                yield LINK_CODEC.from_plain(frame.body)
        except StreamClosedError:
            return
        except ValueError as error:
            logger.error("closing link after invalid message", reason=str(error))
            self._stream.close()

    def _read_frames(self) -> AsyncIterator[Frame]:
        """Yield arriving frames, within the limits on the stream."""
        if self._incoming is None:
            return read_frames(self._stream, self._count_received)
        return read_frames(
            self._stream,
            self._count_received,
            partial(self._incoming.receive, self._stream),
            self._incoming.limits.message_bytes,
        )

    def _count_received(self, count: int) -> None:
        """Add to the number of received bytes."""
        self.bytes_received += count

    def close(self) -> None:
        """Write the queued messages and close the stream."""
        self.closed_here = True
        if self._unsent and not self._stream.closed():
            self._flush()
        self._stream.close()


class LeaderLink:
    """A link to the leader, with the time of the last message from the leader.

    This instance has introduced itself at ``greeted_at`` or later. ``is_silent`` is set
    once the leader is known to answer on other links only.
    """

    def __init__(self, link: Link, greeted_at: timedelta) -> None:
        self.link = link
        self.greeted_at = greeted_at
        self.last_heard = greeted_at
        self.is_silent = False


class LinkServer(TCPServer):
    """Accepts links from other instances."""

    def __init__(
        self,
        serve: Callable[[Link], Awaitable[None]],
        limits: StreamLimits = DEFAULT_LIMITS,
        count_refusal: Callable[[str], None] = ignore_refusal,
    ) -> None:
        super().__init__(read_chunk_size=READ_BYTES)
        self._serve = serve
        self._streams = IncomingStreams(limits, count_refusal)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept links at the sockets."""
        super().add_sockets(self._streams.prepare(sockets))

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one stream and close its link afterwards."""
        if not self._streams.open(stream):
            return
        link = Link(stream, self._streams)
        try:
            await self._serve(link)
        finally:
            link.close()
            self._streams.close(stream)
