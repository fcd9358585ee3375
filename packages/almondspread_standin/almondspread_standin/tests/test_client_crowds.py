import tempfile
import unittest
from pathlib import Path

from attrs import evolve

from almondspread.clock import SystemClock
from almondspread_daemon.http.tests.crowd import (
    BODY_BYTES,
    LOOPBACK,
    ClientCrowd,
    CrowdTests,
)
from almondspread_standin.deployment import Deployment, Entry, FailureDomain
from almondspread_standin.processes import DaemonProcesses

NAME = "entry-1"
REQUEST = b"GET /healthz HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\n{}"
DEPLOYMENT = Deployment(
    "operator", "region", (FailureDomain("umea", (), ()),), (Entry(NAME, "umea", 1, 2),)
)
# Half of the descriptors are for callers.
MAX_CONNECTIONS = CrowdTests.DESCRIPTORS // 2


class DaemonCrowdTest(CrowdTests, unittest.IsolatedAsyncioTestCase):
    """A daemon process whose HTTP listener a crowd of clients reaches."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.processes = DaemonProcesses(DEPLOYMENT, SystemClock(), Path(folder.name))
        self.addAsyncCleanup(self.processes.stop)
        planned = self.processes._planned
        make_settings = planned.make_settings
        limits = {"max_body_bytes": BODY_BYTES}
        if "descriptors" in self._testMethodName:
            limits["max_connections"] = MAX_CONNECTIONS

        def make_limited_settings(name):
            settings = make_settings(name)
            return evolve(settings, http=evolve(settings.http, **limits))

        planned.make_settings = make_limited_settings
        await self.processes.start()
        self.pid = self.processes.processes[NAME].pid
        port = self.processes.deployment.entries[0].http_port
        self.crowd = ClientCrowd(f"{LOOPBACK}:{port}", "/v1/requests/route/lookup")
        self.addCleanup(self.crowd.close)
        self.ordinary_request = REQUEST


if __name__ == "__main__":
    unittest.main()
