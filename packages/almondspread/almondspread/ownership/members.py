"""What one instance knows of the others, from their heartbeats and the list."""

from datetime import timedelta

from attrs import define, evolve


@define(frozen=True)
class Member:
    """Another instance as its latest heartbeat told.

    ``incarnation`` differs for each process that had the name. ``heard`` is this
    instance's monotonic time at that heartbeat. ``shards`` maps those that the
    member owns to their epochs; ``fault`` tells why it cannot advance its revision.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    heard: timedelta
    ready: bool = False
    leaving: bool = False
    revision: int = 0
    shards: dict[str, int] = {}
    fault: str = ""
    listed_gone: bool = False


class Members:
    """The instances that this one has heard of.

    A member is live while its latest heartbeat is younger than ``suspect_after`` and
    the platform's list does not say that it is gone.
    """

    def __init__(self, suspect_after: timedelta) -> None:
        self._suspect_after = suspect_after
        self._members: dict[str, Member] = {}

    def hear(self, member: Member) -> None:
        """Take in a heartbeat, unless it is older than what is known."""
        known = self._members.get(member.name)
        if known is not None and known.heard > member.heard:
            return
        self._members[member.name] = member

    def mark_gone(self, name: str) -> None:
        """Note that the platform's list says that an instance is gone."""
        known = self._members.get(name)
        if known is not None:
            self._members[name] = evolve(known, listed_gone=True)

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def list_all(self) -> list[Member]:
        """Return every member that was ever heard of."""
        return list(self._members.values())

    def list_live(self, now: timedelta) -> list[Member]:
        """Return the members that count as live at a monotonic time."""
        live = []
        for member in self._members.values():
            if member.listed_gone or now - member.heard > self._suspect_after:
                continue
            live.append(member)
        return live

    def find_owner(self, shard: str, now: timedelta) -> Member | None:
        """Return the live member that owns a shard under the highest epoch."""
        best = None
        for member in self.list_live(now):
            epoch = member.shards.get(shard)
            if epoch is None:
                continue
            if best is None or epoch > best.shards[shard]:
                best = member
        return best
