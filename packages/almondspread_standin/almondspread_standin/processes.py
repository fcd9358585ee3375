"""A deployment whose entries are real daemons in processes of their own.

The stand-ins run in the calling process. Every child is started here and ended by its
process id; there are never more of them than the deployment has entries.
"""

import asyncio
import json
import signal
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import psutil
from attrs import define
from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread.clock import Clock
from almondspread.codec import unstructure_value
from almondspread_daemon.settings import LogSettings
from almondspread_platform import open_client
from almondspread_standin.cell import CellOptions
from almondspread_standin.deployment import Deployment
from almondspread_standin.embedded import SHORT_POLL, EmbeddedCluster
from almondspread_standin.listening import LOOPBACK

READY_SECONDS = 60.0
READY_PAUSE = timedelta(milliseconds=50)
STOP_SECONDS = 90.0
CALL_SECONDS = 10.0
MAX_CALLS = 64


@define(frozen=True)
class ProcessUsage:
    """What one process has used: processor seconds, and resident MiB now."""

    cpu_seconds: float
    resident_mib: float


class DaemonProcesses:
    """Stand-ins in this process, and one daemon process for each entry.

    ``sections`` are sections of the settings that replace the defaults of an embedded
    deployment. Settings files are written into ``directory``.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        directory: Path,
        options: CellOptions | None = None,
        poll: timedelta = SHORT_POLL,
        **sections: Any,
    ) -> None:
        log = LogSettings(level="error", format="text")
        self._planned = EmbeddedCluster(
            deployment, clock, options, poll, log=log, **sections
        )
        self.deployment = self._planned.deployment
        self.cell = self._planned.cell
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._clock = clock
        self._directory = directory
        self._client = open_client(MAX_CALLS)

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.cell.start()
        for entry in self.deployment.entries:
            await self.start_entry(entry.name)
        async with asyncio.timeout(READY_SECONDS):
            for name in list(self.processes):
                await self.wait_ready(name)

    async def start_entry(self, name: str) -> None:
        """Start the daemon of one entry, and have the platform list it."""
        path = self._directory / f"{name}.json"
        settings = self._planned.make_settings(name)
        path.write_text(json.dumps(unstructure_value(settings)))
        for entry in self.deployment.entries:
            if entry.name == name:
                instance = entry.describe_instance(LOOPBACK)
                self.cell.platform.service.instances.add(instance)
        command = ("-m", "almondspread_daemon.command", "run", "--config", str(path))
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, *command
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon says that it is ready; raises if it has ended."""
        while await self.fetch_text(name, "/readyz") == "":
            if self.processes[name].returncode is not None:
                raise RuntimeError(f"the daemon of {name} has ended")
            await self._clock.sleep(READY_PAUSE)

    async def fetch(self, name: str, path: str, document: Any = None) -> Any:
        """Return the JSON answer of a daemon, ``None`` where there is none."""
        method = "GET" if document is None else "POST"
        answer = await self._call(name, method, path, document)
        return None if answer is None else json.loads(answer)

    async def fetch_text(self, name: str, path: str) -> str:
        """Return the text that a daemon answers, empty where there is none."""
        answer = await self._call(name, "GET", path, None)
        return "" if answer is None else answer.decode()

    async def _call(
        self, name: str, method: str, path: str, document: Any
    ) -> bytes | None:
        """Return the body of an answer with status 200."""
        request = HTTPRequest(
            self.cell.entry_urls[name] + path,
            method=method,
            body=None if document is None else json.dumps(document),
            request_timeout=CALL_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return None
        return bytes(response.body) if response.code == 200 else None

    def read_usage(self, name: str) -> ProcessUsage:
        """Return what the process of an entry has used."""
        process = psutil.Process(self.processes[name].pid)
        times = process.cpu_times()
        resident = process.memory_info().rss / (1024 * 1024)
        return ProcessUsage(times.user + times.system, resident)

    async def pause(self, name: str, duration: timedelta) -> None:
        """Have a daemon stand still for a while."""
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        await self._clock.sleep(duration)
        process.send_signal(signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """End a daemon with no warning; the list tells of it after its lag."""
        process = self.processes.pop(name)
        process.kill()
        self.cell.platform.service.instances.remove(name)
        await process.wait()

    async def terminate(self, name: str) -> int:
        """Stop a daemon gracefully and return its exit status."""
        process = self.processes.pop(name)
        self.cell.platform.service.instances.mark_leaving(name)
        process.terminate()
        status = await asyncio.wait_for(process.wait(), STOP_SECONDS)
        self.cell.platform.service.instances.remove(name)
        return status

    async def stop(self) -> None:
        """End all that was started."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.processes.clear()
        self._client.close()
        await self.cell.stop()
