"""The client side of a peer stream."""

import asyncio
import random
import ssl
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import define
from expression import Error, Ok, Result
from loguru import logger
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread_daemon.addresses import parse_address
from almondspread_daemon.frames import (
    CALL,
    NOTIFICATION,
    REPLY,
    Frame,
    read_frames,
)
from almondspread_daemon.peers.messages import PEER_CODEC
from almondspread_daemon.telemetry.traces import (
    TracePipeline,
    get_traceparent,
    mark_failed,
)

INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=1)
NO_GRACE = timedelta(0)
MAX_UNSENT_BYTES = 32 * 1024 * 1024


@define(frozen=True)
class PeerFault:
    """The reason why a call got no reply.

    ``not_sent`` is true only if no byte of the call can have left this process.
    """

    reason: str
    not_sent: bool


class PeerLink:
    """The outgoing stream to the peer at one address.

    ``run`` keeps the stream open and reads the replies on it. ``on_open`` is called
    each time the stream has opened.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        random_source: random.Random,
        client: TCPClient,
        traces: TracePipeline,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._clock = clock
        self._random = random_source
        self._client = client
        self._traces = traces
        self.ssl_options = ssl_options
        self._stream: IOStream | None = None
        self._pending_calls: dict[int, asyncio.Future[Any]] = {}
        self._last_number = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.on_open: Callable[[], None] = lambda: None

    @property
    def is_open(self) -> bool:
        """Whether the stream is open now."""
        return self._stream is not None

    async def run(self) -> None:
        """Keep the stream open until cancelled; reconnect with exponential backoff."""
        pause = INITIAL_BACKOFF
        while True:
            try:
                await self._connect()
                pause = INITIAL_BACKOFF
                await self._read_replies()
            except (StreamClosedError, OSError, ValueError, TimeoutError) as error:
                logger.debug(
                    "the stream to peer {} is closed: {!r}", self.address, error
                )
            finally:
                self._close_stream()
            await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(pause * 2, MAX_BACKOFF)

    async def _connect(self) -> None:
        """Connect to the peer."""
        host, port = parse_address(self.address)
        self._stream = await self._client.connect(
            host,
            port,
            ssl_options=self.ssl_options,
            timeout=CONNECT_TIMEOUT,
        )
        self._stream.max_write_buffer_size = MAX_UNSENT_BYTES
        self._stream.set_nodelay(True)
        self.on_open()

    async def _read_replies(self) -> None:
        """Pass each reply to the call that waits for it."""
        assert self._stream is not None
        async for frame in read_frames(self._stream, self._count_received):
            if frame.kind != REPLY:
                raise ValueError(
                    f"expected a reply, received a frame of kind {frame.kind}"
                )
            # No call waits for a reply that arrives after the call's timeout.
            future = self._pending_calls.pop(frame.number, None)
            if future is None or future.done():
                continue
            future.set_result(PEER_CODEC.from_plain(frame.body))

    def _count_received(self, count: int) -> None:
        """Add to the count of received bytes."""
        self.bytes_received += count

    def _close_stream(self) -> None:
        """Close the stream and fail the calls that wait for a reply."""
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.close()
        calls, self._pending_calls = self._pending_calls, {}
        for future in calls.values():
            if not future.done():
                future.set_exception(StreamClosedError())

    def notify(self, message: Any) -> None:
        """Send a message without a reply; drop the message if the stream is closed."""
        self._write(Frame(NOTIFICATION, 0, PEER_CODEC.to_plain(message)))

    async def call(
        self, message: Any, timeout: timedelta, grace: timedelta = NO_GRACE
    ) -> Result[Any, PeerFault]:
        """Send a message and return its reply.

        The peer is asked to reply within ``timeout``. A reply is still accepted for
        ``grace`` after that, so that one that was sent in time is not lost to network
        latency.
        """
        name = f"peer {type(message).__name__}"
        with self._traces.client_span(name, self.address) as span:
            outcome = await self._call(message, timeout, grace)
            if outcome.is_error():
                mark_failed(span, outcome.error.reason)
        return outcome

    async def _call(
        self, message: Any, timeout: timedelta, grace: timedelta
    ) -> Result[Any, PeerFault]:
        """Send a message within the current trace span and return its reply."""
        if self._stream is None:
            return Error(PeerFault(f"the stream to {self.address} is not open", True))
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        seconds = timeout.total_seconds()
        body = PEER_CODEC.to_plain(message)
        frame = Frame(CALL, number, body, seconds, get_traceparent())
        if not self._write(frame):
            self._pending_calls.pop(number, None)
            return Error(PeerFault(f"the stream to {self.address} is closed", True))
        try:
            wait_seconds = seconds + grace.total_seconds()
            return Ok(await asyncio.wait_for(future, wait_seconds))
        except TimeoutError:
            return Error(PeerFault(f"no reply from {self.address} in time", False))
        except (StreamClosedError, ValueError) as error:
            return Error(PeerFault(f"stream to {self.address}: {error!r}", False))
        finally:
            self._pending_calls.pop(number, None)

    def _write(self, frame: Frame) -> bool:
        """Write a frame to the stream; return false if no byte of it was written."""
        if self._stream is None:
            return False
        data = frame.encode()
        try:
            self._stream.write(data)
        except (StreamClosedError, StreamBufferFullError, OSError):
            return False
        self.bytes_sent += len(data)
        return True
