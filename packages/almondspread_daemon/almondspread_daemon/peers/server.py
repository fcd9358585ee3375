"""The server side of peer streams, with one task per stream and one per call."""

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

from attrs import define
from loguru import logger
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from almondspread.errors import Overloaded, Unavailable
from almondspread_daemon.frames import (
    CALL,
    NOTIFICATION,
    REPLY,
    Frame,
    read_frames,
)
from almondspread_daemon.incoming_streams import (
    DEFAULT_LIMITS,
    READ_BYTES,
    IncomingStreams,
    StreamLimits,
    ignore_refusal,
)
from almondspread_daemon.peers.messages import PEER_CODEC, refuse
from almondspread_daemon.telemetry.traces import TracePipeline

MAX_CALLS_PER_STREAM = 4_096
MAX_UNSENT_BYTES = 64 * 1024 * 1024
RETRY_AFTER_SECONDS = 1.0


@define(frozen=True)
class CallContext:
    """The seconds for which the caller of a call still waits, and its trace context."""

    timeout: float
    traceparent: str


Handler = Callable[[Any, CallContext], Awaitable[Any]]


class PeerServer(TCPServer):
    """Dispatches calls and notifications of peers to handlers by message type."""

    def __init__(
        self,
        handlers: dict[type, Handler],
        traces: TracePipeline,
        ssl_options: ssl.SSLContext | None = None,
        limits: StreamLimits = DEFAULT_LIMITS,
        count_refusal: Callable[[str], None] = ignore_refusal,
    ) -> None:
        super().__init__(ssl_options=ssl_options, read_chunk_size=READ_BYTES)
        self._streams = IncomingStreams(limits, count_refusal)
        self.bytes_sent = 0
        self.bytes_received = 0
        self._traces = traces
        self._handlers = handlers
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[IOStream, int] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept streams at the sockets."""
        super().add_sockets(self._streams.prepare(sockets))

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one stream until the peer closes it."""
        if not self._streams.open(stream):
            return
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        self._calls[stream] = 0
        try:
            async for frame in read_frames(
                stream,
                self._count_received,
                partial(self._streams.receive, stream),
                self._streams.limits.message_bytes,
            ):
                self._accept_frame(stream, frame)
        except StreamClosedError:
            pass
        except ValueError as error:
            logger.warning(
                "closing the stream from peer {} after an invalid frame: {}",
                address,
                error,
            )
        finally:
            self._calls.pop(stream, None)
            self._streams.close(stream)
            stream.close()

    def _count_received(self, count: int) -> None:
        """Add to the count of received bytes."""
        self.bytes_received += count

    def _accept_frame(self, stream: IOStream, frame: Frame) -> None:
        """Start a task for a call or notification; refuse a call above the limit."""
        if frame.kind not in (CALL, NOTIFICATION):
            raise ValueError(f"expected a call, received a frame of kind {frame.kind}")
        message = PEER_CODEC.from_plain(frame.body)
        if self._calls[stream] >= MAX_CALLS_PER_STREAM:
            self._refuse_call(stream, frame)
            return
        self._calls[stream] += 1
        task = asyncio.create_task(self._serve(stream, frame, message))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._handle_task_done(stream, done))

    def _handle_task_done(self, stream: IOStream, task: asyncio.Task[None]) -> None:
        """Remove a completed task from the count of its stream."""
        self._tasks.discard(task)
        if stream in self._calls:
            self._calls[stream] -= 1

    def _refuse_call(self, stream: IOStream, frame: Frame) -> None:
        """Refuse a call above the limit; drop a notification, as any may be lost."""
        if frame.kind == NOTIFICATION:
            return
        reply = refuse(
            Overloaded(
                f"more than {MAX_CALLS_PER_STREAM} calls of one peer are in progress",
                "send the request again later",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        )
        data = Frame(REPLY, frame.number, PEER_CODEC.to_plain(reply)).encode()
        self.bytes_sent += len(data)
        try:
            # The write is not awaited. If the peer does not read, the buffer fills up
            # and the stream is closed.
            stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            stream.close()

    async def _serve(self, stream: IOStream, frame: Frame, message: Any) -> None:
        """Handle a call or notification; write the reply of a call."""
        handler = self._handlers.get(type(message))
        if handler is None:
            reply = refuse(
                Unavailable(
                    f"this instance does not handle {type(message).__name__}",
                    "run the same version on all instances",
                    not_run=True,
                )
            )
        else:
            try:
                reply = await self._call(handler, frame, message)
            except Exception:
                logger.exception("handling of {} failed", type(message).__name__)
                reply = refuse(
                    Unavailable(
                        "the instance failed while it handled the call",
                        "look at the log of that instance",
                    )
                )
        if frame.kind == NOTIFICATION:
            return
        data = Frame(REPLY, frame.number, PEER_CODEC.to_plain(reply)).encode()
        self.bytes_sent += len(data)
        try:
            await stream.write(data)
        except StreamClosedError:
            logger.debug("a reply was dropped: its stream is closed")
        except StreamBufferFullError:
            logger.warning(
                "closing the stream of a peer that does not read its replies"
            )
            stream.close()

    async def _call(self, handler: Handler, frame: Frame, message: Any) -> Any:
        """Run a handler, for a call within a trace span."""
        context = CallContext(frame.timeout, frame.traceparent)
        if frame.kind == NOTIFICATION:
            return await handler(message, context)
        with self._traces.server_span(
            f"peer {type(message).__name__}", frame.traceparent
        ):
            return await handler(message, context)

    @property
    def open_calls(self) -> int:
        """Number of calls and notifications that are being handled."""
        return len(self._tasks)

    def close(self) -> None:
        """Stop listening, close every stream and cancel the calls in progress."""
        self.stop()
        for stream in list(self._calls):
            stream.close()
        for task in list(self._tasks):
            task.cancel()
