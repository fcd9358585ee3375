"""What the kernel keeps of each connection that others open."""

import socket
from collections.abc import Iterable

from attrs import define

KIB = 1024
# Linux gives a socket twice what is asked for, and takes its own overhead from it.
RECEIVE_BUFFER_BYTES = 16 * KIB
RECEIVE_BUFFER_FACTOR = 2
SEND_BUFFER_BYTES = 64 * KIB


@define(frozen=True)
class SocketBuffers:
    """About how many bytes the kernel keeps of each connection.

    ``receive_bytes`` were not read yet, and ``send_bytes`` are of answers that the
    client has not taken. 0 leaves it to the system.
    """

    receive_bytes: int = RECEIVE_BUFFER_BYTES
    send_bytes: int = SEND_BUFFER_BYTES


def set_socket_buffers(
    listeners: Iterable[socket.socket], buffers: SocketBuffers
) -> list[socket.socket]:
    """Return listeners whose connections have buffers of the given sizes.

    A connection has the sizes that its listener has when it opens.
    """
    sockets = list(listeners)
    options = (
        (socket.SO_RCVBUF, buffers.receive_bytes),
        (socket.SO_SNDBUF, buffers.send_bytes),
    )
    for listener in sockets:
        for option, size in options:
            if size:
                listener.setsockopt(socket.SOL_SOCKET, option, size)
    return sockets
