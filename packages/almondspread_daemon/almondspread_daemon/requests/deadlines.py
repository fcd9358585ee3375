"""Maximum deadlines of requests, by service and kind."""

from datetime import timedelta

from almondspread.changes import ResourceCache
from almondspread.requests.kinds import LOOKUP
from almondspread.resources import RequestService
from almondspread_daemon.settings import RequestSettings


class DeadlineLimits:
    """Looks up how far in the future the deadline of a request may lie.

    A declared service sets its own limits; the settings apply to all others.
    """

    def __init__(self, settings: RequestSettings, cache: ResourceCache) -> None:
        self._settings = settings
        self._cache = cache

    def get_max_seconds(self, service: str, kind: str) -> float:
        """Return the longest deadline that a service accepts for a kind, in seconds."""
        item = self._cache.find("request-service", service)
        limits = item.resource if item else None
        if not isinstance(limits, RequestService):
            return self._get_default_seconds(kind)
        if kind == LOOKUP:
            return limits.lookup_deadline_seconds
        return limits.call_deadline_seconds

    def _get_default_seconds(self, kind: str) -> float:
        """Return the limit from the settings, in seconds."""
        if kind == LOOKUP:
            return self._settings.lookup_deadline_seconds
        return self._settings.call_deadline_seconds

    def get_max_duration(self, kind: str) -> timedelta:
        """Return the longest deadline accepted for a kind by any service."""
        longest = self._get_default_seconds(kind)
        for item in self._cache.list_items("request-service"):
            longest = max(longest, self.get_max_seconds(item.name, kind))
        return timedelta(seconds=longest)
