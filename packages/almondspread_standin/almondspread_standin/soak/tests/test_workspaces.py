"""The checks of keys and limits find what they are there to find."""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

from almondspread.jobs.submissions import Submission, TaskId
from almondspread.testing.fake_upstream import History
from almondspread_standin.soak.configuration_probe import APPLY_SECONDS
from almondspread_standin.soak.instances import Instance
from almondspread_standin.soak.workspaces import (
    KEY_PREFIX,
    LIMIT_MILLIS,
    SURGE_STEP,
    SURGING_KEY,
    UNHEARD_KEY,
    WorkspaceTraffic,
)

BUSY = 503
LATE, EARLY = APPLY_SECONDS + 0.5, APPLY_SECONDS - 0.5


class FakeClients:
    """Answers calls with a status, and keeps the violations."""

    def __init__(self, status):
        self.status = status
        self.rng = random.Random(1)
        self.history = History()
        self.job_keys = {}
        self.key = ""
        self.violations = self.history.violations
        self.record_violation = self.violations.append
        self.on_call = lambda: None

    async def call(self, instance, method, path, key):
        await asyncio.sleep(0)
        self.on_call()
        return self.status, {}

    def make_name(self):
        return f"{len(self.job_keys):016x}"


class Pool:
    """Upstreams of which one runs some tasks."""

    def __init__(self, tasks):
        upstream = type("Upstream", (), {"runs": tasks})
        endpoint = type("Endpoint", (), {"upstream": upstream})
        self.members = [type("Member", (), {"endpoint": endpoint})]


class KeyCheckTest(unittest.IsolatedAsyncioTestCase):
    async def probe(self, status, added, removed=None, disturbed=False, on_call=None):
        """Return the number of violations of a probe with a key.

        The key was added and perhaps removed some seconds ago.
        """
        now = asyncio.get_running_loop().time()
        clients = FakeClients(status)
        traffic = WorkspaceTraffic(clients, Pool({}), lambda: disturbed)
        traffic.rotate_keys()
        [key] = traffic.keys
        traffic.record_published(now - added)
        if removed is not None:
            self.withdraw(traffic)
            traffic.record_published(now - removed)
        if on_call is not None:
            clients.on_call = lambda: on_call(traffic)
        instance = Instance("instance-1", "north", "127.0.0.1", "", None, None)
        await traffic.probe(instance, key)
        return len(clients.violations)

    def withdraw(self, traffic):
        for _ in range(2):
            traffic.rotate_keys()

    async def test_removed_key_that_is_served_is_a_violation_after_its_time(self):
        self.assertEqual(await self.probe(200, 9, LATE), 1)
        self.assertEqual(await self.probe(200, 9, EARLY), 0)
        self.assertEqual(await self.probe(200, 9), 0)
        self.assertEqual(await self.probe(BUSY, 9, LATE), 0)
        self.assertEqual(await self.probe(401, 9, LATE), 0)

    async def test_added_key_that_is_refused_is_a_violation_after_its_time(self):
        for status in (401, 403):
            self.assertEqual(await self.probe(status, LATE), 1)
            self.assertEqual(await self.probe(status, EARLY), 0)
        self.assertEqual(await self.probe(BUSY, LATE), 0)

    async def test_key_that_is_withdrawn_meanwhile_may_be_refused(self):
        """The next version may be in force before its acknowledgement."""
        self.assertEqual(await self.probe(401, LATE, on_call=self.withdraw), 0)

    async def test_disturbed_instance_may_be_late(self):
        self.assertEqual(await self.probe(200, 9, 9, disturbed=True), 0)
        self.assertEqual(await self.probe(401, 9, disturbed=True), 0)

    async def test_key_that_was_never_published_is_a_violation_at_any_time(self):
        for disturbed in (False, True):
            clients = FakeClients(200)
            traffic = WorkspaceTraffic(clients, Pool({}), lambda now=disturbed: now)
            instance = Instance("instance-1", "north", "127.0.0.1", "", None, None)
            await traffic.probe(instance, UNHEARD_KEY)
            self.assertEqual(len(clients.violations), 1)


class LimitTest(unittest.TestCase):
    def count_violations(self, surging, others=0, log=""):
        """Return the violations of a workspace with so many tasks, and of a log."""
        clients = FakeClients(200)
        traffic = WorkspaceTraffic(clients, Pool({}), lambda: False)
        runs = {}
        for _ in range(surging):
            submission = traffic._make_surge_job()
            runs[TaskId(submission.job, 0, 0, 0)] = None
        other = Submission("f" * 16, "jobs", "", (SURGE_STEP,) * (others + 1))
        clients.history.submissions[other.job] = other
        for number in range(others):
            runs[TaskId(other.job, 0, number, 0)] = None
        traffic.pool = Pool(runs)
        traffic.most_millis = traffic.measure_usage()
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "instance-1.log").write_text(log)
            # Settings and logs of the soak itself are no logs of the processes.
            (Path(folder) / "soak.log").write_text(KEY_PREFIX)
            traffic.check(Path(folder))
        return len(clients.violations)

    def test_more_than_limit_overrun_and_one_task_is_a_violation(self):
        limit = LIMIT_MILLIS // SURGE_STEP.size.cpu_millis
        self.assertEqual(self.count_violations(limit + 1, others=9), 0)
        self.assertEqual(self.count_violations(limit + 2), 1)

    def test_key_in_a_log_is_a_violation(self):
        self.assertEqual(self.count_violations(1, log='{"key": "k"}'), 0)
        self.assertEqual(self.count_violations(1, log=f"x {SURGING_KEY} y"), 1)


if __name__ == "__main__":
    unittest.main()
