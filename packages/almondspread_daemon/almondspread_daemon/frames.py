"""Frames of a peer stream, encoded as consecutive msgpack values."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import msgpack
from attrs import define
from tornado.iostream import IOStream

CALL = 0
REPLY = 1
NOTIFICATION = 2

READ_BYTES = 65_536
UNPACKER_BYTES = 4_096
MAX_FRAME_BYTES = 16 * 1024 * 1024


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


async def read_frames(
    stream: IOStream, count_received: Callable[[int], None]
) -> AsyncIterator[Frame]:
    """Yield the frames that arrive on a stream until it is closed.

    ``count_received`` is called with the number of bytes of each read.

    Raises ``ValueError`` for bytes that are not a frame, and for a frame that exceeds
    ``MAX_FRAME_BYTES``.
    """
    # By default, each unpacker would allocate a buffer of a megabyte.
    unpacker = msgpack.Unpacker(
        read_size=UNPACKER_BYTES, max_buffer_size=MAX_FRAME_BYTES
    )
    while True:
        data = await stream.read_bytes(READ_BYTES, partial=True)
        count_received(len(data))
        try:
            unpacker.feed(data)
            for plain in unpacker:
                yield _parse_frame(plain)
        except (msgpack.UnpackException, msgpack.BufferFull) as error:
            raise ValueError(f"received bytes are not a frame: {error!r}") from error


def _parse_frame(plain: Any) -> Frame:
    """Return the frame that a msgpack value represents."""
    try:
        kind, number, body, timeout, traceparent = plain
        return Frame(int(kind), int(number), body, float(timeout), str(traceparent))
    except (TypeError, ValueError) as error:
        raise ValueError(f"received value is not a frame: {error!r}") from error
