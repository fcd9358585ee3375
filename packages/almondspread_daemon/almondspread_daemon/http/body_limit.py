"""Bodies over the limit, refused before any of them is read."""

from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.routing import Matcher
from tornado.web import stream_request_body

from almondspread.errors import TooLarge
from almondspread_daemon.http.base import EntryHandler

UNLIMITED_BYTES = 2**62


class BodyOverLimit(Matcher):
    """Matches requests that announce a body of more than ``max_bytes``."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes

    def match(self, request: HTTPServerRequest) -> dict[str, Any] | None:
        """Return no arguments for a match, ``None`` for no match."""
        length = request.headers.get("Content-Length", "")
        if length.isascii() and length.isdigit() and int(length) > self._max_bytes:
            return {}
        return None


@stream_request_body
class TooLargeHandler(EntryHandler):
    """Refuses a request by its headers; the connection then closes."""

    def prepare(self) -> None:
        """Refuse the request, whoever sent it."""
        # The server would else add a bare refusal of its own to this answer.
        self.request.connection.set_max_body_size(UNLIMITED_BYTES)  # type: ignore[union-attr]
        limit = self.entry.settings.http.max_body_bytes
        self.send_problem(
            TooLarge(f"the body is over {limit} bytes", "send less in one request")
        )

    def data_received(self, chunk: bytes) -> None:
        """Drop what arrives before the connection closes."""
