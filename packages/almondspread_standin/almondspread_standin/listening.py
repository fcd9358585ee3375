"""Listening on loopback, and nowhere else."""

import socket
from typing import Any

from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LOOPBACK = "127.0.0.1"


def bind_loopback(port: int) -> list[socket.socket]:
    """Return sockets bound to a loopback port, 0 for any free one."""
    return bind_sockets(port, LOOPBACK)


def describe_address(sockets: list[socket.socket]) -> str:
    """Return ``IP:port`` of the first socket."""
    host, port = sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def build_application(routes: list[Any]) -> Application:
    """Return an application that logs no line for each request."""
    return Application(routes, log_function=_ignore_request)


def _ignore_request(_: RequestHandler) -> None:
    """Log nothing: refusals are part of what a stand-in is for."""
