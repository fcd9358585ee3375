"""Guards against a new leader that asks the wrong executor what an upstream may run."""

import unittest
from datetime import UTC, datetime, timedelta

from almondspread.codec import encode_message
from almondspread.jobs.messages import (
    RunSighting,
    RunsRemembered,
    UpstreamEntry,
    UpstreamReport,
    UpstreamSilent,
)
from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity
from almondspread_daemon.jobs.rows import (
    WATCHED_ROW,
    WatchedRow,
    WatchedUpstream,
    decode_row,
)
from almondspread_daemon.jobs.tests.leader_case import LeaderTestCase
from almondspread_daemon.jobs.tests.support import SECOND, make_submission

ASSIGNMENT = 17
TASK = TaskId("j", 0, 0, 0)
RUNNING = (RunSighting(TASK, 7),)
WALL = datetime(2026, 1, 1, tzinfo=UTC)


class StoredAssignmentTest(LeaderTestCase):
    async def list_upstream(self):
        """Claim the leadership and return its only upstream, which is assigned."""
        await self.claim()
        await self.intake.load()
        entry = UpstreamEntry("u", "service", "10.0.0.1:1", "umea", Capacity(1, 1))
        self.scheduler.update_upstreams([entry], self.parts.clock.monotonic())
        self.scheduler.begin_assignment("u")
        return self.scheduler.cell_state.upstreams["u"]

    def report(self, report):
        self.scheduler.handle_report(report, self.parts.clock.monotonic())

    def find_assignment(self):
        """Return the assignment that the executor is told."""
        now = self.parts.clock.monotonic()
        return self.scheduler.make_watch_order("u", now).assignment

    def read_watched(self):
        (watched,) = decode_row(self.store.rows[WATCHED_ROW], WatchedRow).upstreams
        return watched

    async def test_store_names_the_assignment_that_starts_go_through(self):
        await self.list_upstream()
        first = self.find_assignment()
        await self.committer.commit()
        self.assertEqual(self.read_watched().assignment, first)
        self.scheduler.begin_assignment("u")
        second = self.find_assignment()
        self.assertGreater(second, first)
        await self.committer.commit()
        self.assertEqual(self.read_watched().assignment, second)

    async def test_upstream_that_answers_after_its_expiry_is_stored_gets_no_runs(self):
        """The next leader would start them again once the stored time has passed."""
        upstream = await self.list_upstream()
        now = self.parts.clock.monotonic()
        self.scheduler.accept_job(make_submission("j"), now, WALL)
        self.report(UpstreamReport("u", 1, 1, 0, (), RUNNING))
        await self.committer.commit()
        self.report(UpstreamSilent("u", 1, 4 * SECOND))

        def answer(_):
            self.report(UpstreamReport("u", 1, 2, 0, (), RUNNING))

        self.store.refuses = answer
        await self.committer.commit()
        self.assertNotEqual(self.read_watched().lapse, 0)
        self.assertFalse(upstream.recorded)
        self.store.refuses = lambda _: False
        await self.committer.commit()
        self.assertEqual(self.read_watched().lapse, 0)
        self.assertTrue(upstream.recorded)

    async def test_new_leader_knows_the_assignment_that_the_store_names(self):
        """Otherwise all tasks would wait, as if the executor were lost, too."""
        watched = WatchedUpstream(
            "u", "service", "10.0.0.1:1", "umea", assignment=ASSIGNMENT
        )
        await self.put(WATCHED_ROW, encode_message(WatchedRow((watched,))))
        await self.submit("j")
        await self.claim(2)
        await self.intake.load()
        self.report(RunsRemembered("u", ASSIGNMENT, (TASK,), timedelta(0)))
        tracker = self.scheduler._upstream_tracker
        self.assertEqual(tracker.unseen.find_possible_tasks("u"), {TASK})
        await self.committer.commit()
        self.assertEqual(self.read_watched().assignment, ASSIGNMENT)


if __name__ == "__main__":
    unittest.main()
