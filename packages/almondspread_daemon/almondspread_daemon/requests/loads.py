"""Ranking of the owners of minions by the loads that they report."""

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
    """The loads that a peer reported last, and when its report arrived."""

    services: dict[str, ServiceLoad]
    received_at: timedelta


class PeerLoads:
    """The latest reported loads of peers, adjusted by requests forwarded since."""

    def __init__(self, failure_domain: str, random_source: random.Random) -> None:
        self._failure_domain = failure_domain
        self._random = random_source
        self._reports: dict[str, _LoadReport] = {}

    def record_report(self, loads: MinionLoads, now: timedelta) -> None:
        """Store the loads that a peer reports, in place of its earlier report."""
        self._reports[loads.name] = _LoadReport(dict(loads.services), now)

    def record_forwarded_request(self, name: str, service: str) -> None:
        """Adjust a peer's load for a request forwarded to it, until its next report."""
        report = self._reports.get(name)
        if report is None or service not in report.services:
            return
        load = report.services[service]
        if load.free > 0:
            adjusted = evolve(load, free=load.free - 1)
        else:
            adjusted = evolve(load, waiting=load.waiting + 1)
        report.services[service] = adjusted

    def order_owners(
        self, service: str, own: ServiceLoad, members: Iterable[Member], now: timedelta
    ) -> list[Member | None]:
        """Return the owners to ask for a slot, the best first.

        ``None`` stands for this instance, whose load is ``own``. Owners with a free
        slot and an empty queue come first: this instance, then peers of this failure
        domain, then peers of others, the largest share of free slots first. The other
        owners follow, those of this failure domain first, the fewest waiting requests
        per slot first. Owners without slots for the service and peers whose report is
        older than ``MAX_REPORT_AGE`` are left out.
        """
        ranked: list[tuple[tuple[int, float, float], Member | None]] = []
        if own.slots:
            ranked.append((_make_sort_key(own, 0), None))
        for member in members:
            report = self._reports.get(member.name)
            if report is None or now - report.received_at > MAX_REPORT_AGE:
                continue
            load = report.services.get(service)
            if load is None or not load.slots:
                continue
            distance = 1 if member.failure_domain == self._failure_domain else 2
            tier, weight, _ = _make_sort_key(load, distance)
            # The random number spreads requests over peers that rank equally.
            ranked.append(((tier, weight, self._random.random()), member))
        ranked.sort(key=lambda pair: pair[0])
        return [member for _, member in ranked]


def _make_sort_key(load: ServiceLoad, distance: int) -> tuple[int, float, float]:
    """Return the sort key of an owner; the lowest is asked first.

    ``distance`` is 0 for this instance, 1 for a peer of this failure domain and 2 for
    a peer of another one.
    """
    if load.free > 0 and not load.waiting:
        return distance, -load.free / load.slots if distance else 0.0, 0.0
    remote_offset = 10 if distance == 2 else 0
    return 3 + remote_offset, load.waiting / load.slots, 0.0
