"""Guards against agents that renew leases or start runs under another assignment."""

import unittest

from attrs import evolve

from almondspread.jobs.messages import StartRun
from almondspread_daemon.jobs.agents import FORBIDDEN_RENEWAL_WAIT
from almondspread_daemon.jobs.tests.executor_case import (
    ASSIGNMENT,
    ExecutorTestCase,
    make_watch,
)
from almondspread_daemon.jobs.tests.test_agents import TASK


class AssignmentOrderTest(ExecutorTestCase):
    async def test_order_for_another_assignment_replaces_the_agent(self):
        """The runs of both would else be told under the first one only."""
        watch = make_watch()
        others = (
            evolve(watch, assignment=ASSIGNMENT + 1),
            evolve(watch, fencing_token=2),
            evolve(watch, epoch=2),
        )
        for other in others:
            with self.subTest(order=other):
                self.executor.close()
                await self.order(watch)
                first = self.executor._agents["u"]
                await self.order(other)
                self.assertFalse(first.is_running)
                self.assertEqual(self.executor._agents["u"].watch, other)

    async def test_order_that_forbids_renewals_allows_none_when_it_is_repeated(self):
        await self.order(make_watch(renews=False))
        await self.answer(100)
        await self.order(make_watch(renews=False))
        for clock in range(101, 104):
            await self.answer(clock)
        self.assertEqual({call.until for call in self.client.renew_calls}, {None})

    async def test_upstream_is_not_asked_without_a_pause_while_renewals_are_forbidden(
        self,
    ):
        await self.order(make_watch(renews=False))
        await self.answer(100)
        self.assertEqual(self.client.renew_calls[-1].wait, FORBIDDEN_RENEWAL_WAIT)

    async def test_leases_are_renewed_for_a_leader_that_is_told_twice(self):
        """A member that comes back to its leader over a new link is asked again."""
        await self.order(make_watch(epoch=2))
        await self.answer(100)
        self.ask(2)
        await self.answer(101)
        self.assertIsNotNone(self.client.renew_calls[-1].until)

    async def test_executor_without_a_leader_for_long_remembers_its_runs(self):
        await self.order(make_watch())
        await self.order(StartRun("u", TASK, 7, ""))
        self.executor.close()
        remembered = [(key, each.tasks) for key, each in self.ask().items()]
        self.assertEqual(remembered, [(ASSIGNMENT, (TASK,))])


if __name__ == "__main__":
    unittest.main()
