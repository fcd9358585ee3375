"""A deployment whose entries are real daemon processes, for measurements.

The stand-ins run in the calling process. Every child is started here and ended by
its process id; there are never more than the deployment has entries.
"""

import asyncio
import json
import signal
import sys
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

import psutil
from attrs import define, evolve
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread.clock import Clock
from almondspread_standin.cell import CellOptions, StandInDeployment
from almondspread_standin.deployment import Deployment
from almondspread_standin.embedded import find_free_ports
from almondspread_standin.listening import LOOPBACK

READY_TIMEOUT = timedelta(seconds=60)
READY_PAUSE = timedelta(milliseconds=100)
STOP_TIMEOUT = timedelta(seconds=30)
MAX_HTTP_CALLS = 64


@define(frozen=True)
class ProcessUsage:
    """What one process has used: processor seconds, and resident MiB now."""

    cpu_seconds: float
    resident_mib: float


class ProcessCluster:
    """Runs the entries of a deployment as processes beside its stand-ins.

    ``sections`` are sections of the settings document that replace the defaults.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        options: CellOptions | None = None,
        **sections: dict[str, Any],
    ) -> None:
        entries = []
        ports = iter(find_free_ports(2 * len(deployment.entries)))
        for entry in deployment.entries:
            entries.append(evolve(entry, http_port=next(ports), peer_port=next(ports)))
        self.deployment = evolve(deployment, entries=tuple(entries))
        self.cell = StandInDeployment(self.deployment, clock, options)
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.http = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_HTTP_CALLS)
        self._clock = clock
        self._sections = sections
        self._folder = tempfile.TemporaryDirectory()

    @property
    def urls(self) -> dict[str, str]:
        """The address of each running entry's HTTP listener, by name."""
        found = {}
        for name, url in self.cell.entry_urls.items():
            if name in self.processes:
                found[name] = url
        return found

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        self.cell.start()
        for entry in self.deployment.entries:
            await self.start_entry(entry.name)
        await self.wait_ready()

    async def start_entry(self, name: str) -> None:
        """Start the process of one entry."""
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.make_settings(name)))
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        with log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "almondspread_daemon.command",
                "run",
                "--config",
                str(path),
                stdout=log,
                stderr=log,
            )

    def make_settings(self, name: str) -> dict[str, Any]:
        """Return the settings document of one entry."""
        planned = {entry.name: entry for entry in self.deployment.entries}[name]
        platform = f"http://{self.cell.platform_address}"
        document: dict[str, Any] = {
            "name": name,
            "operator": self.deployment.operator,
            "region": self.deployment.region,
            "failure_domain": planned.failure_domain,
            "failure_domains": [
                domain.name for domain in self.deployment.failure_domains
            ],
            "platform": {
                "table_url": platform,
                "store_url": platform,
                "instances_url": platform,
            },
            "http": {"listen": f"{LOOPBACK}:{planned.http_port}"},
            "peer": {"listen": f"{LOOPBACK}:{planned.peer_port}"},
        }
        document.update(self._sections)
        return document

    async def wait_ready(self) -> None:
        """Wait until every entry says that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT.total_seconds()):
            for name, url in self.urls.items():
                while await self.get_status(f"{url}/readyz") != 200:
                    if self.processes[name].returncode is not None:
                        raise RuntimeError(f"{name} has ended: {self.read_log(name)}")
                    await self._clock.sleep(READY_PAUSE)

    async def get_status(self, url: str) -> int:
        """Return the HTTP status of a GET, 599 for no answer."""
        try:
            response = await self.http.fetch(HTTPRequest(url), raise_error=False)
        except HTTPClientError as error:
            return error.code
        return int(response.code)

    async def get_document(self, url: str) -> Any:
        """Return the JSON document of a GET, ``None`` for no answer."""
        try:
            response = await self.http.fetch(HTTPRequest(url), raise_error=False)
        except HTTPClientError:
            return None
        if response.code != 200:
            return None
        return json.loads(response.body)

    async def post(self, url: str, document: Any) -> tuple[int, Any]:
        """Return the status and JSON document that a POST is answered with."""
        request = HTTPRequest(url, method="POST", body=json.dumps(document))
        try:
            response = await self.http.fetch(request, raise_error=False)
        except HTTPClientError as error:
            return error.code, None
        try:
            return int(response.code), json.loads(response.body or b"null")
        except ValueError:
            return int(response.code), None

    def read_usage(self, name: str) -> ProcessUsage:
        """Return what the process of an entry has used."""
        process = psutil.Process(self.processes[name].pid)
        times = process.cpu_times()
        resident = process.memory_info().rss / (1024 * 1024)
        return ProcessUsage(times.user + times.system, resident)

    def signal_entry(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of an entry."""
        self.processes[name].send_signal(number)

    async def kill_entry(self, name: str) -> None:
        """Kill the process of an entry; the list tells of it after its lag."""
        process = self.processes.pop(name)
        process.kill()
        await process.wait()
        self.cell.platform.service.instances.remove(name)

    async def stop_entry(self, name: str) -> int:
        """Have an entry stop gracefully; return its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        status = await process.wait()
        self.cell.platform.service.instances.remove(name)
        return status

    def read_log(self, name: str) -> str:
        """Return what an entry has logged."""
        return (Path(self._folder.name) / f"{name}.log").read_text()

    async def stop(self) -> None:
        """Kill the processes that still run, and stop the stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.processes.clear()
        await self.cell.stop()
        self._folder.cleanup()
