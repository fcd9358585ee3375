"""Frames of a peer stream, encoded as consecutive msgpack values."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

import msgpack
from attrs import define
from tornado.iostream import IOStream

from almondspread_daemon.message_scanner import MessageScanner

CALL = 0
REPLY = 1
NOTIFICATION = 2

# By default, each unpacker would allocate a buffer of a megabyte.
UNPACKER_BYTES = 4_096
MAX_FRAME_BYTES = 16 * 1024 * 1024
# An empty list of one byte takes 64 bytes once it is decoded.
MAX_FRAME_VALUES = 500_000
# Up to this size, it takes less time to decode a part of a frame again, unless it comes
# in many pieces.
MAX_TRIED_BYTES = 16_384
MAX_TRIES = 4


@define(frozen=True)
class Frame:
    """One message on a stream.

    ``kind`` is ``CALL``, ``REPLY`` or ``NOTIFICATION``. ``number`` matches a reply to
    its call and is 0 for a notification. ``timeout`` is how many seconds the caller
    still waits, and ``traceparent`` is the W3C trace context.
    """

    kind: int
    number: int
    body: Any
    timeout: float = 0.0
    traceparent: str = ""

    def encode(self) -> bytes:
        """Return the frame as msgpack bytes."""
        return bytes(
            msgpack.packb(
                [self.kind, self.number, self.body, self.timeout, self.traceparent]
            )
        )


class FrameBuffer:
    """The bytes of a stream, cut into frames.

    Of a frame that is not whole after a read, the bytes are kept as they came, since
    its values would take many times as much. A short one is tried again with the next
    bytes, a few times; else a scanner looks for its end.

    >>> data = Frame(NOTIFICATION, 0, ["Beat", {}]).encode()
    >>> buffer = FrameBuffer()
    >>> [frame.body for frame in buffer.take_frames(data + data[:3])]
    [['Beat', {}]]
    >>> buffer.unfinished
    3
    """

    def __init__(
        self,
        max_bytes: int = MAX_FRAME_BYTES,
        max_values: int = MAX_FRAME_VALUES,
    ) -> None:
        self._max_bytes = max_bytes
        self._max_values = max_values
        # The frame that is not whole: its bytes, their number, and what finds its end.
        self._pieces: list[bytes] = []
        self.unfinished = 0
        self._tries = 0
        self._scanner: MessageScanner | None = None

    def take_frames(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are whole with the next bytes of the stream.

        Raises ``ValueError`` for bytes that are not a frame, and for one over the
        limits.
        """
        rest = data
        if self._scanner is not None:
            end = self._scanner.find_end(data)
            if end is None:
                self._keep(data)
                return
            whole = self._take_pieces() + data[:end]
            yield _parse_frame(self._make_unpacker(whole).unpack())
            self._tries = 0
            rest = data[end:]
        elif self._pieces:
            rest = self._take_pieces() + data
        unpacker = self._make_unpacker(rest)
        begin = 0
        for plain in unpacker:
            begin = unpacker.tell()
            yield _parse_frame(plain)
        rest = rest[begin:]
        self._tries = 1 if begin else self._tries + 1
        if not rest:
            return
        if len(rest) > MAX_TRIED_BYTES or self._tries >= MAX_TRIES:
            self._scanner = MessageScanner(self._max_values)
            if self._scanner.find_end(rest) is not None:
                raise ValueError("a frame has an end, but cannot be decoded")
        self._keep(rest)

    def _take_pieces(self) -> bytes:
        """Return the bytes of the frame that was not whole, and keep them no longer."""
        data = b"".join(self._pieces)
        self._pieces.clear()
        self._scanner = None
        self.unfinished = 0
        return data

    def _keep(self, piece: bytes) -> None:
        """Keep a piece of a frame that is not whole."""
        self.unfinished += len(piece)
        if self.unfinished > self._max_bytes:
            raise ValueError(f"a frame has more than {self._max_bytes} bytes")
        self._pieces.append(piece)

    def _make_unpacker(self, data: bytes) -> msgpack.Unpacker:
        """Return an unpacker of some bytes, which no message may exceed."""
        unpacker = msgpack.Unpacker(
            read_size=UNPACKER_BYTES,
            max_buffer_size=max(UNPACKER_BYTES, len(data)),
            max_array_len=self._max_values,
            max_map_len=self._max_values,
        )
        unpacker.feed(data)
        return unpacker


async def read_frames(
    stream: IOStream,
    count_received: Callable[[int], None],
    note_unfinished: Callable[[int, bool], None] | None = None,
    max_bytes: int = MAX_FRAME_BYTES,
) -> AsyncIterator[Frame]:
    """Yield the frames that arrive on a stream until it is closed.

    ``count_received`` is called with the number of bytes of each read, and
    ``note_unfinished`` with those that were not taken as frames yet, and with whether
    there was any frame.

    Raises ``ValueError`` for bytes that are not a frame, and for a frame that exceeds
    ``max_bytes``.
    """
    buffer = FrameBuffer(max_bytes)
    read_bytes = stream.read_chunk_size
    while True:
        data = await stream.read_bytes(read_bytes, partial=True)
        count_received(len(data))
        has_frame = False
        try:
            for frame in buffer.take_frames(data):
                if note_unfinished is not None and not has_frame:
                    note_unfinished(buffer.unfinished, True)
                has_frame = True
                yield frame
        except (msgpack.UnpackException, msgpack.BufferFull) as error:
            raise ValueError(f"received bytes are not a frame: {error!r}") from error
        if note_unfinished is not None:
            note_unfinished(buffer.unfinished, has_frame)
        if len(data) == read_bytes:
            # A peer that sends without a pause must not keep others waiting.
            await asyncio.sleep(0)


def _parse_frame(plain: Any) -> Frame:
    """Return the frame that a msgpack value represents."""
    try:
        kind, number, body, timeout, traceparent = plain
        return Frame(int(kind), int(number), body, float(timeout), str(traceparent))
    except (TypeError, ValueError) as error:
        raise ValueError(f"received value is not a frame: {error!r}") from error
