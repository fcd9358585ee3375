import json
import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread_cli.addresses import Target
from almondspread_cli.client import Client
from almondspread_cli.failures import ExitCode
from almondspread_cli.tests.entries import (
    EntryTestCase,
    answer_in_turn,
    answer_json,
    answer_problem,
)
from almondspread_cli.waiting import (
    Awaited,
    judge_applied,
    judge_cancelled,
    wait_for,
)

SERVICE = Awaited("service", "stops", 7)
MISSING = answer_problem(404, "not_found", True)
UNAVAILABLE = answer_problem(503, "unavailable")


def make_item(version, **status):
    document = {"kind": "service", "replicas": 3}
    return {"resource_version": version, "document": document, "status": status}


class SelfMovingClock(ManualClock):
    async def sleep(self, duration):
        self.advance(duration)


class JudgeTest(unittest.TestCase):
    def test_only_what_is_at_or_after_the_applied_version_counts(self):
        cases = [
            (None, False),
            (make_item(6, ready=True, replicas=3), False),
            (make_item(7), False),
            (make_item(7, ready=False, replicas=3), False),
            # The status is still that of the two replicas of the version before.
            (make_item(7, ready=True, replicas=2), False),
            (make_item(7, ready=True, replicas=3), True),
        ]
        for item, done in cases:
            with self.subTest(item=item):
                self.assertEqual(judge_applied(SERVICE, item).done, done)

    def test_configuration_waits_for_every_instance(self):
        awaited = Awaited("configuration", "cell", 7)
        cases = [
            ({"accepted_revision": 6, "in_force": ["a"], "not_in_force": {}}, False),
            ({"accepted_revision": 7, "in_force": [], "not_in_force": {}}, False),
            (
                {"accepted_revision": 7, "in_force": ["a"], "not_in_force": {"b": "x"}},
                False,
            ),
            ({"accepted_revision": 7, "in_force": ["a", "b"]}, True),
        ]
        for status, done in cases:
            with self.subTest(status=status):
                item = {"resource_version": 7, "status": status}
                self.assertEqual(judge_applied(awaited, item).done, done)

    def test_a_cancelled_job_is_done_when_none_of_its_tasks_runs(self):
        job = Awaited("batch", "nightly", 0)
        self.assertTrue(judge_cancelled(job, None).done)
        for running, done in ((2, False), (0, True)):
            item = make_item(1, phase="cancelled", running=running)
            self.assertEqual(judge_cancelled(job, item).done, done)


class WaitTest(EntryTestCase):
    async def wait_by(self, *answers):
        entry = self.start_entry(answer_in_turn(*answers))
        async with Client(Target((f"http://{entry.address}",))) as client:
            limit = timedelta(seconds=20)
            clock = SelfMovingClock()
            return await wait_for(client, clock, [SERVICE], judge_applied, limit)

    async def test_waits_through_lag_and_outages(self):
        item = make_item(7, ready=True, replicas=3)
        waiting = make_item(7, ready=False, replicas=3)
        answers = (MISSING, UNAVAILABLE, answer_json(waiting), answer_json(item))
        self.assertTrue((await self.wait_by(*answers)).is_ok())

    async def test_ends_when_the_resource_is_removed(self):
        result = await self.wait_by(answer_json(make_item(7)), MISSING)
        self.assertEqual(result.error.exit_code, ExitCode.FAILED)

    async def test_time_that_runs_out_leaves_the_outcome_unknown(self):
        result = await self.wait_by(MISSING)
        self.assertEqual(result.error.exit_code, ExitCode.UNKNOWN)
        self.assertIn("service/stops (not yet seen)", result.error.message)

    async def test_apply_ends_with_1_when_the_job_fails(self):
        job = {
            "kind": "batch",
            "metadata": {"name": "nightly"},
            "tasks": 1,
            "template": {"cpu_millis": 1, "memory_mib": 1},
        }
        applied = {"kind": "batch", "name": "nightly", "resource_version": 7}
        status = {"phase": "impossible", "message": "no worker has 1 core"}
        entry = self.start_entry(
            answer_in_turn(
                answer_json({"items": [{**applied, "outcome": "created"}]}),
                answer_json({**applied, "document": job, "status": status}),
            )
        )
        words = ("apply", "--wait", "-f", "-")
        result = await self.invoke([entry], *words, text=json.dumps(job))
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertIn("impossible: no worker has 1 core", result.stderr)
