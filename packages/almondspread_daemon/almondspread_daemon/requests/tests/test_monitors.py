import asyncio
import json
import unittest

from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread_daemon.requests.monitor_streams import (
    MAX_BUFFERED_BYTES,
    MonitorStream,
)
from almondspread_daemon.requests.tests.support import ClusterTestCase


class Follower:
    """A caller that follows a monitor and keeps every line."""

    def __init__(self, case):
        self.case = case
        self.lines = []
        self._partial = b""

    @property
    def positions(self):
        return [line["position"] for line in self.lines]

    def take_chunk(self, chunk):
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
            streaming_callback=self.take_chunk,
            request_timeout=20.0,
        )
        try:
            await self.case.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return

    async def until_lines(self, count):
        await self.case.wait_until(lambda: len(self.lines) >= count)


class TestMonitors(ClusterTestCase):
    def check_whole(self, follower):
        expected = list(range(1, len(follower.lines) + 1))
        self.assertEqual(follower.positions, expected)

    async def test_broken_stream_is_resumed_without_gap_or_repeat(self):
        follower = Follower(self)
        following = asyncio.create_task(follower.follow("entry-1"))
        for _ in range(3):
            await follower.until_lines(len(follower.lines) + 5)
            before = sum(len(agent.monitored_from) for agent in self.agents)
            self.set_faults(mode="close")
            await self.wait_until(lambda: self.count_in_flight() == 0)
            self.set_faults(mode="")
            await follower.until_lines(len(follower.lines) + 5)
            after = sum(len(agent.monitored_from) for agent in self.agents)
            self.assertGreater(after, before)
            self.assertEqual(self.count_in_flight(), 1)
        self.check_whole(follower)
        following.cancel()
        self.assert_limits_kept()

    async def test_every_entry_follows_over_at_most_one_hop(self):
        followers = [Follower(self) for _ in self.cluster.entries]
        following = []
        for follower, name in zip(followers[:2], self.cluster.entries, strict=False):
            following.append(asyncio.create_task(follower.follow(name)))
        for follower in followers[:2]:
            await follower.until_lines(10)
            self.check_whole(follower)
        self.assertEqual(self.count_in_flight(), 2)
        for task in following:
            task.cancel()

    async def test_stopping_entry_ends_the_stream_and_another_resumes_it(self):
        follower = Follower(self)
        following = asyncio.create_task(follower.follow("entry-1"))
        await follower.until_lines(5)
        await self.cluster.entries["entry-1"].stop()
        del self.cluster.entries["entry-1"]
        await following
        seen = len(follower.lines)
        following = asyncio.create_task(follower.follow("entry-2"))
        await follower.until_lines(seen + 5)
        self.check_whole(follower)
        following.cancel()

    async def test_leaving_minion_hands_its_monitor_on(self):
        follower = Follower(self)
        following = asyncio.create_task(follower.follow("entry-1"))
        await follower.until_lines(5)
        busy = [agent for agent in self.agents if agent.in_flight]
        self.cluster.cell.platform.service.instances.mark_leaving(busy[0].name)
        await self.wait_until(lambda: busy[0].in_flight == 0)
        await follower.until_lines(len(follower.lines) + 5)
        self.assertEqual(len(busy[0].monitored_from), 1)
        self.check_whole(follower)
        following.cancel()


class TestLeg(unittest.TestCase):
    def test_repeated_lines_are_dropped_and_a_slow_reader_is_cut(self):
        leg = MonitorStream(2)
        leg.feed(b'{"position": 1}\n{"position": 3}\n{"position": 3}\n{"pos')
        self.assertEqual(leg.position, 3)
        self.assertTrue(leg.is_wanted)
        for position in range(4, MAX_BUFFERED_BYTES // 1_000 + 20):
            line = json.dumps({"position": position, "padding": "." * 1_000})
            leg.feed(b"\n" + line.encode() + b"\n")
        self.assertFalse(leg.is_wanted)


if __name__ == "__main__":
    unittest.main()
