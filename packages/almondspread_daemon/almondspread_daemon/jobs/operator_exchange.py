"""Exchange of operators' rows between instances, beside each instance's own reading.

Heartbeats carry the revision of the rows that their sender knows. An instance that
stays behind a member's revision asks for the rows that it lacks.
"""

import zlib
from collections.abc import Callable
from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.jobs.operator_rows import OperatorRow
from almondspread_daemon.jobs.link_messages import (
    AskOperatorRows,
    Beat,
    OperatorRowsSent,
)
from almondspread_daemon.jobs.published_input import PublishedInput

# An instance that the store serves reads a change itself within this time.
ASK_DELAY = timedelta(milliseconds=200)
ASK_INTERVAL = timedelta(milliseconds=250)
# Limits on the rows of one answer, packed and unpacked, and on all answers together.
MAX_PACKED_BYTES = 2_000_000
MAX_ROW_BYTES = 16_000_000
MAX_BYTES_PER_SECOND = 4_000_000
SECOND = timedelta(seconds=1)

Send = Callable[[object], None]


@define(frozen=True)
class _PackedRows:
    """The content of an answer."""

    rows: tuple[OperatorRow, ...]


class OperatorExchange:
    """Keeps an instance's rows in step with those of the members that it hears.

    ``is_store_failing`` tells whether this instance cannot read the rows itself, so
    that it asks at once.
    """

    def __init__(
        self,
        published: PublishedInput,
        clock: Clock,
        is_store_failing: Callable[[], bool],
    ) -> None:
        self._published = published
        self._clock = clock
        self._is_store_failing = is_store_failing
        # The revision that this instance has stayed at, and since when it is behind.
        self._behind: tuple[int, timedelta] | None = None
        self._asked_at = timedelta.min
        self._packed: tuple[tuple[OperatorRow, ...], bytes] = ((), b"")
        self._sent_bytes = 0
        self._sent_since = timedelta.min

    def stamp(self, beat: Beat) -> Beat:
        """Return a heartbeat that also tells which rows this instance knows."""
        age = self._published.age
        return evolve(
            beat,
            operator_revision=self._published.rows.revision,
            operator_age=None if age is None else age.total_seconds(),
        )

    def handle(self, message: object, member: str, send: Send) -> None:
        """Handle a member's message if it concerns operators' rows."""
        match message:
            case Beat():
                self.hear(message, member, send)
            case AskOperatorRows():
                self.answer(message, member, send)
            case OperatorRowsSent():
                self.take(message, member)

    def hear(self, beat: Beat, member: str, send: Send) -> None:
        """Handle a member's heartbeat; ask that member if it knows newer rows."""
        own = self._published.rows.revision
        now = self._clock.monotonic()
        if beat.operator_revision <= own:
            is_same = beat.operator_revision == own
            if is_same and beat.operator_age is not None:
                self._published.confirm(now - beat.operator_age * SECOND)
            return
        if self._behind is None or self._behind[0] != own:
            self._behind = (own, now)
            logger.info(
                "newer configuration heard of",
                member=member,
                revision=beat.operator_revision,
                own_revision=own,
            )
        is_patient = now - self._behind[1] < ASK_DELAY and not self._is_store_failing()
        if is_patient or now < self._asked_at + ASK_INTERVAL:
            return
        self._asked_at = now
        logger.info(
            "newer configuration asked for",
            member=member,
            revision=beat.operator_revision,
            own_revision=own,
        )
        send(AskOperatorRows(self._published.rows.list_versions()))

    def answer(self, request: AskOperatorRows, member: str, send: Send) -> None:
        """Send a member the rows that it lacks, within the limits on answers."""
        rows = self._published.rows.list_newer(request.versions)
        if not rows:
            return
        packed = self._pack(rows)
        if not self._may_send(len(packed)):
            logger.warning(
                "configuration not sent to member", member=member, bytes=len(packed)
            )
            return
        logger.info("configuration sent to member", member=member, bytes=len(packed))
        send(OperatorRowsSent(packed))

    def take(self, message: OperatorRowsSent, member: str) -> None:
        """Take the rows that a member has sent, unless they cannot be read."""
        try:
            rows = _unpack(message.packed)
        except ValueError as error:
            logger.error(
                "configuration of member ignored", member=member, reason=str(error)
            )
            return
        self._published.take_from_member(rows, member)

    def _pack(self, rows: tuple[OperatorRow, ...]) -> bytes:
        """Return rows as they are sent; members that lag lack the same ones."""
        if self._packed[0] != rows:
            packed = zlib.compress(encode_message(_PackedRows(rows)), level=1)
            self._packed = (rows, packed)
        return self._packed[1]

    def _may_send(self, size: int) -> bool:
        """Tell whether an answer of a size is within the limits, and count it."""
        now = self._clock.monotonic()
        if now >= self._sent_since + SECOND:
            self._sent_since = now
            self._sent_bytes = 0
        if size > MAX_PACKED_BYTES or self._sent_bytes + size > MAX_BYTES_PER_SECOND:
            return False
        self._sent_bytes += size
        return True


def _unpack(packed: bytes) -> tuple[OperatorRow, ...]:
    """Return the rows of an answer; raises ``ValueError``."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_ROW_BYTES)
    except zlib.error as error:
        raise ValueError(f"the rows are not compressed: {error}") from error
    if not unpacker.eof:
        raise ValueError(f"the rows are cut off or exceed {MAX_ROW_BYTES} bytes")
    try:
        return decode_message(data, _PackedRows).rows
    except ValueError:
        # The error may quote the rows, which hold callers' keys.
        raise ValueError("the rows cannot be decoded") from None
