"""Limits on the streams that others open to the port for instances.

Anybody who reaches the port can open streams and send the beginning of a message. One
``IncomingStreams`` a port bounds the streams, and the bytes of messages that have not
ended.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import StrEnum

from attrs import define
from loguru import logger
from tornado.iostream import IOStream

from almondspread_daemon.socket_buffers import SocketBuffers, set_socket_buffers

KIB = 1024
MIB = 1024 * KIB
# All streams that have bytes hold so many of them in each pass of the event loop.
READ_BYTES = 16 * KIB


class StreamRefusal(StrEnum):
    """Why a stream was closed."""

    STREAMS_FULL = "streams_full"
    HANDSHAKE_LATE = "handshake_late"
    MESSAGES_FULL = "messages_full"


@define(frozen=True)
class StreamLimits:
    """Limits on the streams of one port.

    At most ``max_streams`` are open, of which ``max_unidentified`` have sent no message
    yet. All messages that have not ended have at most ``message_bytes``, and so has
    each message. The first message of a stream has to be whole after
    ``handshake_timeout``. The kernel keeps about ``receive_buffer_bytes`` of a stream
    that were not read yet, 0 for as much as the system allows.
    """

    max_streams: int = 1_024
    max_unidentified: int = 256
    message_bytes: int = 16 * MIB
    handshake_timeout: timedelta = timedelta(seconds=10)
    receive_buffer_bytes: int = 16 * KIB


DEFAULT_LIMITS = StreamLimits()


def ignore_refusal(_: str) -> None:
    """Count no refusal."""


class IncomingStreams:
    """Closes streams that the limits of a port do not allow.

    ``count_refusal`` is called with the reason for each.
    """

    def __init__(
        self,
        limits: StreamLimits,
        count_refusal: Callable[[str], None] = ignore_refusal,
    ) -> None:
        self.limits = limits
        self._count_refusal = count_refusal
        # Unfinished bytes by stream, and the timers of those without a message.
        self._held: dict[IOStream, int] = {}
        self._unidentified: dict[IOStream, asyncio.TimerHandle] = {}
        self._total = 0

    def prepare(self, listeners: Iterable[socket.socket]) -> list[socket.socket]:
        """Return the sockets of the port, whose streams have bounded buffers."""
        buffers = SocketBuffers(self.limits.receive_buffer_bytes, send_bytes=0)
        return set_socket_buffers(listeners, buffers)

    def open(self, stream: IOStream) -> bool:
        """Add a stream, and tell whether there is room for it.

        At a limit, the oldest stream without a message makes room.
        """
        has_many_unidentified = len(self._unidentified) >= self.limits.max_unidentified
        if has_many_unidentified or len(self._held) >= self.limits.max_streams:
            oldest = next(iter(self._unidentified), stream)
            self._refuse(oldest, StreamRefusal.STREAMS_FULL)
            if oldest is stream:
                return False
        self._held[stream] = 0
        self._unidentified[stream] = asyncio.get_running_loop().call_later(
            self.limits.handshake_timeout.total_seconds(),
            self._refuse,
            stream,
            StreamRefusal.HANDSHAKE_LATE,
        )
        return True

    def close(self, stream: IOStream) -> None:
        """Remove a stream, if it was not removed before."""
        self._total -= self._held.pop(stream, 0)
        self._accept(stream)

    def receive(self, stream: IOStream, unfinished: int, has_message: bool) -> None:
        """Note how much of a message has arrived that did not end yet.

        While all of them are over the limit, the stream with the most is closed.
        """
        if has_message:
            self._accept(stream)
        if stream not in self._held:
            return
        self._total += unfinished - self._held[stream]
        self._held[stream] = unfinished
        while self._total > self.limits.message_bytes:
            largest = max(self._held, key=lambda each: self._held[each])
            self._refuse(largest, StreamRefusal.MESSAGES_FULL)

    def _accept(self, stream: IOStream) -> None:
        """Note that a stream has sent a message, or is closed."""
        timer = self._unidentified.pop(stream, None)
        if timer is not None:
            timer.cancel()

    def _refuse(self, stream: IOStream, refusal: StreamRefusal) -> None:
        """Close a stream."""
        self._count_refusal(refusal)
        logger.debug("closing a stream of an instance: {}", refusal)
        self.close(stream)
        stream.close()
