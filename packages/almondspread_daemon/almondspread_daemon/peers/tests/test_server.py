import asyncio
import json
import random
import unittest
from datetime import timedelta
from unittest import mock

from tornado.tcpclient import TCPClient

from almondspread.clock import SystemClock
from almondspread_daemon.peers import PeerLink, PeerServer, server
from almondspread_daemon.peers.messages import Accepted, FetchEntries, Refused
from almondspread_daemon.settings import parse_settings
from almondspread_daemon.telemetry.traces import TracePipeline

URL = "http://127.0.0.1:1"
SETTINGS = {
    "name": "entry-1",
    "operator": "operator",
    "failure_domain": "umea",
    "failure_domains": ["umea"],
    "platform": {"table_url": URL, "store_url": URL, "instances_url": URL},
}
CALL_TIMEOUT = timedelta(seconds=10)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.going = asyncio.Event()
        self.traces = TracePipeline(parse_settings(json.dumps(SETTINGS)).ok)
        self.server = PeerServer({FetchEntries: self.answer}, self.traces)
        self.server.listen(0, "127.0.0.1")
        (listener,) = self.server._sockets.values()
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()

    async def answer(self, message, context):
        await self.going.wait()
        return Accepted()

    async def open_link(self):
        source = random.Random(1)
        link = PeerLink(self.address, SystemClock(), source, TCPClient(), self.traces)
        self.tasks.append(asyncio.create_task(link.run()))
        while not link.is_open:
            await asyncio.sleep(0)
        return link

    async def test_call_over_the_limit_is_refused_and_others_are_answered(self):
        with mock.patch.object(server, "MAX_CALLS_PER_STREAM", 3):
            link, other = await self.open_link(), await self.open_link()
            calls = []
            for _ in range(3):
                calls.append(
                    asyncio.create_task(link.call(FetchEntries(0), CALL_TIMEOUT))
                )
            await asyncio.sleep(0)
            refused = await link.call(FetchEntries(0), CALL_TIMEOUT)
            self.assertIsInstance(refused.ok, Refused)
            self.assertEqual(
                (refused.ok.code, refused.ok.not_run), ("overloaded", True)
            )
            # The limit applies to each stream, so another peer is still served.
            calls.append(asyncio.create_task(other.call(FetchEntries(0), CALL_TIMEOUT)))
            self.going.set()
            for call in calls:
                self.assertEqual((await call).ok, Accepted())
            self.assertEqual(
                (await link.call(FetchEntries(0), CALL_TIMEOUT)).ok, Accepted()
            )
