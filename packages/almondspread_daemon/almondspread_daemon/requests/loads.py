"""Which instance should be asked for a slot, by what the owners tell of theirs."""

import random
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, evolve

from almondspread.ownership import Member
from almondspread_daemon.peers.request_messages import MinionLoads, ServiceLoad

MAX_REPORT_AGE = timedelta(seconds=3)
OWN_NAME = ""


@define(frozen=True)
class _LoadReport:
    """What an owner told, and when it was heard."""

    services: dict[str, ServiceLoad]
    received_at: timedelta


class PeerLoads:
    """The latest loads of the peers, corrected by what was sent to them since."""

    def __init__(self, failure_domain: str, random_source: random.Random) -> None:
        self._failure_domain = failure_domain
        self._random = random_source
        self._reports: dict[str, _LoadReport] = {}

    def record_report(self, loads: MinionLoads, now: timedelta) -> None:
        """Take in what a peer tells."""
        self._reports[loads.name] = _LoadReport(dict(loads.services), now)

    def record_forwarded_request(self, name: str, service: str) -> None:
        """Count a request that goes to a peer, until it tells its load again."""
        heard = self._reports.get(name)
        if heard is None or service not in heard.services:
            return
        load = heard.services[service]
        if load.free > 0:
            changed = evolve(load, free=load.free - 1)
        else:
            changed = evolve(load, waiting=load.waiting + 1)
        heard.services[service] = changed

    def order_owners(
        self, service: str, own: ServiceLoad, members: Iterable[Member], now: timedelta
    ) -> list[Member | None]:
        """Return whom to ask, the best first; ``None`` stands for this instance.

        A free slot here goes first, then one of this failure domain, then one of
        another. Where none is free, the shortest queue of this domain goes first.
        """
        ranked: list[tuple[tuple[int, float, float], Member | None]] = []
        if own.slots:
            ranked.append((_make_sort_key(own, 0), None))
        for member in members:
            heard = self._reports.get(member.name)
            if heard is None or now - heard.received_at > MAX_REPORT_AGE:
                continue
            load = heard.services.get(service)
            if load is None or not load.slots:
                continue
            distance = 1 if member.failure_domain == self._failure_domain else 2
            place, weight, _ = _make_sort_key(load, distance)
            ranked.append(((place, weight, self._random.random()), member))
        ranked.sort(key=lambda pair: pair[0])
        return [member for _, member in ranked]


def _make_sort_key(load: ServiceLoad, distance: int) -> tuple[int, float, float]:
    """Return the place of an owner, the lowest first."""
    if load.free > 0 and not load.waiting:
        return distance, -load.free / load.slots if distance else 0.0, 0.0
    far = 10 if distance == 2 else 0
    return 3 + far, load.waiting / load.slots, 0.0
