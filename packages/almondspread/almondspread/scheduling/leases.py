"""When the tasks of a worker that does not answer have surely stopped.

A worker stops an attempt whose lease lapses. An exchange carries the moment after
which a worker refuses it, so the last lease that can still be granted ends at that
moment plus the lease's length, stretched by the bound on how far clocks drift.
"""

from datetime import timedelta

from attrs import define, field


@define(frozen=True)
class LeaseTerms:
    """How leases of attempts are granted.

    ``length`` is what a renewal grants, ``delivery`` how long an exchange may be on
    its way before a worker refuses it, ``horizon`` how long an owner that cannot
    reach the table service goes on renewing, ``clock_rate_bound`` the largest
    relative difference between the rates of two clocks.
    """

    length: timedelta = timedelta(seconds=15)
    delivery: timedelta = timedelta(seconds=5)
    horizon: timedelta = timedelta(hours=2)
    clock_rate_bound: float = 0.01

    def stretch(self, duration: timedelta) -> timedelta:
        """Return how long to wait by this clock for a duration of another's."""
        return duration * (1 + self.clock_rate_bound)


@define
class WorkerLeases:
    """The latest renewal that may have reached each worker, by monotonic time."""

    terms: LeaseTerms
    taken_at: timedelta
    previous_owner_stopped: bool = True
    _renewed: dict[str, timedelta] = field(factory=dict)

    def note_renewal(self, worker: str, now: timedelta) -> None:
        """Note that an exchange with renewals is being sent."""
        self._renewed[worker] = now

    def find_lapse(self, worker: str) -> timedelta:
        """Return when all leases of a worker have surely lapsed."""
        last = max(self._renewed.get(worker, self.taken_at), self._previous_renewal())
        return last + self.terms.stretch(self.terms.length + self.terms.delivery)

    def _previous_renewal(self) -> timedelta:
        """Return the latest moment at which the previous owner may have renewed."""
        if self.previous_owner_stopped:
            return self.taken_at
        return self.taken_at + self.terms.stretch(self.terms.horizon)
