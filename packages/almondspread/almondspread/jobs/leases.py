"""Who leads the cell: the rules of the leader's row in the store."""

from datetime import timedelta

from attrs import define

LEADER_LEASE = timedelta(milliseconds=1_200)
# A leader that is heard is left only when its lease ran out so long ago.
LIVE_LEADER_GRACE = timedelta(milliseconds=1_500)
# How far two readings of the store's clock may be apart.
MAX_CLOCK_SKEW = timedelta(milliseconds=200)
# Without the store, a leader goes on with what it knows for so long.
LEADER_GRACE = timedelta(seconds=6)
# Without a leader, an executor goes on holding leases for so long.
EXECUTOR_GRACE = timedelta(seconds=3)
# A closed link is noticed this late at the most.
LINK_FAILURE_DETECTION_TIME = timedelta(milliseconds=1_600)
# Upstreams' clocks may be this much slow, so that leases last longer.
MAX_CLOCK_DRIFT_FACTOR = 1.02


@define(frozen=True)
class LeaderRow:
    """The leader that the store names.

    ``renewed`` is seconds of the store's steady clock. ``renewal`` numbers the writes
    of one incarnation. ``released`` is set by a leader that has stepped down. No leader
    has started anything of a job that was stored after version ``started_version``.
    """

    epoch: int
    instance: str
    incarnation: str
    address: str
    renewed: float
    renewal: int = 0
    released: bool = False
    started_version: int = 0


def is_expired(row: LeaderRow | None, store_time: timedelta) -> bool:
    """Tell whether another instance may claim the leadership.

    >>> row = LeaderRow(1, "entry-1", "a", "10.0.0.1:7000", renewed=10.0)
    >>> is_expired(row, timedelta(seconds=11)), is_expired(row, timedelta(seconds=13))
    (False, True)
    """
    if row is None or row.released:
        return True
    return store_time > timedelta(seconds=row.renewed) + LEADER_LEASE + MAX_CLOCK_SKEW


def has_failed_to_renew(row: LeaderRow | None, store_time: timedelta) -> bool:
    """Tell whether a leader that is heard should be left all the same.

    Where the store is slow, a renewal may come late; a leader whom the store does not
    serve resigns by itself.

    >>> row = LeaderRow(1, "entry-1", "a", "10.0.0.1:7000", renewed=10.0)
    >>> has_failed_to_renew(row, timedelta(seconds=12)), has_failed_to_renew(row, timedelta(seconds=13))
    (False, True)
    """
    return is_expired(row, store_time - LIVE_LEADER_GRACE)


def compute_orphaned_lease_time(lease: timedelta) -> timedelta:
    """Return how long runs may live whose executor is no longer heard.

    It may not know yet that it is cut off, and then goes on for its grace.
    """
    return (
        LINK_FAILURE_DETECTION_TIME
        + EXECUTOR_GRACE
        + lease * MAX_CLOCK_DRIFT_FACTOR
        + MAX_CLOCK_SKEW
    )


def compute_inherited_lease_time(lease: timedelta) -> timedelta:
    """Return how long after a claim runs of an earlier leader may live unseen.

    The earlier leader may work on for its grace, and its executors for theirs.
    """
    return LEADER_GRACE + compute_orphaned_lease_time(lease)
