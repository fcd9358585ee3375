"""Reports of the load of the owned minions to other instances."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers.request_messages import MinionLoads, ServiceLoad

DOMAIN_REPORT_INTERVAL = timedelta(milliseconds=100)
REPORT_REPEAT_INTERVAL = timedelta(seconds=1)


class LoadReporter:
    """Reports changed loads to the own failure domain at once, to others less often.

    Most requests stay in their failure domain. Another domain is asked only where the
    own is full, for which a load report that is a second old is accurate enough. An
    instance whose loads do not change repeats them only every
    ``REPORT_REPEAT_INTERVAL``, and one without minions does not repeat them.
    """

    def __init__(self, name: str, neighbours: Neighbours, clock: Clock) -> None:
        self._name = name
        self._neighbours = neighbours
        self._clock = clock
        self._last_reported: dict[str, ServiceLoad] = {}
        self._repeat_due = timedelta(0)

    async def run(self, compute_loads: Callable[[], dict[str, ServiceLoad]]) -> None:
        """Report loads until cancelled."""
        while True:
            self.report(compute_loads())
            await self._clock.sleep(DOMAIN_REPORT_INTERVAL)

    def report(self, loads: dict[str, ServiceLoad]) -> None:
        """Send the loads to those instances to which a report is due."""
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
