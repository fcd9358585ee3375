"""Rejection of request bodies over the size limit before they are read."""

from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.routing import Matcher
from tornado.web import stream_request_body

from almondspread.errors import TooLarge
from almondspread_daemon.http.base import EntryHandler

UNLIMITED_BYTES = 2**62


class BodyOverLimit(Matcher):
    """Matches requests whose ``Content-Length`` is larger than ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes

    def match(self, request: HTTPServerRequest) -> dict[str, Any] | None:
        """Return an empty dictionary for a match, ``None`` otherwise."""
        length = request.headers.get("Content-Length", "")
        if length.isascii() and length.isdigit() and int(length) > self._max_bytes:
            return {}
        return None


@stream_request_body
class TooLargeHandler(EntryHandler):
    """Rejects a request once its headers are read and closes the connection."""

    def prepare(self) -> None:
        """Send ``TooLarge`` without checking who sent the request."""
        # With a limit, tornado would append an error response of its own to this one.
        self.request.connection.set_max_body_size(UNLIMITED_BYTES)  # type: ignore[union-attr]
        limit = self.entry.settings.http.max_body_bytes
        self.send_problem(
            TooLarge(
                f"the body is larger than {limit} bytes", "send less in one request"
            )
        )

    def data_received(self, chunk: bytes) -> None:
        """Discard data that arrives before the connection closes."""
