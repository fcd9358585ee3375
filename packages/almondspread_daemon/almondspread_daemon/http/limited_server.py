"""An HTTP server with limits on slow clients, their connections and their bytes."""

import socket
import ssl
from collections.abc import Iterable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.web import Application

from almondspread_daemon.http.client_exchange import ClientExchange
from almondspread_daemon.http.client_guard import READ_BYTES, ClientGuard
from almondspread_daemon.socket_buffers import SocketBuffers, set_socket_buffers

DEFAULT_BUFFERS = SocketBuffers()
# A limit that rises while the server runs has no effect above this.
MAX_HEADER_BYTES = 64 * 1024
# Tornado has one limit for a stream's unread bytes, which must hold a whole header.
HEADERS_PER_BUFFER = 2
# ``ClientExchange`` refuses larger bodies itself, with an answer that says why.
UNLIMITED_BYTES = 2**62


class LimitedServer(HTTPServer):
    """An HTTP server whose connections ``guard`` limits."""

    guard: ClientGuard
    _buffers: SocketBuffers
    _max_header_bytes: int
    _exchanges: dict[IOStream, ClientExchange]

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections, for each of which the kernel keeps only so much."""
        super().add_sockets(set_socket_buffers(sockets, self._buffers))

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection unless there is no room for it."""
        if not self.guard.make_room():
            stream.close()
            return
        header_bytes = self.guard.read_limits().max_header_bytes
        self.conn_params.max_header_size = min(header_bytes, self._max_header_bytes)
        self._exchanges[stream] = ClientExchange(stream, self.guard)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return what receives the next request of a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        assert isinstance(request_conn, HTTP1Connection)
        exchange = self._exchanges[server_conn.stream]
        exchange.begin(request_conn, super().start_request(server_conn, request_conn))
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Release a connection that has closed."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        self._exchanges.pop(server_conn.stream).release()
        super().on_close(server_conn)


def make_limited_server(
    application: Application,
    guard: ClientGuard,
    context: ssl.SSLContext | None = None,
    timeout_seconds: float | None = None,
    buffers: SocketBuffers = DEFAULT_BUFFERS,
) -> LimitedServer:
    """Return a server for the application, with the limits of ``guard``.

    A connection that waits for a request, or for the rest of a body, is closed after
    ``timeout_seconds`` if these are given. Its socket has ``buffers``.
    """
    header_bytes = max(guard.read_limits().max_header_bytes, MAX_HEADER_BYTES)
    server = LimitedServer(
        application,
        ssl_options=context,
        chunk_size=READ_BYTES,
        max_buffer_size=HEADERS_PER_BUFFER * header_bytes,
        max_body_size=UNLIMITED_BYTES,
        max_header_size=header_bytes,
        idle_connection_timeout=timeout_seconds,
        body_timeout=timeout_seconds,
    )
    assert isinstance(server, LimitedServer)
    server.guard = guard
    server._buffers = buffers
    server._max_header_bytes = header_bytes
    server._exchanges = {}
    return server
