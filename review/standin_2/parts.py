"""Parts that the scripts of the second review share: minions, machines, processes.

The platform's store is the project's own stand-in. Minions and the service for machines
are small ones of this review, which do what PROTOCOL.md says and nothing else.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import time
from datetime import timedelta
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from almondspread.clock import SystemClock
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.record_store import MemoryRecordStore
from platform_standin.call_limits import CallLimits, CallRates
from platform_standin.store_server import (
    ClientFaults,
    StoreBackend,
    StoreFaults,
    make_store_application,
)

ROOT = Path(__file__).resolve().parents[2]
FIRST_NETWORK, NETWORKS = 20, 200
FRONT, READY, CONTROL, PEER, METRICS = 8161, 8167, 8166, 7720, 9464
HOST = "review.example"
SERVICE = "pool"
BEAT_S = 1.5
MAX_HOLD_S = 10.0
STOP_S = 0.2
NO_TIMEOUT = timedelta(0)
READY_S = 30.0


def find_network() -> int:
    """Return the number of a loopback network that no other script uses now."""
    for offset in range(NETWORKS):
        number = FIRST_NETWORK + (os.getpid() + offset) % NETWORKS
        try:
            for host, port in (("0.1", FRONT), ("0.1", PEER), ("3.1", 8169)):
                with socket.socket() as probe:
                    probe.bind((f"127.{number}.{host}", port))
        except OSError:
            continue
        return number
    raise RuntimeError("no loopback network is free")


NETWORK = find_network()


def now() -> float:
    """Return the real steady clock of this machine, in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with seconds since the beginning."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = now()

    def write(self, what: str) -> None:
        self._file.write(f"{now() - self._began:8.3f} {what}\n")
        self._file.flush()


class Ledger:
    """What all minions ran: the runs of each task, and those that overlapped."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.running: dict[str, dict[tuple[str, int], float]] = {}
        self.overlaps: list[str] = []
        self.starts = 0
        self.done: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.duplicates: set[str] = set()

    def begin(self, minion: str, task: str, run: int) -> None:
        self.starts += 1
        others = self.running.setdefault(task, {})
        if others and task.partition(".")[0] not in self.duplicates:
            shown = ", ".join(f"run {r} on {m}" for m, r in others)
            self.overlaps.append(
                f"task {task}: run {run} starts on {minion} while {shown} runs"
            )
            self.record.write("TWICE " + self.overlaps[-1])
        others[minion, run] = now()
        self.record.write(f"start {task} run {run} on {minion}")

    def end(self, minion: str, task: str, run: int, how: str) -> None:
        self.running.get(task, {}).pop((minion, run), None)
        self.ended_at[task] = now()
        self.record.write(f"end {task} run {run} on {minion} {how}")
        if how == "done":
            self.done[task] = now()


class Minion:
    """One life of a machine, as PROTOCOL.md, "Running tasks", describes it."""

    def __init__(self, name: str, born: int, ledger: Ledger, work_s) -> None:
        self.name = name
        self.born = born
        self.ledger = ledger
        self.work_s = work_s
        self.began = now()
        self.token = 0
        self.until = 0.0
        self.runs: dict[str, dict] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list] = []
        self.last_end = 0
        self.alive = True

    def clock(self) -> float:
        return now() - self.began

    def fences(self, body: dict) -> bool:
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def extend(self, until_ms) -> None:
        if until_ms is not None:
            self.until = max(
                self.until, min(until_ms / 1000, self.clock() + MAX_HOLD_S)
            )

    def start(self, body: dict) -> str:
        self.advance()
        if self.fences(body):
            return "fence"
        task, run = body["task"], body["run_id"]
        if task in self.runs and self.runs[task]["run"] == run:
            return ""
        if run <= self.highest.get(task, 0):
            self.extend(body["until_ms"])
            return "old"
        if body["until_ms"] / 1000 <= self.clock():
            return "late"
        self.extend(body["until_ms"])
        self.highest[task] = run
        self.runs[task] = {"run": run, "at": now(), "stop": None}
        self.ledger.begin(self.name, task, run)
        return ""

    def stop(self, body: dict) -> str:
        self.advance()
        if self.fences(body):
            return "fence"
        task, run = body["task"], body["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        known = self.runs.get(task)
        if known is not None and known["run"] <= run and known["stop"] is None:
            known["stop"] = now() + STOP_S
            self.ledger.record.write(f"stop {task} run {run} on {self.name}")
        return ""

    def advance(self) -> None:
        if not self.alive:
            return
        for task, run in list(self.runs.items()):
            work = self.work_s(task)
            if run["stop"] is not None and run["stop"] <= now():
                self._end(task, "stopped")
            elif work is not None and now() - run["at"] >= work:
                self._end(task, "done")
            elif self.until <= self.clock():
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)["run"]
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ""])
        self.ledger.end(self.name, task, run, how)

    def fail(self, task: str) -> None:
        """End a run by its own fault."""
        self._end(task, "failed")

    def terminate(self) -> None:
        """End everything at once, as an upkeep does."""
        for task in list(self.runs):
            run = self.runs.pop(task)["run"]
            self.ledger.end(self.name, task, run, "terminated")
        self.alive = False

    def show(self) -> dict:
        running = []
        for task, run in self.runs.items():
            work = self.work_s(task)
            share = (now() - run["at"]) / (work if work else 0.5)
            running.append([task, run["run"], "", min(100, int(100 * share)), 0])
        return {"running": running, "finished": self.ends[:500], "born": self.born}


class MinionHandler(RequestHandler):
    def initialize(self, machine: "Machine") -> None:
        self._machine = machine

    async def post(self, path: str) -> None:
        minion = self._machine.minion
        while self._machine.dark:
            # Without power: neither an answer nor a reset.
            await asyncio.sleep(1.0)
        if minion is None:
            self.request.connection.stream.close()
            return
        if self.request.headers.get("X-Expect-Instance") != minion.name:
            self.set_status(421)
            self.finish()
            return
        body = json.loads(self.request.body)
        if path == "hold":
            await self._hold(minion, body)
            return
        if path == "run-start":
            reason = minion.start(body)
        elif path == "run-stop":
            reason = minion.stop(body)
        elif path == "pace":
            reason = "fence" if minion.fences(body) else ""
        else:
            self.set_status(404)
            self.finish()
            return
        self._send(minion, {"reason": reason} if reason else {}, 409 if reason else 200)

    async def _hold(self, minion: Minion, body: dict) -> None:
        minion.advance()
        if minion.fences(body):
            self._send(minion, {"reason": "fence"}, 409)
            return
        minion.extend(body.get("until_ms"))
        seen = body.get("last_seen", 0)
        minion.ends = [end for end in minion.ends if end[0] > seen]
        until = now() + min(body.get("wait_ms", 0), 2000) / 1000
        while minion.alive and not minion.ends and now() < until:
            await asyncio.sleep(0.01)
            minion.advance()
        self._send(minion, minion.show(), 200)

    def _send(self, minion: Minion, document: dict, status: int) -> None:
        if self._machine.minion is not minion:
            self.request.connection.stream.close()
            return
        document["clock_ms"] = int(minion.clock() * 1000)
        document["born"] = minion.born
        self.set_status(status)
        self.finish(json.dumps(document))


class Machine:
    """A machine with one life of its minion after another, at one address."""

    def __init__(self, cell: "Cell", number: int, zone: str, cpu: int) -> None:
        self.cell = cell
        self.name = f"machine-{number}"
        self.number = number
        self.zone = zone
        self.cpu = cpu
        self.address = f"127.{NETWORK}.2.{number}"
        self.minion: Minion | None = None
        self.state = "up"
        self.lives = 0
        self.seq = 0
        self.done_waves: set[int] = set()
        self.wave_down = 0
        self.token = 0
        self.holder = ""
        self.reaches_store = True
        self.beat_at = 0.0
        # Whether each life has an address of its own.
        self.moves = False
        self.dark = False

    async def open(self) -> None:
        application = Application(
            [(r"/([a-z-]+)", MinionHandler, {"machine": self})],
            log_function=lambda _: None,
        )
        self.application = application
        self.server = HTTPServer(application)
        self.server.listen(9000, self.address)
        await self.join()

    async def join(self) -> None:
        """Begin a new life, and register it in the store."""
        self.lives += 1
        name = f"i-{self.number:02d}{self.lives:02d}"
        born = int(time.time() * 1000)
        self.minion = Minion(name, born, self.cell.ledger, self.cell.work_s)
        self.state = "up"
        self.seq = 0
        if self.moves and self.lives > 1:
            self.address = f"127.{NETWORK}.{3 + self.lives}.{self.number}"
            self.server = HTTPServer(self.application)
            self.server.listen(9000, self.address)
        self.cell.record.write(f"{self.name} is up as {name} at {self.address}")
        await self.beat()

    async def beat(self) -> None:
        if self.minion is None or not self.reaches_store:
            return
        self.seq += 1
        self.beat_at = now()
        entry = {
            "service": SERVICE,
            "address": f"{self.address}:9000",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
            "labels": ["a", f"rack-{self.zone}"],
            "born": self.minion.born,
        }
        await self.cell.put("servers", self.minion.name, entry)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            if self.minion is not None:
                self.minion.advance()
                await self.beat()

    async def crash(self, back_after_s: float) -> None:
        """Lose the minion without a word; the next one joins later."""
        minion, self.minion = self.minion, None
        self.state = "down"
        minion.terminate()
        self.server.stop()
        await self.server.close_all_connections()
        self.server = HTTPServer(self.application)
        began = now()
        while now() < began + back_after_s:
            await asyncio.sleep(0.05)
            if now() - self.beat_at >= 3 * BEAT_S:
                await self.cell.drop("servers", minion.name)
        self.server.listen(9000, self.address)
        await self.join()

    async def lose_power(self) -> None:
        """Lose the minion for good; its entry goes after three beats."""
        minion, self.minion = self.minion, None
        self.state, self.dark = "down", True
        minion.terminate()
        while now() - self.beat_at < 3 * BEAT_S:
            await asyncio.sleep(0.05)
        await self.cell.drop("servers", minion.name)

    async def take_down(self) -> None:
        """Have an upkeep: everything ends at once, and a new minion joins later."""
        minion, self.minion = self.minion, None
        self.state = "upkeep"
        minion.terminate()
        if self.moves:
            self.server.stop()
            await self.server.close_all_connections()
        await self.cell.drop("servers", minion.name)
        await asyncio.sleep(self.cell.maintenance_s)
        await self.join()


class MachinesHandler(RequestHandler):
    """The service for machines: the list, and orders for upkeep."""

    def initialize(self, cell: "Cell") -> None:
        self._cell = cell

    async def get(self, path: str) -> None:
        rows = []
        for machine in self._cell.machines:
            rows.append(
                {
                    "machine": machine.name,
                    "pool": SERVICE,
                    "state": machine.state,
                    "zone": machine.zone,
                    "labels": ["a", f"rack-{machine.zone}"],
                    "capacity": {"cpu": machine.cpu, "mem_mb": 32768, "gpu": 0},
                    "id": machine.minion.name if machine.minion else "",
                }
            )
        self.finish(json.dumps({"machines": rows, "next_token": ""}))

    async def post(self, path: str) -> None:
        body = json.loads(self.request.body)
        holder = self.request.headers["X-Lease-Holder"]
        token = int(self.request.headers["X-Fencing-Token"])
        reason = self._cell.order_upkeep(body["machine"], body["wave"], holder, token)
        self._cell.record.write(
            f"upkeep of {body['machine']} for wave {body['wave']} ordered by {holder}"
            f" with token {token}: {reason or '200'}"
        )
        if reason.startswith("200"):
            reason = ""
        self.set_status(409 if reason else 200)
        self.finish(json.dumps({"reason": reason} if reason else {}))


class Process:
    """One instance: its settings and its process, started as the deploy file says."""

    def __init__(self, cell: "Cell", number: int, zone: str) -> None:
        self.cell = cell
        self.name = f"entry-{number}"
        self.zone = zone
        self.ip = f"127.{NETWORK}.0.{number}"
        self.store_ip = f"127.{NETWORK}.1.{number}"
        self.process: asyncio.subprocess.Process | None = None
        self.faults = ClientFaults()
        self.bootstrap = True

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT}"

    def settings(self) -> dict:
        cell = self.cell
        document = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in cell.zones},
            "listen": {
                "front": f"{self.ip}:{FRONT}",
                "ready": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
            },
            "port_range": [PEER, PEER + 15],
            "seeds": [f"{each.ip}:{CONTROL}" for each in cell.processes[:3]],
            "bootstrap": self.bootstrap,
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
            "heartbeat_ms": int(BEAT_S * 1000),
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4,
                "drain_ms": 2000,
                "grace_s": 6,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "rollback_slack_ms": 250,
                "max_stretch_ms": 5000,
                "recovery_s": 12,
                "max_hold_ms": int(MAX_HOLD_S * 1000),
                "stop_timeout_ms": 900,
                "gang_timeout_ms": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": cell.status_s,
                "remote_factor": 1.5,
                "checkpoint_s": 1,
                "restore_ms": 250,
                "notice_ms": 4500,
                "move_s": 1.5,
                "maintenance_s": cell.maintenance_s,
                "require_fencing": True,
                "lease_ms": 3000,
                "thaw_ms": 300,
                "pace_ms": 100,
                "harm_ms": 4000,
            },
            "orders": "rpc",
            "platform": {
                "address": f"{self.store_ip}:8169",
                "form": "table",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "txn_timeout_ms": 8.0,
                "partition_writes_s": 150,
                "row_bytes": 65536,
                "cross_shard": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_mb_s": 80.0,
            },
            "cloud_api": {
                "address": f"127.{NETWORK}.3.1:8169",
                "rate_per_s": 60.0,
                "duties": ["upkeep"],
                "duty_per_s": 60.0,
            },
        }
        return document

    async def start(self) -> None:
        path = self.cell.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = (self.cell.directory / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ALMONDSPREAD_BOOT": str(path),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/serve.py",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.cell.record.write(f"{self.name} started")

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.cell.record.write(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), 15)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Cell:
    """A small deployment: the store, machines, instances and clients."""

    def __init__(
        self,
        directory: Path,
        record: Record,
        work_s,
        zones=("north", "south"),
        processes: int = 3,
        machines: int = 6,
        cpu: int = 4000,
        maintenance_s: float = 2.0,
        status_s: int = 120,
    ) -> None:
        self.directory = directory
        self.record = record
        self.work_s = work_s
        self.ledger = Ledger(record)
        self.zones = zones
        self.maintenance_s = maintenance_s
        self.status_s = status_s
        self.store = MemoryRecordStore(page_rows=500)
        limits = CallLimits()
        self.backend = StoreBackend(
            self.store, StoreFaults(), limits, CallRates(limits, SystemClock())
        )
        self.processes = [
            Process(self, n + 1, zones[n % len(zones)]) for n in range(processes)
        ]
        self.machines = [
            Machine(self, n + 1, zones[n % len(zones)], cpu) for n in range(machines)
        ]
        self.waves: dict[int, dict] = {}
        self.violations: list[str] = []
        self.upkeeps = 0
        self.tasks: list[asyncio.Task] = []
        self.accepted: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self.on_upkeep = lambda machine, holder: None

    async def put(self, table: str, key: str, document: dict) -> None:
        value = json.dumps(document).encode()
        put = RowPut(RowName(table, "", key), value)
        await self.store.transact(Transaction(puts=(put,)), NO_TIMEOUT)

    async def drop(self, table: str, key: str) -> None:
        removal = RowName(table, "", key)
        await self.store.transact(Transaction(removals=(removal,)), NO_TIMEOUT)

    def read(self, table: str, key: str) -> dict | None:
        row = self.store.rows.get(RowName(table, "", key))
        return json.loads(row.value) if row is not None else None

    def order_upkeep(self, name: str, wave: int, holder: str, token: int) -> str:
        machine = next((m for m in self.machines if m.name == name), None)
        if machine is None:
            return "wave"
        if token < machine.token:
            return "fence"
        if token == machine.token and holder != machine.holder:
            self.violations.append(f"two holders with the token {token}")
        machine.token, machine.holder = token, holder
        request = self.waves.get(wave)
        if request is None or name not in request["machines"]:
            return "wave"
        if wave in machine.done_waves:
            return "200 (already done)"
        if machine.state != "up":
            return "busy"
        down = [m for m in self.machines if m.state == "upkeep" and m.wave_down == wave]
        if len(down) >= request["at_most"]:
            self.violations.append(
                f"LIMIT: {len(down) + 1} machines of wave {wave} down"
            )
        machine.done_waves.add(wave)
        machine.wave_down = wave
        self.upkeeps += 1
        self.spawn(machine.take_down())
        # The minion is gone before the response leaves.
        self.on_upkeep(machine, holder)
        return ""

    def spawn(self, work) -> None:
        self.tasks.append(asyncio.create_task(work))

    async def open_store_for(self, process: Process) -> None:
        """Open the address at which an instance reaches the store."""
        server = HTTPServer(make_store_application(self.backend, process.faults))
        server.add_sockets(bind_sockets(8169, process.store_ip))

    async def open(self, configuration: dict) -> None:
        for process in self.processes:
            await self.open_store_for(process)
        machines = HTTPServer(
            Application(
                [(r"/([a-z-]+)", MachinesHandler, {"cell": self})],
                log_function=lambda _: None,
            )
        )
        machines.add_sockets(bind_sockets(8169, f"127.{NETWORK}.3.1"))
        await self.put("op", "config", configuration)
        for machine in self.machines:
            await machine.open()
            self.spawn(machine.run())
        for process in self.processes:
            await process.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        limit = now() + READY_S
        for process in self.processes:
            while True:
                try:
                    answer = await self.fetch("GET", f"{process.ip}:{READY}", "/ready")
                    if answer == 200:
                        break
                except OSError:
                    pass
                if now() > limit:
                    raise RuntimeError(f"{process.name} did not become ready")
                await asyncio.sleep(0.1)

    async def fetch(self, method: str, address: str, path: str, body=None):
        status, _ = await self.call(method, address, path, body)
        return status

    async def call(self, method: str, address: str, path: str, body=None, wait=3.0):
        """Send a request as a client does; status 0 stands for no response."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            headers={
                "Host": HOST,
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(wait * 1000)),
            },
            body=json.dumps(body) if body is not None else None,
            request_timeout=wait,
            connect_timeout=wait,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception:
            return 0, b""
        if response.code == 599:
            return 0, b""
        return response.code, response.body or b""

    def live(self) -> list[Process]:
        return [p for p in self.processes if p.process and p.process.returncode is None]

    def leader(self) -> Process | None:
        """Return the instance that last wrote to the store under a condition."""
        row = self.store.rows.get(RowName("cell", "cell", "leader"))
        if row is None:
            return None
        from almondspread.codec import decode_message
        from almondspread.jobs.leases import LeaderRow

        name = decode_message(row.value, LeaderRow).instance
        return next(p for p in self.processes if p.name == name)

    async def submit(self, job: str, body: dict, tries: int = 4) -> int:
        """Hand a job in, again at another instance after no response."""
        status = 0
        for attempt in range(tries):
            targets = self.live() or self.processes
            process = targets[(hash(job) + attempt) % len(targets)]
            status, _ = await self.call("POST", process.front, f"/jobs/{job}", body)
            self.record.write(f"POST {job} to {process.name}: {status}")
            if 200 <= status < 300:
                self.accepted[job] = process.name
                return status
            if status in (429, 503, 404, 400):
                return status
            await asyncio.sleep(0.2)
        return status

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            await process.end(signal.SIGKILL)


def make_configuration(version: int = 1, **fields) -> dict:
    route = {
        "name": "jobs",
        "host": HOST,
        "path_prefix": "/jobs/",
        "service": SERVICE,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 10.0,
        "target_latency_ms": 20000,
        **fields,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": SERVICE, "rejects_overload": False}],
        "limits": {},
    }
