"""The listener for peers: one task for each stream, one for each call on it."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define
from loguru import logger
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from almondspread.errors import Overloaded, Unavailable
from almondspread_daemon.peers.frames import (
    CALL,
    NOTIFICATION,
    REPLY,
    Frame,
    read_frames,
)
from almondspread_daemon.peers.messages import PEER_CODEC, refuse
from almondspread_daemon.telemetry import TracePipeline

MAX_CALLS_PER_STREAM = 4_096
MAX_UNSENT_BYTES = 64 * 1024 * 1024
RETRY_AFTER_SECONDS = 1.0


@define(frozen=True)
class CallContext:
    """What came with a call: seconds the caller still waits, and its trace."""

    timeout: float
    traceparent: str


Handler = Callable[[Any, CallContext], Awaitable[Any]]


class PeerServer(TCPServer):
    """Takes calls and notes of peers and passes them on by the type of message."""

    def __init__(
        self,
        handlers: dict[type, Handler],
        traces: TracePipeline,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        super().__init__(ssl_options=ssl_options)
        self.bytes_sent = 0
        self.bytes_received = 0
        self._traces = traces
        self._handlers = handlers
        self._tasks: set[asyncio.Task[None]] = set()
        self._calls: dict[IOStream, int] = {}

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve one stream until the peer closes it."""
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES
        self._calls[stream] = 0
        try:
            async for frame in read_frames(stream, self._count_received):
                self._accept_frame(stream, frame)
        except StreamClosedError:
            pass
        except ValueError as error:
            logger.warning("peer stream from {} is dropped: {}", address, error)
        finally:
            self._calls.pop(stream, None)
            stream.close()

    def _count_received(self, count: int) -> None:
        """Count bytes that came in."""
        self.bytes_received += count

    def _accept_frame(self, stream: IOStream, frame: Frame) -> None:
        """Start a task for a call or note."""
        if frame.kind not in (CALL, NOTIFICATION):
            raise ValueError(f"frame of kind {frame.kind} where a call is due")
        message = PEER_CODEC.from_plain(frame.body)
        if self._calls[stream] >= MAX_CALLS_PER_STREAM:
            self._refuse_call(stream, frame)
            return
        self._calls[stream] += 1
        task = asyncio.create_task(self._serve(stream, frame, message))
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._handle_task_done(stream, done))

    def _handle_task_done(self, stream: IOStream, task: asyncio.Task[None]) -> None:
        """Make room for another call on a stream."""
        self._tasks.discard(task)
        if stream in self._calls:
            self._calls[stream] -= 1

    def _refuse_call(self, stream: IOStream, frame: Frame) -> None:
        """Refuse one call over the bound; a note over it is lost, as any may be."""
        if frame.kind == NOTIFICATION:
            return
        reply = refuse(
            Overloaded(
                f"more than {MAX_CALLS_PER_STREAM} calls of one peer are under way",
                "send the request again later",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        )
        data = Frame(REPLY, frame.number, PEER_CODEC.to_plain(reply)).encode()
        self.bytes_sent += len(data)
        try:
            # Not waited for: what the peer does not read closes the stream at last.
            stream.write(data)
        except (StreamClosedError, StreamBufferFullError):
            stream.close()

    async def _serve(self, stream: IOStream, frame: Frame, message: Any) -> None:
        """Carry out a call and write its reply."""
        handler = self._handlers.get(type(message))
        if handler is None:
            reply = refuse(
                Unavailable(
                    f"{type(message).__name__} is not served here",
                    "run the same version on all instances",
                    not_run=True,
                )
            )
        else:
            try:
                reply = await self._call(handler, frame, message)
            except Exception:
                logger.exception("the call {} failed", type(message).__name__)
                reply = refuse(
                    Unavailable(
                        "the instance failed while it served the call",
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
            logger.debug("a reply found its stream closed")
        except StreamBufferFullError:
            logger.warning("a peer does not read its replies; its stream is closed")
            stream.close()

    async def _call(self, handler: Handler, frame: Frame, message: Any) -> Any:
        """Carry out a call as a span of its trace; a note has none."""
        context = CallContext(frame.timeout, frame.traceparent)
        if frame.kind == NOTIFICATION:
            return await handler(message, context)
        with self._traces.server_span(
            f"peer {type(message).__name__}", frame.traceparent
        ):
            return await handler(message, context)

    @property
    def open_calls(self) -> int:
        """How many calls of peers are being served."""
        return len(self._tasks)

    def close(self) -> None:
        """Stop listening and close every stream."""
        self.stop()
        for stream in list(self._calls):
            stream.close()
        for task in list(self._tasks):
            task.cancel()
