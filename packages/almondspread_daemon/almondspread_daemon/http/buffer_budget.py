"""The decisions on clients' connections and on the bytes of their requests.

All listeners of a process share one ``BufferBudget`` for the bytes of requests that
were received and not yet answered. Each listener has ``ClientConnections``, which bound
its descriptors and find slow clients. Nothing here does I/O: a caller of these methods
closes the connections that they return.
"""

from datetime import timedelta
from enum import StrEnum
from typing import Any

from attrs import define, field

KIB = 1024
MIB = 1024 * KIB
# An instance with its modules loaded uses half of this; a leader's jobs take the rest.
PROCESS_BYTES = 112 * MIB
MIN_BUFFER_BYTES = 4 * MIB
MAX_BUFFER_BYTES = 64 * MIB
# A body is copied once when it is whole, and allocators round up.
BODY_SHARE = 4
CONNECTION_SHARE = 2
# A read buffer of 16 KiB, and the headers and objects of a connection.
CONNECTION_BYTES = 32 * KIB
MIN_CONNECTIONS = 16
# For peers, the store, 400 calls to upstreams, listeners, logs and operators.
RESERVED_DESCRIPTORS = 640
# A client that has sent nothing for this time does not make progress.
STALL_TIME = timedelta(seconds=1)
# How long a refused client may go on sending, so that it gets to read its refusal.
REFUSED_TIME = timedelta(seconds=2)


class Phase(StrEnum):
    """What a connection is doing."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    HANDLED = "handled"
    REFUSED = "refused"
    CLOSED = "closed"


class Refusal(StrEnum):
    """Why a request was refused or a connection closed."""

    BODY_TOO_LARGE = "body_too_large"
    BUFFERS_FULL = "buffers_full"
    BODY_SLOW = "body_slow"
    HEADER_SLOW = "header_slow"
    IDLE_CLOSED = "idle_closed"
    CONNECTIONS_FULL = "connections_full"


@define(frozen=True)
class RequestLimits:
    """Limits on each request.

    A body must arrive with ``min_body_rate`` bytes a second on average over each
    ``body_span``. An idle connection may be closed after ``idle_timeout``.
    """

    max_body_bytes: int = 256 * KIB
    max_header_bytes: int = 16 * KIB
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)
    min_body_rate: int = KIB
    body_span: timedelta = timedelta(seconds=10)


@define(frozen=True)
class ProcessLimits:
    """Limits on all requests of a process: held bytes, and callers' connections."""

    buffer_bytes: int
    max_connections: int


def derive_process_limits(memory_bytes: int, descriptors: int) -> ProcessLimits:
    """Return the limits of a process with so much memory and so many descriptors.

    >>> limits = derive_process_limits(160 * MIB, 1_638)
    >>> limits.buffer_bytes // MIB, limits.max_connections
    (12, 768)
    """
    free = max(0, memory_bytes - PROCESS_BYTES)
    buffers = min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, free // BODY_SHARE))
    affordable = free // CONNECTION_SHARE // CONNECTION_BYTES
    return ProcessLimits(
        buffers,
        max(MIN_CONNECTIONS, min(affordable, count_callers(descriptors))),
    )


def count_callers(descriptors: int) -> int:
    """Return how many descriptors callers may use.

    >>> count_callers(1_638), count_callers(64)
    (998, 24)
    """
    return descriptors - min(RESERVED_DESCRIPTORS, descriptors * 5 // 8)


@define(eq=False)
class Connection:
    """A client's connection: its phase, and the bytes that its request holds.

    ``exchange`` is what the listener needs to close the connection.
    """

    exchange: Any
    limits: RequestLimits
    phase_began: timedelta
    progress: timedelta
    phase: Phase = Phase.IDLE
    held: int = 0
    body: int = 0
    span_began: timedelta = timedelta(0)
    span_body: int = 0


@define
class BufferBudget:
    """The bytes of requests that were received and not yet answered.

    ``holders`` are the connections whose request is still incomplete.
    """

    limit: int
    total: int = 0
    holders: dict[Connection, None] = field(factory=dict)

    def charge(self, connection: Connection, count: int) -> None:
        """Add bytes that a connection has received."""
        connection.held += count
        self.total += count

    def release(self, connection: Connection) -> None:
        """Free the bytes of a request that was answered, refused or lost."""
        self.total -= connection.held
        connection.held = 0
        self.holders.pop(connection, None)

    def admits_body(self) -> bool:
        """Tell whether a new body may begin; the last quarter is for begun ones."""
        return self.total <= self._admission_limit

    def list_stalled(self, now: timedelta) -> list[Connection]:
        """Return connections without progress to close, so that a body may begin."""
        stalled = []
        for holder in self.holders:
            if now - holder.progress >= STALL_TIME:
                stalled.append(holder)
        return self._select(stalled, self._admission_limit, now)

    def list_excess(self, now: timedelta) -> list[Connection]:
        """Return the connections to close, none while the bytes are within the limit.

        The connection that has held the most for the longest time without progress
        comes first. An eighth of the limit is freed, so that the next selection does
        not follow at once.
        """
        if self.total <= self.limit:
            return []
        return self._select(list(self.holders), self.limit - self.limit // 8, now)

    @property
    def _admission_limit(self) -> int:
        """The bytes beyond which no new body may begin."""
        return self.limit - self.limit // 4

    def _select(
        self, candidates: list[Connection], target: int, now: timedelta
    ) -> list[Connection]:
        """Return the connections to close to get down to ``target`` bytes."""

        def rank(holder: Connection) -> tuple[float, int]:
            stalled = (now - holder.progress).total_seconds()
            return holder.held * stalled, holder.held

        left = self.total
        selected: list[Connection] = []
        for holder in sorted(candidates, key=rank, reverse=True):
            if left <= target:
                break
            left -= holder.held
            selected.append(holder)
        return selected


@define
class ClientConnections:
    """The open connections of one listener, of which there are at most ``limit``.

    ``idle`` has the longest idle one first, ``active`` those whose request is not whole
    yet, and ``refused`` those that may still send for a while after a refusal.
    """

    budget: BufferBudget
    limit: int
    count: int = 0
    idle: dict[Connection, None] = field(factory=dict)
    active: dict[Connection, None] = field(factory=dict)
    refused: dict[Connection, None] = field(factory=dict)

    @property
    def is_full(self) -> bool:
        """Whether a further connection needs another one to be closed."""
        return self.count >= self.limit

    def find_closable(self, now: timedelta) -> Connection | None:
        """Return the connection to close for a new one, ``None`` to refuse the new one.

        It is one that was refused, else the longest idle one, else the oldest one
        without progress. Requests that are being handled are left alone.
        """
        closable = next(iter(self.refused), None) or next(iter(self.idle), None)
        if closable is not None:
            return closable
        for connection in self.active:
            if now - connection.progress >= STALL_TIME:
                return connection
        return None

    def open(self, exchange: Any, limits: RequestLimits, now: timedelta) -> Connection:
        """Add a new connection, and return it."""
        connection = Connection(exchange, limits, now, now)
        self.count += 1
        self.idle[connection] = None
        return connection

    def close(self, connection: Connection) -> None:
        """Remove a connection, if it was not removed before."""
        if connection.phase == Phase.CLOSED:
            return
        connection.phase = Phase.CLOSED
        self.budget.release(connection)
        self.idle.pop(connection, None)
        self.active.pop(connection, None)
        self.refused.pop(connection, None)
        self.count -= 1

    def begin_idling(self, connection: Connection, now: timedelta) -> None:
        """Note that a request was answered, and that the next one may come."""
        self.budget.release(connection)
        self.active.pop(connection, None)
        self._enter(connection, Phase.IDLE, now)
        self.idle[connection] = None

    def receive(self, connection: Connection, count: int, now: timedelta) -> None:
        """Note that bytes have arrived; those of a header are charged."""
        connection.progress = now
        if connection.phase == Phase.IDLE:
            self.idle.pop(connection, None)
            self._enter(connection, Phase.HEADER, now)
            self.active[connection] = None
            self.budget.holders[connection] = None
        if connection.phase == Phase.HEADER:
            self.budget.charge(connection, count)

    def begin_body(
        self, connection: Connection, header_bytes: int, now: timedelta
    ) -> None:
        """Note that a header is whole; its body is charged as it arrives."""
        # What was read with the header may be of the body, which is charged apart.
        self.budget.charge(connection, header_bytes - connection.held)
        self.idle.pop(connection, None)
        self._enter(connection, Phase.BODY, now)
        connection.body = connection.span_body = 0
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
