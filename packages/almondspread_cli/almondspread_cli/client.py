"""HTTP calls to the entry instances, with fail-over between their addresses."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pycurl
from attrs import define, evolve, field
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from almondspread_cli.addresses import Target
from almondspread_cli.failures import (
    ExitCode,
    Failure,
    proves_not_run,
    read_problem,
)

SILENT_STREAM_SECONDS = 60

# The kinds of curl trace that tell of bytes handed to the connection.
_OUTGOING = (pycurl.INFOTYPE_HEADER_OUT, pycurl.INFOTYPE_DATA_OUT)
_BACK_SOON = (502, 503)


@define(frozen=True)
class Call:
    """One call of the API.

    A call that is not ``idempotent`` goes to another address only while it is
    certain that the one before did not run it.
    """

    method: str
    path: str
    body: bytes | None = None
    headers: dict[str, str] = field(factory=dict)
    idempotent: bool = True


@define(frozen=True)
class Answer:
    """A successful answer."""

    headers: dict[str, str]
    body: bytes


@define(frozen=True)
class _Reply:
    """What came of one request: an answer, or an error of the connection."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    error: str = ""
    may_have_sent: bool = True

    def is_success(self) -> bool:
        """Tell whether an answer came whole and is a success."""
        return not self.error and 200 <= self.status < 300


class _Stream:
    """The chunks of a stream, ``None`` at its end, and whether it was accepted."""

    def __init__(self) -> None:
        self.chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.accepted = False

    def take_header(self, line: str) -> None:
        """Note the status line of the answer."""
        if line.startswith("HTTP/"):
            self.accepted = line.split()[1].startswith("2")


class Client:
    """Calls the entries in turn, starting from the one that answered last."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._position = 0
        self._http = CurlAsyncHTTPClient(force_instance=True)

    async def __aenter__(self) -> "Client":
        """Return the client itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close its connections."""
        self._http.close()

    @property
    def entry(self) -> str:
        """The address that the next call goes to first."""
        return self._target.entries[self._position]

    @property
    def entry_count(self) -> int:
        """How many addresses there are."""
        return len(self._target.entries)

    def move_on(self) -> None:
        """Send the next call to the next address."""
        self._position = (self._position + 1) % self.entry_count

    async def call(self, call: Call) -> Result[Answer, Failure]:
        """Return the answer to a call, trying each address at most once."""
        failure = _report_unreachable("no entry address is given")
        for _ in range(self.entry_count):
            reply = await self._fetch(self._make_request(call))
            if reply.is_success():
                return Ok(Answer(reply.headers, reply.body))
            failure = _explain(reply, self.entry, call.idempotent)
            if not _may_try_next(reply, call.idempotent):
                return Error(failure)
            self.move_on()
        return Error(failure)

    async def read(self, path: str) -> Result[Any, Failure]:
        """Return the JSON document that a path answers with."""
        return _parse_answer(await self.call(Call("GET", path)))

    async def change(
        self, method: str, path: str, document: Any = None, idempotent: bool = False
    ) -> Result[Any, Failure]:
        """Send a change and return the JSON document of its answer."""
        body = None
        if document is not None:
            body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        answer = await self.call(Call(method, path, body, headers, idempotent))
        return _parse_answer(answer)

    async def follow(
        self, path: str, handle: Callable[[dict[str, Any]], None]
    ) -> Result[None, Failure]:
        """Hand each JSON line of a stream of one address on, until it ends.

        A stream that was cut ends with ``Ok``; an address that does not answer, or
        refuses, is the error.
        """
        stream = _Stream()
        request = self._make_request(Call("GET", path))
        request.request_timeout = 0
        request.header_callback = stream.take_header
        request.streaming_callback = stream.chunks.put_nowait
        request.prepare_curl_callback = _prepare_stream
        fetch = asyncio.ensure_future(self._fetch(request))
        fetch.add_done_callback(lambda _: stream.chunks.put_nowait(None))
        rest = b""
        while (chunk := await stream.chunks.get()) is not None:
            rest += chunk
            if not stream.accepted:
                continue
            *lines, rest = rest.split(b"\n")
            for line in lines:
                event = _parse_event(line)
                if event is None:
                    continue
                handle(event)
        reply = await fetch
        if stream.accepted:
            return Ok(None)
        return Error(_explain(evolve(reply, body=rest), self.entry, True))

    async def _fetch(self, request: HTTPRequest) -> _Reply:
        """Return what came of one request."""
        sent: list[bool] = []
        prepare = request.prepare_curl_callback

        def note_sent(kind: int, data: bytes) -> None:
            if kind in _OUTGOING and not sent:
                sent.append(True)

        def prepare_and_trace(curl: pycurl.Curl) -> None:
            prepare(curl)
            # Tornado resets the handle before this task could ask it.
            curl.setopt(pycurl.VERBOSE, 1)
            curl.setopt(pycurl.DEBUGFUNCTION, note_sent)

        request.prepare_curl_callback = prepare_and_trace
        try:
            response = await self._http.fetch(request, raise_error=False)
        except CurlError as error:
            return _Reply(error=error.message or str(error), may_have_sent=bool(sent))
        return _Reply(response.code, dict(response.headers), response.body or b"")

    def _make_request(self, call: Call) -> HTTPRequest:
        """Return the request of a call to the present address."""
        headers = dict(call.headers)
        if self._target.token:
            headers["Authorization"] = f"Bearer {self._target.token}"
        return HTTPRequest(
            self.entry + call.path,
            method=call.method,
            headers=headers,
            body=call.body,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            connect_timeout=self._target.connect_timeout_seconds,
            request_timeout=self._target.timeout_seconds,
            ca_certs=self._target.authority or None,
            prepare_curl_callback=_prepare_call,
        )


def _prepare_call(curl: pycurl.Curl) -> None:
    """Forbid reuse, since curl sends a request again when an old connection dies."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _prepare_stream(curl: pycurl.Curl) -> None:
    """Let a stream that has gone silent end, so that it is resumed elsewhere."""
    _prepare_call(curl)
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    curl.setopt(pycurl.LOW_SPEED_TIME, SILENT_STREAM_SECONDS)


def _may_try_next(reply: _Reply, idempotent: bool) -> bool:
    """Tell whether the same call may be sent to another address."""
    if reply.error:
        return idempotent or not reply.may_have_sent
    if reply.status not in _BACK_SOON:
        return False
    return idempotent or proves_not_run(reply.body)


def _explain(reply: _Reply, entry: str, idempotent: bool) -> Failure:
    """Return the failure that an unsuccessful reply stands for."""
    if not reply.error:
        return read_problem(reply.status, reply.body, idempotent)
    reason = f"{entry}: {reply.error}"
    if idempotent or not reply.may_have_sent:
        return _report_unreachable(reason)
    return Failure(
        ExitCode.UNKNOWN,
        "outcome_unknown",
        f"the connection broke after the request may have been sent; {reason}",
        "read the resource or key back before sending this again",
    )


def _report_unreachable(reason: str) -> Failure:
    """Return the failure of a call that no address answered."""
    remedy = "check the addresses of --entry or ALMONDSPREAD_ENTRIES, then try again"
    return Failure(ExitCode.UNREACHABLE, "unreachable", reason, remedy)


def _parse_answer(result: Result[Answer, Failure]) -> Result[Any, Failure]:
    """Return the JSON document of a successful answer."""
    if result.is_error():
        return Error(result.error)
    if not result.ok.body:
        return Ok({})
    try:
        return Ok(json.loads(result.ok.body))
    except ValueError as error:
        remedy = "check that the address is that of an almondspread entry"
        message = f"the answer is not JSON: {error}"
        return Error(Failure(ExitCode.FAILED, "bad_answer", message, remedy))


def _parse_event(line: bytes) -> dict[str, Any] | None:
    """Return the event of one line, ``None`` for what is not one."""
    try:
        event = json.loads(line)
    except ValueError:
        return None
    if isinstance(event, dict) and "type" in event:
        return event
    return None
