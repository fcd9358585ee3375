import unittest

from almondspread.clock import SystemClock
from almondspread.jobs.messages import UnwatchUpstream, UpstreamReport, WatchUpstream
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.tests.support import SECOND
from almondspread_daemon.jobs.tests.test_agents import (
    ADDRESS,
    FakeClient,
    make_answer,
    settle,
)


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = FakeClient()
        self.reports = []
        self.executor = Executor(
            self.client, None, SystemClock(), 6 * SECOND, JobMetrics("entry-1", "umea")
        )
        self.executor.attach_leader(self.reports.append, 1)

    async def asyncTearDown(self):
        self.executor.close()

    async def watch(self, epoch):
        self.executor.execute_order(WatchUpstream("u", ADDRESS, epoch, epoch))
        await settle()

    async def answer(self, clock):
        self.client.renewals.pop().set_result(make_answer(clock))
        await settle()

    async def test_order_of_an_earlier_epoch_changes_nothing(self):
        """Guards against an ended session taking an upstream back (soak seed 32)."""
        await self.watch(2)
        await self.answer(1)
        await self.watch(1)
        await self.answer(2)
        self.assertEqual({report.epoch for report in self.reports}, {2})
        self.assertTrue(self.executor._agents["u"].is_running)

    async def test_repeated_order_replaces_an_agent_that_has_ended(self):
        await self.watch(1)
        self.executor._agents["u"].close()
        await settle()
        await self.watch(1)
        await self.answer(1)
        self.assertIsInstance(self.reports[-1], UpstreamReport)

    async def test_repeated_order_causes_a_new_full_report(self):
        await self.watch(1)
        await self.answer(1)
        await self.watch(1)
        await self.answer(2)
        full = [report for report in self.reports if report.running is not None]
        self.assertEqual(len(full), 2)
        self.executor.execute_order(UnwatchUpstream("u"))
        self.assertEqual(self.executor._agents, {})


if __name__ == "__main__":
    unittest.main()
