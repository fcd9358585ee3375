"""The agents on workers over HTTP."""

from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.interfaces import WorkerExchange, WorkerReport, WorkerUnreachable
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_platform.exchange import exchange_messages


class HttpWorkerGateway:
    """The way to every worker by its address."""

    def __init__(self, caller: HttpCaller, timeout: timedelta) -> None:
        self._caller = caller
        self._timeout = timeout

    async def exchange(
        self, address: str, message: WorkerExchange
    ) -> Result[WorkerReport, WorkerUnreachable]:
        """Carry one exchange to the worker at ``address``."""
        call = HttpCall("POST", address, "/v1/exchange", self._timeout)
        sent = await exchange_messages(self._caller, call, message, WorkerReport)
        if sent.is_error():
            return Error(WorkerUnreachable(sent.error.reason))
        return Ok(sent.ok)
