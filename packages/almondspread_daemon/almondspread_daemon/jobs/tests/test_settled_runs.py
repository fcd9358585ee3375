"""Guards against runs that an executor forgets, though their upstream may have them."""

import unittest

from expression import Error, Ok

from almondspread.jobs.messages import RunId, StartRun, StopRun
from almondspread.jobs.ports import CallFailed
from almondspread_daemon.jobs.tests.executor_case import (
    ExecutorTestCase,
    make_watch,
)
from almondspread_daemon.jobs.tests.test_agents import (
    NO_ANSWER,
    TASK,
    make_answer,
    settle,
)


class SettledRunsTest(ExecutorTestCase):
    async def stop(self, answer):
        """Order the stop of a run, and answer the call."""
        await self.order(StopRun("u", TASK, 7))
        self.client.stops.pop().set_result(answer)
        await settle()

    async def test_answer_from_before_a_start_does_not_end_its_run(self):
        await self.order(make_watch())
        await self.answer(100)
        await self.order(make_watch())
        slow, poll = self.client.renewals
        poll.set_result(make_answer(102, 7))
        await settle()
        slow.set_result(make_answer(101))
        await settle()
        self.assertEqual(self.list_tasks(), {TASK})

    async def test_start_whose_stop_has_no_answer_counts(self):
        await self.order(make_watch(unconfirmed_runs=(RunId(TASK, 7),)))
        await self.answer(100)
        await self.stop(NO_ANSWER)
        await self.answer(110)
        self.assertEqual(self.list_tasks(), {TASK})

    async def test_answer_that_may_precede_a_stop_does_not_settle_it(self):
        """The estimate of the upstream's clock may be behind the clock."""
        await self.order(make_watch(unconfirmed_runs=(RunId(TASK, 7),)))
        await self.answer(100)
        await self.stop(Ok(None))
        await self.answer(100.9)
        self.assertEqual(self.list_tasks(), {TASK})
        await self.answer(103)
        self.assertEqual(self.list_tasks(), set())

    async def test_start_that_a_successor_fenced_counts(self):
        """The leader does not take it for a refusal either."""
        await self.order(make_watch())
        await self.answer(100)
        await self.order(StartRun("u", TASK, 7, ""))
        fenced = Error(CallFailed("higher token", not_done=True, fenced=True))
        self.client.starts.pop().set_result(fenced)
        await settle()
        self.assertEqual(self.list_tasks(), {TASK})


if __name__ == "__main__":
    unittest.main()
