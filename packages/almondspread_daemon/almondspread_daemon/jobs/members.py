"""The members of the leader's session and the upstreams assigned to each."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from attrs import define, field

from almondspread.jobs.messages import AskPermits, PermitsAnswered

MAX_ADVICE_REQUESTS = 2
# Requests that take longer leave some members free, so that short ones, whose callers
# are waiting, do not queue behind them.
LONG_REQUEST_SECONDS = 0.15
SHORT_REQUEST_SHARE = 0.25


@define(eq=False)
class Member:
    """An instance that executes orders of the leader; ``send`` sends it a message.

    ``strength`` is the suitability of its machine to lead, from 0 to 1, ``started``
    the start time of its process on the leader's monotonic clock.
    ``advice_requests`` are its pending requests to the advice service, which it makes
    one after another. ``wall_offset`` is how far its time of day is ahead of the
    leader's monotonic time. Instances reach it at ``address``, which is empty where it
    is not known. The instance that ``leads`` keeps upstreams only of failure domains
    without another member, so that its loss is seldom also that of an executor. A
    member that ``limits_leases`` renews none beyond one lease after it has lost its
    leader, and one that ``bounds_leases`` none beyond one lease after the latest time
    that it was told, ``lease_told_until``.
    """

    instance: str
    failure_domain: str
    cores: float
    send: Callable[[object], None]
    last_heard: timedelta
    strength: float = 1.0
    started: timedelta = timedelta(0)
    upstreams: set[str] = field(factory=set)
    advice_requests: deque[AskPermits] = field(factory=deque)
    wall_offset: timedelta | None = None
    leaving: bool = False
    address: str = ""
    leads: bool = False
    incarnation: str = ""
    limits_leases: bool = True
    bounds_leases: bool = True
    lease_told_until: timedelta = timedelta(0)

    def record_told(self, lease_until: timedelta) -> None:
        """Record until when the leader's lease lasts, as the member is told.

        The leader may take an earlier time for it later; the member goes by the latest.
        """
        self.lease_told_until = max(self.lease_told_until, lease_until)

    def is_same_process(self, other: "Member") -> bool:
        """Return whether both are one process; its ``incarnation`` may be unknown."""
        return bool(self.incarnation) and self.incarnation == other.incarnation

    @property
    def load(self) -> float:
        """The number of assigned upstreams per core."""
        return len(self.upstreams) / self.cores

    @property
    def advice_seconds(self) -> float:
        """How long all its pending requests are expected to take, in seconds."""
        return sum(request.duration_seconds for request in self.advice_requests)

    def record_advice_answer(self, answer: PermitsAnswered) -> None:
        """Record that a request to the advice service has been answered."""
        for request in self.advice_requests:
            if request.key == answer.key:
                self.advice_requests.remove(request)
                return


class Placed(Protocol):
    """The part of an upstream that matters when its member is chosen."""

    name: str


@define(eq=False)
class Members:
    """All members of the leader's session, and the owner of each upstream."""

    members: dict[str, Member] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)
    _named: int = 0

    def add(self, member: Member) -> None:
        """Add a member, in place of an earlier one of the same instance."""
        self.members[member.instance] = member

    def remove(self, member: Member) -> set[str]:
        """Remove a member; return the upstreams that need another one."""
        if self.members.get(member.instance) is not member:
            return set()
        del self.members[member.instance]
        for upstream in member.upstreams:
            self._owners.pop(upstream, None)
        return member.upstreams

    def name_next_address(self) -> str:
        """Return the address of one member after another, ``""`` if none is known."""
        addresses = [
            member.address for member in self.members.values() if member.address
        ]
        if not addresses:
            return ""
        self._named += 1
        return addresses[self._named % len(addresses)]

    def find_owner(self, upstream: str) -> Member | None:
        """Return the member that an upstream is assigned to, if any."""
        owner = self._owners.get(upstream)
        return self.members.get(owner) if owner is not None else None

    def assign(self, upstream: str, failure_domain: str) -> Member | None:
        """Assign an upstream to a member and return that, ``None`` if there is none.

        The choice is the least loaded member, preferably in the upstream's failure
        domain, and the leader only if there is no other.
        """
        best = None
        for member in self.members.values():
            if member.leaving:
                continue
            is_remote = member.failure_domain != failure_domain
            rank = (member.leads, is_remote, member.load)
            if best is None or rank < best[0]:
                best = (rank, member)
        if best is None:
            return None
        self.reassign(upstream, best[1])
        return best[1]

    def reassign(self, upstream: str, member: Member) -> None:
        """Assign an upstream to a member, in place of its previous one."""
        self.unassign(upstream)
        member.upstreams.add(upstream)
        self._owners[upstream] = member.instance

    def unassign(self, upstream: str) -> None:
        """Remove the assignment of an upstream."""
        owner = self.find_owner(upstream)
        if owner is not None:
            owner.upstreams.discard(upstream)
        self._owners.pop(upstream, None)

    def choose_moves(
        self, domains: Iterable[tuple[str, str]]
    ) -> list[tuple[str, Member]]:
        """Reassign upstreams to balance the load; return each with its new member.

        ``domains`` gives each upstream's failure domain. An upstream moves to the least
        loaded member of its domain if its own member is in another domain, or has at
        least two upstreams more. Upstreams of the leader, and of a member that leaves,
        move to any other member of their domain, and none move to the leader.
        """
        moves = []
        by_domain: dict[str, list[Member]] = {}
        for member in self.members.values():
            if not (member.leaving or member.leads):
                by_domain.setdefault(member.failure_domain, []).append(member)
        for upstream, domain in domains:
            owner = self.find_owner(upstream)
            nearby = by_domain.get(domain)
            if owner is None or not nearby:
                continue
            least = min(nearby, key=lambda member: member.load)
            if owner is least:
                continue
            balanced = len(owner.upstreams) - len(least.upstreams) < 2
            is_wanted = not (owner.leads or owner.leaving)
            if owner.failure_domain == domain and balanced and is_wanted:
                continue
            self.reassign(upstream, least)
            moves.append((upstream, least))
        return moves

    def choose_successor(self, leader: str) -> str:
        """Return the instance that should lead after ``leader``, ``""`` if none can.

        Of equally strong instances the most recently started one is chosen: in a
        rolling restart, that instance has already been restarted.
        """
        best = None
        for member in self.members.values():
            if member.instance == leader or member.leaving:
                continue
            rank = (round(member.strength, 1), member.started)
            if best is None or rank > best[0]:
                best = (rank, member.instance)
        return best[1] if best is not None else ""

    def choose_adviser(self, seconds: float) -> Member | None:
        """Return the member that answers a request soonest, if any has a free slot.

        The request is expected to take ``seconds``. Long requests are not given to the
        members that are kept free for short ones.
        """
        advisers = [member for member in self.members.values() if not member.leaving]
        if seconds > LONG_REQUEST_SECONDS:
            advisers = advisers[int(len(advisers) * SHORT_REQUEST_SHARE) :]
        free = [
            member
            for member in advisers
            if len(member.advice_requests) < MAX_ADVICE_REQUESTS
        ]
        return min(free, key=lambda member: member.advice_seconds, default=None)

    def count_advice_slots(self) -> int:
        """Return how many more requests to the advice service members may take."""
        return sum(
            MAX_ADVICE_REQUESTS - len(member.advice_requests)
            for member in self.members.values()
            if not member.leaving
        )
