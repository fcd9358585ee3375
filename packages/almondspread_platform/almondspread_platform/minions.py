"""Requests of callers to minions over HTTP."""

from collections.abc import Callable
from datetime import timedelta
from urllib.parse import quote

from attrs import define, evolve
from expression import Error, Ok, Result
from tornado.httpclient import HTTPResponse

from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread_platform.caller import HttpCall, HttpCaller, always_allow


@define(frozen=True)
class MinionFault:
    """A request that brought no whole answer.

    ``not_sent`` is true only where no byte of the request can have left, so that
    the minion surely did not run it.
    """

    reason: str
    not_sent: bool


class MinionClient:
    """Sends requests to minions, each at most once."""

    def __init__(self, caller: HttpCaller) -> None:
        self._caller = caller

    async def call(
        self,
        address: str,
        request: MinionRequest,
        timeout: timedelta,
        may_send: Callable[[], bool] = always_allow,
    ) -> Result[MinionAnswer, MinionFault]:
        """Send a request to the minion at ``address`` and return its whole answer.

        An answer of any HTTP status counts as one; a body that breaks off does not.
        ``may_send`` is asked just before the first byte of the request leaves.
        """
        if not _can_be_header(request.key) or not _can_be_header(request.traceparent):
            reason = "the key or trace context holds letters no header can carry"
            return Error(MinionFault(reason, not_sent=True))
        return await self._send(_describe_call(address, request, timeout, may_send))

    async def watch(
        self,
        address: str,
        request: MinionRequest,
        timeout: timedelta,
        may_send: Callable[[], bool],
        take_chunk: Callable[[bytes], None],
        is_wanted: Callable[[], bool],
    ) -> Result[MinionAnswer, MinionFault]:
        """Send a request whose answer is a standing stream.

        Its pieces go to ``take_chunk``; the stream is closed after ``timeout`` and soon
        after ``is_wanted`` denies. The answer that is returned has no body.
        """
        call = _describe_call(address, request, timeout, may_send)
        return await self._send(
            evolve(call, take_chunk=take_chunk, is_wanted=is_wanted)
        )

    async def _send(self, call: HttpCall) -> Result[MinionAnswer, MinionFault]:
        """Send one call and read its answer."""
        sent = await self._caller.send(call)
        if sent.is_error():
            return Error(MinionFault(sent.error.reason, sent.error.not_sent))
        return Ok(_read_answer(sent.ok))


def _describe_call(
    address: str,
    request: MinionRequest,
    timeout: timedelta,
    may_send: Callable[[], bool],
) -> HttpCall:
    """Return the HTTP call that carries a request."""
    path = "/v1/requests/" + quote(request.kind, safe="")
    headers = _describe_headers(request)
    return HttpCall("POST", address, path, timeout, request.body, headers, may_send)


def _can_be_header(text: str) -> bool:
    """Tell whether a header can carry ``text`` unchanged."""
    return text.isascii() and text.isprintable()


def _describe_headers(request: MinionRequest) -> dict[str, str]:
    """Return the headers that go with a request."""
    headers = {"Content-Type": "application/octet-stream"}
    if request.key:
        headers["Idempotency-Key"] = request.key
    if request.deadline:
        headers["X-Deadline"] = f"{request.deadline:.6f}"
    if request.position:
        headers["X-Position"] = str(request.position)
    if request.traceparent:
        headers["traceparent"] = request.traceparent
    return headers


def _read_answer(response: HTTPResponse) -> MinionAnswer:
    """Return a whole HTTP response as the answer of a minion."""
    return MinionAnswer(
        response.code,
        response.body,
        response.headers.get("Content-Type", ""),
        response.headers.get("X-Leaving", "") == "1",
    )
