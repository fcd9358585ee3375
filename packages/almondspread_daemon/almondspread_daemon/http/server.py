"""The HTTP server, with timeouts for slow clients and a limit on connections."""

import ssl
from typing import Any

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application

from almondspread_daemon.settings import HttpSettings


class LimitedServer(HTTPServer):
    """An HTTP server that closes new connections over ``max_connections`` at once."""

    max_connections = 0
    _open_connections = 0

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection unless the limit is reached."""
        if self._open_connections >= self.max_connections:
            logger.warning(
                "closed the connection from {}: too many connections are open", address
            )
            stream.close()
            return
        self._open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection from the count of open ones."""
        self._open_connections -= 1
        super().on_close(server_conn)


def make_server(
    application: Application, settings: HttpSettings, context: ssl.SSLContext | None
) -> LimitedServer:
    """Return a server for the application with the limits from the settings."""
    idle_seconds = settings.idle_timeout.total_seconds()
    server = LimitedServer(
        application,
        ssl_options=context,
        max_body_size=settings.max_body_bytes,
        max_header_size=settings.max_header_bytes,
        idle_connection_timeout=idle_seconds,
        body_timeout=idle_seconds,
    )
    assert isinstance(server, LimitedServer)
    server.max_connections = settings.max_connections
    return server
