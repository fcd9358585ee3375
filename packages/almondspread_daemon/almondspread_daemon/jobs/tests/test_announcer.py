import asyncio
import unittest
from datetime import UTC, datetime, timedelta

from almondspread.clock import ManualClock
from almondspread.jobs.scheduler import Scheduler
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.announcer import INTERVAL_PER_MEMBER, StateAnnouncer
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.tests.support import (
    make_settings,
    make_submission,
    run_ready_tasks,
)

WALL = datetime(2026, 1, 1, tzinfo=UTC)
MEMBERS = 96


class StateAnnouncerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.scheduler = Scheduler(1, make_configuration())
        assignments = Assignments(self.scheduler, make_settings(), self.clock)
        self.sent = []
        for number in range(MEMBERS):
            assignments.add_member(
                Member(f"m{number}", "domain", 1.0, self.sent.append, timedelta(0))
            )
        self.sent.clear()
        self.announcer = StateAnnouncer(self.scheduler, assignments, self.clock)
        self.task = asyncio.create_task(self.announcer.run())
        await run_ready_tasks()

    async def asyncTearDown(self):
        self.task.cancel()

    async def accept(self, job):
        self.scheduler.accept_job(make_submission(job), timedelta(0), WALL)
        self.announcer.note_changes()
        await run_ready_tasks()

    async def test_first_change_is_sent_at_once_and_later_ones_together(self):
        """A message after each pass was up to 20,000 writes a second for 96 members."""
        await self.accept("j0")
        self.assertEqual(len(self.sent), MEMBERS)
        for number in range(1, 20):
            await self.accept(f"j{number}")
        self.assertEqual(len(self.sent), MEMBERS)
        self.clock.advance(INTERVAL_PER_MEMBER * MEMBERS)
        await run_ready_tasks()
        self.assertEqual(len(self.sent), 2 * MEMBERS)
        self.assertEqual(len(self.sent[-1].message.states), 19)

    async def test_unchanged_states_are_not_sent(self):
        self.announcer.note_changes()
        await run_ready_tasks()
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()
