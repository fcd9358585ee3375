import asyncio
import logging
import unittest
from collections import deque
from datetime import timedelta
from unittest import mock

from tornado.tcpclient import TCPClient

from almondspread_daemon.http import watch
from almondspread_standin.tests.operators import (
    ClusterTest,
    make_configuration,
    make_job,
    make_team,
)


def name_lines(events):
    return [(event["type"], event["name"], event["revision"]) for event in events]


class WatchTest(ClusterTest):
    domains = ("umea", "lulea")

    async def start_watch(self, url, query=""):
        """Return a watch that has begun."""
        started = self.client.watch(url, query)
        await started.wait_for(lambda one: one.bookmark is not None)
        return started

    async def apply(self, *items, url=None):
        answer = await self.client.apply(url or self.urls[0], *items)
        self.assertEqual(answer.status, 200, answer.document)
        return answer.document["revision"]

    async def test_every_instance_tells_the_same_lines(self):
        watches = [await self.start_watch(url, "from=0") for url in self.urls]
        await self.apply(make_team("a"), make_team("b"))
        await self.apply(make_configuration(), make_job("job", "a", 2))
        await self.apply(make_team("a", 5), url=self.urls[1])
        await self.client.send(f"{self.urls[1]}/v1/resources/team/b", "DELETE")
        last = await self.apply(make_team("last"))
        for one in watches:
            await one.wait_for(lambda w: any(e["revision"] >= last for e in w.events))
        upto = [[e for e in one.events if e["revision"] <= last] for one in watches]
        self.assertEqual(upto[0], upto[1])
        revisions = [event["revision"] for event in upto[0]]
        self.assertEqual(revisions, sorted(revisions))
        specs = [line for line in name_lines(upto[0]) if line[0] != "status"]
        self.assertEqual(
            [line[1] for line in specs], ["a", "b", "cell", "job", "a", "b", "last"]
        )
        configuration = next(e for e in upto[0] if e["name"] == "cell")
        accepted = {"accepted_revision": configuration["revision"]}
        self.assertEqual(configuration["status"], accepted)

    async def test_status_is_as_of_the_entry(self):
        await self.apply(make_job("job", tasks=2))
        path = f"{self.urls[0]}/v1/resources/batch/job"
        async with asyncio.timeout(15):
            while True:
                item = await self.client.send(path)
                if item.document["status"]["phase"] != "waiting":
                    break
                await asyncio.sleep(0.05)
        late = await self.start_watch(self.urls[0], "from=0")
        await late.wait_for(lambda w: w.events)
        first = late.events[0]
        self.assertEqual(
            (first["type"], first["status"]["phase"]), ("changed", "waiting")
        )

    async def test_resumes_at_another_instance_after_a_death(self):
        names = list(self.cluster.entries)
        first = await self.start_watch(self.urls[1], "from=0&kinds=team")
        revision = 0
        for number in range(5):
            revision = await self.apply(make_team(f"team-{number}"))
        await first.wait_for(lambda w: len(w.events) == 5)
        await self.cluster.kill_entry(names[1])
        await asyncio.gather(first.ended, return_exceptions=True)
        for number in range(5, 10):
            await self.apply(make_team(f"team-{number}"))
        query = f"from={revision}&kinds=team"
        second = await self.start_watch(self.urls[0], query)
        await second.wait_for(lambda w: len(w.events) >= 5)
        told = [event["name"] for event in first.events + second.events]
        self.assertEqual(told, [f"team-{number}" for number in range(10)])

    async def test_instance_that_is_behind_goes_on_in_order(self):
        revision = await self.apply(make_team("a"))
        ahead = await self.start_watch(self.urls[1], f"from={revision + 1}")
        await self.apply(make_team("b"))
        await self.apply(make_team("c"))
        await ahead.wait_for(lambda w: w.events)
        self.assertEqual([event["name"] for event in ahead.events], ["c"])

    async def test_expired_is_told(self):
        for number in range(4):
            await self.apply(make_team("a", number))
        cache = self.cluster.entries["umea-1"].changes.cache
        cache._history = deque(cache._history, maxlen=2)
        answer = await self.client.send(f"{self.urls[0]}/v1/watch?from=0")
        self.assertEqual((answer.status, answer.document["code"]), (410, "expired"))
        self.assertIn("list the resources again", answer.document["remedy"])

    async def test_watch_that_falls_behind_the_history_is_told(self):
        cache = self.cluster.entries["umea-1"].changes.cache
        cache._history = deque(maxlen=2)
        slow = self.client.watch(self.urls[0], "from=0")
        send = watch.WatchHandler._send
        blocked = asyncio.Event()

        async def send_slowly(handler, data):
            await blocked.wait()
            return await send(handler, data)

        with mock.patch.object(watch.WatchHandler, "_send", send_slowly):
            for number in range(4):
                await self.apply(make_team("a", number))
            blocked.set()
            await slow.ended
        self.assertEqual(slow.events[-1]["type"], "expired")

    async def test_selection(self):
        url = self.urls[0]
        chosen = await self.start_watch(url, "kinds=team&selector=term=spring")
        await self.apply(make_job("job"), make_team("other", 1, term="autumn"))
        await self.apply(make_team("a", 1, term="spring"))
        await self.apply(make_team("a", 2, term="autumn"))
        await self.apply(make_team("a", 3, term="autumn"))
        await self.apply(make_team("a", 4, term="spring"))
        await self.client.send(f"{url}/v1/resources/team/a", "DELETE")
        await chosen.wait_for(lambda w: len(w.events) == 4)
        types = [event["type"] for event in chosen.events]
        self.assertEqual(types, ["changed", "deleted", "changed", "deleted"])
        left = [event.get("left_selection", False) for event in chosen.events]
        self.assertEqual(left, [False, True, False, False])

    async def test_watch_ends_cleanly(self):
        """Neither a caller that goes nor a graceful stop is logged as a failure."""
        entry = self.cluster.entries["lulea-1"]
        with self.assertNoLogs("tornado", logging.ERROR):
            for _ in range(3):
                stream = await self.open_raw_watch(self.urls[1])
                await stream.read_until(b"bookmark")
                stream.close()
            kept = await self.start_watch(self.urls[1])
            await self.apply(make_team("a"))
            await self.wait_until(lambda: entry.watches.count == 1)
            await self.cluster.stop_entry("lulea-1")
            answer = await kept.ended
        self.assertEqual((answer.code, answer.error), (200, None))

    async def open_raw_watch(self, url):
        port = int(url.rsplit(":", 1)[1])
        stream = await TCPClient().connect("127.0.0.1", port)
        stream.write(b"GET /v1/watch HTTP/1.1\r\nHost: a\r\n\r\n")
        return stream

    async def test_slow_watch_is_cut_off(self):
        entry = self.cluster.entries["umea-1"]
        with mock.patch.object(watch, "SEND_TIMEOUT", timedelta(milliseconds=200)):
            stream = await self.open_raw_watch(self.urls[0])
            await self.wait_until(lambda: entry.watches.count == 1)
            large = {str(key): "x" * 60_000 for key in range(10)}
            for number in range(30):
                await self.apply(make_configuration(**large, n=str(number)))
                if not entry.watches.count:
                    break
            await self.wait_until(lambda: entry.watches.count == 0)
        stream.close()


if __name__ == "__main__":
    unittest.main()
