"""How often the loads of the owned minions are told, and to whom."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers.request_messages import MinionLoads, ServiceLoad

DOMAIN_REPORT_INTERVAL = timedelta(milliseconds=100)
REPORT_REPEAT_INTERVAL = timedelta(seconds=1)


class LoadReporter:
    """Tells peers of this failure domain of changes at once, and others now and then.

    Most requests stay in their domain; another one is asked only where the own is
    full, for which a load of a second ago is good enough. An instance whose minions
    are idle, or that has none, says little.
    """

    def __init__(self, name: str, neighbours: Neighbours, clock: Clock) -> None:
        self._name = name
        self._neighbours = neighbours
        self._clock = clock
        self._last_reported: dict[str, ServiceLoad] = {}
        self._repeat_due = timedelta(0)

    async def run(self, describe_loads: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Tell loads until cancelled."""
        while True:
            self.report(describe_loads())
            await self._clock.sleep(DOMAIN_REPORT_INTERVAL)

    def report(self, loads: dict[str, ServiceLoad]) -> None:
        """Tell the loads to whom they are due."""
        now = self._clock.monotonic()
        due = now >= self._repeat_due
        changed = loads != self._last_reported
        if not changed and not (due and loads):
            return
        message = MinionLoads(self._name, loads)
        self._neighbours.notify_same_domain(message)
        self._last_reported = loads
        if due:
            self._neighbours.notify_other_domains(message)
            self._repeat_due = now + REPORT_REPEAT_INTERVAL
