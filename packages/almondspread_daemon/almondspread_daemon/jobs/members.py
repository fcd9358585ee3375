"""The instances that work for the leader, and which upstreams each looks after."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from attrs import define, field

MAX_ADVICE_REQUESTS = 2


@define(eq=False)
class Member:
    """An instance that carries out orders; ``send`` passes it a message.

    ``strength`` tells how fit it is to lead, ``started`` when its process began.
    """

    instance: str
    failure_domain: str
    cores: float
    send: Callable[[object], None]
    last_heard: timedelta
    strength: float = 1.0
    started: timedelta = timedelta(0)
    upstreams: set[str] = field(factory=set)
    advice_requests: int = 0
    leaving: bool = False

    @property
    def load(self) -> float:
        """How many upstreams it looks after for each of its cores."""
        return len(self.upstreams) / self.cores


class Placed(Protocol):
    """An upstream as far as the choice of its executor goes."""

    name: str


@define(eq=False)
class Members:
    """All members of the leader's session, with the upstreams each has."""

    members: dict[str, Member] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)

    def add(self, member: Member) -> None:
        """Take on an instance; an earlier link of it is superseded."""
        self.members[member.instance] = member

    def remove(self, member: Member) -> set[str]:
        """Drop an instance; return the upstreams that need another."""
        if self.members.get(member.instance) is not member:
            return set()
        del self.members[member.instance]
        for upstream in member.upstreams:
            self._owners.pop(upstream, None)
        return member.upstreams

    def find_owner(self, upstream: str) -> Member | None:
        """Return the member that looks after an upstream."""
        owner = self._owners.get(upstream)
        return self.members.get(owner) if owner is not None else None

    def assign(self, upstream: str, failure_domain: str) -> Member | None:
        """Choose a member for an upstream: the least loaded, if possible nearby."""
        best = None
        for member in self.members.values():
            if member.leaving:
                continue
            rank = (member.failure_domain != failure_domain, member.load)
            if best is None or rank < best[0]:
                best = (rank, member)
        if best is None:
            return None
        self.reassign(upstream, best[1])
        return best[1]

    def reassign(self, upstream: str, member: Member) -> None:
        """Have a member look after an upstream."""
        self.unassign(upstream)
        member.upstreams.add(upstream)
        self._owners[upstream] = member.instance

    def unassign(self, upstream: str) -> None:
        """Have nobody look after an upstream."""
        owner = self.find_owner(upstream)
        if owner is not None:
            owner.upstreams.discard(upstream)
        self._owners.pop(upstream, None)

    def choose_moves(
        self, domains: Iterable[tuple[str, str]]
    ) -> list[tuple[str, Member]]:
        """Return upstreams that another member should look after.

        ``domains`` gives each upstream's failure domain. One moves where its member
        is outside that domain and another is inside, or where a member of the domain
        has two upstreams more than the least loaded one.
        """
        moves = []
        for upstream, domain in domains:
            owner = self.find_owner(upstream)
            if owner is None:
                continue
            nearby = [
                member
                for member in self.members.values()
                if member.failure_domain == domain and not member.leaving
            ]
            if not nearby:
                continue
            least = min(nearby, key=lambda member: member.load)
            if owner is least:
                continue
            balanced = len(owner.upstreams) - len(least.upstreams) < 2
            if owner.failure_domain == domain and balanced:
                continue
            self.reassign(upstream, least)
            moves.append((upstream, least))
        return moves

    def choose_successor(self, leader: str) -> str:
        """Return who should lead after ``leader``, ``""`` where there is nobody.

        Of equally strong instances it is the one that has started last: when all are
        restarted in turn, it has its restart behind it.
        """
        best = None
        for member in self.members.values():
            if member.instance == leader or member.leaving:
                continue
            rank = (round(member.strength, 1), member.started)
            if best is None or rank > best[0]:
                best = (rank, member.instance)
        return best[1] if best is not None else ""

    def choose_adviser(self) -> Member | None:
        """Return the member that has the fewest questions to ask, if any has room."""
        free = [
            member
            for member in self.members.values()
            if member.advice_requests < MAX_ADVICE_REQUESTS and not member.leaving
        ]
        return min(free, key=lambda member: member.advice_requests, default=None)

    def count_advice_slots(self) -> int:
        """Return how many questions to the advice service may be added."""
        return sum(
            max(0, MAX_ADVICE_REQUESTS - member.advice_requests)
            for member in self.members.values()
            if not member.leaving
        )
