"""One HTTP call over tornado's curl client, with typed faults."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import pycurl
from attrs import define, field
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from almondspread_platform.limits import ConnectionLimits

CONNECT_TIMEOUT = timedelta(seconds=1)
CALLER_DOMAIN_HEADER = "X-Failure-Domain"
STATUSES_WITHOUT_BODY = (204, 304)
REPEATABLE_METHODS = ("GET", "DELETE")
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
# Connections are given up no more often than this.
MIN_CLIENT_SECONDS = 0.5


@define(frozen=True)
class CallFault:
    """A call that brought no whole answer.

    ``not_sent`` is true only where no byte of the request can have left; where it
    is false, the callee may or may not have acted, and may still do so later.
    """

    reason: str
    not_sent: bool


def always_allow() -> bool:
    """Allow every call."""
    return True


def ignore_address(_: str) -> None:
    """Do nothing about an address."""


@define(frozen=True)
class HttpCall:
    """One request: ``address`` is ``IP:port``, ``path`` starts with a slash.

    ``may_send`` is asked last thing before the first byte goes out; where it denies,
    the call fails as not sent. With ``take_chunk`` the body is handed over piece by
    piece instead of as a whole, and the call ends soon after ``is_wanted`` denies.
    Where ``answer_begins`` is set, the call also fails if no part of the answer has
    arrived after that time.
    """

    method: str
    address: str
    path: str
    timeout: timedelta
    body: bytes | None = None
    headers: dict[str, str] = field(factory=dict)
    may_send: Callable[[], bool] = always_allow
    take_chunk: Callable[[bytes], None] | None = None
    is_wanted: Callable[[], bool] = always_allow
    answer_begins: timedelta | None = None


def open_client(
    max_connections: int, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
) -> CurlAsyncHTTPClient:
    """Return a curl client of its own that runs ``max_connections`` calls at once."""
    client = CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=max_connections,
        max_body_size=max_body_bytes,
    )
    assert isinstance(client, CurlAsyncHTTPClient)
    return client


class HttpCaller:
    """Sends calls through one curl client and bounds how many are open.

    ``caller_domain`` is the failure domain that this process runs in. A call waits
    for its permit within its timeout. A call that is cancelled keeps its permit
    until the transfer ends, so that the bounds hold for what is really open.

    A connection may fall silent without an error, and others with it. With
    ``open_replacement``, calls after one without an answer go through a new client,
    so that they use new connections. The earlier client is closed after its last call.
    ``note_given_up`` is told the address of each call after which that is done.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        *,
        per_address: int = 8,
        overall: int = 64,
        caller_domain: str = "",
        open_replacement: Callable[[], CurlAsyncHTTPClient] | None = None,
        note_given_up: Callable[[str], None] = ignore_address,
    ) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        self._client = client
        self._open_replacement = open_replacement
        self._note_given_up = note_given_up
        self._client_since = 0.0
        self._open_calls: Counter[CurlAsyncHTTPClient] = Counter()
        self._limits = ConnectionLimits(per_address, overall)
        self._caller_domain = caller_domain
        self._transfers: set[asyncio.Task[Result[HTTPResponse, CallFault]]] = set()

    async def send(self, call: HttpCall) -> Result[HTTPResponse, CallFault]:
        """Send one request; the answer is whole and of any HTTP status."""
        begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        transfer = asyncio.create_task(self._transfer(call, begun))
        self._transfers.add(transfer)
        transfer.add_done_callback(self._transfers.discard)
        if call.answer_begins is not None:
            await asyncio.wait(
                (transfer, begun),
                timeout=call.answer_begins.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not transfer.done() and not begun.done():
                self._replace_client(call.address)
                reason = f"{call.method} {call.address}{call.path}: no answer has begun"
                return Error(CallFault(reason, not_sent=False))
        return await asyncio.shield(transfer)

    def _replace_client(self, address: str) -> None:
        """Have later calls use new connections, after one without an answer."""
        now = asyncio.get_running_loop().time()
        if self._open_replacement is None:
            return
        if now - self._client_since < MIN_CLIENT_SECONDS:
            return
        replaced = self._client
        self._client = self._open_replacement()
        self._client_since = now
        self._note_given_up(address)
        self._close_if_unused(replaced)

    def _close_if_unused(self, client: CurlAsyncHTTPClient) -> None:
        """Close a client that was replaced and has no open call."""
        if client is not self._client and not self._open_calls[client]:
            del self._open_calls[client]
            client.close()

    async def wait_idle(self) -> None:
        """Wait until no transfer is open, as is needed before the client closes."""
        while self._transfers:
            await asyncio.wait(set(self._transfers))

    async def _transfer(
        self, call: HttpCall, begun: asyncio.Future[None]
    ) -> Result[HTTPResponse, CallFault]:
        """Wait for a permit and carry the request with the time that remains.

        ``begun`` is done once a part of the answer has arrived.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + call.timeout.total_seconds()
        permit = self._limits.hold_permit(call.address)
        try:
            async with asyncio.timeout_at(due):
                await permit.__aenter__()
        except TimeoutError:
            reason = f"no free connection to {call.address} before the timeout"
            return Error(CallFault(reason, not_sent=True))
        try:
            return await self._fetch(call, due - loop.time(), begun)
        finally:
            await permit.__aexit__(None, None, None)

    async def _fetch(
        self, call: HttpCall, seconds: float, begun: asyncio.Future[None]
    ) -> Result[HTTPResponse, CallFault]:
        """Carry one request that holds a permit."""
        if seconds < 0.001:
            return Error(CallFault("the timeout has passed", not_sent=True))
        client = self._client
        times_handed_over = 0

        def guard_handing_over(*_: object) -> int:
            """Let curl write the request to a connection, or refuse to do so again.

            Where a reused connection closes without an answer, curl sends the request
            again on a new one, although the callee may have acted on the first.
            """
            nonlocal times_handed_over
            if times_handed_over and call.method not in REPEATABLE_METHODS:
                return int(pycurl.PREREQFUNC_ABORT)
            if not call.may_send():
                return int(pycurl.PREREQFUNC_ABORT)
            times_handed_over += 1
            return int(pycurl.PREREQFUNC_OK)

        def prepare(curl: pycurl.Curl) -> None:
            """Set what the client has no argument for."""
            curl.setopt(pycurl.PREREQFUNCTION, guard_handing_over)
            curl.setopt(pycurl.PROXY, "")
            if call.take_chunk is not None:
                curl.setopt(pycurl.NOPROGRESS, 0)
                curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: not call.is_wanted())
            else:
                curl.setopt(pycurl.NOPROGRESS, 1)

        def note_beginning(_: str) -> None:
            """Note that a line of the answer's head has arrived."""
            if not begun.done():
                begun.set_result(None)

        request = HTTPRequest(
            f"http://{call.address}{call.path}",
            method=call.method,
            headers={**call.headers, CALLER_DOMAIN_HEADER: self._caller_domain},
            body=call.body,
            connect_timeout=min(CONNECT_TIMEOUT.total_seconds(), seconds),
            request_timeout=seconds,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=prepare,
            streaming_callback=call.take_chunk,
            header_callback=note_beginning if call.answer_begins else None,
        )
        self._open_calls[client] += 1
        try:
            response = await client.fetch(request, raise_error=False)
        except (HTTPClientError, pycurl.error, OSError, ValueError) as error:
            if times_handed_over and _is_timeout(error):
                self._replace_client(call.address)
            reason = f"{call.method} {call.address}{call.path}: {error}"
            return Error(CallFault(reason, not_sent=times_handed_over == 0))
        finally:
            self._open_calls[client] -= 1
            self._close_if_unused(client)
        self.bytes_sent += _measure_request(request)
        self.bytes_received += _measure_response(response)
        if not _has_known_length(response):
            reason = f"the answer of {call.address} does not tell its length"
            return Error(CallFault(reason, not_sent=False))
        return Ok(response)


def _is_timeout(error: Exception) -> bool:
    """Tell whether a call failed because its timeout has passed."""
    return getattr(error, "errno", None) == pycurl.E_OPERATION_TIMEDOUT


def _measure_request(request: HTTPRequest) -> int:
    """Return how many bytes a request has, without what curl adds to it."""
    size = len(request.url) + len(request.body or b"")
    for name, value in request.headers.get_all():
        size += len(name) + len(value) + len(": \r\n")
    return size


def _measure_response(response: HTTPResponse) -> int:
    """Return how many bytes a response has in its headers and body."""
    size = len(response.body or b"")
    for name, value in response.headers.get_all():
        size += len(name) + len(value) + len(": \r\n")
    return size


def _has_known_length(response: HTTPResponse) -> bool:
    """Tell whether a cut connection would have shown in the answer."""
    if response.code in STATUSES_WITHOUT_BODY:
        return True
    if "Content-Length" in response.headers:
        return True
    return response.headers.get("Transfer-Encoding", "").lower() == "chunked"
