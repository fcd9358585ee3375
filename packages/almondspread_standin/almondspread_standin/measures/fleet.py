"""Real processes for a measurement: one platform and groups of entries."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

import psutil
from attrs import define
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from almondspread.clock import Clock
from almondspread_standin.embedded import find_free_ports
from almondspread_standin.listening import LOOPBACK

READY_TIMEOUT = timedelta(seconds=30)
PAUSE = timedelta(milliseconds=100)
CALL_TIMEOUT_SECONDS = 20.0
LOG_LETTERS = 600
NO_ANSWER = 599
BYTES_A_MEGABYTE = 10**6
WORKER_CAPACITY = {"cpu_millis": 16_000, "memory_mib": 32_768}


@define
class Node:
    """One entry instance and the process that it runs in."""

    name: str
    failure_domain: str
    http_port: int
    peer_port: int
    process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """The address of its HTTP listener."""
        return f"http://{LOOPBACK}:{self.http_port}"


@define
class Group:
    """The process that hosts the entries of one failure domain."""

    failure_domain: str
    control_port: int
    nodes: list[Node]
    process: subprocess.Popen[bytes]


class Fleet:
    """Starts a platform and entries; ends what it started, by process id.

    With ``grouped`` the entries of a failure domain share a process, whose peers can
    be cut off; otherwise each is a daemon of its own.
    """

    def __init__(
        self, clock: Clock, domains: int, instances: int, grouped: bool
    ) -> None:
        self.nodes: list[Node] = []
        self.groups: list[Group] = []
        self.http = AsyncHTTPClient(force_instance=True, max_clients=1_000)
        self._clock = clock
        self._grouped = grouped
        self._domains = [f"domain-{number}" for number in range(1, domains + 1)]
        ports = iter(find_free_ports(1 + domains + 2 * instances))
        self._platform_port = next(ports)
        self._control_ports = {domain: next(ports) for domain in self._domains}
        self._folder = tempfile.TemporaryDirectory(prefix="almondspread-measure-")
        self._processes: list[subprocess.Popen[bytes]] = []
        for number in range(instances):
            domain = self._domains[number % domains]
            name = f"entry-{number + 1}"
            self.nodes.append(Node(name, domain, next(ports), next(ports)))

    @property
    def platform_url(self) -> str:
        """The address of the platform."""
        return f"http://{LOOPBACK}:{self._platform_port}"

    async def start(self) -> None:
        """Start all processes and wait until every entry is ready."""
        deployment = self._write("deployment.json", self._describe_deployment())
        port = str(self._platform_port)
        self._spawn("run", "--deployment", deployment, "--platform-port", port)
        await self._wait_for(self._is_platform_up)
        if self._grouped:
            for domain in self._domains:
                self._start_group(domain)
        else:
            for node in self.nodes:
                self.start_daemon(node)
        await self._wait_for(self._are_all_ready)

    def start_daemon(self, node: Node) -> None:
        """Start one entry as a daemon."""
        path = self._write(f"{node.name}.json", self._describe_settings(node))
        arguments = ["-m", "almondspread_daemon.command", "run", "--config", path]
        node.process = self._start_process(node.name, arguments)

    def _start_group(self, domain: str) -> None:
        """Start the entries of one failure domain in one process."""
        nodes = [node for node in self.nodes if node.failure_domain == domain]
        control_port = self._control_ports[domain]
        options = ["--control-port", str(control_port)]
        for node in nodes:
            path = self._write(f"{node.name}.json", self._describe_settings(node))
            options.extend(["--settings", path])
        process = self._spawn("host", *options)
        self.groups.append(Group(domain, control_port, nodes, process))

    def _spawn(self, command: str, *options: str) -> subprocess.Popen[bytes]:
        """Start a command of the stand-ins."""
        arguments = ["-m", "almondspread_standin", command, *options]
        return self._start_process(f"{command}-{len(self._processes)}", arguments)

    def _start_process(
        self, name: str, arguments: list[str]
    ) -> subprocess.Popen[bytes]:
        """Start a process of this interpreter, with its output in a file."""
        output = (Path(self._folder.name) / f"{name}.log").open("wb")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=output,
            stderr=output,
            env=dict(os.environ),
        )
        output.close()
        self._processes.append(process)
        return process

    def _write(self, name: str, document: Any) -> str:
        """Write a JSON file; return its path."""
        path = Path(self._folder.name) / name
        path.write_text(json.dumps(document))
        return str(path)

    def _describe_deployment(self) -> dict[str, Any]:
        """Return the deployment of this fleet, with one worker a domain."""
        domains = []
        for domain in self._domains:
            rack = {
                "name": f"{domain}-rack",
                "workers": 1,
                "capacity": WORKER_CAPACITY,
            }
            domains.append({"name": domain, "racks": [rack], "minions": []})
        entries = []
        for node in self.nodes:
            entries.append(
                {
                    "name": node.name,
                    "failure_domain": node.failure_domain,
                    "http_port": node.http_port,
                    "peer_port": node.peer_port,
                }
            )
        return {
            "operator": "measure",
            "region": "measure",
            "failure_domains": domains,
            "entries": entries,
        }

    def _describe_settings(self, node: Node) -> dict[str, Any]:
        """Return the settings of one entry."""
        return {
            "name": node.name,
            "operator": "measure",
            "failure_domain": node.failure_domain,
            "failure_domains": self._domains,
            "platform": {
                "table_url": self.platform_url,
                "store_url": self.platform_url,
                "instances_url": self.platform_url,
            },
            "http": {"listen": f"{LOOPBACK}:{node.http_port}"},
            "peer": {"listen": f"{LOOPBACK}:{node.peer_port}"},
            "log": {"level": "warning"},
        }

    async def call(
        self, url: str, method: str = "GET", document: Any = None
    ) -> tuple[int, Any]:
        """Return the status and document of a call; ``NO_ANSWER`` for none."""
        request = HTTPRequest(
            url,
            method=method,
            body=None if document is None else json.dumps(document),
            request_timeout=CALL_TIMEOUT_SECONDS,
            allow_nonstandard_methods=True,
        )
        try:
            answer = await self.http.fetch(request, raise_error=False)
            return answer.code, json.loads(answer.body or b"null")
        except (HTTPClientError, OSError, ValueError):
            return NO_ANSWER, None

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set fault switches of the platform."""
        await self.call(f"{self.platform_url}/faults", "POST", faults)

    async def cut_off(self, domain: str) -> None:
        """Cut a failure domain off from the platform and from all others."""
        await self.set_platform_faults(cut_off=[domain])
        inside = [n.peer_port for n in self.nodes if n.failure_domain == domain]
        outside = [n.peer_port for n in self.nodes if n.failure_domain != domain]
        for group in self.groups:
            cut = outside if group.failure_domain == domain else inside
            await self.set_host_faults(group, cut_ports=cut)

    async def reconnect(self) -> None:
        """End the cut."""
        await self.set_platform_faults(cut_off=[])
        for group in self.groups:
            await self.set_host_faults(group, cut_ports=[])

    async def set_host_faults(self, group: Group, **faults: Any) -> None:
        """Set fault switches of the entries of a failure domain."""
        await self.call(
            f"http://{LOOPBACK}:{group.control_port}/faults", "POST", faults
        )

    async def _is_platform_up(self) -> bool:
        """Tell whether the platform answers."""
        return (await self.call(f"{self.platform_url}/counters"))[0] == 200

    async def _are_all_ready(self) -> bool:
        """Tell whether every entry is ready and knows all the others."""
        for node in self.nodes:
            status, document = await self.call(f"{node.url}/v1/status")
            if status != 200 or not document["ready"]:
                return False
            live = [peer for peer in document["peers"] if peer["state"] == "alive"]
            if len(live) < len(self.nodes) - 1:
                return False
        return True

    async def _wait_for(self, condition: Any) -> None:
        """Wait until a condition holds; raises ``TimeoutError`` with the logs."""
        give_up = self._clock.monotonic() + READY_TIMEOUT
        while not await condition():
            if self._clock.monotonic() > give_up:
                raise TimeoutError(f"not ready in time:\n{self._read_logs()}")
            await self._clock.sleep(PAUSE)

    def _read_logs(self) -> str:
        """Return the end of each process's output."""
        found = []
        for path in sorted(Path(self._folder.name).glob("*.log")):
            found.append(f"{path.name}: {path.read_text()[-LOG_LETTERS:]}")
        return "\n".join(found)

    def read_resident_mb(self, node: Node) -> float:
        """Return the resident memory of a daemon in 10**6 bytes."""
        assert node.process is not None
        return float(
            psutil.Process(node.process.pid).memory_info().rss / BYTES_A_MEGABYTE
        )

    def kill(self, node: Node) -> None:
        """Kill a daemon with no warning."""
        assert node.process is not None
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()

    def stop(self) -> None:
        """End every process that was started."""
        self.http.close()
        for process in self._processes:
            if process.poll() is None:
                process.terminate()
        for process in self._processes:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()
