"""Streams of typed messages between the leader and the other instances."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from datetime import timedelta

from attrs import define
from loguru import logger
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from almondspread.codec import TaggedCodec
from almondspread.jobs.job_table import Announcement
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.messages import (
    AcknowledgeEnds,
    AskPermits,
    EpochFenced,
    PaceRun,
    PermitsAnswered,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UnwatchUpstream,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread_daemon.peers.frames import NOTE, Frame, read_frames

MAX_UNSENT_BYTES = 8 * 1024 * 1024


@define(frozen=True)
class Hello:
    """Introduces an instance to the leader.

    ``strength`` tells from 0 to 1 how fit it is to lead, ``age`` for how many seconds
    its process has run.
    """

    instance: str
    incarnation: str
    failure_domain: str
    cores: float
    strength: float
    age: float


@define(frozen=True)
class Welcome:
    """The leader takes an instance on, under its epoch."""

    epoch: int


@define(frozen=True)
class NotLeading:
    """The instance that was taken for the leader is not; ``incarnation`` is its own."""

    incarnation: str


@define(frozen=True)
class Beat:
    """A sign of life; the leader's tells whether its lease holds.

    ``knows_all`` tells that it knows every job that was stored a while ago,
    ``store_lost`` that the store serves it nothing.
    """

    lease_holds: bool = True
    knows_all: bool = True
    store_lost: bool = False


@define(frozen=True)
class StoreReached:
    """Tells a leader that the store serves the sender."""


@define(frozen=True)
class Resigned:
    """The sender leads no longer and stores nothing more under its epoch."""

    epoch: int


@define(frozen=True)
class Leaving:
    """The sender is about to stop."""


@define(frozen=True)
class Released:
    """The sender has stored that it leads no longer: its row, and the row's version.

    The instance ``successor`` should lead next, ``""`` for any.
    """

    row: LeaderRow
    version: int
    successor: str


@define(frozen=True)
class StatesChanged:
    """States of jobs; where ``whole``, of all jobs whose end is not stored."""

    states: tuple[Announcement, ...]
    whole: bool = False


@define(frozen=True)
class QueueLoads:
    """Seconds by queue until a job that is accepted now would begin."""

    waits: dict[str, float]


@define(frozen=True)
class JobCancelled:
    """A caller has cancelled a job; it is stored."""

    job: str


@define(frozen=True)
class WriteRow:
    """Asks the leader to store a row of the submissions unless it is there."""

    number: int
    key: str
    value: bytes


@define(frozen=True)
class RowWritten:
    """The version at which a row was written, 0 if it was there, or the failure."""

    number: int
    version: int = 0
    failure: str = ""
    not_done: bool = False


LINK_CODEC = TaggedCodec(
    (
        AcknowledgeEnds,
        AskPermits,
        Beat,
        EpochFenced,
        Hello,
        JobCancelled,
        Leaving,
        NotLeading,
        PaceRun,
        PermitsAnswered,
        QueueLoads,
        Released,
        Resigned,
        RowWritten,
        StartRun,
        StartSettled,
        StatesChanged,
        StopRun,
        StopSettled,
        StoreReached,
        UnwatchUpstream,
        UpstreamReport,
        UpstreamSilent,
        WatchUpstream,
        Welcome,
        WriteRow,
    )
)


class SharedMessage:
    """A message to many instances, which is encoded once."""

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
    return Frame(NOTE, 0, LINK_CODEC.to_plain(message)).encode()


class Link:
    """One stream; what is sent in one turn of the event loop leaves in one write."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._unsent: list[bytes] = []
        self.bytes_sent = 0
        self.bytes_received = 0
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_UNSENT_BYTES

    @property
    def is_open(self) -> bool:
        """Whether the stream is open."""
        return not self._stream.closed()

    def send(self, message: object) -> None:
        """Send a message, unless the stream is closed."""
        if self._stream.closed():
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        if isinstance(message, SharedMessage):
            self._unsent.append(message.encode())
        else:
            self._unsent.append(_encode(message))

    def _flush(self) -> None:
        """Write what has gathered."""
        data = b"".join(self._unsent)
        self._unsent.clear()
        try:
            self._stream.write(data)
            self.bytes_sent += len(data)
        except StreamClosedError:
            return
        except StreamBufferFullError:
            logger.warning("link closed", reason="the peer does not read")
            self._stream.close()

    async def receive_messages(self) -> AsyncIterator[object]:
        """Yield the messages that arrive until the stream is closed."""
        try:
            async for frame in read_frames(self._stream, self._count_received):
                yield LINK_CODEC.from_plain(frame.body)
        except StreamClosedError:
            return
        except ValueError as error:
            logger.error("link closed", reason=str(error))
            self._stream.close()

    def _count_received(self, count: int) -> None:
        """Count bytes that came in."""
        self.bytes_received += count

    def close(self) -> None:
        """Write what has gathered and close the stream."""
        if self._unsent and not self._stream.closed():
            self._flush()
        self._stream.close()


class LeaderLink:
    """A link to the leader, and when the leader was last heard."""

    def __init__(self, link: Link, last_heard: timedelta) -> None:
        self.link = link
        self.last_heard = last_heard


class LinkServer(TCPServer):
    """Listens for other instances."""

    def __init__(self, serve: Callable[[Link], Awaitable[None]]) -> None:
        super().__init__()
        self._serve = serve

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one stream until it closes."""
        link = Link(stream)
        try:
            await self._serve(link)
        finally:
            link.close()
