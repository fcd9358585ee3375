"""The platform's instance list over HTTP."""

from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.interfaces import Instance, TableUnavailable
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_platform.exchange import exchange_messages
from almondspread_platform.messages import InstancesAnswer


class HttpInstanceList:
    """The instance list at one address."""

    def __init__(self, caller: HttpCaller, address: str, timeout: timedelta) -> None:
        self._caller = caller
        self._address = address
        self._timeout = timeout

    async def list(self) -> Result[list[Instance], TableUnavailable]:
        """Return every instance that the platform counts as live or leaving."""
        call = HttpCall("GET", self._address, "/v1/instances", self._timeout)
        sent = await exchange_messages(self._caller, call, None, InstancesAnswer)
        if sent.is_error():
            return Error(TableUnavailable(sent.error.reason))
        return Ok(list(sent.ok.instances))
