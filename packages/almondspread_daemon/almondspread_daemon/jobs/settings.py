"""What an instance needs to know to run jobs."""

from datetime import timedelta

from attrs import define

# Longer leases keep the tasks of a crashed upstream waiting.
MAX_LEASE = timedelta(seconds=6)
# The claims of large machines have all arrived within this time.
MAX_CLAIM_DELAY = timedelta(milliseconds=700)
# A machine of this size leads a cell of a few hundred upstreams.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 100.0


@define(frozen=True)
class JobSettings:
    """Identity, addresses, size and time limits of one instance.

    ``cores`` may be a part of one, ``link_mbps`` is the speed of its link in Mbit/s.
    ``lease`` is how long runs live without being held; ``longest_hold`` the most that
    an upstream grants. ``grace`` is the time between SIGTERM and SIGKILL. Peers connect
    to ``peer_address``; where that is translated on the way, ``peer_listen_address`` is
    the one to listen at. A machine is down for ``maintenance_time``; a new leader
    leaves machines alone for the ``handover_pause``.
    """

    instance: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    cores: float
    link_mbps: float
    max_hold: timedelta
    stop_timeout: timedelta
    status_retention: timedelta
    shutdown_grace: timedelta
    peer_listen_address: str = ""
    maintenance_duration: timedelta = timedelta(0)
    handover_delay: timedelta = timedelta(0)

    @property
    def strength(self) -> float:
        """How fit the machine is to lead, from 0 to 1."""
        return min(1.0, self.cores / LEADER_CORES, self.link_mbps / LEADER_LINK_MBPS)

    @property
    def claim_delay(self) -> timedelta:
        """How long the claim to the leadership is left to larger machines."""
        return MAX_CLAIM_DELAY * (1.0 - self.strength)

    @property
    def lease(self) -> timedelta:
        """How long runs live without being held."""
        return min(self.max_hold, MAX_LEASE)
