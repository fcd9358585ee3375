import unittest
from datetime import timedelta
from types import SimpleNamespace

from expression import Error

from almondspread.clock import ManualClock
from almondspread.ownership import Member
from almondspread_daemon.peers import PeerFault
from almondspread_daemon.peers.request_messages import MinionLoads, ServiceLoad
from almondspread_daemon.requests.router import RequestRouter

DUE = timedelta(seconds=10)


class SilentNeighbours:
    """One live peer that never replies, so that each call takes its whole timeout."""

    def __init__(self, clock):
        self.clock = clock
        self.member = Member(
            "peer", "127.0.0.1:1", "umea", "1", clock.monotonic(), ready=True
        )

    def list_live(self):
        return [self.member]

    async def call(self, address, message, timeout, grace):
        self.clock.advance(timeout + grace)
        return Error(PeerFault("no reply", not_sent=False))


class TakeSlotTest(unittest.IsolatedAsyncioTestCase):
    async def test_unresponsive_owner_leaves_time_to_report_that_nothing_was_run(self):
        clock = ManualClock()
        pools = SimpleNamespace(pools={})
        router = RequestRouter(
            "umea", (), lambda _: None, pools, None, SilentNeighbours(clock), clock
        )
        loads = {"route": ServiceLoad(8, 1, 0)}
        router.loads.record_report(MinionLoads("peer", loads), clock.monotonic())
        acquired = await router.acquire_slot("route", "recalculation", DUE)
        self.assertIs(acquired.error.not_run, True)
        # The submission waits until the deadline and must get the refusal before that.
        self.assertLess(clock.monotonic(), DUE)
