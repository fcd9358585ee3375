"""What one instance knows of the others, from their heartbeats and the list."""

import uuid
from datetime import datetime, timedelta

from attrs import define, evolve


def make_incarnation(started: datetime) -> str:
    """Return a name for a process that sorts after those of earlier ones.

    >>> from datetime import UTC
    >>> first = make_incarnation(datetime(2026, 1, 1, tzinfo=UTC))
    >>> first < make_incarnation(datetime(2026, 1, 2, tzinfo=UTC))
    True
    """
    milliseconds = int(started.timestamp() * 1000)
    return f"{milliseconds:012x}-{uuid.uuid4().hex}"


MAX_MISSED_HEARTBEATS = 3


@define(frozen=True)
class Member:
    """Another instance as its latest heartbeat told.

    ``incarnation`` differs for each process that had the name, and a later one sorts
    after an earlier one. ``heard`` is this instance's monotonic time at that
    heartbeat, ``interval`` how soon it promised the next. ``shards`` maps those that
    the member owns to their epochs; ``fault`` tells why it cannot advance its revision.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    heard_at: timedelta
    ready: bool = False
    leaving: bool = False
    revision: int = 0
    shards: dict[str, int] = {}
    fault: str = ""
    unlisted: bool = False
    interval: timedelta = timedelta(0)


class Members:
    """The instances that this one has heard of.

    A member is live while its latest heartbeat is younger than ``suspect_after``, or
    than a few of the intervals that it promised, and the platform's list does not say
    that it is gone.
    """

    def __init__(self, suspect_after: timedelta) -> None:
        self._suspect_after = suspect_after
        self._members: dict[str, Member] = {}
        self._unlisted: set[tuple[str, str]] = set()

    def record_heartbeat(self, member: Member) -> None:
        """Take in a heartbeat, unless it is older than what is known."""
        known = self._members.get(member.name)
        if known is not None:
            if (
                known.incarnation > member.incarnation
                or known.heard_at > member.heard_at
            ):
                return
        self._members[member.name] = member

    def mark_unlisted(self, name: str, address: str) -> None:
        """Note that the platform's list has no instance of a name at an address."""
        known = self._members.get(name)
        if known is None or known.address != address:
            return
        self._unlisted.add((name, known.incarnation))
        self._members[name] = evolve(known, unlisted=True)

    def has_ended(
        self, name: str, incarnation: str, address: str, now: timedelta
    ) -> bool:
        """Tell whether there is evidence that a process acts no more.

        Either the list has it no longer and it is silent, or a later process has its
        address, whose listener no two processes can hold. Silence alone is none.
        """
        known = self._members.get(name)
        if known is None:
            return False
        if known.incarnation > incarnation and known.address == address:
            return True
        if (name, incarnation) not in self._unlisted:
            return False
        return known.incarnation != incarnation or self._is_silent(known, now)

    def _is_silent(self, member: Member, now: timedelta) -> bool:
        """Tell whether a member's next heartbeats are overdue."""
        patience = max(self._suspect_after, member.interval * MAX_MISSED_HEARTBEATS)
        return now - member.heard_at > patience

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
            if member.unlisted or self._is_silent(member, now):
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
