import asyncio
import unittest

from loguru import logger

from almondspread.codec import decode_message, encode_message
from almondspread.errors import (
    InvalidInput,
    NotFound,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from almondspread.jobs.access import Allowed
from almondspread.jobs.backlog import ServiceWait
from almondspread.jobs.job_records import JobRecord, JobState
from almondspread.jobs.job_table import Announcement
from almondspread.jobs.load_estimate import Loads
from almondspread.jobs.ports import RowPut, Transaction
from almondspread.testing.cell_input import QUEUE, SERVICE, make_configuration
from almondspread_daemon.jobs.job_service import JobService
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.rows import (
    SubmissionRow,
    decode_submission,
    make_progress_name,
)
from almondspread_daemon.jobs.state_cache import JobStateCache
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_key_check,
    make_submission,
)


class JobServiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = StoreParts()
        self.store = self.parts.store
        self.state_cache = JobStateCache()
        self.cancelled = []
        self.is_current = True
        writer = RowWriter(self.parts.access, self.parts.clock, "entry-1")
        self.job_service = JobService(
            self.parts.access,
            writer,
            self.parts.store_clock,
            self.parts.clock,
            self.state_cache,
            self.parts.metrics,
            self.cancelled.append,
            lambda: self.is_current,
            make_key_check(self.parts),
        )
        self.job_service.configuration = make_configuration()
        self.queue = self.job_service.configuration.queues[QUEUE]
        self.work = asyncio.create_task(writer.run())

    async def asyncTearDown(self):
        self.work.cancel()

    async def submit(self, submission):
        return await self.job_service.submit(
            self.queue, submission, 3 * SECOND, Allowed()
        )

    async def test_job_is_stored_with_its_queue(self):
        await self.submit(make_submission("j"))
        [row] = self.store.rows.values()
        stored = decode_submission(decode_message(row.value, SubmissionRow))
        self.assertEqual(stored.accepted_queue.service, SERVICE)
        self.assertEqual(stored.accepted_queue.max_attempts, self.queue.max_attempts)

    async def test_unknown_path_is_refused_for_good_only_while_queues_are_current(self):
        """A path of a queue that was just added was answered as one that is not."""
        found = self.job_service.find_queue("a.example", "/unknown/")
        self.assertIsInstance(found.error, NotFound)
        self.is_current = False
        found = self.job_service.find_queue("a.example", "/unknown/")
        self.assertIsInstance(found.error, Unavailable)
        self.assertTrue(found.error.not_run)
        self.assertGreater(found.error.retry_after_seconds, 0)
        self.assertTrue(self.job_service.find_queue("a.example", "/q/").is_ok())

    async def test_job_is_stored_once_and_shown(self):
        for _ in range(3):
            self.assertIs((await self.submit(make_submission("j"))).ok, JobState.QUEUED)
        self.assertEqual(len(self.store.rows), 1)
        self.state_cache.is_current = True
        self.assertIs(
            (await self.job_service.read_state("j", Allowed())).ok, JobState.QUEUED
        )
        self.assertEqual(self.job_service.count_queued(self.queue).ok, 1)

    async def test_invalid_job_is_refused_and_not_stored(self):
        refused = await self.submit(make_submission("j", count=0))
        self.assertIsInstance(refused.error, InvalidInput)
        self.assertEqual(self.store.rows, {})

    async def test_refusing_store_causes_a_problem_with_retry_after(self):
        self.store.refuses = lambda _: True
        refused = (await self.submit(make_submission("j"))).error
        self.assertIsInstance(refused, Unavailable)
        self.assertTrue(refused.not_run)
        self.assertGreaterEqual(refused.retry_after_seconds, 1)

    async def test_unknown_outcome_is_never_reported_as_not_run(self):
        self.store.hangs = True
        unknown = await self.job_service.submit(
            self.queue, make_submission("j"), SECOND / 5, Allowed()
        )
        self.assertIsInstance(unknown.error, OutcomeUnknown)
        self.assertIsNone(unknown.error.not_run)

    async def test_job_with_too_long_a_queue_wait_is_refused_at_once(self):
        self.state_cache.admission.update(
            Loads((ServiceWait(SERVICE, 0, 60.0),)), self.parts.clock.monotonic()
        )
        refused = (await self.submit(make_submission("j"))).error
        self.assertIsInstance(refused, Overloaded)
        self.assertGreater(refused.retry_after_seconds, 50)
        self.assertEqual(self.store.rows, {})

    async def test_refusal_is_logged_with_what_decided_it(self):
        """An operator could not tell for whom and why a job was refused."""
        loads = Loads((ServiceWait(SERVICE, 0, 60.0),))
        self.state_cache.admission.update(loads, self.parts.clock.monotonic())
        lines = []
        sink = logger.add(lambda message: lines.append(message.record))
        self.addCleanup(logger.remove, sink)
        await self.submit(make_submission("j"))
        (extra,) = (line["extra"] for line in lines if line["message"] == "request")
        self.assertEqual(extra["outcome"], "refused")
        self.assertEqual(extra["reason"], "load")
        self.assertEqual(extra["wait"], 60.0)
        self.assertLess(extra["estimate_age"], 1.0)
        self.assertGreater(extra["retry_after"], 50)
        text = self.parts.metrics.render().decode()
        self.assertRegex(text, 'job_refusals_total{[^}]*reason="load"')

    async def test_unknown_job_is_not_found_only_if_all_jobs_are_known(self):
        unreachable = await self.job_service.read_state("j", Allowed())
        self.assertIsInstance(unreachable.error, Unavailable)
        self.state_cache.knows_all = True
        not_found = await self.job_service.read_state("j", Allowed())
        self.assertIsInstance(not_found.error, NotFound)

    async def test_job_that_ended_before_this_instance_began_is_found(self):
        self.state_cache.knows_all = True
        record = encode_message(JobRecord("j", QUEUE, "completed"))
        put = RowPut(make_progress_name("j"), record)
        await self.store.transact(Transaction(puts=(put,)), SECOND)
        self.assertIs(
            (await self.job_service.read_state("j", Allowed())).ok, JobState.COMPLETED
        )
        self.store.refuses = lambda _: True
        self.assertIs(
            (await self.job_service.read_state("j", Allowed())).ok, JobState.COMPLETED
        )
        unavailable = await self.job_service.read_state("k", Allowed())
        self.assertIsInstance(unavailable.error, Unavailable)

    async def test_state_without_a_leader_comes_from_the_stored_progress(self):
        record = encode_message(JobRecord("j", QUEUE, "completed"))
        put = RowPut(make_progress_name("j"), record)
        await self.store.transact(Transaction(puts=(put,)), SECOND)
        self.assertIs(
            (await self.job_service.read_state("j", Allowed())).ok, JobState.COMPLETED
        )

    async def test_cancellation_of_an_unknown_job_is_stored(self):
        self.assertIs(
            (await self.job_service.cancel("j", Allowed())).ok, JobState.CANCELLED
        )
        self.assertEqual(self.cancelled, ["j"])
        self.assertEqual(len(self.store.rows), 1)

    async def test_ended_job_keeps_its_state(self):
        self.state_cache.replace((Announcement("j", QUEUE, "completed"),))
        self.assertIs(
            (await self.job_service.cancel("j", Allowed())).ok, JobState.COMPLETED
        )
        self.state_cache.mark_stale()
        self.assertIs(
            (await self.job_service.read_state("j", Allowed())).ok, JobState.COMPLETED
        )
        self.assertEqual(self.store.rows, {})

    async def test_host_and_longest_prefix_find_the_queue(self):
        self.assertEqual(
            self.job_service.find_queue("a.example", "/q/1").ok.name, QUEUE
        )
        missing = self.job_service.find_queue("b.example", "/q/1")
        self.assertIsInstance(missing.error, NotFound)
        self.job_service.configuration = None
        unconfigured = self.job_service.find_queue("a.example", "/q/1")
        self.assertIsInstance(unconfigured.error, Unavailable)


if __name__ == "__main__":
    unittest.main()
