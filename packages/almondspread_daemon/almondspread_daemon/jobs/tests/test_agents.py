import asyncio
import unittest
from datetime import timedelta

from expression import Ok

from almondspread.clock import SystemClock
from almondspread.jobs.messages import (
    RunSighting,
    StopRun,
    StopSettled,
    UpstreamReport,
    WatchUpstream,
)
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.submissions import TaskId
from almondspread_daemon.jobs.agents import UpstreamAgent
from almondspread_daemon.jobs.metrics import JobMetrics

SECOND = timedelta(seconds=1)
TASK = TaskId("j", 0, 0, 0)
ADDRESS = "10.0.0.1:80"


class FakeClient:
    """An upstream whose pending calls a test answers in any order."""

    def __init__(self):
        self.renewals = []
        self.stops = []

    async def renew_leases(self, address, upstream, call, timeout):
        return await self._await(self.renewals)

    async def stop(self, address, upstream, call, timeout):
        return await self._await(self.stops)

    async def _await(self, calls):
        future = asyncio.get_running_loop().create_future()
        calls.append(future)
        return await future


def make_answer(clock, *running):
    sightings = tuple(RunSighting(TASK, number) for number in running)
    return Ok(RenewAnswer(clock * SECOND, sightings, ()))


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


class AgentTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = FakeClient()
        self.reports = []
        self.agent = UpstreamAgent(
            WatchUpstream("u", ADDRESS, 1),
            self.client,
            SystemClock(),
            6 * SECOND,
            JobMetrics("entry-1", "zone"),
            self.reports.append,
        )
        await settle()

    async def asyncTearDown(self):
        self.agent.close()

    def list_running(self):
        """Return the run numbers in each full report."""
        found = []
        for report in self.reports:
            if isinstance(report, UpstreamReport) and report.running is not None:
                found.append([sighting.run for sighting in report.running])
        return found

    async def test_stale_answer_reports_no_runs(self):
        self.client.renewals.pop().set_result(make_answer(1))
        await settle()
        self.agent.resend_reports()
        self.agent.stop(StopRun("u", TASK, 7))
        await settle()
        self.client.stops.pop().set_result(Ok(None))
        await settle()
        slow, poll = self.client.renewals
        poll.set_result(make_answer(3))
        await settle()
        self.agent.resend_reports()
        slow.set_result(make_answer(2, 7))
        await settle()
        self.assertEqual(self.list_running(), [[], []])

    async def test_renew_call_after_a_stop_has_the_number_that_was_reported(self):
        self.client.renewals.pop().set_result(make_answer(1, 7))
        await settle()
        self.agent.stop(StopRun("u", TASK, 7))
        await settle()
        self.client.stops.pop().set_result(Ok(None))
        await settle()
        self.client.renewals[-1].set_result(make_answer(2))
        await settle()
        (settled,) = [
            report for report in self.reports if isinstance(report, StopSettled)
        ]
        self.assertTrue(settled.answered)
        self.assertEqual(settled.number, self.reports[-1].number)

    async def test_closed_agent_reports_no_renew_call_number(self):
        """A replacing agent numbers its own renew calls from the start."""
        self.agent.stop(StopRun("u", TASK, 7))
        await settle()
        self.agent.close()
        self.client.stops.pop().set_result(Ok(None))
        await settle()
        self.assertEqual(self.reports, [])


if __name__ == "__main__":
    unittest.main()
