"""Which failure domains are gone, so that others look after their shards.

The platform takes an instance off its list only once it has ended. A domain of which
the list has had no entry and no worker for some time therefore runs nothing and has
nobody to say so: an entry of another domain takes its scheduling shards over, finds
their leases lapsed, and sends the tasks to shards that have workers.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from almondspread.clock import Clock
from almondspread.interfaces import Instance

SERVING_ROLES = ("entry", "worker")


class DomainMonitor:
    """Knows since when the list has had nothing of each failure domain."""

    def __init__(
        self, domains: Iterable[str], clock: Clock, gone_after: timedelta
    ) -> None:
        self._domains = tuple(domains)
        self._clock = clock
        self._gone_after = gone_after
        self._missing_since: dict[str, timedelta] = {}
        self._listed: Mapping[str, Instance] | None = None

    def update(self, listed: Mapping[str, Instance]) -> None:
        """Take in the platform's list as it was read last, by name."""
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
        """Tell whether a domain has been missing for long enough."""
        since = self._missing_since.get(domain)
        if since is None:
            return False
        return self._clock.monotonic() - since >= self._gone_after
