"""Applies the decisions on clients' connections and bytes at one listener."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from almondspread.clock import Clock
from almondspread_daemon.http.client_connection import (
    Connection,
    Phase,
    Refusal,
    RequestLimits,
)
from almondspread_daemon.http.client_connections import ClientConnections
from almondspread_daemon.http.client_refusals import RefusalLog
from almondspread_daemon.http.client_turns import ClientTurns
from almondspread_daemon.http.process_limits import KIB

CHECK_INTERVAL = timedelta(milliseconds=500)
READ_BYTES = 16 * KIB
# What is read together with a header may be small chunks.
HEADER_READ_BYTES = 2 * KIB
CHUNKS_READ_BYTES = KIB
# From so many bytes on, the size of a body's chunks is known.
MIN_ARRIVED_BYTES = 4 * KIB


class ClientGuard:
    """Closes or refuses the clients of one listener that its limits do not allow.

    ``read_limits`` returns the limits that apply to a connection's next request.
    """

    def __init__(
        self,
        clients: ClientConnections,
        read_limits: Callable[[], RequestLimits],
        clock: Clock,
        log: RefusalLog,
        turns: ClientTurns,
    ) -> None:
        self.clients = clients
        self.read_limits = read_limits
        self.clock = clock
        self.log = log
        self.turns = turns
        self._timer: asyncio.TimerHandle | None = None

    def make_room(self) -> bool:
        """Close a connection for a new one if need be; false to refuse the new one."""
        if not self.clients.is_full:
            return True
        victim = self.clients.find_closable(self.clock.monotonic())
        if victim is None:
            self.log.record(Refusal.CONNECTIONS_FULL)
            return False
        is_idle = victim.phase == Phase.IDLE
        self.log.record(Refusal.IDLE_CLOSED if is_idle else Refusal.CONNECTIONS_FULL)
        victim.exchange.close()
        return True

    def open(self, exchange: Any) -> Connection:
        """Add a connection, and start the checks of slow clients."""
        now = self.clock.monotonic()
        if self._timer is None:
            self._set_timer()
        return self.clients.open(exchange, self.read_limits(), now)

    def admit_body(self, is_large: bool) -> bool:
        """Tell whether a body may begin, after closing stalled ones if need be."""
        budget = self.clients.budget
        if budget.admits(is_large):
            return True
        for victim in budget.list_stalled(is_large, self.clock.monotonic()):
            victim.exchange.refuse(Refusal.BUFFERS_FULL)
        return budget.admits(is_large)

    def choose_read_size(self, connection: Connection, unread_record: bool) -> int:
        """Return how many bytes a connection may read now, 0 for none.

        The rest of a TLS record that was read in part has to be read at once, since the
        socket does not tell about it.
        """
        if connection.phase in (Phase.IDLE, Phase.HEADER):
            return HEADER_READ_BYTES
        if not connection.is_chunked:
            return READ_BYTES
        if not unread_record and not self.turns.may_read(connection):
            return 0
        return READ_BYTES if _has_large_chunks(connection) else CHUNKS_READ_BYTES

    def enforce_budget(self) -> None:
        """Refuse the requests that hold the most while the budget is exceeded."""
        budget = self.clients.budget
        if not budget.is_exceeded:
            return
        for victim in budget.list_excess(self.clock.monotonic()):
            victim.exchange.refuse(Refusal.BUFFERS_FULL)

    def _set_timer(self) -> None:
        """Check the connections after a while."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL.total_seconds(), self._check)

    def _check(self) -> None:
        """Refuse slow clients, until there are no more connections."""
        self._timer = None
        for connection, refusal in self.clients.list_overdue(self.clock.monotonic()):
            if refusal is None:
                connection.exchange.close()
                continue
            if refusal == Refusal.ANSWER_UNREAD:
                self.log.record(refusal)
                connection.exchange.close()
                continue
            connection.exchange.refuse(refusal)
        # Headers are charged as they arrive, but do not enforce the budget themselves.
        self.enforce_budget()
        if self.clients.count:
            self._set_timer()


def _has_large_chunks(connection: Connection) -> bool:
    """Tell whether hardly any of the bytes of a body were the framing of chunks."""
    framing = connection.arrived - connection.body
    return (
        connection.arrived >= MIN_ARRIVED_BYTES and framing * 16 <= connection.arrived
    )
