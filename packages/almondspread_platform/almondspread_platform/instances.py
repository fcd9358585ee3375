"""The platform's instance list over HTTP."""

from datetime import timedelta
from http import HTTPStatus

from expression import Error, Ok, Result

from almondspread.codec import decode_message
from almondspread.interfaces import Instance, TableUnavailable
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_platform.messages import InstancesAnswer


class HttpInstanceList:
    """The instance list at one address, carried again only when it has changed."""

    def __init__(self, caller: HttpCaller, address: str, timeout: timedelta) -> None:
        self._caller = caller
        self._address = address
        self._timeout = timeout
        self._etag = ""
        self._known: tuple[Instance, ...] = ()

    async def list(self) -> Result[list[Instance], TableUnavailable]:
        """Return every instance that the platform counts as live or leaving."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        path = "/v1/instances"
        call = HttpCall("GET", self._address, path, self._timeout, headers=headers)
        sent = await self._caller.send(call)
        if sent.is_error():
            return Error(TableUnavailable(sent.error.reason))
        response = sent.ok
        if response.code == HTTPStatus.NOT_MODIFIED and self._etag:
            return Ok(list(self._known))
        if response.code != HTTPStatus.OK:
            return Error(TableUnavailable(f"{path} answered {response.code}"))
        try:
            answer = decode_message(response.body, InstancesAnswer)
        except ValueError as error:
            return Error(TableUnavailable(f"{path}: {error}"))
        self._known = answer.instances
        self._etag = response.headers.get("Etag", "")
        return Ok(list(self._known))
