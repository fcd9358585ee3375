"""Detection of lost failure domains, whose scheduling shards other domains take over.

The platform removes an instance from its list only after the instance has ended. If
the list has had no entry and no worker of a domain for some time, no task runs in that
domain, and the domain has no instance left to report this. An entry of another domain
then takes over the scheduling shards of the lost domain, finds that their leases have
expired, and transfers the tasks to shards that have workers.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from almondspread.clock import Clock
from almondspread.interfaces import Instance

SERVING_ROLES = ("entry", "worker")


class DomainMonitor:
    """Tracks since when the platform's list has had no instance of each domain.

    Only instances with a role in ``SERVING_ROLES`` count. A domain is gone once it has
    been missing from the list for ``gone_after``.
    """

    def __init__(
        self, domains: Iterable[str], clock: Clock, gone_after: timedelta
    ) -> None:
        self._domains = tuple(domains)
        self._clock = clock
        self._gone_after = gone_after
        self._missing_since: dict[str, timedelta] = {}
        self._listed: Mapping[str, Instance] | None = None

    def update(self, listed: Mapping[str, Instance]) -> None:
        """Update the state from the platform's latest list of instances, by name."""
        if listed is self._listed:
            return
        self._listed = listed
        present = set()
        for instance in listed.values():
            if instance.role in SERVING_ROLES:
                present.add(instance.failure_domain)
        now = self._clock.monotonic()
        for domain in self._domains:
            if domain in present:
                self._missing_since.pop(domain, None)
            else:
                self._missing_since.setdefault(domain, now)

    def is_gone(self, domain: str) -> bool:
        """Tell whether a domain has been missing for ``gone_after`` or longer."""
        since = self._missing_since.get(domain)
        if since is None:
            return False
        return self._clock.monotonic() - since >= self._gone_after
