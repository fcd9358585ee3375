"""The HTTP listener of one stand-in worker."""

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import HTTPError, RequestHandler

from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import WorkerExchange
from almondspread_platform.caller import CALLER_DOMAIN_HEADER
from almondspread_platform.messages import MSGPACK_CONTENT_TYPE
from almondspread_standin.control import describe_controls
from almondspread_standin.listening import (
    bind_loopback,
    build_application,
    describe_address,
)
from almondspread_standin.workers.agent import WorkerAgent
from almondspread_standin.workers.ledger import Ledger


class ExchangeHandler(RequestHandler):
    """``POST /v1/exchange``."""

    def initialize(self, agent: WorkerAgent) -> None:
        """Take the agent that answers."""
        self._agent = agent
        self._connection_closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Wake a call that is never answered, so that it is not kept for ever."""
        self._connection_closed.set()

    async def post(self) -> None:
        """Carry one exchange, or hold it while the worker cannot be reached."""
        if self._is_unreachable():
            await self._connection_closed.wait()
            return
        try:
            message = decode_message(self.request.body, WorkerExchange)
        except ValueError as error:
            raise HTTPError(400, reason="not a message") from error
        report = self._agent.exchange(message)
        self.set_header("Content-Type", MSGPACK_CONTENT_TYPE)
        self.finish(encode_message(report))

    def _is_unreachable(self) -> bool:
        """Tell whether this caller gets no answer now."""
        faults = self._agent.faults
        domain = self.request.headers.get(CALLER_DOMAIN_HEADER, "")
        return faults.frozen or domain in faults.cut_off


class WorkerServer:
    """Serves one agent on a loopback port, 0 for any free one."""

    def __init__(self, agent: WorkerAgent, ledger: Ledger, port: int = 0) -> None:
        self.agent = agent
        self.address = ""
        self._port = port
        routes: list[Any] = [("/v1/exchange", ExchangeHandler, {"agent": agent})]
        routes += describe_controls(
            lambda: agent.faults, agent.set_faults, ledger.count
        )
        self._http = HTTPServer(build_application(routes))

    def start(self) -> None:
        """Listen; the address is known afterwards."""
        sockets = bind_loopback(self._port)
        self.address = describe_address(sockets)
        self._http.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._http.stop()
        await self._http.close_all_connections()
