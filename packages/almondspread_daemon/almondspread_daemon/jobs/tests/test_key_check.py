"""What the checks of keys count and log, and whose jobs callers get."""

import asyncio
import unittest
from datetime import timedelta

from loguru import logger

from almondspread.codec import decode_message, encode_message
from almondspread.errors import Forbidden, Unauthenticated, Unavailable
from almondspread.jobs.access import Allowed
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.job_records import JobRecord, JobState
from almondspread.jobs.job_table import Announcement
from almondspread.jobs.ports import RowPut, Transaction
from almondspread.jobs.workspaces import Workspace, digest_key
from almondspread_daemon.jobs.job_service import JobService
from almondspread_daemon.jobs.key_check import LOG_INTERVAL
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.rows import (
    SubmissionRow,
    make_job_key,
    make_progress_name,
)
from almondspread_daemon.jobs.settings import KeyCheckSettings
from almondspread_daemon.jobs.state_cache import JobStateCache
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_key_check,
    make_submission,
)
from almondspread_daemon.jobs.workspace_labels import (
    MAX_LABELLED_WORKSPACES,
    WorkspaceLabels,
)

QUEUE = Queue("queue", "a.example", "/q/", "service")
A, B = Allowed("a", checks_owner=True), Allowed("b", checks_owner=True)
ANYONE = Allowed(checks_owner=True)


def make_configuration(count=1):
    """Return a configuration with workspaces w-0, w-1 and so on, and their keys."""
    workspaces = {}
    for number in range(count):
        digests = frozenset((digest_key(f"key-{number}"),))
        workspaces[f"w-{number}"] = Workspace(f"w-{number}", key_digests=digests)
    return Configuration(7, {QUEUE.name: QUEUE}, workspaces=workspaces)


class KeyCheckTest(unittest.TestCase):
    def setUp(self):
        self.parts = StoreParts()
        self.lines = []
        handler = logger.add(lambda line: self.lines.append(line.record["extra"]))
        self.addCleanup(logger.remove, handler)

    def check(self, check, key, configuration=None):
        return check.check_key(configuration or make_configuration(), QUEUE, key)

    def test_refusals_are_counted_and_logged_once_a_second_at_most(self):
        """A caller without a key could fill the log."""
        check = make_key_check(self.parts)
        for _ in range(1_000):
            refused = self.check(check, "unheard")
        self.assertIsInstance(refused.error, Unauthenticated)
        self.assertEqual(len(self.lines), 1)
        self.parts.clock.advance(LOG_INTERVAL)
        self.check(check, "unheard")
        self.assertEqual([line["unlogged"] for line in self.lines], [0, 999])
        self.assertEqual(self.lines[1]["outcome"], "unauthenticated")
        self.assertEqual(self.lines[1]["configuration"], 7)
        text = self.parts.metrics.render().decode()
        self.assertIn('outcome="unauthenticated"} 1001.0', text)

    def test_old_configuration_is_told_from_an_unknown_key(self):
        check = make_key_check(self.parts, is_current=lambda: False)
        refused = self.check(check, "unheard").error
        self.assertIsInstance(refused, Unavailable)
        self.assertTrue(refused.not_run)
        self.assertGreater(refused.retry_after_seconds, 0)
        self.assertEqual(self.lines[0]["outcome"], "outdated")

    def test_bound_on_the_age_applies_only_where_the_settings_ask_for_it(self):
        for fail_closed in (False, True):
            settings = KeyCheckSettings(fail_closed, 5 * SECOND)
            ages = (timedelta(0), 5 * SECOND, 6 * SECOND, None)
            for age in ages:
                check = make_key_check(
                    self.parts, settings, measure_age=lambda age=age: age
                )
                is_old = age is None or age > 5 * SECOND
                refuses = self.check(check, "key-0").is_error()
                self.assertEqual(refuses, fail_closed and is_old)

    def test_metric_names_a_bounded_number_of_workspaces(self):
        check = make_key_check(self.parts)
        count = MAX_LABELLED_WORKSPACES + 3
        configuration = make_configuration(count)
        for number in range(count):
            self.check(check, f"key-{number}", configuration)
        text = self.parts.metrics.render().decode()
        self.assertEqual(text.count('workspace="w-'), MAX_LABELLED_WORKSPACES)
        self.assertIn('workspace="other"} 3.0', text)
        labels = WorkspaceLabels()
        self.assertEqual(labels.choose("w-1"), "w-1")


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """Callers get only jobs of their own workspace, as far as it is known."""

    async def asyncSetUp(self):
        self.parts = StoreParts()
        self.state_cache = JobStateCache(is_current=True, knows_all=True)
        self.cancelled = []
        writer = RowWriter(self.parts.access, self.parts.clock, "entry-1")
        self.job_service = JobService(
            self.parts.access,
            writer,
            self.parts.store_clock,
            self.parts.clock,
            self.state_cache,
            self.parts.metrics,
            self.cancelled.append,
            lambda: True,
            make_key_check(self.parts),
        )
        self.job_service.configuration = make_configuration()
        self.work = asyncio.create_task(writer.run())

    async def asyncTearDown(self):
        self.work.cancel()

    async def submit(self, caller, job="j"):
        submission = make_submission(job)
        return await self.job_service.submit(QUEUE, submission, 3 * SECOND, caller)

    async def store_record(self, workspace, state="completed"):
        record = JobRecord("j", QUEUE.name, state, workspace=workspace)
        put = RowPut(make_progress_name("j"), encode_message(record))
        await self.parts.store.transact(Transaction(puts=(put,)), SECOND)

    async def ask_all(self, caller):
        """Return the outcomes of all requests about the job."""
        return [
            await self.submit(caller),
            await self.job_service.read_state("j", caller),
            await self.job_service.cancel("j", caller),
        ]

    async def test_stored_job_has_the_workspace_of_its_caller(self):
        await self.submit(A)
        [row] = self.parts.store.rows.values()
        self.assertEqual(decode_message(row.value, SubmissionRow).workspace, "a")

    async def test_job_of_another_workspace_is_forbidden_and_left_alone(self):
        await self.submit(A)
        rows = dict(self.parts.store.rows)
        for caller in (B, ANYONE):
            posted, read, cancelled = await self.ask_all(caller)
            for refused in (posted, read, cancelled):
                self.assertIsInstance(refused.error, Forbidden)
            # The submission has not run, but the job of that name may well have.
            self.assertIs(posted.error.not_run, True)
            self.assertIsNone(read.error.not_run)
        self.assertEqual(self.parts.store.rows, rows)
        self.assertEqual(self.cancelled, [])
        for allowed in await self.ask_all(A):
            self.assertTrue(allowed.is_ok())

    async def test_job_whose_workspace_is_not_known_is_not_refused(self):
        self.state_cache.update((Announcement("j", QUEUE.name, "running"),))
        for allowed in await self.ask_all(B):
            self.assertTrue(allowed.is_ok())

    async def test_job_that_only_the_store_has_is_forbidden_to_others(self):
        """An instance that has started since the end of a job told anyone its state."""
        await self.store_record("a")
        read = await self.job_service.read_state("j", B)
        self.assertIsInstance(read.error, Forbidden)
        self.state_cache._states.clear()
        self.state_cache._workspaces.clear()
        cancelled = await self.job_service.cancel("j", B)
        self.assertIsInstance(cancelled.error, Forbidden)
        read = await self.job_service.read_state("j", A)
        self.assertIs(read.ok, JobState.COMPLETED)

    async def test_repeated_job_that_only_the_store_has_is_forbidden_to_others(self):
        await self.submit(A)
        self.state_cache._states.clear()
        self.state_cache._workspaces.clear()
        await self.store_record("a", "running")
        self.assertIsInstance((await self.submit(B)).error, Forbidden)
        self.assertEqual(self.state_cache.find_workspace("j"), "")
        self.assertTrue((await self.submit(A)).is_ok())

    async def test_nobody_is_refused_without_workspaces(self):
        await self.submit(A)
        await self.store_record("a", "running")
        for allowed in await self.ask_all(Allowed()):
            self.assertTrue(allowed.is_ok())

    async def test_job_without_a_workspace_is_stored_as_before(self):
        await self.submit(Allowed())
        [row] = self.parts.store.rows.values()
        self.assertNotIn(b"workspace", row.value)
        self.assertEqual(row.name.key, make_job_key("j"))


class CacheTest(unittest.TestCase):
    """The cache keeps a workspace as long as the job, from one announcement."""

    def setUp(self):
        self.cache = JobStateCache()
        self.cache.update((Announcement("j", "q", "queued", "a"),))

    def test_later_announcements_leave_the_workspace(self):
        self.cache.update((Announcement("j", "q", "running"),))
        self.assertEqual(self.cache.find_workspace("j"), "a")

    def test_workspaces_of_removed_jobs_are_removed(self):
        self.cache.replace(())
        self.assertEqual(self.cache._workspaces, {})
        self.cache.update((Announcement("k", "q", "completed", "a"),))
        self.cache.remove_ended(timedelta(0), SECOND)
        self.assertEqual(self.cache.find_workspace("k"), "a")
        self.cache.remove_ended(SECOND, SECOND)
        self.assertEqual(self.cache._workspaces, {})


if __name__ == "__main__":
    unittest.main()
