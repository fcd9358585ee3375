"""Computation of when all leases of an unresponsive worker have lapsed.

A worker stops an attempt whose lease lapses, and ignores an exchange that it receives
after the exchange has expired. The last lease that a worker can still be granted
therefore begins when the latest exchange expires, by the worker's wall clock, and
lasts for the lease duration, by the worker's monotonic clock. Claims L2 and L4 of
``docs/design/ownership.md`` depend on this.
"""

from datetime import timedelta

from attrs import define, field


@define(frozen=True)
class LeaseTerms:
    """The durations and clock bounds that apply to leases of attempts.

    ``lease_duration`` is the duration that a renewal grants, ``delivery_timeout`` the
    age at which a worker rejects an exchange, ``horizon`` how long an owner
    continues to renew leases after its authority was last confirmed.
    ``clock_rate_bound`` is the largest relative difference between the rates of two
    clocks, ``clock_offset_bound`` the largest offset between two wall clocks.
    """

    lease_duration: timedelta = timedelta(seconds=15)
    delivery_timeout: timedelta = timedelta(seconds=5)
    horizon: timedelta = timedelta(hours=2)
    clock_rate_bound: float = 0.01
    clock_offset_bound: timedelta = timedelta(milliseconds=500)

    def add_clock_margin(self, duration: timedelta) -> timedelta:
        """Return the local time to wait for a duration on another machine's clock."""
        return duration * (1 + self.clock_rate_bound)

    @property
    def time_to_lapse(self) -> timedelta:
        """The time after sending an exchange until all its leases have lapsed.

        >>> LeaseTerms(clock_rate_bound=0.0).time_to_lapse
        datetime.timedelta(seconds=20, microseconds=500000)
        """
        return self.clock_offset_bound + self.add_clock_margin(
            self.delivery_timeout + self.lease_duration
        )


@define
class WorkerLeases:
    """The latest renewals that may have reached each worker, in monotonic time.

    ``claimed_at`` is a time after the claim of the shard took effect.
    ``previous_owner_stopped_at`` is a time by which the previous owner is known to
    have stopped renewing leases, ``None`` while it may still renew them.
    """

    terms: LeaseTerms
    claimed_at: timedelta
    previous_owner_stopped_at: timedelta | None
    _renewed_at: dict[str, timedelta] = field(factory=dict)

    def record_renewal(self, worker: str, now: timedelta) -> None:
        """Record that an exchange with renewals is being sent to a worker."""
        self._renewed_at[worker] = now

    def record_previous_owner_stopped(self, now: timedelta) -> None:
        """Record that the previous owner has stopped; only the first call counts."""
        if self.previous_owner_stopped_at is None:
            self.previous_owner_stopped_at = now

    def find_lapse_time(self, worker: str) -> timedelta:
        """Return the time by which all leases of a worker have certainly lapsed."""
        renewed_at = self._renewed_at.get(worker, self.claimed_at)
        return max(renewed_at, self._find_previous_renewal()) + self.terms.time_to_lapse

    def _find_previous_renewal(self) -> timedelta:
        """Return the latest time at which the previous owner may have renewed leases.

        The previous owner's authority was last confirmed before the claim, so the
        horizon limits its renewals. Evidence that it has stopped may arrive at any
        time and can only make the result earlier.
        """
        horizon = self.claimed_at + self.terms.add_clock_margin(self.terms.horizon)
        if self.previous_owner_stopped_at is None:
            return horizon
        return min(horizon, self.previous_owner_stopped_at)
