"""Leader election: the lease in the leader's row of the store, and its expiry."""

from datetime import timedelta

from attrs import define

LEADER_LEASE = timedelta(milliseconds=1_200)
# A leader that still sends heartbeats is deposed this long after its lease expired.
LIVE_LEADER_GRACE = timedelta(milliseconds=1_500)
# The maximum difference between two readings of the store's clock.
MAX_CLOCK_SKEW = timedelta(milliseconds=200)
# A leader that cannot reach the store continues with its known state for this time.
LEADER_GRACE = timedelta(seconds=6)
# An executor that has lost its leader continues to renew leases for this time, but to
# no later than one lease after the loss.
EXECUTOR_GRACE = timedelta(seconds=3)
# The maximum time in which a broken link between instances is detected.
LINK_FAILURE_DETECTION_TIME = timedelta(milliseconds=1_600)
# Upstreams grant no longer leases than this, unless the platform's settings say so.
DEFAULT_MAX_LEASE = timedelta(seconds=10)
LEASE_EXPIRY_MARGIN = timedelta(milliseconds=300)
# An upstream's clock may run slower by this factor, which prolongs its leases.
MAX_CLOCK_DRIFT_FACTOR = 1.02


@define(frozen=True)
class LeaderRow:
    """The current leader, as the store records it.

    ``renewed`` is the time of the last renewal, in seconds of the store's monotonic
    clock, and ``renewal`` counts the writes of one incarnation. A leader that
    releases its leadership sets ``released``; a leader that resigns writes nothing. No
    leader has started a task of a job that was stored after version
    ``started_version``.

    If it ``bounds_leases``, all its executors renew leases at full length only as long
    as its own lease holds. Those that were renewed in earlier epochs have expired at
    ``inherited_leases_until``, in seconds of the store's clock, where that is not 0.
    """

    epoch: int
    instance: str
    incarnation: str
    address: str
    renewed: float
    renewal: int = 0
    released: bool = False
    started_version: int = 0
    bounds_leases: bool = False
    inherited_leases_until: float = 0.0


def is_expired(row: LeaderRow | None, store_time: timedelta) -> bool:
    """Tell whether the leader's lease has ended, so that another instance may claim it.

    >>> row = LeaderRow(1, "entry-1", "a", "10.0.0.1:7000", renewed=10.0)
    >>> is_expired(row, timedelta(seconds=11)), is_expired(row, timedelta(seconds=13))
    (False, True)
    """
    if row is None or row.released:
        return True
    return store_time > timedelta(seconds=row.renewed) + LEADER_LEASE + MAX_CLOCK_SKEW


def has_failed_to_renew(row: LeaderRow | None, store_time: timedelta) -> bool:
    """Tell whether to depose a leader that still sends heartbeats.

    A slow store delays renewals, so the leader gets some grace. A leader that cannot
    reach the store resigns by itself.

    >>> row = LeaderRow(1, "entry-1", "a", "10.0.0.1:7000", renewed=10.0)
    >>> has_failed_to_renew(row, timedelta(seconds=12))
    False
    >>> has_failed_to_renew(row, timedelta(seconds=13))
    True
    """
    return is_expired(row, store_time - LIVE_LEADER_GRACE)


def compute_orphaned_lease_time(
    lease: timedelta, *, is_limited: bool = True
) -> timedelta:
    """Return how long runs may live after the leader has lost their executor.

    The executor may detect the broken link late. From then on it renews no lease beyond
    one ``lease``, which runs on the upstream's clock. One of an earlier release, which
    is not ``is_limited`` so, renews leases at full length for its grace.
    """
    time = LINK_FAILURE_DETECTION_TIME + lease * MAX_CLOCK_DRIFT_FACTOR + MAX_CLOCK_SKEW
    return time if is_limited else time + EXECUTOR_GRACE


def compute_inherited_lease_time(lease: timedelta) -> timedelta:
    """Return how long after a claim leases of a leader may last that bounds none.

    It may continue for its grace time, and then its executors, of which nothing is
    known, for theirs.
    """
    return LEADER_GRACE + compute_orphaned_lease_time(lease, is_limited=False)


def compute_inherited_expiry(
    row: LeaderRow | None, version: int, store_time: timedelta, lease: timedelta
) -> timedelta:
    """Return when all leases have expired that leaders up to that of a row left.

    Both times are of the store's clock; ``store_time`` is that of the next claim. There
    was no leader before if the row's ``version`` is 0; a row that cannot be read is
    ``None`` as well, and tells nothing.

    >>> row = LeaderRow(1, "entry-1", "a", "10.0.0.1:7000", 10.0, bounds_leases=True)
    >>> lease = timedelta(seconds=6)
    >>> compute_inherited_expiry(row, 7, timedelta(seconds=12), lease).total_seconds()
    17.62
    """
    if version == 0:
        return store_time
    if row is None or not row.bounds_leases:
        return store_time + compute_inherited_lease_time(lease)
    earlier = timedelta(seconds=row.inherited_leases_until)
    last_renewal = timedelta(seconds=row.renewed) + LEADER_LEASE
    return max(earlier, last_renewal + compute_longest_lease_time(lease))


def compute_longest_lease_time(max_lease: timedelta) -> timedelta:
    """Return how long the longest lease may last that an upstream has just granted."""
    return max_lease * MAX_CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN
