"""When the tasks of a worker that does not answer have surely stopped.

A worker stops an attempt whose lease lapses, and does nothing that an exchange asks
after its expiry. So the last lease that can still be granted begins when the latest
exchange expires, by the worker's wall clock, and lasts the lease's length by its
monotonic clock. The claims L2 and L4 of ``docs/design/ownership.md`` rest on this.
"""

from datetime import timedelta

from attrs import define, field


@define(frozen=True)
class LeaseTerms:
    """How leases of attempts are granted.

    ``length`` is what a renewal grants, ``delivery`` how long an exchange may be on
    its way before a worker refuses it, ``horizon`` how long an owner whose authority
    is not confirmed goes on renewing. ``clock_rate_bound`` is the largest relative
    difference between the rates of two clocks, ``clock_offset_bound`` the largest
    difference between two wall clocks.
    """

    lease_duration: timedelta = timedelta(seconds=15)
    delivery_timeout: timedelta = timedelta(seconds=5)
    horizon: timedelta = timedelta(hours=2)
    clock_rate_bound: float = 0.01
    clock_offset_bound: timedelta = timedelta(milliseconds=500)

    def add_clock_margin(self, duration: timedelta) -> timedelta:
        """Return how long to wait by this clock for a duration of another's."""
        return duration * (1 + self.clock_rate_bound)

    @property
    def time_to_lapse(self) -> timedelta:
        """How long after an exchange was sent its leases have surely lapsed.

        >>> LeaseTerms(clock_rate_bound=0.0).time_to_lapse
        datetime.timedelta(seconds=20, microseconds=500000)
        """
        return self.clock_offset_bound + self.add_clock_margin(
            self.delivery_timeout + self.lease_duration
        )


@define
class WorkerLeases:
    """The latest renewal that may have reached each worker, by monotonic time.

    ``taken_at`` is a moment after the claim of the shard took effect.
    ``previous_stopped_at`` is a moment at which the previous owner was known to renew
    no more, ``None`` while it may go on.
    """

    terms: LeaseTerms
    claimed_at: timedelta
    previous_owner_stopped_at: timedelta | None
    _renewed_at: dict[str, timedelta] = field(factory=dict)

    def record_renewal(self, worker: str, now: timedelta) -> None:
        """Note that an exchange with renewals is being sent."""
        self._renewed_at[worker] = now

    def record_previous_owner_stopped(self, now: timedelta) -> None:
        """Note evidence that the previous owner renews no more."""
        if self.previous_owner_stopped_at is None:
            self.previous_owner_stopped_at = now

    def find_lapse_time(self, worker: str) -> timedelta:
        """Return when all leases of a worker have surely lapsed."""
        own = self._renewed_at.get(worker, self.claimed_at)
        return max(own, self._find_previous_renewal()) + self.terms.time_to_lapse

    def _find_previous_renewal(self) -> timedelta:
        """Return the latest moment at which the previous owner may have renewed.

        Its authority was last confirmed before the claim; evidence that it stopped
        may come any time and only ever makes the moment earlier.
        """
        horizon = self.claimed_at + self.terms.add_clock_margin(self.terms.horizon)
        if self.previous_owner_stopped_at is None:
            return horizon
        return min(horizon, self.previous_owner_stopped_at)
