"""Guards against a memory of possible runs that lacks some of them."""

import unittest
from datetime import timedelta

from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread.jobs.leases import compute_orphaned_lease_time
from almondspread.jobs.messages import StartRun, WatchUpstream
from almondspread.jobs.tests.cells import CellTest
from almondspread_daemon.jobs.tests.executor_case import (
    ASSIGNMENT,
    LEASE,
    ExecutorTestCase,
    make_watch,
)
from almondspread_daemon.jobs.tests.support import SECOND
from almondspread_daemon.jobs.tests.test_agents import ADDRESS, TASK


class ReassignedMemoryTest(ExecutorTestCase):
    async def test_starts_through_a_second_agent_of_an_assignment_count(self):
        """An upstream that starts again keeps its assignment, under a new token."""
        await self.order(make_watch())
        await self.answer(100)
        await self.order(WatchUpstream("u", ADDRESS, 1, 2, ASSIGNMENT, knows_runs=True))
        await self.answer(101)
        await self.order(StartRun("u", TASK, 7, ""))
        self.assertEqual(self.list_tasks(), {TASK})

    async def test_starts_after_the_grace_of_a_member_that_comes_back_count(self):
        """The leader was paused for longer than the grace and less than its lease."""
        await self.order(make_watch())
        await self.answer(100)
        self.executor.close()
        self.executor.attach_leader(lambda _: None, 1)
        await self.order(make_watch())
        await self.answer(104)
        await self.order(StartRun("u", TASK, 7, ""))
        self.assertEqual(self.list_tasks(), {TASK})

    async def test_leases_renewed_by_a_second_agent_of_an_assignment_count(self):
        await self.order(make_watch())
        await self.answer(100)
        self.executor.close()
        self.clock.pause = 4 * SECOND
        await self.order(make_watch())
        await self.answer(104)
        (message,) = self.ask().values()
        renewed = self.client.renew_calls[-1].until - 104 * SECOND
        self.assertGreaterEqual(message.lapse_in, renewed)

    async def test_order_of_an_earlier_leader_renews_nothing_after_a_later_asked(self):
        """Other instances may name the earlier one while the store is away."""
        await self.order(make_watch())
        await self.answer(100)
        self.ask(epoch=2)
        await self.order(make_watch())
        for clock in range(101, 106):
            for _ in range(len(self.client.renewals)):
                await self.answer(clock)
        for call in self.client.renew_calls[2:]:
            self.assertIsNone(call.until)


class MovedUpstreamTest(CellTest):
    def test_leases_of_an_owner_that_never_hears_of_the_move_count(self):
        """It is cut off together with the upstream, just before the move."""
        self.add_upstreams(1)
        self.cell.run_for(SECOND)
        self.cell.assign("u0")
        order = self.cell.scheduler.make_watch_order("u0", self.cell.now)
        moved = timedelta(0)
        told = LeaseRenewal(LEASE, moved, order.leases_left).expiry
        self.assertGreaterEqual(told, compute_orphaned_lease_time(LEASE))


if __name__ == "__main__":
    unittest.main()
