"""The limits on all clients of a process, derived from its memory and descriptors."""

from datetime import timedelta

from attrs import define

from almondspread_daemon.socket_buffers import (
    RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_FACTOR,
    SEND_BUFFER_BYTES,
)

KIB = 1024
MIB = 1024 * KIB
# An instance with its modules loaded uses half of this; a leader's jobs take the rest.
PROCESS_BYTES = 112 * MIB
MIN_BUFFER_BYTES = 2 * MIB
MAX_BUFFER_BYTES = 64 * MIB
# A third of the memory is for bodies, which are copied once when they are whole.
BODY_SHARE = 6
# A read buffer of 16 KiB, and the headers and objects of a connection.
CONNECTION_BYTES = 32 * KIB
MIN_CONNECTIONS = 16
# For peers, the store, 400 calls to upstreams, listeners, logs and operators.
RESERVED_DESCRIPTORS = 640
# A job with 100 steps that all wait for one another has about 7,000 values.
MAX_DOCUMENT_VALUES = 16_384
ANSWER_TIMEOUT = timedelta(seconds=10)


@define(frozen=True)
class ProcessLimits:
    """Limits on all requests of a process.

    ``buffer_bytes`` is for requests that are held, and ``max_connections`` for callers.
    The sockets have buffers of ``receive_buffer_bytes`` and ``send_buffer_bytes``, see
    ``SocketBuffers``. A document has at most ``max_document_values`` values. A client
    that reads nothing of an answer for ``answer_timeout`` loses its connection.
    """

    buffer_bytes: int
    max_connections: int
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    send_buffer_bytes: int = SEND_BUFFER_BYTES
    max_document_values: int = MAX_DOCUMENT_VALUES
    answer_timeout: timedelta = ANSWER_TIMEOUT


def derive_process_limits(memory_bytes: int, descriptors: int) -> ProcessLimits:
    """Return the limits of a process with so much memory and so many descriptors.

    Two thirds of the memory that the process does not need itself are for connections:
    for their objects, and for what the kernel has received for them.

    >>> limits = derive_process_limits(160 * MIB, 1_638)
    >>> limits.buffer_bytes // MIB, limits.max_connections
    (8, 512)
    """
    free = max(0, memory_bytes - PROCESS_BYTES)
    buffers = min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, free // BODY_SHARE))
    unread = RECEIVE_BUFFER_FACTOR * RECEIVE_BUFFER_BYTES
    affordable = free * 2 // 3 // (CONNECTION_BYTES + unread)
    return ProcessLimits(
        buffers,
        max(MIN_CONNECTIONS, min(affordable, count_callers(descriptors))),
    )


def count_callers(descriptors: int) -> int:
    """Return how many descriptors callers may use.

    >>> count_callers(1_638), count_callers(64)
    (998, 24)
    """
    return descriptors - min(RESERVED_DESCRIPTORS, descriptors * 5 // 8)


def derive_stream_count(descriptors: int) -> int:
    """Return how many links other instances may open, a quarter of the descriptors.

    >>> derive_stream_count(4_100), derive_stream_count(64)
    (1025, 16)
    """
    return descriptors // 4
