"""What an instance needs to know to run jobs."""

from datetime import timedelta

from attrs import define

# Longer leases keep the tasks of a crashed upstream waiting.
MAX_LEASE = timedelta(seconds=6)


@define(frozen=True)
class JobSettings:
    """Identity, addresses and time limits of one instance.

    ``lease`` is how long runs live without being held; ``longest_hold`` the most that
    an upstream grants. ``grace`` is the time between SIGTERM and SIGKILL. Peers connect
    to ``peer_address``; where that is translated on the way, ``peer_listen_address`` is
    the one to listen at.
    """

    instance: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    cores: float
    longest_hold: timedelta
    stop_timeout: timedelta
    status_retention: timedelta
    grace: timedelta
    peer_listen_address: str = ""

    @property
    def lease(self) -> timedelta:
        """How long runs live without being held."""
        return min(self.longest_hold, MAX_LEASE)
