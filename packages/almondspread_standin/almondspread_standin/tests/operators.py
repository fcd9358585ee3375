"""A client of operators for tests, and a small cluster to use it on."""

import asyncio
import json
import unittest

from attrs import define
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from almondspread.clock import SystemClock
from almondspread.resources import Capacity
from almondspread_standin.deployment import Deployment, Entry, FailureDomain, Rack
from almondspread_standin.embedded import EmbeddedCluster

WAIT_SECONDS = 20
RACK = Rack("rack", 1, Capacity(4_000, 8_192))


@define
class Answer:
    """The status and document of an answer."""

    status: int
    document: object


class OperatorClient:
    """Calls the interface of entries."""

    def __init__(self):
        self._http = AsyncHTTPClient(force_instance=True)

    def close(self):
        self._http.close()

    async def send(self, url, method="GET", body=None, headers=None):
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=WAIT_SECONDS,
        )
        answer = await self._http.fetch(request, raise_error=False)
        document = json.loads(answer.body) if answer.body else None
        return Answer(answer.code, document)

    async def apply(self, url, *items, **options):
        pairs = []
        for item in items:
            document, version = item if isinstance(item, tuple) else (item, None)
            pairs.append({"document": document, "resource_version": version})
        body = json.dumps({"items": pairs, **options})
        return await self.send(f"{url}/v1/apply", "POST", body)

    def watch(self, url, query=""):
        return Watch(self._http, f"{url}/v1/watch?{query}")


class Watch:
    """One stream of a watch, read as it comes."""

    def __init__(self, http, url):
        self.events = []
        self.bookmark = None
        self._rest = b""
        self._news = asyncio.Event()
        request = HTTPRequest(url, streaming_callback=self._take, request_timeout=0)
        self.ended = asyncio.ensure_future(http.fetch(request, raise_error=False))

    def _take(self, data):
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            event = json.loads(line)
            if event["type"] == "bookmark":
                self.bookmark = event["revision"]
            else:
                self.events.append(event)
        self._news.set()

    async def wait_for(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition(self):
                self._news.clear()
                await self._news.wait()


def make_team(name, cpu_millis=1_000, **labels):
    return {
        "kind": "team",
        "metadata": {"name": name, "labels": labels},
        "cpu_millis": cpu_millis,
        "memory_mib": 1_024,
    }


def make_job(name, team="", tasks=1):
    return {
        "kind": "batch",
        "metadata": {"name": name, "team": team},
        "tasks": tasks,
        "template": {"cpu_millis": 100, "memory_mib": 64},
    }


def make_configuration(policy="packing", name="cell", **values):
    return {
        "kind": "configuration",
        "metadata": {"name": name},
        "policy": policy,
        "values": values,
    }


def plan_deployment(domains, entries_in_each=1):
    """Return failure domains with some entries and one worker each."""
    planned = []
    entries = []
    for domain in domains:
        rack = Rack(f"{domain}-rack", 1, RACK.capacity)
        planned.append(FailureDomain(domain, (rack,)))
        for number in range(1, entries_in_each + 1):
            entries.append(Entry(f"{domain}-{number}", domain, 0, 0))
    return Deployment("operator", "region", tuple(planned), tuple(entries))


class ClusterTest(unittest.IsolatedAsyncioTestCase):
    """Tests on real sockets; ``domains`` have ``entries_in_each`` entries."""

    domains = ("umea",)
    entries_in_each = 1

    async def asyncSetUp(self):
        deployment = plan_deployment(self.domains, self.entries_in_each)
        self.cluster = EmbeddedCluster(deployment, SystemClock())
        await self.cluster.start()
        self.client = OperatorClient()
        self.urls = list(self.cluster.urls.values())

    async def asyncTearDown(self):
        self.client.close()
        await self.cluster.stop()

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_revision(self, revision, names=None):
        entries = [self.cluster.entries[n] for n in names or self.cluster.entries]
        await self.wait_until(
            lambda: all(entry.changes.cache.revision >= revision for entry in entries)
        )
