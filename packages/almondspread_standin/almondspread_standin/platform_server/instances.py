"""The list of live and leaving instances, as of some time ago."""

from datetime import timedelta

from attrs import define, evolve
from expression import Ok, Result

from almondspread.clock import Clock
from almondspread.interfaces import Instance, TableUnavailable


@define(frozen=True)
class _Change:
    """At ``moment`` the named instance became ``instance``, or went."""

    moment: timedelta
    name: str
    instance: Instance | None


class LaggingInstances:
    """Knows every instance at once and tells of each change only after ``lag``."""

    def __init__(self, clock: Clock, lag: timedelta = timedelta(0)) -> None:
        self.lag = lag
        self._clock = clock
        self._known: dict[str, Instance] = {}
        self._told: dict[str, Instance] = {}
        self._changes: list[_Change] = []

    def add(self, instance: Instance) -> None:
        """Add or replace an instance."""
        self._known[instance.name] = instance
        self._record(instance.name, instance)

    def mark_leaving(self, name: str) -> None:
        """Announce that an instance will be stopped."""
        self.add(evolve(self._known[name], leaving=True))

    def remove(self, name: str) -> None:
        """Remove an instance that is gone; an unknown one is ignored."""
        if self._known.pop(name, None) is not None:
            self._record(name, None)

    def find(self, name: str) -> Instance | None:
        """Return an instance as it is now, whatever the list tells."""
        return self._known.get(name)

    def tell_all(self) -> None:
        """Make every change so far visible at once."""
        self._told = dict(self._known)
        self._changes.clear()

    async def list(self) -> Result[list[Instance], TableUnavailable]:
        """Return the instances as they were ``lag`` ago."""
        visible_until = self._clock.monotonic() - self.lag
        later: list[_Change] = []
        for change in self._changes:
            if change.moment > visible_until:
                later.append(change)
                continue
            if change.instance is None:
                self._told.pop(change.name, None)
                continue
            self._told[change.name] = change.instance
        self._changes = later
        return Ok(list(self._told.values()))

    def _record(self, name: str, instance: Instance | None) -> None:
        """Note a change that becomes visible after the lag."""
        self._changes.append(_Change(self._clock.monotonic(), name, instance))
