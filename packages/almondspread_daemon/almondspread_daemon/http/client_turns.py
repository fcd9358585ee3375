"""Gives turns to the clients of all listeners of a process, pass by pass."""

import asyncio
from collections.abc import Callable

from almondspread_daemon.http.client_connection import Connection
from almondspread_daemon.http.handling_turns import HandlingTurns
from almondspread_daemon.http.read_turns import ReadTurns


class ClientTurns:
    """Applies the turns of reading and of handling to the running event loop."""

    def __init__(self) -> None:
        self._reads = ReadTurns()
        self._handling = HandlingTurns()
        self._is_pass_planned = False

    def may_read(self, connection: Connection) -> bool:
        """Tell whether a connection may read now.

        One that may not has to try again in the next pass of the event loop.
        """
        if not self._is_pass_planned:
            self._is_pass_planned = True
            asyncio.get_running_loop().call_soon(self._begin_pass)
        return self._reads.take(connection)

    def handle(self, handle: Callable[[], None]) -> None:
        """Have a large request handled when its turn has come."""
        self._handling.add(handle, asyncio.get_running_loop().call_soon)

    def _begin_pass(self) -> None:
        """Choose who may read in the pass of the event loop that begins."""
        self._is_pass_planned = False
        self._reads.begin_pass()
