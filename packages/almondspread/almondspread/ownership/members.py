"""State of the other instances, from heartbeats and the platform's instance list."""

import uuid
from datetime import datetime, timedelta

from attrs import define, evolve


def make_incarnation(started: datetime) -> str:
    """Return a unique ID of a process that sorts after the IDs of earlier ones.

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
    """The state of another instance, as of its latest heartbeat.

    ``incarnation`` identifies the process: it differs for each process of the same
    name, and that of a later process sorts after that of an earlier one. ``heard_at``
    is this instance's monotonic time on receipt of the heartbeat, and ``interval`` the
    time until the next one that the member announced. ``shards`` maps the shards that
    the member owns to their epochs. ``fault`` is the reason why the member cannot
    advance its revision. ``unlisted`` is set if the platform's list no longer
    contains the member at its address. The next ``Heartbeat`` message clears it; a
    ``Pulse``, which only confirms the latest heartbeat, does not.
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
    """All instances from which this one has received a heartbeat.

    A member is live unless it is silent or the platform's list no longer contains it.
    It is silent once its latest heartbeat is older than both ``suspect_after`` and
    ``MAX_MISSED_HEARTBEATS`` times the interval that it announced.
    """

    def __init__(self, suspect_after: timedelta) -> None:
        self._suspect_after = suspect_after
        self._members: dict[str, Member] = {}
        self._unlisted: set[tuple[str, str]] = set()

    def record_heartbeat(self, member: Member) -> None:
        """Store a heartbeat, unless it is from an earlier process or out of order."""
        known = self._members.get(member.name)
        if known is not None:
            if (
                known.incarnation > member.incarnation
                or known.heard_at > member.heard_at
            ):
                return
        self._members[member.name] = member

    def mark_unlisted(self, name: str, address: str) -> None:
        """Record that the platform's list has no instance of this name and address.

        A member that is known at another address is not changed.
        """
        known = self._members.get(name)
        if known is None or known.address != address:
            return
        self._unlisted.add((name, known.incarnation))
        self._members[name] = evolve(known, unlisted=True)

    def has_ended(
        self, name: str, incarnation: str, address: str, now: timedelta
    ) -> bool:
        """Tell whether there is evidence that a process has ended.

        A later process at the same address is evidence, because two processes cannot
        listen on one address. The removal of the process from the platform's list is
        evidence if the process is also silent or replaced by a later one of the same
        name. Silence alone is not evidence.
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
        """Tell whether a member's latest heartbeat is older than its timeout."""
        timeout = max(self._suspect_after, member.interval * MAX_MISSED_HEARTBEATS)
        return now - member.heard_at > timeout

    def find(self, name: str) -> Member | None:
        """Return the member of this name, ``None`` if no heartbeat came from it."""
        return self._members.get(name)

    def list_all(self) -> list[Member]:
        """Return every member from which a heartbeat was received."""
        return list(self._members.values())

    def list_live(self, now: timedelta) -> list[Member]:
        """Return the members that are live at the monotonic time ``now``."""
        live = []
        for member in self._members.values():
            if member.unlisted or self._is_silent(member, now):
                continue
            live.append(member)
        return live

    def find_owner(self, shard: str, now: timedelta) -> Member | None:
        """Return the live member that owns a shard at the highest epoch, if any."""
        best = None
        for member in self.list_live(now):
            epoch = member.shards.get(shard)
            if epoch is None:
                continue
            if best is None or epoch > best.shards[shard]:
                best = member
        return best
