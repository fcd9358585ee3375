"""The requests on one client's connection, counted and limited as they arrive."""

import json
import math
import ssl
from asyncio import Future
from collections.abc import Awaitable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream

from almondspread.errors import Problem
from almondspread_daemon.http.client_connection import (
    SMALL_BODY_BYTES,
    Connection,
    Phase,
    Refusal,
)
from almondspread_daemon.http.client_guard import ClientGuard
from almondspread_daemon.http.client_refusals import make_problem

# How much more a refused client may send before its connection is closed.
DISCARDED_BYTES = 1024 * 1024
MAX_LENGTH_DIGITS = 18


class ClientExchange(HTTPMessageDelegate):
    """Passes the requests of one connection on to the application, or refuses them."""

    def __init__(self, stream: IOStream, guard: ClientGuard) -> None:
        self._stream = stream
        self._guard = guard
        self._clients = guard.clients
        self.connection: Connection = guard.open(self)
        self._request: HTTP1Connection | None = None
        self._application: HTTPMessageDelegate | None = None
        self._is_passed_on = False
        self._method = ""
        self._discarded = 0
        self._read = stream.read_from_fd
        self._write = stream.write
        self._write_to_fd = stream.write_to_fd
        stream.read_from_fd = self._read_counted  # type: ignore[method-assign]
        stream.write = self._write_counted  # type: ignore[method-assign]
        stream.write_to_fd = self._send_counted  # type: ignore[method-assign]

    def begin(self, request: HTTP1Connection, application: HTTPMessageDelegate) -> None:
        """Wait for the next request, which ``application`` handles."""
        self._request = request
        self._is_passed_on = False
        if self.connection.phase in (Phase.REFUSED, Phase.CLOSED):
            # The refusal is written, and has told the client that this follows.
            self.close()
            return
        self._application = application
        if self.connection.phase != Phase.IDLE:
            self._clients.begin_idling(self.connection, self._guard.clock.monotonic())

    def _read_counted(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket if it is the client's turn, and note what has arrived.

        ``None`` has the stream wait until the socket is readable, which it still is in
        the next pass of the event loop.
        """
        if self.connection.is_chunked and self.connection.phase == Phase.REFUSED:
            return self._discard(buf)
        channel = self._stream.socket
        has_record = isinstance(channel, ssl.SSLSocket) and channel.pending() > 0
        size = self._guard.choose_read_size(self.connection, has_record)
        if not size:
            return None
        count = self._read(memoryview(buf)[:size])
        if count:
            now = self._guard.clock.monotonic()
            self._clients.receive(self.connection, count, now)
        return count

    def _discard(self, buf: bytearray | memoryview) -> int | None:
        """Read what a refused client sends, without looking for its chunks.

        The result is that of a socket without data, or of a closed one after too much.
        """
        count = self._read(buf)
        if not count:
            return count
        self._discarded += count
        return None if self._discarded <= DISCARDED_BYTES else 0

    def _write_counted(self, data: bytes | memoryview) -> "Future[None]":
        """Write to the stream, and note how much the client has to read."""
        now = self._guard.clock.monotonic()
        self._clients.queue(self.connection, len(data), now)
        return self._write(data)

    def _send_counted(self, data: memoryview) -> int:
        """Write to the socket, and note how much the client has taken."""
        count = self._write_to_fd(data)
        if count and self.connection.phase != Phase.CLOSED:
            self._clients.send(self.connection, count, self._guard.clock.monotonic())
        return count

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Refuse a request whose body is announced too large or has no room."""
        if self._application is None:
            # A request that had arrived when the connection was closed.
            return None
        assert isinstance(start_line, RequestStartLine)
        self._method = start_line.method
        length = headers.get("Content-Length", "0")
        is_chunked = "Transfer-Encoding" in headers
        has_room = self._guard.clients.budget.admits_answers
        if length == "0" and not is_chunked and has_room:
            return self._pass_on(start_line, headers)
        header_bytes = sum(len(name) + len(text) for name, text in headers.get_all())
        now = self._guard.clock.monotonic()
        self.connection.limits = self._guard.read_limits()
        self._clients.begin_body(self.connection, header_bytes, now)
        self.connection.is_chunked = is_chunked
        is_large = _is_longer(length, SMALL_BODY_BYTES)
        if _is_longer(length, self.connection.limits.max_body_bytes):
            self.refuse(Refusal.BODY_TOO_LARGE)
        elif not has_room or not self._guard.admit_body(is_large):
            self.refuse(Refusal.BUFFERS_FULL)
        else:
            if is_large:
                self._clients.budget.enlarge(self.connection)
            return self._pass_on(start_line, headers)
        if "Expect" in headers:
            # The client waits for this answer before it sends its body.
            self._finish_refusal()
        return None

    def _pass_on(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Have the application handle the request."""
        self._is_passed_on = True
        assert self._application is not None
        return self._application.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Charge a part of the body and pass it on, or discard it after a refusal."""
        if self.connection.phase == Phase.BODY:
            if not self._clients.receive_body(self.connection, len(chunk)):
                self.refuse(Refusal.BODY_TOO_LARGE)
            elif not self._admit_growth():
                self.refuse(Refusal.BUFFERS_FULL)
            self._guard.enforce_budget()
        if self._application is not None:
            return self._application.data_received(chunk)
        self._discarded += len(chunk)
        if self._discarded > DISCARDED_BYTES:
            self._finish_refusal()
        return None

    def _admit_growth(self) -> bool:
        """Tell whether a body that was not announced may go on as a large one."""
        if self.connection.is_large or self.connection.body <= SMALL_BODY_BYTES:
            return True
        if not self._guard.admit_body(is_large=True):
            return False
        # The request itself may have been refused to make room.
        if self.connection.phase == Phase.BODY:
            self._clients.budget.enlarge(self.connection)
        return True

    def finish(self) -> None:
        """Have the application handle the whole request, unless it was refused."""
        if self._application is None:
            self._finish_refusal()
            return
        is_large = self.connection.is_large
        self._clients.begin_handling(self.connection)
        if is_large:
            self._guard.turns.handle(self._handle)
            return
        self._handle()

    def _handle(self) -> None:
        """Have the application handle the request, unless the client is gone."""
        if self._application is not None and self.connection.phase == Phase.HANDLED:
            self._application.finish()

    def on_connection_close(self) -> None:
        """Tell the application that the client is gone."""
        if self._application is not None and self._is_passed_on:
            self._application.on_connection_close()

    def refuse(self, refusal: Refusal) -> None:
        """Refuse the request, or close the connection while there is none.

        A refused client may go on sending for a while: to close its connection at once
        could reset it before the client has read why.
        """
        self._guard.log.record(refusal)
        if self.connection.phase != Phase.BODY:
            self.close()
            return
        problem = make_problem(refusal, self.connection)
        self._clients.refuse(self.connection, self._guard.clock.monotonic())
        self._drop_application()
        self._discarded = 0
        self._send_problem(problem)

    def _send_problem(self, problem: Problem) -> None:
        """Answer the request with a problem."""
        body = json.dumps(problem.to_document(), separators=(",", ":")).encode()
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json; charset=UTF-8",
                "Content-Length": str(len(body)),
                "Connection": "close",
            }
        )
        if problem.retry_after_seconds is not None:
            headers["Retry-After"] = str(math.ceil(problem.retry_after_seconds))
        code = problem.http_status
        assert self._request is not None
        self._request.write_headers(
            ResponseStartLine("HTTP/1.1", code, responses[code]),
            headers,
            None if self._method == "HEAD" else body,
        )

    def _finish_refusal(self) -> None:
        """Close the connection once the refusal is written."""
        assert self._request is not None
        # A body that has not ended yet makes tornado close the connection.
        self._request.finish()

    def _drop_application(self) -> None:
        """Have the application give up the request, whose body it has kept."""
        self.on_connection_close()
        self._application = None

    def close(self) -> None:
        """Close the connection without an answer; no request is being handled."""
        self._drop_application()
        self.release()
        self._stream.close()

    def release(self) -> None:
        """Free what is kept for the connection, at the latest when it has closed."""
        # The replaced methods refer to this exchange, which refers to the stream.
        for name in ("read_from_fd", "write", "write_to_fd"):
            vars(self._stream).pop(name, None)
        self._clients.close(self.connection)


def _is_longer(length: str, limit: int) -> bool:
    """Tell whether a ``Content-Length`` is a number above ``limit``.

    >>> _is_longer("11", 10), _is_longer("9" * 5_000, 10), _is_longer("5, 5", 10)
    (True, True, False)
    """
    if not length.isascii() or not length.isdigit():
        return False
    digits = length.lstrip("0")
    return len(digits) > MAX_LENGTH_DIGITS or int(digits or "0") > limit
