"""Guards against one unexpected error that ends a loop, or the process with it."""

import asyncio
import unittest

from expression import Error, Ok

from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.operator_rows import OperatorRowStates
from almondspread.jobs.ports import CallFailed
from almondspread_daemon.jobs.follower import Follower
from almondspread_daemon.jobs.lasting import ERROR_PAUSE, run_lasting
from almondspread_daemon.jobs.links import LeaderLink
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.leader_case import LeaderTestCase
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_instance,
)

# Loops of a leader that go on after an error, and those that end the epoch.
INDEPENDENT = {
    "upstream list": "_upstream_list",
    "load log": "_load_log",
    "retention": "_retention",
    "maintenance": "_maintenance",
}
ENDING = (
    "_run_commits",
    "_follow_submissions",
    "_load_missing_partitions",
    "_fence_marks",
    "_passes.run",
    "_announcer.run",
    "_send_heartbeats",
)
ROUNDS = 300
LEADER = LeaderRow(1, "entry-1", "one", "127.0.0.1:1", 50.0)


class EmptyDirectory:
    async def read_operator_rows(self, times):
        return Ok(OperatorRowStates((), 0))

    async def follow_operator_rows(self, after, wait, times):
        await asyncio.sleep(0)
        return Ok(OperatorRowStates((), 0))

    async def list_upstreams(self, timeout):
        return Ok([])


class FailingMachines:
    """A service for machines that cannot be reached."""

    async def list_machines(self, timeout):
        await asyncio.sleep(0)
        return Error(CallFailed("unreachable", not_done=True))


def fail_once(owner, name):
    """Have a method of ``owner`` raise at its first call; return all its calls."""
    method = getattr(owner, name)
    calls = []

    def call(*arguments):
        calls.append(arguments)
        if len(calls) == 1:
            raise RuntimeError("unexpected")
        return method(*arguments)

    setattr(owner, name, call)
    return calls


async def run_rounds():
    for _ in range(ROUNDS):
        await asyncio.sleep(0)


def count_errors(metrics, loop):
    lines = metrics.render().decode().splitlines()
    found = [line for line in lines if "loop_errors" in line and f'"{loop}"' in line]
    return float(found[0].rsplit(" ", 1)[1]) if found else 0.0


class RunLastingTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_error_is_counted_and_followed_by_a_pause(self):
        parts = StoreParts()
        began = []

        async def run():
            began.append(parts.clock.monotonic())
            if len(began) < 4:
                raise RuntimeError("unexpected")

        await run_lasting("a loop", run, parts.clock, parts.metrics)
        gaps = {
            later - earlier for earlier, later in zip(began, began[1:], strict=False)
        }
        self.assertEqual(gaps, {ERROR_PAUSE})
        self.assertEqual(count_errors(parts.metrics, "a loop"), 3.0)

    async def test_cancellation_ends_the_loop(self):
        parts = StoreParts()
        running = asyncio.create_task(
            run_lasting("a loop", asyncio.Event().wait, parts.clock, parts.metrics)
        )
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertTrue(running.cancelled())


class InstanceLoopsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = parts = StoreParts()
        self.access = StoreAccess(
            parts.store, EmptyDirectory(), parts.clock, parts.metrics
        )
        self.instance = make_instance(parts, self.access)

    async def check(self, loop, owner, name):
        """Run the instance with one error, and check that the loop goes on."""
        calls = fail_once(owner, name)
        running = asyncio.create_task(self.instance.run())
        try:
            await run_rounds()
            self.assertGreater(len(calls), 1)
            self.assertFalse(running.done())
            self.assertEqual(count_errors(self.parts.metrics, loop), 1.0)
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self.instance.close()

    async def test_feed_of_operators_rows_goes_on(self):
        await self.check("operations", self.access, "follow_operator_rows")

    async def test_election_goes_on(self):
        await self.check("election", self.instance._leader_rows, "read")

    async def test_probes_go_on(self):
        await self.check("probes", self.access, "run_probes")

    async def test_removal_of_ended_jobs_goes_on(self):
        await self.check("ended jobs", self.instance, "_remove_ended_jobs")

    async def test_writes_go_on(self):
        """The rows of the failed round may be stored or not; later ones are."""
        writer = self.instance._writer
        calls = fail_once(writer, "_write_batch")
        running = asyncio.create_task(self.instance.run())
        lost = await writer.write("a", b"1", SECOND / 50)
        self.assertFalse(lost.error.not_done and calls[0][0][0].sent)
        written = await writer.write("b", b"2", SECOND)
        self.assertTrue(written.is_ok())
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.instance.close()


class LeaderLoopsTest(LeaderTestCase):
    async def lead(self):
        """Return a session that leads, and the task that runs it."""
        await self.claim()
        parts = self.parts
        parts.access = StoreAccess(
            parts.store, EmptyDirectory(), parts.clock, parts.metrics
        )
        return self.make_session(LEADER, machines=FailingMachines())

    async def test_independent_loops_go_on(self):
        for name, attribute in INDEPENDENT.items():
            with self.subTest(loop=name):
                await self.asyncSetUp()
                session = await self.lead()
                calls = fail_once(getattr(session, attribute), "run")
                running = asyncio.create_task(session.run())
                for _ in range(ROUNDS):
                    if len(calls) > 1 or running.done():
                        break
                    await asyncio.sleep(0)
                self.assertGreater(len(calls), 1)
                self.assertFalse(running.done())
                self.assertEqual(count_errors(self.parts.metrics, name), 1.0)
                running.cancel()
                await asyncio.gather(running, return_exceptions=True)

    async def test_error_that_may_break_a_promise_ends_the_epoch(self):
        for name in ENDING:
            with self.subTest(loop=name):
                await self.asyncSetUp()
                session = await self.lead()
                owner, _, method = name.rpartition(".")
                fail_once(getattr(session, owner) if owner else session, method)
                with self.assertRaises((ExceptionGroup, RuntimeError)):
                    await session.run()


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    async def test_error_in_the_heartbeats_closes_the_link(self):
        """The leader heard nothing more, and the link stayed open for good."""
        parts = StoreParts()
        instance = make_instance(parts, parts.access)

        class Closable:
            closed = False

            def send(self, message):
                raise RuntimeError("unexpected")

            def close(self):
                self.closed = True

        link = Closable()
        follower: Follower = instance._follower
        leader = LeaderLink(link, parts.clock.monotonic())
        await follower._run_heartbeat(leader, LEADER)
        self.assertTrue(link.closed)


if __name__ == "__main__":
    unittest.main()
