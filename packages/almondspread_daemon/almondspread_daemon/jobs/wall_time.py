"""The time of day, estimated by the clocks of all members.

The time of day of a machine may jump by minutes and back again. Times at which jobs are
due are therefore compared with the median of all members' clocks, which no minority of
them can move.
"""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

from almondspread.clock import Clock
from almondspread_daemon.jobs.members import Member

UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# By this time of day nothing is due.
NO_OCCURRENCE_DUE = datetime.min.replace(tzinfo=UTC)
# One clock that has jumped is outvoted by so many readings.
MIN_READINGS = 3
# The members that a new leader has tell their time within this time.
READING_PATIENCE = timedelta(seconds=1)


def measure_offset(unix_seconds: float | None, now: timedelta) -> timedelta | None:
    """Return by how much a wall-clock time is ahead of the local monotonic time.

    The result is ``None`` if the time is not known.
    """
    if unix_seconds is None:
        return None
    return timedelta(seconds=unix_seconds) - now


def estimate_wall_time(
    members: Iterable[Member], own: str, clock: Clock, epoch_age: timedelta
) -> datetime:
    """Return the median time of day of the members, with the own clock read anew.

    Of two middle readings the earlier one counts, so that nothing starts too early.
    ``own`` is the name of this instance, which sends itself no heartbeats. A leader
    whose epoch is young waits for the clocks of others: until it has enough of them,
    ``NO_OCCURRENCE_DUE`` is returned.

    >>> from almondspread.clock import ManualClock
    >>> clock = ManualClock()
    >>> estimate_wall_time([], "entry-1", clock, READING_PATIENCE) == clock.now()
    True
    >>> estimate_wall_time([], "entry-1", clock, timedelta(0)) == NO_OCCURRENCE_DUE
    True
    """
    now = clock.monotonic()
    offsets = [clock.now() - UNIX_EPOCH - now]
    for member in members:
        if member.instance != own and member.wall_offset is not None:
            offsets.append(member.wall_offset)
    if len(offsets) < MIN_READINGS and epoch_age < READING_PATIENCE:
        return NO_OCCURRENCE_DUE
    offsets.sort()
    return UNIX_EPOCH + offsets[(len(offsets) - 1) // 2] + now
