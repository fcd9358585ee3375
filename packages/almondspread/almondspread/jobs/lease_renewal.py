"""How far the leases of the runs of one upstream are renewed."""

from datetime import timedelta

from almondspread.jobs.leases import LEASE_EXPIRY_MARGIN, MAX_CLOCK_DRIFT_FACTOR


class LeaseRenewal:
    """The leases that an agent has renewed, and may renew, by the local clock.

    ``expiry`` is when all of them have certainly expired. An earlier agent may have
    renewed them just before this one began, and others for ``left``. Once the upstream
    has answered, of the others only the leases of ``orphaned_left`` can be longer than
    one from then, where that is known. None is renewed beyond ``renewable_until``,
    which moves on with the leader's own lease; it is ``None`` under a leader that does
    not tell. Once the upstream ``has_restarted``, a late start may hold a lease in its
    next incarnation of which nothing is known here.

    >>> leases = LeaseRenewal(timedelta(seconds=6), timedelta(seconds=100))
    >>> leases.set_limit(timedelta(seconds=107))
    >>> leases.choose_lease(timedelta(seconds=105)).total_seconds()
    2.0
    """

    def __init__(
        self,
        lease: timedelta,
        now: timedelta,
        left: timedelta = timedelta(0),
        orphaned_left: timedelta | None = None,
        renewable_until: timedelta | None = None,
    ) -> None:
        self._lease = lease
        self._renewable_until = renewable_until
        self._orphaned_until = None if orphaned_left is None else now + orphaned_left
        self._limit: timedelta | None = None
        self.has_restarted = False
        self.expiry = max(self._compute_expiry(now, lease), now + left)

    def set_limit(self, limit: timedelta) -> None:
        """Renew no lease beyond a time; of several limits, the earliest holds."""
        if self._limit is None or limit < self._limit:
            self._limit = limit

    def lift_limit(self) -> None:
        """Renew leases without a limit again."""
        self._limit = None

    def begin_bound(self, now: timedelta) -> None:
        """Renew nothing before the leader tells how long its lease lasts."""
        if self._renewable_until is None:
            self._renewable_until = now

    def end_bound(self) -> None:
        """Renew leases without regard to that of the leader, which does not tell it."""
        self._renewable_until = None

    def extend(self, renewable_until: timedelta) -> None:
        """Renew leases up to a time, as the leader's own lease lasts until later."""
        if self._renewable_until is not None:
            self._renewable_until = max(self._renewable_until, renewable_until)

    def choose_lease(self, now: timedelta) -> timedelta | None:
        """Return for how long to renew the leases, ``None`` beyond the limit."""
        left = self._lease
        for limit in (self._limit, self._renewable_until):
            if limit is not None:
                left = min(left, limit - now)
        return left if left > timedelta(0) else None

    def may_grant(self, now: timedelta, lease: timedelta) -> bool:
        """Tell whether a start may grant a lease now, as the leader's own lasts."""
        return self._renewable_until is None or now + lease <= self._renewable_until

    def record_first_answer(self, now: timedelta) -> None:
        """Record the first answer: the upstream refuses earlier leaders from now on."""
        if self._orphaned_until is not None:
            expiry = self._compute_expiry(now, self._lease)
            self.expiry = max(expiry, self._orphaned_until)

    def record_renewal(self, now: timedelta) -> None:
        """Record that a call is sent that renews the leases, as far as is allowed."""
        lease = self.choose_lease(now)
        if lease is not None:
            self.expiry = max(self.expiry, self._compute_expiry(now, lease))

    def record_start(self, now: timedelta, lease: timedelta) -> None:
        """Record that a start is sent, which grants the upstream's runs a lease."""
        self.expiry = max(self.expiry, self._compute_expiry(now, lease))

    @staticmethod
    def _compute_expiry(now: timedelta, lease: timedelta) -> timedelta:
        """Return when a lease that is granted now has certainly expired."""
        return now + lease * MAX_CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN
