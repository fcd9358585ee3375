"""A small deployment on loopback addresses: real instances, and stand-ins around them.

The instances are processes of the deploy file's command. Each service of the platform,
each minion and each instance's peer port is reached through a proxy, which knows the
zones of both sides and can cut them off from each other.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

from minion import Endpoint, Minion
from store import Store
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

ROOT = Path(__file__).resolve().parents[2]
HOST = "queue.example"
SERVICE = "pool"
PREFIX = "/jobs/"
BEAT_S = 1.5
MAX_LAG_S = 0.1
METRICS_PORT = 9464
FRONT, READY, CONTROL, FIRST_PEER = 8161, 8167, 8166, 7720
# Loopback networks of these numbers are used, each by one script at a time.
NETWORKS = range(221, 251)
LOOKUPS = 20
# What a zone's services of the platform and the driver itself are reached as.
PLATFORM = "platform"
# The zone of a caller where nothing is cut off.
ANYWHERE = "anywhere"


class Network:
    """Which pairs of zones are cut off from each other, and which process is where."""

    def __init__(self):
        self.cuts = set()
        self.zones = {}

    def is_cut(self, one, other):
        """Tell whether nothing passes between two zones."""
        return frozenset((one, other)) in self.cuts

    def find_zone(self, port):
        """Return the zone of the process that has a local port, empty if unknown."""
        pattern = (
            rb": [0-9A-F]{8}:%04X [0-9A-F:]{13} 01 \S+ \S+ \S+ +\d+ +\d+ (\d+)" % port
        )
        found = re.search(pattern, Path("/proc/net/tcp").read_bytes())
        if found is None:
            return ""
        name = f"socket:[{found[1].decode()}]"
        for pid, zone in list(self.zones.items()):
            try:
                if any(os.readlink(each.path) == name for each in _list_files(pid)):
                    return zone
            except OSError:
                continue
        return ""


def _list_files(pid):
    """Return the open files of a process that the case has started."""
    with os.scandir(f"/proc/{pid}/fd") as files:
        return list(files)


class Proxy:
    """Forwards connections to a target, but holds what a cut keeps from passing."""

    def __init__(self, network, zone, target, zone_of_caller=None):
        self._network = network
        self._zone = zone
        self._target = target
        self._zone_of_caller = zone_of_caller
        self._server = None
        self._open = set()

    async def listen(self, host, port):
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        caller = self._zone_of_caller or await self._find_caller(writer)
        if not caller:
            # Whether a cut keeps it from passing is not known, so it does not pass.
            writer.transport.abort()
            return
        try:
            await self._wait_while_cut(caller)
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._open.update((writer, back))
        try:
            await asyncio.gather(
                self._pump(caller, reader, back), self._pump(caller, there, writer)
            )
        finally:
            self._open.difference_update((writer, back))

    def close(self):
        """Accept nothing any more, and break off all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._open:
            writer.transport.abort()

    async def _find_caller(self, writer):
        """Return the zone of a connection's caller, empty if it stays unknown.

        A reading of all connections may miss one while others come and go.
        """
        port = writer.get_extra_info("peername")[1]
        for _ in range(LOOKUPS):
            zone = self._network.find_zone(port)
            if zone:
                return zone
            await asyncio.sleep(0.01)
        return ""

    async def _wait_while_cut(self, caller):
        while self._network.is_cut(caller, self._zone):
            await asyncio.sleep(0.02)

    async def _pump(self, caller, reader, writer):
        try:
            while data := await reader.read(65_536):
                await self._wait_while_cut(caller)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self._wait_while_cut(caller)
            writer.close()


class Instance:
    """One instance, its settings file and its process."""

    def __init__(self, name, zone, ip, peer_ip, settings):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.peer_ip = peer_ip
        self.settings = settings
        self.process = None


class Cell:
    """The deployment of one case; ``record`` writes what was sent, answered and run."""

    def __init__(self, folder, zones, max_hold_ms=6_000, has_cuts=False):
        self.zones = zones
        self.max_hold_ms = max_hold_ms
        # Only a cut needs to know which process a connection comes from.
        self._any_caller = None if has_cuts else ANYWHERE
        self.network = Network()
        self.store = Store()
        self.instances = []
        self.endpoints = {}
        self.events = []
        self._lines = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()
        self._directory = tempfile.TemporaryDirectory()
        self._client = AsyncHTTPClient(force_instance=True, max_clients=64)
        self._tasks = []
        self._proxies = []
        self._entries = {}
        self._written_at = {}
        self._net, self._reservation = _reserve_network()

    def record(self, what, where="", **fields):
        """Record an event, also as a line of the record."""
        at = time.monotonic() - self._began
        self.events.append((at, what, where, fields))
        if self._lines.closed:
            return at
        self._lines.write(f"{at:9.3f} {what} {where} {json.dumps(fields)}\n")
        self._lines.flush()
        return at

    # The platform and the minions

    def configure(self, version=1, **route):
        """Publish a configuration with one queue."""
        queue = {
            "name": "jobs",
            "host": HOST,
            "path_prefix": PREFIX,
            "service": SERVICE,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 3.0,
            "target_latency_ms": 20_000,
            "timeout_ms": 3_000,
            **route,
        }
        document = {
            "version": version,
            "routes": [queue],
            "services": [{"name": SERVICE, "rejects_overload": False}],
            "limits": {},
        }
        self.store.put("op", "config", document)
        self.record("configuration", version=version)

    async def add_minion(self, number, zone, capacity, choose_duration, rack=None):
        """Add a minion behind a proxy, and register it."""
        minion = self._make_minion(number, 1, capacity, choose_duration)
        port = find_port("127.0.0.1")
        endpoint = Endpoint(minion, "127.0.0.1", port)
        address = await self._open_proxy(zone, ("127.0.0.1", port))
        self.endpoints[number] = endpoint
        self._entries[number] = (address, zone, rack or f"rack-{zone}")
        self.register(number)

    def _make_minion(self, number, life, capacity, choose_duration):
        return Minion(
            f"i-{number:02d}-{life}",
            capacity,
            self.max_hold_ms / 1000,
            choose_duration,
            self.record,
        )

    def register(self, number):
        """Write a minion's entry, unless a cut keeps it from the store.

        The store removes the entry after three heartbeat intervals of silence.
        """
        minion = self.endpoints[number].minion
        address, zone, rack = self._entries[number]
        if minion.down:
            return
        if self.network.is_cut(zone, PLATFORM):
            silence = time.monotonic() - self._written_at.get(number, 0.0)
            if silence >= 3 * BEAT_S:
                self.store.remove("servers", minion.id)
            return
        self._written_at[number] = time.monotonic()
        self.store.put(
            "servers", minion.id, minion.make_entry(SERVICE, address, zone, rack)
        )

    def next_life(self, number, life, choose_duration):
        """Replace a minion by its next life at the same address."""
        old = self.endpoints[number].minion
        self.store.remove("servers", old.id)
        minion = self._make_minion(number, life, old.capacity, choose_duration)
        self.endpoints[number].minion = minion
        self.register(number)

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for number in self.endpoints:
                self.register(number)

    async def _advance(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if now - before > MAX_LAG_S:
                # The stand-ins were late, for example on a busy machine.
                self.record("stand-ins-late", seconds=round(now - before, 3))
            before = now
            for endpoint in self.endpoints.values():
                endpoint.minion.advance()

    def cut_zone(self, zone):
        """Cut a zone off from the others and from the platform's services."""
        others = [other for other in self.zones if other != zone]
        self.network.cuts = {frozenset((zone, other)) for other in (*others, PLATFORM)}
        self.record("zone-cut", zone)

    def heal(self):
        """End all cuts."""
        self.network.cuts = set()
        self.record("healed")

    # The instances

    async def start(self, count=None, cloud=None):
        """Start the services of the platform and all instances.

        ``cloud`` is the target of the service for machines.
        """
        store_port = find_port("127.0.0.1")
        self.store.listen("127.0.0.1", store_port)
        self._tasks.append(asyncio.create_task(self._beat()))
        self._tasks.append(asyncio.create_task(self._advance()))
        for number in range(1, (count or len(self.zones)) + 1):
            zone = self.zones[(number - 1) % len(self.zones)]
            await self._add_instance(number, zone, store_port, cloud)
        for instance in self.instances:
            self.launch(instance)

    async def _open_proxy(self, zone, target, caller=None, host="127.0.0.1", port=0):
        """Start a proxy in front of a target in a zone, and return its address."""
        proxy = Proxy(self.network, zone, target, caller or self._any_caller)
        self._proxies.append(proxy)
        return ":".join(map(str, await proxy.listen(host, port)))

    async def _add_instance(self, number, zone, store_port, cloud):
        ip, peer_ip = f"127.{self._net}.0.{number}", f"127.{self._net}.1.{number}"
        store = await self._open_proxy(PLATFORM, ("127.0.0.1", store_port), zone)
        await self._open_proxy(zone, (ip, FIRST_PEER), None, peer_ip, FIRST_PEER)
        settings = _make_settings(
            f"frontend-{number}", zone, ip, peer_ip, store, self.max_hold_ms
        )
        if cloud is not None:
            settings["cloud_api"] = {
                "address": await self._open_proxy(PLATFORM, cloud, zone),
                "rate_per_s": 60.0,
                "duties": [],
                "duty_per_s": 60.0,
            }
        self.instances.append(
            Instance(f"frontend-{number}", zone, ip, peer_ip, settings)
        )

    def launch(self, instance):
        """Start an instance's process with the command of the deploy file."""
        path = Path(self._directory.name) / f"{instance.name}.json"
        path.write_text(json.dumps(instance.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ALMONDSPREAD_BOOT"] = str(path)
        log_folder = os.environ.get("CASE_LOGS")
        log = subprocess.DEVNULL
        if log_folder:
            log = (Path(log_folder) / f"{instance.name}.log").open("ab")
        instance.process = subprocess.Popen(
            shlex.split(deploy["roles"]["entry"]["run"]),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.network.zones[instance.process.pid] = instance.zone
        self.record("process-start", instance.name)

    def send_signal(self, instance, number):
        """Send a signal to an instance's process."""
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(number)
            self.record("signal", instance.name, signal=signal.Signals(number).name)

    async def kill(self, instance):
        """Kill an instance's process and wait for its end."""
        self.send_signal(instance, signal.SIGKILL)
        while instance.process.poll() is None:
            await asyncio.sleep(0.005)
        self.network.zones.pop(instance.process.pid, None)

    async def wait_ready(self, seconds=30.0):
        """Wait until all instances report that they are ready, and one leads."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            ready = 0
            for instance in self.instances:
                status, _ = await self.fetch("GET", f"{instance.ip}:{READY}", "/ready")
                ready += status == 200
            if ready == len(self.instances) and self.read_leader():
                return True
            await asyncio.sleep(0.2)
        return False

    def read_leader(self):
        """Return the instance that the leader's row names, ``None`` if there is none.

        The row is the system's own; it is read only to choose what a disruption hits.
        """
        row = self.store.rows.get(("cell", "cell", "leader"))
        if row is None:
            return None
        value = base64.b64decode(row[1])
        for instance in self.instances:
            if instance.name.encode() in value:
                return instance
        return None

    # Clients

    async def fetch(self, method, address, path, body=None, seconds=3.0):
        """Send a request; return status and body, status 0 without an answer."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=json.dumps(body).encode() if body is not None else None,
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(seconds * 1000)),
            },
            connect_timeout=seconds,
            request_timeout=seconds,
            allow_nonstandard_methods=True,
        )
        try:
            answer = await self._client.fetch(request, raise_error=False)
        except (OSError, HTTPError):
            return 0, {}
        if answer.code == 599:
            return 0, {}
        try:
            return answer.code, json.loads(answer.body or b"{}")
        except ValueError:
            return answer.code, {}

    async def submit(self, job, steps, attempts=20, instances=None):
        """Submit a job under one id until it is accepted; return whether it was."""
        body = {"spec": "text", "steps": steps}
        for attempt in range(attempts):
            choice = instances or self.instances
            instance = choice[attempt % len(choice)]
            status, _ = await self.fetch(
                "POST", f"{instance.ip}:{FRONT}", PREFIX + job, body
            )
            self.record("submit", instance.name, job=job, status=status)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def read_state(self, job, instance):
        """Return status and state of a job as an instance tells them."""
        status, body = await self.fetch("GET", f"{instance.ip}:{FRONT}", PREFIX + job)
        self.record(
            "state", instance.name, job=job, status=status, state=body.get("state")
        )
        return status, body.get("state")

    async def stop(self):
        """End all processes, and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for proxy in self._proxies:
            proxy.close()
        await asyncio.sleep(0.1)
        self._reservation.close()
        self._directory.cleanup()
        self._lines.close()


def _make_settings(name, zone, ip, peer_ip, store, max_hold_ms):
    """Return the settings of an instance, with the bounds of the first deployments."""
    return {
        "node_name": name,
        "role": "entry",
        "machine_class": "frontend",
        "serves": ["frontend", "control_plane"],
        "ip": peer_ip,
        "zone": zone,
        "region": "region",
        "listen": {
            "front": f"{ip}:{FRONT}",
            "ready": f"{ip}:{READY}",
            "control": f"{ip}:{CONTROL}",
            "peer": f"{ip}:{FIRST_PEER}",
        },
        "port_range": [FIRST_PEER, FIRST_PEER + 15],
        "seeds": [f"{peer_ip}:{CONTROL}"],
        "bootstrap": True,
        "limits": {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "heartbeat_ms": 1500,
        "bounds": {
            "contact_ms": 3000,
            "ack_ms": 4000,
            "drain_ms": 2000,
            "grace_s": 6,
            "config_apply_ms": 2000,
            "max_hold_ms": max_hold_ms,
            "stop_timeout_ms": 900,
            "gang_timeout_ms": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "early_ms": 250,
            "finish_s": 14,
            "status_s": 120,
            "notice_ms": 4500,
            "move_s": 1.5,
            "maintenance_s": 2,
            "require_fencing": True,
            "lease_ms": 3000,
            "thaw_ms": 300,
            "pace_ms": 100,
        },
        "orders": "rpc",
        "platform": {
            "address": store,
            "form": "table",
            "writes_per_s": 600,
            "reads_per_s": 2000,
            "txn_timeout_ms": 8.0,
            "partition_writes_s": 150,
            "row_bytes": 65536,
            "cross_shard": False,
            "history_s": 20,
        },
    }


def _reserve_network():
    """Return the number of a free loopback network, and the socket that reserves it.

    No other script of this folder takes the network while the socket is open; those of
    other folders use lower numbers.
    """
    for number in random.sample(NETWORKS, len(NETWORKS)):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.2.1", FRONT))
            for port in (FRONT, READY, FIRST_PEER, METRICS_PORT):
                for group in (0, 1):
                    with socket.socket() as probe:
                        probe.bind((f"127.{number}.{group}.1", port))
        except OSError:
            reservation.close()
            continue
        return number, reservation
    raise RuntimeError("no loopback network is free")


def find_port(host):
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def run_case(case, folder, seconds=110.0):
    """Run a case, a coroutine function of the folder; exit with its status.

    The status is 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """

    async def bounded():
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(seconds):
                return await case(folder)
        except (TimeoutError, asyncio.CancelledError):
            print("the case did not end in time")
            return 2
        except Exception:
            traceback.print_exc(file=sys.stdout)
            return 2

    status = asyncio.run(bounded())
    sys.stdout.flush()
    # Connections that a killed process has left behind would only be complained of.
    os._exit(status)
