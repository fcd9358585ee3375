"""Base of tests of one executor whose upstream a test answers for."""

import unittest

from almondspread.jobs.messages import RunsRemembered, WatchUpstream
from almondspread.jobs.submissions import TaskId
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.tests.support import SECOND
from almondspread_daemon.jobs.tests.test_agents import (
    ADDRESS,
    FakeClient,
    PausedClock,
    make_answer,
    settle,
)

OTHER = TaskId("j", 0, 0, 1)
ASSIGNMENT = 17
LEASE = 6 * SECOND


def make_watch(epoch=1, assignment=ASSIGNMENT, **fields):
    fields.setdefault("knows_runs", True)
    return WatchUpstream("u", ADDRESS, epoch, epoch, assignment, **fields)


class ExecutorTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = FakeClient()
        self.clock = PausedClock()
        self.executor = Executor(
            self.client, None, self.clock, LEASE, JobMetrics("entry-1", "umea")
        )
        self.executor.attach_leader(lambda _: None, 1)

    async def asyncTearDown(self):
        self.executor.close()

    async def order(self, order):
        self.executor.execute_order(order)
        await settle()

    async def answer(self, clock, *running, ends=()):
        self.client.renewals.pop().set_result(make_answer(clock, *running, ends=ends))
        await settle()

    def ask(self, epoch=2):
        """Return what the executor tells the leader of an epoch, by assignment."""
        told: list[RunsRemembered] = []
        self.executor.report_remembered(told.append, epoch)
        return {message.assignment: message for message in told}

    def list_tasks(self, assignment=ASSIGNMENT):
        return set(self.ask()[assignment].tasks)
