"""The HTTP listener of one stand-in minion."""

import asyncio
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import HTTPError, RequestHandler

from almondspread_platform.caller import CALLER_DOMAIN_HEADER
from almondspread_standin.control import describe_controls
from almondspread_standin.listening import (
    bind_loopback,
    build_application,
    describe_address,
)
from almondspread_standin.minions.agent import MinionAgent


class RequestsHandler(RequestHandler):
    """``POST /v1/requests/{kind}``."""

    def initialize(self, agent: MinionAgent) -> None:
        """Take the agent that runs the requests."""
        self._agent = agent
        self._connection_closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Wake a call that is never answered, so that it is not kept for ever."""
        self._connection_closed.set()

    async def post(self, kind: str) -> None:
        """Run a request and answer it as the fault switches say."""
        domain = self.request.headers.get(CALLER_DOMAIN_HEADER, "")
        if domain in self._agent.faults.cut_off:
            await self._connection_closed.wait()
            return
        if kind not in self._agent.behaviours:
            raise HTTPError(404)
        self._agent.enter_slot()
        try:
            await self._run(kind)
        finally:
            self._agent.leave_slot()

    async def _run(self, kind: str) -> None:
        """Run a request that occupies a slot."""
        self._set_answer_headers()
        if self._agent.faults.mode == "refuse":
            self.set_status(503)
            return
        if kind == "monitor":
            await self._stream()
            return
        key = self.request.headers.get("Idempotency-Key", "")
        body = await self._agent.run(kind, key, self.request.body)
        mode = self._agent.faults.mode
        if self._connection_closed.is_set():
            return
        if mode == "close":
            self.detach().close()
            return
        if mode == "half":
            await self._break_off(body)
            return
        if mode == "twice":
            await self._answer_twice(body)
            return
        if mode == "never":
            await self._connection_closed.wait()
            return
        self.finish(body)

    def _set_answer_headers(self) -> None:
        """Set what goes with every answer."""
        self.set_header("Content-Type", "application/json")
        if self._agent.faults.leaving:
            self.set_header("X-Leaving", "1")
        if self._agent.faults.connection_close:
            self.set_header("Connection", "close")

    async def _stream(self) -> None:
        """Send one line after another until the caller goes, or break off."""
        position = int(self.request.headers.get("X-Position", "0"))
        self.set_header("Content-Type", "application/jsonlines")
        async for line in self._agent.monitor(position):
            if self._connection_closed.is_set():
                return
            if self._agent.faults.mode == "close":
                self.write(line[: len(line) // 2])
                await self.flush()
                self.detach().close()
                return
            self.write(line)
            try:
                await self.flush()
            except StreamClosedError:
                return

    async def _answer_twice(self, body: bytes) -> None:
        """Send one answer two times on the same connection."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        stream = self.detach()
        await stream.write((head + body) * 2)

    async def _break_off(self, body: bytes) -> None:
        """Send half of an answer and close the connection."""
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.detach().close()


class _CountingServer(HTTPServer):
    """An HTTP server that counts the connections of its minion."""

    agent: MinionAgent

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Count a connection and serve it."""
        self.agent.open_connection()
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Count a connection that was closed."""
        self.agent.close_connection()
        super().on_close(server_conn)


class MinionServer:
    """Serves one agent on a loopback port, 0 for any free one."""

    def __init__(self, agent: MinionAgent, port: int = 0) -> None:
        self.agent = agent
        self.address = ""
        self._port = port
        routes: list[Any] = [
            ("/v1/requests/([a-z-]+)", RequestsHandler, {"agent": agent})
        ]
        routes += describe_controls(lambda: agent.faults, agent.set_faults, agent.count)
        self._http = _CountingServer(build_application(routes))
        self._http.agent = agent

    def start(self) -> None:
        """Listen; the address is known afterwards."""
        sockets = bind_loopback(self._port)
        self.address = describe_address(sockets)
        self._http.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._http.stop()
        await self._http.close_all_connections()
