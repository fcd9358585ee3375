import unittest
from datetime import UTC, datetime, timedelta

from almondspread.clock.unix_time import from_unix_ms
from almondspread.codec import encode_message
from almondspread.jobs.leases import LEADER_GRACE, LEADER_LEASE, LeaderRow
from almondspread.jobs.messages import RunEnd, UpstreamEntry, UpstreamReport
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.jobs.progress import JobRecord, JobState, StepRecord
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.intake import JobIntake
from almondspread_daemon.jobs.leader import LeaderSession
from almondspread_daemon.jobs.links import Resigned, StoreReached
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.rows import (
    LEADER_ROW,
    SUBMISSIONS_TABLE,
    WATCHED_ROW,
    CancelRow,
    WatchedRow,
    decode_leader,
    decode_row,
    encode_submission,
    make_cancel_key,
    make_job_key,
    make_progress_name,
)
from almondspread_daemon.jobs.store_access import OUTAGE_THRESHOLD
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_settings,
    make_submission,
    run_ready_tasks,
)

WALL = datetime(2026, 1, 1, tzinfo=UTC)


class LeaderTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = StoreParts()
        self.store = self.parts.store

    async def put(self, name, value):
        transaction = Transaction(puts=(RowPut(name, value),))
        return (await self.store.transact(transaction, SECOND)).ok.version

    async def submit(self, job, part="entry-1/0", accepted=timedelta(seconds=49)):
        name = RowName(SUBMISSIONS_TABLE, part, make_job_key(job))
        return await self.put(name, encode_submission(make_submission(job), accepted))

    async def claim(self, epoch=1, incarnation="one", started_version=0):
        row = LeaderRow(
            epoch,
            "entry-1",
            incarnation,
            "127.0.0.1:1",
            50.0,
            started_version=started_version,
        )
        version = await self.put(LEADER_ROW, encode_message(row))
        self.scheduler = Scheduler(epoch, make_configuration(), started_version)
        parts = self.parts
        self.committer = Committer(
            row, version, self.scheduler, parts.access, parts.store_clock, parts.clock
        )
        self.intake = JobIntake(
            version,
            self.scheduler,
            self.committer,
            make_settings(),
            parts.access,
            parts.store_clock,
            parts.clock,
        )

    def make_session(self, row):
        parts = self.parts
        return LeaderSession(
            row,
            9,
            make_settings(),
            make_configuration(),
            parts.access,
            parts.store_clock,
            parts.clock,
            parts.metrics,
            RowWriter(parts.access, parts.clock, "entry-1"),
            None,
        )


class SessionTest(LeaderTestCase):
    async def test_session_may_start_only_jobs_up_to_the_version_of_its_claim(self):
        """Guards against starts beyond the claim's version, found by soak seed 3."""
        parts = self.parts
        row = LeaderRow(2, "entry-1", "one", "a", 50.0, started_version=7)
        session = self.make_session(row)
        scheduler = session._scheduler
        now = parts.clock.monotonic()
        scheduler.accept_job(make_submission("old"), now, WALL, version=7)
        self.assertFalse(scheduler.has_unstartable_jobs)
        scheduler.accept_job(make_submission("new"), now, WALL, version=8)
        self.assertTrue(scheduler.has_unstartable_jobs)

    def make_session_with_member(self):
        """Return a session and a second member that records messages in ``sent``."""
        session = self.make_session(LeaderRow(2, "entry-1", "one", "a", 50.0))
        self.sent = []
        now = self.parts.clock.monotonic()
        member = Member("entry-2", "umea", 1.0, self.sent.append, now)
        session.add_member(member)
        return session, member

    def list_resignations(self):
        messages = [getattr(message, "message", message) for message in self.sent]
        return [message for message in messages if isinstance(message, Resigned)]

    async def lose_store(self):
        self.store.refuses = lambda _: True
        await self.parts.access.read("table", "")
        self.parts.clock.advance(2 * OUTAGE_THRESHOLD)

    async def test_leader_resigns_if_the_store_serves_only_a_member(self):
        """Without resigning, a leader that lost the store led until its lease expired.

        After that, no new task was started for another two seconds.
        """
        session, member = self.make_session_with_member()
        await self.lose_store()
        session.handle_message(member, StoreReached())
        await run_ready_tasks()
        self.assertEqual(self.list_resignations(), [Resigned(2)])
        self.assertTrue(session._ended.is_set())

    async def test_leader_does_not_resign_once_the_store_serves_it_again(self):
        session, member = self.make_session_with_member()
        await self.lose_store()
        session.handle_message(member, StoreReached())
        self.store.refuses = lambda _: False
        await self.parts.access.read("table", "")
        await run_ready_tasks()
        self.assertEqual(self.list_resignations(), [])
        session.handle_message(member, StoreReached())
        await run_ready_tasks()
        self.assertFalse(session._ended.is_set())


class CommitPaceTest(LeaderTestCase):
    async def commit(self, duration, versions):
        """Make a commit take ``duration``; other writes add ``versions`` meanwhile."""

        def pass_time(_):
            self.parts.clock.advance(duration)
            self.store.version += versions

        self.store.refuses = pass_time
        self.assertTrue(await self.committer.commit())
        self.store.refuses = lambda _: False

    async def test_fast_commits_have_no_margin(self):
        await self.claim()
        for _ in range(3):
            await self.commit(timedelta(milliseconds=20), 5)
        self.assertEqual(self.committer.row.started_version, 0)

    async def test_jobs_stored_during_a_slow_commit_may_start(self):
        """With a store 71 times slower, jobs waited for two commits of 0.6 s each."""
        await self.claim()
        for _ in range(3):
            await self.commit(timedelta(milliseconds=600), 30)
        version = self.store.version + 20
        self.scheduler.accept_job(
            make_submission("j"), self.parts.clock.monotonic(), WALL, version=version
        )
        self.assertFalse(self.scheduler.has_unstartable_jobs)
        # The leader's row tells the next leader that the job may have been started.
        row = decode_leader((self.store.rows[LEADER_ROW],))[0]
        self.assertGreaterEqual(row.started_version, version)


class CommitterTest(LeaderTestCase):
    async def test_commit_stores_progress_and_renews_the_lease(self):
        await self.claim()
        self.scheduler.accept_job(
            make_submission("j"), self.parts.clock.monotonic(), WALL
        )
        self.scheduler.cancel_job("j", self.parts.clock.monotonic())
        self.parts.clock.advance(LEADER_LEASE / 2)
        self.assertTrue(await self.committer.commit())
        self.parts.clock.advance(LEADER_LEASE * 0.9)
        self.assertTrue(self.committer.lease_holds)
        record = decode_row(self.store.rows[make_progress_name("j")], JobRecord)
        self.assertEqual(record.state, "cancelled")

    async def test_ended_job_is_announced_until_its_end_is_stored(self):
        await self.claim()
        now = self.parts.clock.monotonic()
        self.scheduler.accept_job(make_submission("j"), now, WALL)
        self.scheduler.accept_job(make_submission("open"), now, WALL)
        self.scheduler.cancel_job("j", now)
        self.store.refuses = lambda _: True
        await self.committer.commit()
        jobs = {
            each.job: each.state for each in self.scheduler.list_unfinished_states()
        }
        self.assertEqual(jobs, {"j": "cancelled", "open": "queued"})
        self.store.refuses = lambda _: False
        await self.committer.commit()
        jobs = {
            each.job: each.state for each in self.scheduler.list_unfinished_states()
        }
        self.assertEqual(jobs, {"open": "queued"})

    async def test_superseded_leader_stores_nothing(self):
        await self.claim()
        other = LeaderRow(2, "entry-2", "two", "127.0.0.1:2", 51.0)
        await self.put(LEADER_ROW, encode_message(other))
        self.scheduler.accept_job(
            make_submission("j"), self.parts.clock.monotonic(), WALL
        )
        self.scheduler.cancel_job("j", self.parts.clock.monotonic())
        self.assertFalse(await self.committer.commit())
        self.assertTrue(self.committer.is_superseded)
        self.assertNotIn(make_progress_name("j"), self.store.rows)

    async def test_own_commit_with_a_lost_answer_does_not_end_the_leadership(self):
        await self.claim()
        losses = [True]
        self.store.loses_answer = lambda: bool(losses and losses.pop())
        self.assertFalse(await self.committer.commit())
        self.assertFalse(await self.committer.commit())
        self.assertFalse(self.committer.is_superseded)
        self.assertTrue(await self.committer.commit())

    async def test_conflict_with_the_same_commit_counts_as_stored(self):
        await self.claim()
        now = self.parts.clock.monotonic()
        self.scheduler.accept_job(make_submission("j"), now, WALL)
        self.scheduler.cancel_job("j", now)
        transact = self.parts.access.transact

        async def transact_twice(transaction):
            await transact(transaction)
            return await transact(transaction)

        self.parts.access.transact = transact_twice
        self.assertTrue(await self.committer.commit())
        self.assertEqual(self.scheduler.take_changes(9).records, [])
        self.assertTrue(self.scheduler.jobs["j"].end_stored)

    async def test_refused_commits_suspend_the_end_of_the_grace_period(self):
        """The store refuses a third of its partitions, among them the leader row's."""
        await self.claim()
        self.store.refuses = lambda part: part == LEADER_ROW.partition
        self.parts.clock.advance(LEADER_GRACE + 2 * LEADER_LEASE)
        await self.committer.commit()
        self.assertFalse(self.committer.is_grace_over)
        self.parts.clock.advance(2 * SECOND)
        self.assertTrue(self.committer.is_grace_over)

    async def test_jobs_start_only_after_a_commit_with_their_version(self):
        await self.claim()
        await self.intake.load()
        self.store.refuses = lambda part: part == LEADER_ROW.partition
        version = await self.submit("j")
        await self.intake.follow()
        self.assertFalse(await self.committer.commit())
        self.assertTrue(self.scheduler.has_unstartable_jobs)
        self.store.refuses = lambda _: False
        self.assertTrue(await self.committer.commit())
        self.assertFalse(self.scheduler.has_unstartable_jobs)
        stored, _ = decode_leader((self.store.rows[LEADER_ROW],))
        self.assertEqual(stored.started_version, version)

    async def test_commit_never_lowers_the_started_version(self):
        await self.claim(started_version=77)
        await self.committer.commit()
        stored, _ = decode_leader((self.store.rows[LEADER_ROW],))
        self.assertEqual(stored.started_version, 77)

    async def test_watched_row_holds_upstreams_before_they_are_used(self):
        await self.claim()
        await self.intake.load()
        entry = UpstreamEntry(
            "u@1500",
            "service",
            "10.0.0.1:1",
            "umea",
            Capacity(1, 1),
            identity="u",
            started_at=from_unix_ms(1_500),
        )
        self.scheduler.update_upstreams([entry], self.parts.clock.monotonic())
        upstream = self.scheduler.cell_state.upstreams["u@1500"]
        self.assertFalse(upstream.recorded)
        await self.committer.commit()
        self.assertTrue(upstream.recorded)
        stored = decode_row(self.store.rows[WATCHED_ROW], WatchedRow)
        (watched,) = stored.upstreams
        self.assertEqual(watched.name, "u@1500")
        self.assertEqual((watched.identity, watched.started_ms), ("u", 1_500))


class IntakeTest(LeaderTestCase):
    async def test_jobs_of_all_pages_and_partitions_are_loaded_with_progress(self):
        for number in range(5):
            await self.submit(f"a{number}", "entry-1/0")
        await self.submit("b", "entry-2/3")
        record = JobRecord("b", "queue", "running", (StepRecord(0, 0, b"", {0: [7]}),))
        await self.put(make_progress_name("b"), encode_message(record))
        cancel = RowName(SUBMISSIONS_TABLE, "entry-1/0", make_cancel_key("a0"))
        await self.put(cancel, encode_message(CancelRow("a0")))
        await self.claim()
        self.assertTrue(await self.intake.load())
        self.assertEqual(len(self.scheduler.jobs), 6)
        self.assertIs(self.scheduler.jobs["a0"].state, JobState.CANCELLED)
        self.assertEqual(self.scheduler.jobs["b"].steps[0, 0].count_failures(), 1)

    async def test_jobs_stored_after_the_claim_are_new(self):
        old = await self.submit("old")
        await self.claim(started_version=old)
        await self.intake.load()
        new = await self.submit("new", accepted=timedelta(seconds=51))
        self.assertTrue(await self.intake.follow())
        self.assertEqual(self.scheduler.jobs["old"].version, old)
        self.assertEqual(self.scheduler.jobs["new"].version, new)
        self.assertLess(old, new)
        self.assertEqual(self.scheduler.inherited_version, old)

    async def test_missing_partition_is_loaded_later_with_its_records(self):
        """Without the stored records, completed tasks ran again.

        This came about in a takeover while a third of the partitions was unavailable.
        """
        await self.submit("j", "entry-1/0")
        await self.submit("k", "entry-2/0")
        record = JobRecord("j", "queue", "completed")
        await self.put(make_progress_name("j"), encode_message(record))
        await self.claim()
        self.store.refuses = lambda part: part == "entry-1/0"
        await self.intake.load()
        self.assertFalse(self.scheduler.is_complete)
        self.assertFalse(self.intake.is_caught_up())
        self.assertNotIn("j", self.scheduler.jobs)
        self.store.refuses = lambda _: False
        await self.intake.load_missing_partitions()
        self.assertTrue(self.scheduler.is_complete)
        self.assertIs(self.scheduler.jobs["j"].state, JobState.COMPLETED)

    async def test_all_submissions_are_read_after_lost_history(self):
        await self.claim()
        await self.intake.load()
        await self.submit("j")
        self.store.compacted_version = self.store.version
        self.assertTrue(await self.intake.follow())
        self.assertIn("j", self.scheduler.jobs)

    async def test_ends_are_acknowledged_only_once_all_their_jobs_are_stored(self):
        await self.claim()
        now = self.parts.clock.monotonic()
        entry = UpstreamEntry("u", "service", "10.0.0.1:1", "umea", Capacity(1, 1))
        self.scheduler.update_upstreams([entry], now)
        ends = []
        for number in range(1, 4):
            self.scheduler.accept_job(make_submission(f"j{number}"), now, WALL)
            ends.append(RunEnd(number, TaskId(f"j{number}", 0, 0, 0), 1, "done"))
        self.scheduler.handle_report(UpstreamReport("u", 1, 1, 0, tuple(ends), ()), now)
        first = self.scheduler.take_changes(2)
        self.assertEqual((len(first.records), first.ends), (2, {}))
        second = self.scheduler.take_changes(2)
        self.assertEqual((len(second.records), second.ends), (1, {"u": 3}))

    async def test_ends_of_an_unknown_job_wait_for_the_next_read(self):
        """Such ends were acknowledged and dropped, and their tasks ran again."""
        await self.claim()
        await self.intake.follow()
        now = self.parts.clock.monotonic()
        entry = UpstreamEntry("u", "service", "10.0.0.1:1", "umea", Capacity(1, 1))
        self.scheduler.update_upstreams([entry], now)
        end = RunEnd(1, TaskId("deleted", 0, 0, 0), 1, "done")
        report = UpstreamReport("u", 1, 1, 0, (end,), ())
        self.scheduler.handle_report(report, now + SECOND)
        self.assertEqual(self.scheduler.take_changes(2).ends, {})
        self.parts.clock.advance(2 * SECOND)
        await self.intake.follow()
        self.scheduler.handle_report(report, now + 3 * SECOND)
        self.assertEqual(self.scheduler.take_changes(2).ends, {"u": 1})


if __name__ == "__main__":
    unittest.main()
