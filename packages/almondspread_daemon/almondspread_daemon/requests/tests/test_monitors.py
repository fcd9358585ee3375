import asyncio
import json
import unittest

from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread_daemon.requests.monitor_streams import (
    MAX_BUFFERED_BYTES,
    MonitorStream,
)
from almondspread_daemon.requests.tests.support import ClusterTestCase


class MonitorCaller:
    """A caller that follows a monitor and keeps every line."""

    def __init__(self, case):
        self.case = case
        self.lines = []
        self._partial = b""

    @property
    def positions(self):
        return [line["position"] for line in self.lines]

    def add_chunk(self, chunk):
        *lines, self._partial = (self._partial + chunk).split(b"\n")
        for line in lines:
            self.lines.append(json.loads(line))

    async def follow(self, entry):
        self._partial = b""
        position = self.positions[-1] if self.lines else 0
        url = f"{self.case.cluster.cell.entry_urls[entry]}/v1/requests/route/monitor"
        request = HTTPRequest(
            url,
            method="POST",
            body=b"term 1",
            headers={"X-Position": str(position)},
            streaming_callback=self.add_chunk,
            request_timeout=20.0,
        )
        try:
            await self.case.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return

    async def wait_for_lines(self, count):
        await self.case.wait_until(lambda: len(self.lines) >= count)


class TestMonitors(ClusterTestCase):
    def assert_no_gap_or_repeat(self, caller):
        expected = list(range(1, len(caller.lines) + 1))
        self.assertEqual(caller.positions, expected)

    async def test_broken_stream_is_resumed_without_gap_or_repeat(self):
        caller = MonitorCaller(self)
        following = asyncio.create_task(caller.follow("entry-1"))
        for _ in range(3):
            await caller.wait_for_lines(len(caller.lines) + 5)
            before = sum(len(agent.monitored_from) for agent in self.agents)
            self.set_faults(mode="close")
            await self.wait_until(lambda: self.count_in_flight() == 0)
            self.set_faults(mode="")
            await caller.wait_for_lines(len(caller.lines) + 5)
            after = sum(len(agent.monitored_from) for agent in self.agents)
            self.assertGreater(after, before)
            self.assertEqual(self.count_in_flight(), 1)
        self.assert_no_gap_or_repeat(caller)
        following.cancel()
        self.assert_limits_kept()

    async def test_every_entry_follows_over_at_most_one_hop(self):
        callers = [MonitorCaller(self) for _ in self.cluster.entries]
        following = []
        for caller, name in zip(callers[:2], self.cluster.entries, strict=False):
            following.append(asyncio.create_task(caller.follow(name)))
        for caller in callers[:2]:
            await caller.wait_for_lines(10)
            self.assert_no_gap_or_repeat(caller)
        self.assertEqual(self.count_in_flight(), 2)
        for task in following:
            task.cancel()

    async def test_stopping_entry_ends_the_stream_and_another_resumes_it(self):
        caller = MonitorCaller(self)
        following = asyncio.create_task(caller.follow("entry-1"))
        await caller.wait_for_lines(5)
        await self.cluster.entries["entry-1"].stop()
        del self.cluster.entries["entry-1"]
        await following
        seen = len(caller.lines)
        following = asyncio.create_task(caller.follow("entry-2"))
        await caller.wait_for_lines(seen + 5)
        self.assert_no_gap_or_repeat(caller)
        following.cancel()

    async def test_monitor_of_a_leaving_minion_is_resumed_at_another(self):
        caller = MonitorCaller(self)
        following = asyncio.create_task(caller.follow("entry-1"))
        await caller.wait_for_lines(5)
        busy = [agent for agent in self.agents if agent.in_flight]
        self.cluster.cell.platform.service.instances.mark_leaving(busy[0].name)
        await self.wait_until(lambda: busy[0].in_flight == 0)
        await caller.wait_for_lines(len(caller.lines) + 5)
        self.assertEqual(len(busy[0].monitored_from), 1)
        self.assert_no_gap_or_repeat(caller)
        following.cancel()


class TestMonitorStream(unittest.TestCase):
    def test_repeated_lines_are_dropped_and_a_slow_reader_is_cancelled(self):
        stream = MonitorStream(2)
        stream.feed(b'{"position": 1}\n{"position": 3}\n{"position": 3}\n{"pos')
        self.assertEqual(stream.position, 3)
        self.assertTrue(stream.is_wanted)
        for position in range(4, MAX_BUFFERED_BYTES // 1_000 + 20):
            line = json.dumps({"position": position, "padding": "." * 1_000})
            stream.feed(b"\n" + line.encode() + b"\n")
        self.assertFalse(stream.is_wanted)


if __name__ == "__main__":
    unittest.main()
