"""One HTTP call over tornado's curl client, with typed faults."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import pycurl
from attrs import define, field
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse

from almondspread.clock import Clock, SystemClock
from almondspread_platform.clients import ClientSet, ClientUse, OpenClient
from almondspread_platform.limits import ConnectionLimits

CONNECT_TIMEOUT = timedelta(seconds=1)
CALLER_DOMAIN_HEADER = "X-Failure-Domain"
STATUSES_WITHOUT_BODY = (204, 304)
REPEATABLE_METHODS = ("GET", "DELETE")
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024


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


@define(frozen=True)
class Connection:
    """One connection of a caller: the callee's address, and the port at this end.

    It ``is_new`` at its first request. A later connection may have the same two ends.
    """

    address: str
    local_port: int
    is_new: bool


def allow_any_connection(_: Connection) -> bool:
    """Allow a call on every connection."""
    return True


def ignore_address(_: str) -> None:
    """Do nothing about an address."""


@define(eq=False)
class _Progress:
    """How far a call has come: ``begun`` is done once a part of the answer is here.

    ``use`` is the client that carries the call, ``None`` before it is sent.
    """

    begun: asyncio.Future[None]
    use: ClientUse | None = None


@define(frozen=True)
class HttpCall:
    """One request: ``address`` is ``IP:port``, ``path`` starts with a slash.

    ``may_send`` is asked last thing before the first byte goes out; where it denies,
    the call fails as not sent. So does ``may_use``, which is told the connection. With
    ``take_chunk`` the body is handed over piece by
    piece instead of as a whole, and the call ends soon after ``is_wanted`` denies.
    Where ``answer_begins`` is set, the call also fails if no part of the answer has
    arrived after that time. ``repeats`` tells that the same call has been sent before
    and is not answered yet: this one uses a new connection.
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
    repeats: bool = False
    may_use: Callable[[Connection], bool] = allow_any_connection


@define(eq=False)
class _Handover:
    """Hands one request over to a connection, unless the call forbids it.

    ``times`` counts how often. ``_has_opened`` is set once curl has opened a connection
    for the call, rather than used one that was open.
    """

    _call: HttpCall
    times: int = 0
    _has_opened: bool = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Set what tornado's client has no argument for."""
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._note_opening)
        curl.setopt(pycurl.PREREQFUNCTION, self._guard)
        curl.setopt(pycurl.PROXY, "")
        if self._call.take_chunk is not None:
            curl.setopt(pycurl.NOPROGRESS, 0)
            curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: not self._call.is_wanted())
        else:
            curl.setopt(pycurl.NOPROGRESS, 1)

    def _note_opening(self, *_: object) -> int:
        """Note that curl opens a connection for this call."""
        self._has_opened = True
        return int(pycurl.SOCKOPT_OK)

    def _guard(self, _ip: str, _own_ip: str, _port: int, own_port: int) -> int:
        """Let curl write the request to a connection, or refuse to do so again.

        Where a reused connection closes without an answer, curl sends the request
        again on a new one, although the callee may have acted on the first.
        """
        call = self._call
        if self.times and call.method not in REPEATABLE_METHODS:
            return int(pycurl.PREREQFUNC_ABORT)
        connection = Connection(call.address, own_port, self._has_opened)
        if not (call.may_use(connection) and call.may_send()):
            return int(pycurl.PREREQFUNC_ABORT)
        self.times += 1
        return int(pycurl.PREREQFUNC_OK)


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

    A connection may fall silent without an error, and others to its address with it.
    With ``open_replacement``, calls to an address after one without an answer use new
    connections (:class:`ClientSet`). ``note_given_up`` is told each address whose idle
    connections are given up.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        *,
        per_address: int = 8,
        overall: int = 64,
        caller_domain: str = "",
        open_replacement: OpenClient | None = None,
        note_given_up: Callable[[str], None] = ignore_address,
        clock: Clock | None = None,
    ) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        self._clients = ClientSet(client, open_replacement, clock or SystemClock())
        self._note_given_up = note_given_up
        self._limits = ConnectionLimits(per_address, overall)
        self._caller_domain = caller_domain
        self._transfers: set[asyncio.Task[Result[HTTPResponse, CallFault]]] = set()

    async def send(self, call: HttpCall) -> Result[HTTPResponse, CallFault]:
        """Send one request; the answer is whole and of any HTTP status."""
        progress = _Progress(asyncio.get_running_loop().create_future())
        transfer = asyncio.create_task(self._transfer(call, progress))
        self._transfers.add(transfer)
        transfer.add_done_callback(self._transfers.discard)
        if call.answer_begins is not None:
            await asyncio.wait(
                (transfer, progress.begun),
                timeout=call.answer_begins.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not transfer.done() and not progress.begun.done():
                self._give_up_connections(call.address, progress.use)
                reason = f"{call.method} {call.address}{call.path}: no answer has begun"
                return Error(CallFault(reason, not_sent=False))
        return await asyncio.shield(transfer)

    def _give_up_connections(self, address: str, use: ClientUse | None) -> None:
        """Have later calls to an address use new connections, after a lost answer."""
        if use is not None and self._clients.give_up_connections(address, use):
            self._note_given_up(address)

    def _choose_client(self, call: HttpCall) -> ClientUse:
        """Return the client of a call, whose use has to be ended."""
        if call.repeats:
            self._give_up_connections(call.address, self._clients.find(call.address))
        return self._clients.begin_call(call.address)

    async def wait_idle(self) -> None:
        """Wait until no transfer is open, as is needed before the client closes."""
        while self._transfers:
            await asyncio.wait(set(self._transfers))

    async def _transfer(
        self, call: HttpCall, progress: _Progress
    ) -> Result[HTTPResponse, CallFault]:
        """Wait for a permit and carry the request with the time that remains."""
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
            return await self._fetch(call, due - loop.time(), progress)
        finally:
            await permit.__aexit__(None, None, None)

    async def _fetch(
        self, call: HttpCall, seconds: float, progress: _Progress
    ) -> Result[HTTPResponse, CallFault]:
        """Carry one request that holds a permit."""
        if seconds < 0.001:
            return Error(CallFault("the timeout has passed", not_sent=True))
        handover = _Handover(call)

        def note_beginning(_: str) -> None:
            """Note that a line of the answer's head has arrived."""
            if not progress.begun.done():
                progress.begun.set_result(None)

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
            prepare_curl_callback=handover.prepare,
            streaming_callback=call.take_chunk,
            header_callback=note_beginning if call.answer_begins else None,
        )
        use = progress.use = self._choose_client(call)
        try:
            response = await use.client.fetch(request, raise_error=False)
        except (HTTPClientError, pycurl.error, OSError, ValueError) as error:
            if handover.times and _is_timeout(error):
                self._give_up_connections(call.address, use)
            reason = f"{call.method} {call.address}{call.path}: {error}"
            return Error(CallFault(reason, not_sent=handover.times == 0))
        finally:
            self._clients.end_call(use)
        self._clients.record_answer(call.address, use)
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


def closes_connection(response: HTTPResponse) -> bool:
    """Tell whether the callee closes the connection after its answer."""
    options = response.headers.get("Connection", "").lower().split(",")
    return "close" in [option.strip() for option in options]


def _has_known_length(response: HTTPResponse) -> bool:
    """Tell whether a cut connection would have shown in the answer."""
    if response.code in STATUSES_WITHOUT_BODY:
        return True
    if "Content-Length" in response.headers:
        return True
    return response.headers.get("Transfer-Encoding", "").lower() == "chunked"
