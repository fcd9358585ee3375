import asyncio
import logging
import unittest
from pathlib import Path

from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from opentelemetry.trace import format_trace_id
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from almondspread.clock import SystemClock
from almondspread_daemon.settings import (
    PlatformSettings,
    Settings,
    TelemetrySettings,
)
from almondspread_daemon.telemetry.traces import MAX_QUEUED_SPANS, TracePipeline
from almondspread_standin.deployment import read_deployment
from almondspread_standin.embedded import EmbeddedCluster

SETTINGS = Settings(
    name="umea-1",
    operator="norrland",
    failure_domain="umea",
    failure_domains=("umea",),
    platform=PlatformSettings(
        "http://127.0.0.1:1", "http://127.0.0.1:1", "http://127.0.0.1:1"
    ),
    telemetry=TelemetrySettings(otlp_endpoint="http://127.0.0.1:9", trace_ratio=1.0),
)
EXAMPLE = Path(__file__).parents[5] / "examples" / "norrland" / "deployment.json"
TRACE = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE}-b7ad6b7169203331-01"


class UnreachableEndpointTest(unittest.TestCase):
    def test_spans_over_the_queue_limit_are_dropped_without_blocking(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        traces = TracePipeline(SETTINGS)
        finished = 0
        for _ in range(3 * MAX_QUEUED_SPANS):
            with traces.client_span("table read", "table"):
                finished += 1
        traces.close()
        self.assertEqual(finished, 3 * MAX_QUEUED_SPANS)


class TracesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        deployment = read_deployment(EXAMPLE).ok
        self.cluster = EmbeddedCluster(deployment, SystemClock())
        await self.cluster.start()
        self.exporter = InMemorySpanExporter()
        for entry in self.cluster.entries.values():
            processor = SimpleSpanProcessor(self.exporter)
            entry.telemetry.traces.add_processor(processor)

    async def asyncTearDown(self):
        await self.cluster.stop()

    async def send(self, url, kind, headers):
        client = CurlAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            f"{url}/v1/requests/route/{kind}",
            method="POST",
            body=b"{}",
            headers={"traceparent": TRACEPARENT, **headers},
        )
        while True:
            response = await client.fetch(request, raise_error=False)
            if response.code not in (429, 503):
                return response
            await asyncio.sleep(0.05)

    async def test_one_trace_from_the_caller_to_the_minion(self):
        for number, url in enumerate(self.cluster.urls.values()):
            headers = {"Idempotency-Key": f"trace-{number}"}
            response = await self.send(url, "recalculation", headers)
            self.assertEqual(response.code, 200)
        spans = []
        for span in self.exporter.get_finished_spans():
            if format_trace_id(span.context.trace_id) == TRACE:
                spans.append(span)
        names = {span.name for span in spans}
        self.assertIn("POST request", names)
        self.assertIn("minion recalculation", names)
        self.assertIn("peer SubmitCall", names)
        # Each hop is a child of another hop, or of the caller's own span.
        span_ids = {span.context.span_id for span in spans} | {0xB7AD6B7169203331}
        for span in spans:
            self.assertIn(span.parent.span_id, span_ids, span.name)
