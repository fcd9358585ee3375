"""The decisions on the connections of one listener.

They bound its descriptors and find slow clients. Nothing here does I/O: a caller of
these methods closes the connections that they return.
"""

from datetime import timedelta
from typing import Any

from attrs import define, field

from almondspread_daemon.http.buffer_budget import BufferBudget
from almondspread_daemon.http.client_connection import (
    Connection,
    Phase,
    Refusal,
    RequestLimits,
)

# How long a refused client may go on sending, so that it gets to read its refusal.
REFUSED_TIME = timedelta(seconds=2)


@define
class ClientConnections:
    """The open connections of one listener, of which there are at most ``limit``.

    ``idle`` has the longest idle one first, ``active`` those whose request is not whole
    yet, in the order in which they began, ``refused`` those that may still send for a
    while after a refusal, and ``sending`` those whose answer is not sent yet.
    """

    budget: BufferBudget
    limit: int
    count: int = 0
    idle: dict[Connection, None] = field(factory=dict)
    active: dict[Connection, None] = field(factory=dict)
    refused: dict[Connection, None] = field(factory=dict)
    sending: dict[Connection, None] = field(factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether a further connection needs another one to be closed."""
        return self.count >= self.limit

    def find_closable(self, now: timedelta) -> Connection | None:
        """Return the connection to close for a new one, ``None`` to refuse the new one.

        It is one that was refused, else the longest idle one, else the oldest one
        without progress, else the oldest one that takes long to send its request, else
        one that does not read its answer. Requests that are being handled are left
        alone.
        """
        closable = next(iter(self.refused), None) or next(iter(self.idle), None)
        if closable is not None:
            return closable
        for connection in self.active:
            if connection.is_stalled(now):
                return connection
        oldest = next(iter(self.active), None)
        if oldest is not None and oldest.is_slow(now):
            return oldest
        for connection in self.sending:
            if connection.is_unread(now):
                return connection
        return None

    def open(self, exchange: Any, limits: RequestLimits, now: timedelta) -> Connection:
        """Add a new connection, and return it."""
        connection = Connection(exchange, limits, now, now, request_began=now)
        self.count += 1
        self.idle[connection] = None
        return connection

    def close(self, connection: Connection) -> None:
        """Remove a connection, if it was not removed before."""
        if connection.phase == Phase.CLOSED:
            return
        connection.phase = Phase.CLOSED
        self.budget.release(connection)
        self.send(connection, connection.unsent, connection.sent_at)
        self.idle.pop(connection, None)
        self.active.pop(connection, None)
        self.refused.pop(connection, None)
        self.count -= 1

    def begin_idling(self, connection: Connection, now: timedelta) -> None:
        """Note that a request was answered, and that the next one may come."""
        self.budget.release(connection)
        self.active.pop(connection, None)
        connection.is_chunked = False
        self._enter(connection, Phase.IDLE, now)
        self.idle[connection] = None

    def receive(self, connection: Connection, count: int, now: timedelta) -> None:
        """Note that bytes have arrived; those of a header are charged."""
        connection.progress = now
        if connection.phase == Phase.IDLE:
            self.idle.pop(connection, None)
            self._enter(connection, Phase.HEADER, now)
            connection.request_began = now
            self.active[connection] = None
            self.budget.holders[connection] = None
        if connection.phase == Phase.HEADER:
            self.budget.charge(connection, count)
        if connection.phase == Phase.BODY:
            connection.arrived += count

    def begin_body(
        self, connection: Connection, header_bytes: int, now: timedelta
    ) -> None:
        """Note that a header is whole; its body is charged as it arrives."""
        # What was read with the header may be of the body, which is charged apart.
        self.budget.charge(connection, header_bytes - connection.held)
        self.idle.pop(connection, None)
        self._enter(connection, Phase.BODY, now)
        connection.body = connection.arrived = connection.span_body = 0
        connection.span_began = connection.progress = now
        self.active[connection] = None
        self.budget.holders[connection] = None

    def receive_body(self, connection: Connection, count: int) -> bool:
        """Charge a part of a body; return false once it is larger than its limit."""
        connection.body += count
        connection.span_body += count
        self.budget.charge(connection, count)
        return connection.body <= connection.limits.max_body_bytes

    def begin_handling(self, connection: Connection) -> None:
        """Note that a request is whole; it keeps its bytes until it is answered."""
        self.idle.pop(connection, None)
        self.active.pop(connection, None)
        self.budget.holders.pop(connection, None)
        connection.phase = Phase.HANDLED

    def refuse(self, connection: Connection, now: timedelta) -> None:
        """Note that a request was refused, and that its bytes are no longer held."""
        self.budget.release(connection)
        self.active.pop(connection, None)
        self._enter(connection, Phase.REFUSED, now)
        self.refused[connection] = None

    def queue(self, connection: Connection, count: int, now: timedelta) -> None:
        """Note that bytes of an answer are to be sent."""
        if connection.phase == Phase.CLOSED:
            return
        if not connection.unsent:
            connection.sent_at = now
            self.sending[connection] = None
        connection.unsent += count
        self.budget.unsent += count

    def send(self, connection: Connection, count: int, now: timedelta) -> None:
        """Note that a client has taken bytes of its answer."""
        connection.sent_at = now
        connection.unsent -= count
        self.budget.unsent -= count
        if not connection.unsent:
            self.sending.pop(connection, None)

    def list_overdue(self, now: timedelta) -> list[tuple[Connection, Refusal | None]]:
        """Return the connections to close, with the reason unless already refused.

        Idle connections stay open until more than half of the limit is in use, since
        clients keep them for later requests.
        """
        overdue: list[tuple[Connection, Refusal | None]] = []
        for connection in self.refused:
            if now - connection.phase_began < REFUSED_TIME:
                break
            overdue.append((connection, None))
        for connection in self.active:
            if connection.phase == Phase.BODY:
                if _is_body_slow(connection, now):
                    overdue.append((connection, Refusal.BODY_SLOW))
                continue
            if now - connection.phase_began >= connection.limits.header_timeout:
                overdue.append((connection, Refusal.HEADER_SLOW))
        for connection in self.sending:
            if now - connection.sent_at >= connection.limits.answer_timeout:
                overdue.append((connection, Refusal.ANSWER_UNREAD))
        excess = self.count - self.limit // 2
        for connection in self.idle:
            waited = now - connection.phase_began
            if excess <= 0 or waited < connection.limits.idle_timeout:
                break
            overdue.append((connection, Refusal.IDLE_CLOSED))
            excess -= 1
        return overdue

    def _enter(self, connection: Connection, phase: Phase, now: timedelta) -> None:
        """Set the phase of a connection."""
        connection.phase = phase
        connection.phase_began = now


def _is_body_slow(connection: Connection, now: timedelta) -> bool:
    """Tell whether a body arrived too slowly over its last span, and start the next."""
    span = now - connection.span_began
    if span < connection.limits.body_span:
        return False
    received = connection.span_body
    connection.span_began, connection.span_body = now, 0
    return received < connection.limits.min_body_rate * span.total_seconds()
