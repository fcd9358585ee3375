"""Exact conversion between times of day and milliseconds since 1970."""

from datetime import UTC, datetime, timedelta

UNIX_EPOCH = datetime.fromtimestamp(0, UTC)
MILLISECOND = timedelta(milliseconds=1)


def from_unix_ms(milliseconds: int) -> datetime:
    """Return the time of a number of milliseconds since 1970.

    Raises ``OverflowError`` beyond the year 9999.

    >>> from_unix_ms(1_500)
    datetime.datetime(1970, 1, 1, 0, 0, 1, 500000, tzinfo=datetime.timezone.utc)
    """
    return UNIX_EPOCH + milliseconds * MILLISECOND


def to_unix_ms(time: datetime) -> int:
    """Return the whole milliseconds from 1970 to a time.

    >>> to_unix_ms(from_unix_ms(1_767_000_000_001))
    1767000000001
    """
    return (time - UNIX_EPOCH) // MILLISECOND
