"""Settings of an instance that runs jobs."""

from datetime import timedelta

from attrs import define

from almondspread.jobs.apply_budget import ApplyBudget
from almondspread.jobs.store_limits import DEFAULT_LIMITS, StoreLimits
from almondspread_daemon.incoming_streams import (
    DEFAULT_LIMITS as DEFAULT_STREAM_LIMITS,
)
from almondspread_daemon.incoming_streams import StreamLimits

# A crashed upstream's tasks restart only after their leases have expired, so longer
# leases delay them.
MAX_LEASE = timedelta(seconds=6)
# Within this time the claims of all large machines have reached the store.
MAX_CLAIM_DELAY = timedelta(milliseconds=700)
# A machine of this size can lead a cell of a few hundred upstreams.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 100.0
# A start reaches its upstream within this time after it was decided.
START_DELIVERY_TIME = timedelta(milliseconds=500)


@define(frozen=True)
class KeyCheckSettings:
    """How callers' keys are checked while the configuration may be out of date.

    With ``fail_closed``, requests that need a key are refused once the configuration
    has not been known to be the newest for ``revoke_time``.
    """

    fail_closed: bool = False
    revoke_time: timedelta = timedelta(seconds=5)


@define(frozen=True)
class JobSettings:
    """Identity, addresses, size and time limits of one instance.

    ``cores`` may be fractional, and ``link_mbps`` is the speed of the network link in
    Mbit/s. ``upstream_max_lease`` is the longest lease that an upstream grants.
    ``shutdown_grace`` is the time between SIGTERM and SIGKILL. Peers connect to
    ``peer_address``; if that address is translated on the way, the instance listens at
    ``peer_listen_address`` instead. Maintenance takes a machine down for
    ``maintenance_duration``. A new leader starts no maintenance for
    ``handover_delay``. Starts must follow a change of an upstream's entry within
    ``entry_notice``. The store takes rows and calls within ``store_limits``.
    ``apply_budget`` bounds the time until a configuration is in force. ``contacts`` are
    peer addresses of other instances, which may be out of date. Tasks take
    ``remote_factor`` times as long on another rack than that of their data, where 1
    makes no task wait for a near place. ``peer_limits`` are on the links that other
    instances open.
    """

    instance: str
    failure_domain: str
    caller_address: str
    readiness_address: str
    peer_address: str
    cores: float
    link_mbps: float
    upstream_max_lease: timedelta
    stop_timeout: timedelta
    status_retention: timedelta
    shutdown_grace: timedelta
    peer_listen_address: str = ""
    maintenance_duration: timedelta = timedelta(0)
    handover_delay: timedelta = timedelta(0)
    entry_notice: timedelta = timedelta(seconds=3)
    store_limits: StoreLimits = DEFAULT_LIMITS
    apply_budget: ApplyBudget = ApplyBudget()
    contacts: tuple[str, ...] = ()
    key_check: KeyCheckSettings = KeyCheckSettings()
    remote_factor: float = 1.0
    peer_limits: StreamLimits = DEFAULT_STREAM_LIMITS

    @property
    def strength(self) -> float:
        """The suitability of the machine to lead, from 0 to 1."""
        return min(1.0, self.cores / LEADER_CORES, self.link_mbps / LEADER_LINK_MBPS)

    @property
    def claim_delay(self) -> timedelta:
        """The delay before claiming leadership, longer on smaller machines."""
        return MAX_CLAIM_DELAY * (1.0 - self.strength)

    @property
    def max_entry_age(self) -> timedelta:
        """How old an upstream's entry may be when a start is decided."""
        return self.entry_notice - START_DELIVERY_TIME

    @property
    def lease(self) -> timedelta:
        """The time after which runs stop unless their lease is renewed."""
        return min(self.upstream_max_lease, MAX_LEASE)
