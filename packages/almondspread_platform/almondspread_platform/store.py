"""The object store over HTTP."""

from datetime import timedelta
from urllib.parse import quote

from expression import Error, Ok, Result
from tornado.httpclient import HTTPResponse

from almondspread.interfaces import TableUnavailable
from almondspread_platform.caller import HttpCall, HttpCaller


class HttpObjectStore:
    """The object store at one address."""

    def __init__(self, caller: HttpCaller, address: str, timeout: timedelta) -> None:
        self._caller = caller
        self._address = address
        self._timeout = timeout

    async def put(self, name: str, data: bytes) -> Result[None, TableUnavailable]:
        """Keep an object."""
        sent = await self._send("PUT", name, data)
        if sent.is_error():
            return Error(sent.error)
        return _expect_done(sent.ok)

    async def get(self, name: str) -> Result[bytes | None, TableUnavailable]:
        """Return an object, ``None`` where there is none of that name."""
        sent = await self._send("GET", name, None)
        if sent.is_error():
            return Error(sent.error)
        if sent.ok.code == 404:
            return Ok(None)
        if sent.ok.code != 200:
            return Error(_describe_status(sent.ok))
        return Ok(sent.ok.body)

    async def delete(self, name: str) -> Result[None, TableUnavailable]:
        """Forget an object."""
        sent = await self._send("DELETE", name, None)
        if sent.is_error():
            return Error(sent.error)
        return _expect_done(sent.ok)

    async def _send(
        self, method: str, name: str, data: bytes | None
    ) -> Result[HTTPResponse, TableUnavailable]:
        """Send one call about an object."""
        path = "/v1/objects/" + quote(name, safe="")
        call = HttpCall(method, self._address, path, self._timeout, data)
        sent = await self._caller.send(call)
        if sent.is_error():
            return Error(TableUnavailable(sent.error.reason))
        return Ok(sent.ok)


def _expect_done(response: HTTPResponse) -> Result[None, TableUnavailable]:
    """Return success for a status that says the change was made."""
    if response.code not in (200, 204):
        return Error(_describe_status(response))
    return Ok(None)


def _describe_status(response: HTTPResponse) -> TableUnavailable:
    """Return the fault of a status that no answer of the store has."""
    return TableUnavailable(f"the object store answered with status {response.code}")
