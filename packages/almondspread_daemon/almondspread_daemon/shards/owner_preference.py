"""Which live instance should own a shard."""

from collections.abc import Callable

from almondspread.clock import Clock
from almondspread.ownership import Members, rank_owners
from almondspread_daemon.membership.directory import parse_failure_domain


class OwnerPreference:
    """Ranks the live instances that may own a shard.

    ``instance`` is this instance, in ``failure_domain``. ``foreign_shards`` belong to
    other domains, and ``is_domain_gone`` tells whether such a domain is gone.
    """

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        foreign_shards: frozenset[str],
        members: Members,
        is_domain_gone: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._foreign_shards = foreign_shards
        self._members = members
        self._is_domain_gone = is_domain_gone
        self._clock = clock

    def find_owner(self, shard: str, is_leaving: bool) -> str | None:
        """Return the live instance that ranks first for a shard, ``None`` for none.

        The candidates are the instances of the shard's failure domain, or those of all
        domains while that domain is gone and has no candidate. This instance is none
        if it ``is_leaving``.
        """
        domain = self._failure_domain
        if shard in self._foreign_shards:
            domain = parse_failure_domain(shard)
        candidates = self._list_candidates(domain, is_leaving)
        if not candidates and self._is_domain_gone(domain):
            candidates = self._list_candidates(None, is_leaving)
        ranked = rank_owners(shard, candidates)
        return ranked[0] if ranked else None

    def _list_candidates(self, domain: str | None, is_leaving: bool) -> list[str]:
        """Return the live instances of a domain that may own shards.

        If ``domain`` is ``None``, the instances of all domains are returned.
        """
        candidates = []
        if not is_leaving and domain in (None, self._failure_domain):
            candidates.append(self._instance)
        for member in self._members.list_live(self._clock.monotonic()):
            if domain is not None and member.failure_domain != domain:
                continue
            if member.leaving or not member.ready:
                continue
            candidates.append(member.name)
        return candidates
