"""A small deployment: the project's processes, and stand-ins of all around them."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from minions import Minion, Work
from store import Store
from web import call

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "nony24.example"
SERVICE = "pool"
ZONES = ("north-hall", "middle-hall", "south-hall")
READY_SECONDS = 30.0
FRONT, READY, METRICS, PEER = 8161, 8167, 9464, 7720
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, so that it tells nothing."""


def disturbs():
    """Return whether the case is to inject its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def choose_network():
    """Return the first two numbers of a loopback network whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 240)}.{random.randint(1, 250)}"
        try:
            for number in range(1, 10):
                for port in (FRONT, READY, METRICS, PEER):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{number}", port))
        except OSError:
            continue
        return prefix
    raise CannotRun("no free loopback network")


class Instance:
    """One machine of the system with its process."""

    def __init__(self, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f"{ip}:{FRONT}"
        self.process = None
        self.settings = None

    @property
    def is_alive(self):
        return self.process is not None and self.process.returncode is None


class Cell:
    """Starts and ends everything; ``record`` appends a line to ``record.txt``."""

    def __init__(self, folder, row_bytes=65_536, **settings):
        self.folder = Path(folder)
        self.began = time.monotonic()
        self.lines = open(self.folder / "record.txt", "w", encoding="utf-8")
        self.prefix = choose_network()
        self.store = Store(row_bytes)
        self.row_bytes = row_bytes
        self.extra_settings = settings
        self.status_seconds = 120
        self.work = {}
        self.instances = []
        self.minions = []
        self.events = []
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.version = 0
        self.next_job = random.randrange(16**12)

    def now(self):
        return time.monotonic() - self.began

    def record(self, *words):
        line = f"{self.now():8.3f} " + " ".join(str(word) for word in words)
        self.lines.write(line + "\n")
        self.lines.flush()

    def note(self, kind, minion, task, number, how):
        """Record what a minion has begun or ended."""
        self.events.append((self.now(), kind, minion, task, number, how))
        self.record("minion", minion, kind, task, number, how)

    # The platform

    async def start_store(self):
        await self.store.start(f"{self.prefix}.100")

    async def configure(self, routes):
        """Publish a configuration with these routes, as the operator does."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "rejects_overload": False, "max_conns": 64}],
            "limits": {},
        }
        await self.store.put("op", "config", document)
        names = [route["name"] for route in routes]
        self.record("operator config", self.version, "routes", *names)

    def make_route(self, name, **fields):
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "service": SERVICE,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 2.0,
            "target_latency_ms": 5_000,
            "timeout_ms": 3_000,
            **fields,
        }

    async def add_minion(self, ident, number, cpu=16_000, service=SERVICE):
        zone = ZONES[number % len(ZONES)]
        minion = Minion(
            ident,
            service,
            zone,
            ["a", f"r{number % len(ZONES)}-1"],
            {"cpu": cpu, "mem_mb": 32_768, "gpu": 0},
            self.work,
            self.note,
        )
        await minion.start(f"{self.prefix}.101", self.store)
        self.minions.append(minion)
        return minion

    # The system

    def add_instance(self, number):
        instance = Instance(
            f"frontend-{number}", ZONES[number % len(ZONES)], f"{self.prefix}.{number}"
        )
        self.instances.append(instance)
        return instance

    def make_settings(self, instance):
        """Return the fields of DEPLOY.md for one machine."""
        address = f"{instance.ip}:{FRONT}"
        fields = {
            "node_name": instance.name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": instance.ip,
            "zone": instance.zone,
            "region": "norrland",
            "zones": {zone: "norrland" for zone in ZONES},
            "listen": {"front": address, "ready": f"{instance.ip}:{READY}"},
            "port_range": [PEER, PEER + 15],
            "seeds": [],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": "base drain config cost recover sched platform advice upkeep "
            "sharing".split(),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "contact_ms": 3000,
                "ack_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "max_hold_ms": 6000,
                "stop_timeout_ms": 900,
                "gang_timeout_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": self.status_seconds,
                "notice_ms": 4500,
                "move_s": 1.5,
                "maintenance_s": 2,
                "require_fencing": True,
                "lease_ms": 3000,
                "pace_ms": 100,
                "harm_ms": 4000,
            },
            "orders": "rpc",
            "platform": {
                "address": self.store.address,
                "form": "table",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "txn_timeout_ms": 8.0,
                "partition_writes_s": 150,
                "row_bytes": self.row_bytes,
                "cross_shard": False,
                "history_s": 20,
            },
        }
        fields.update(self.extra_settings)
        return fields

    async def start(self, instance):
        """Start a process as the deploy file does, and wait for nothing."""
        template = (ROOT / "deploy" / "settings.json.template").read_text()
        rendered = template.replace(
            "{{.|json}}", json.dumps(self.make_settings(instance))
        )
        path = Path(self.temporary.name) / f"{instance.name}.json"
        path.write_text(rendered)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ALMONDSPREAD_BOOT"] = str(path)
        log = open(Path(self.temporary.name) / f"{instance.name}.log", "ab")
        deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        instance.process = await asyncio.create_subprocess_exec(
            *deployed["roles"]["entry"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record("platform start", instance.name)

    def send_signal(self, instance, number):
        if instance.is_alive:
            instance.process.send_signal(number)
            self.record("platform signal", signal.Signals(number).name, instance.name)

    async def kill(self, instance):
        """Kill a process, and wait until it has ended."""
        self.send_signal(instance, signal.SIGKILL)
        await instance.process.wait()

    async def end_gracefully(self, instance, grace=6.0):
        """Stop a process with SIGTERM, and with SIGKILL after the grace period."""
        self.send_signal(instance, signal.SIGTERM)
        try:
            async with asyncio.timeout(grace):
                await instance.process.wait()
        except TimeoutError:
            await self.kill(instance)

    async def wait_ready(self, instances=None):
        """Wait until instances are ready and a leader has reported states."""
        due = time.monotonic() + READY_SECONDS
        for instance in instances or self.instances:
            while True:
                status, _ = await call(f"{instance.ip}:{READY}", "GET", "/ready", "x")
                counted = 0
                if status == 200:
                    counted, _ = await self.ask(instance, "GET", self.count_path)
                if counted == 200:
                    break
                if time.monotonic() > due:
                    raise CannotRun(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)

    count_path = "/jobs/"

    def find_leader(self):
        """Return the instance that the store names as the leader, or None."""
        row = self.store.rows.get(("cell", "cell", "leader"))
        if row is None:
            return None
        value = base64.b64decode(row[0])
        for instance in self.instances:
            name = instance.name.encode()
            if bytes([0xA0 | len(name)]) + name in value:
                return instance
        return None

    async def wait_minions_used(self, queue="jobs", seconds=READY_SECONDS):
        """Run one small job, so that the cell is known to work."""
        job = self.make_job(
            [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 100}]
        )
        await self.submit_until_accepted(queue, job)
        state = await self.wait_state(queue, job, ("completed",), seconds)
        if state != "completed":
            raise CannotRun(f"the first job is {state}")

    # Clients

    def make_job(self, steps, seconds=0.1, fails=False, crashes_after=None, **fields):
        """Return the id of a new job, whose tasks the minions know from now on."""
        self.next_job += 1
        ident = f"{self.next_job:016x}"
        self.work[ident] = Work(steps, seconds, fails, crashes_after)
        self.work[ident].body = {"spec": f"work of {ident}", "steps": steps, **fields}
        return ident

    async def ask(self, instance, method, path, document=None, timeout=3.0):
        status, body = await call(instance.front, method, path, HOST, document, timeout)
        return status, body

    async def submit(self, instance, queue, job):
        """Hand a job in once; return the status, 0 for no answer."""
        body = self.work[job].body
        status, _ = await self.ask(instance, "POST", f"/{queue}/{job}", body)
        self.record("client POST", queue, job, "at", instance.name, "->", status)
        return status

    async def submit_until_accepted(self, queue, job, tries=40):
        """Hand a job in, at one instance after another, as clients do."""
        for _ in range(tries):
            instance = random.choice([each for each in self.instances if each.is_alive])
            status = await self.submit(instance, queue, job)
            if status == 200:
                return instance
            await asyncio.sleep(0.5)
        raise CannotRun(f"the job {job} was never accepted")

    async def read_state(self, instance, queue, job):
        """Return the state of a job, or the status if there is none."""
        status, body = await self.ask(instance, "GET", f"/{queue}/{job}")
        state = body.get("state") if status == 200 else status
        self.record("client GET", queue, job, "at", instance.name, "->", state)
        return state

    async def wait_state(self, queue, job, states, seconds):
        """Ask until a job has one of some states; return its last state."""
        due = time.monotonic() + seconds
        state = None
        while time.monotonic() < due:
            instance = random.choice([each for each in self.instances if each.is_alive])
            state = await self.read_state(instance, queue, job)
            if state in states:
                return state
            await asyncio.sleep(0.3)
        return state

    def list_starts(self, job):
        return [
            each
            for each in self.events
            if each[1] == "start" and each[3].startswith(job)
        ]

    def list_ends(self, job, how=None):
        return [
            each
            for each in self.events
            if each[1] == "end" and each[3].startswith(job) and how in (None, each[5])
        ]

    def list_noted(self, job, how):
        """Return the ends of a job's runs of which the system has taken note."""
        return [
            each
            for each in self.events
            if each[1] == "noted" and each[3].startswith(job) and each[5] == how
        ]

    async def stop(self):
        """End all processes that were started here, and all stand-ins."""
        for instance in self.instances:
            if instance.is_alive:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                await instance.process.wait()
        for minion in self.minions:
            minion.stop()
        self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(
                self.temporary.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True
            )
        self.temporary.cleanup()
        self.lines.close()


async def _run(cell, play):
    try:
        async with asyncio.timeout(112.0):
            result = await play(cell)
        cell.record(
            "result", "the rule held" if result == HELD else "the rule was broken"
        )
        return result
    except CannotRun as error:
        cell.record("result", f"could not run: {error}")
        return NOT_RUN
    except TimeoutError:
        cell.record("result", "could not run: out of time")
        return NOT_RUN
    finally:
        await cell.stop()


def run_case(folder, play, **settings):
    """Play a case and exit with its result."""

    async def main():
        playing = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await _run(Cell(folder, **settings), play)

    try:
        result = asyncio.run(main())
    except CannotRun as error:
        print(error, file=sys.stderr)
        result = NOT_RUN
    except (Exception, asyncio.CancelledError) as error:
        print(repr(error), file=sys.stderr)
        result = NOT_RUN
    sys.exit(result)
