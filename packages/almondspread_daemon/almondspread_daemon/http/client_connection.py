"""What one client's connection is doing, and the limits on its requests."""

from datetime import timedelta
from enum import StrEnum
from typing import Any

from attrs import define

from almondspread_daemon.http.process_limits import ANSWER_TIMEOUT, KIB

# A client that has sent or read nothing for this time does not make progress.
STALL_TIME = timedelta(seconds=1)
# With its header, a request up to this size is small, and has a place of its own.
SMALL_BODY_BYTES = 16 * KIB


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
    ANSWER_UNREAD = "answer_unread"
    DOCUMENT_TOO_LARGE = "document_too_large"
    DOCUMENTS_FULL = "documents_full"


@define(frozen=True)
class RequestLimits:
    """Limits on each request.

    A body must arrive with ``min_body_rate`` bytes a second on average over each
    ``body_span``. An idle connection may be closed after ``idle_timeout``, and one
    whose client reads nothing of an answer after ``answer_timeout``.
    """

    max_body_bytes: int = 256 * KIB
    max_header_bytes: int = 16 * KIB
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)
    min_body_rate: int = KIB
    body_span: timedelta = timedelta(seconds=10)
    answer_timeout: timedelta = ANSWER_TIMEOUT


@define(eq=False)
class Connection:
    """A client's connection: its phase, and the bytes that its request holds.

    ``exchange`` is what the listener needs to close the connection. The body of its
    request is ``body`` bytes long so far, without the framing of chunks; ``arrived``
    are the bytes that were read for it. ``unsent`` are the bytes of its answer that the
    client has not taken yet.
    """

    exchange: Any
    limits: RequestLimits
    phase_began: timedelta
    progress: timedelta
    phase: Phase = Phase.IDLE
    request_began: timedelta = timedelta(0)
    held: int = 0
    body: int = 0
    arrived: int = 0
    is_chunked: bool = False
    is_large: bool = False
    span_began: timedelta = timedelta(0)
    span_body: int = 0
    unsent: int = 0
    sent_at: timedelta = timedelta(0)

    def is_stalled(self, now: timedelta) -> bool:
        """Tell whether the client has made no progress for a while."""
        return now - self.progress >= STALL_TIME

    def is_slow(self, now: timedelta) -> bool:
        """Tell whether the client takes long to send its request."""
        return now - self.request_began >= STALL_TIME

    def is_unread(self, now: timedelta) -> bool:
        """Tell whether the client has read nothing of its answer for a while."""
        return self.unsent > 0 and now - self.sent_at >= STALL_TIME
