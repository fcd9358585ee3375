"""One soak: builds everything, lets it run under faults, and checks the end."""

import asyncio
import random
from datetime import timedelta
from pathlib import Path

from attrs import define
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from almondspread.clock import SystemClock
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.fake_upstream import History
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_platform.caller import HttpCaller, open_client
from almondspread_standin.soak.clients import FINAL_STATES, JobClients
from almondspread_standin.soak.faults import FaultInjector
from almondspread_standin.soak.instances import PEER_PORT, Instance, Instances
from almondspread_standin.soak.maintenance import MaintenanceDriver
from almondspread_standin.soak.pool import LOOPBACK, UpstreamPool
from platform_standin.formats import encode_configuration, encode_settings
from platform_standin.machine_server import MachineFleet, make_machine_application
from platform_standin.store_server import StoreFaults, make_store_application

DOMAINS = ("north", "middle", "south")
CALLER_COUNT = 8
MAX_CALLS = 128
PAGE_ROWS = 500
CONFIGURATION = RowName("op", "", "config")
# Everything must have come to its end this long after the last fault.
FINISH_SECONDS = 60.0
FINISH_POLL = 0.5
READY_SECONDS = 30.0
NO_TIMEOUT = timedelta(0)


@define(frozen=True)
class SoakPlan:
    """How large a soak is, how long it runs, and the seed of its choices."""

    seed: int
    seconds: float
    instances: int = 5
    upstreams: int = 6
    waves: bool = False


@define(frozen=True)
class SoakResult:
    """What a soak has found; without violations all promises were kept."""

    seed: int
    violations: list[str]
    jobs: int
    completed: int
    rejected: int
    starts: int
    faults: int
    calls: int
    maintained: int


class Soak:
    """The processes of one soak and everything around them."""

    def __init__(self, plan: SoakPlan, root: Path, directory: Path) -> None:
        self._plan = plan
        self._clock = SystemClock()
        # Sources of their own, so that a seed always brings the same faults.
        self._source = random.Random(f"{plan.seed} operator")
        faults = random.Random(f"{plan.seed} faults")
        jobs = random.Random(f"{plan.seed} jobs")
        self._history = History()
        self._store = MemoryRecordStore(page_rows=PAGE_ROWS)
        self._faults = StoreFaults()
        self._server = HTTPServer(make_store_application(self._store, self._faults))
        self._store_address = (LOOPBACK, 0)
        self._instances = Instances(root, directory, self._write_settings)
        self._pool = UpstreamPool(self._history, self._store, self._clock, self._source)
        self._client = open_client(MAX_CALLS)
        caller = HttpCaller(self._client, per_address=MAX_CALLS, overall=MAX_CALLS)
        self._caller = caller
        self._callers = JobClients(
            self._instances, self._history, caller, self._clock, jobs, plan.seed
        )
        self._fleet = MachineFleet()
        self._maintenance = MaintenanceDriver(
            self._fleet, self._pool, self._store, random.Random(f"{plan.seed} waves")
        )
        self._machine_server = HTTPServer(make_machine_application(self._fleet))
        self._machine_address = ""
        self._versions = [0]
        self._chaos = FaultInjector(
            self._instances, self._pool, self._store, self._faults, faults
        )

    async def run(self) -> SoakResult:
        """Run to the end; whatever was started is ended."""
        works: list[asyncio.Task[None]] = []
        try:
            await self._build()
            works.append(asyncio.create_task(self._pool.run()))
            works.append(asyncio.create_task(self._operate()))
            await self._await_ready()
            if self._plan.waves:
                works.append(asyncio.create_task(self._maintenance.run()))
            probing = self._callers.probe_configuration(self._versions)
            works.append(asyncio.create_task(probing))
            await self._disturb(works)
            await self._check_end()
        finally:
            for work in works:
                work.cancel()
            await self._chaos.stop()
            await self._instances.stop()
            await self._pool.stop()
            self._server.stop()
            self._machine_server.stop()
            await self._caller.wait_idle()
            self._client.close()
        return self._make_result()

    async def _disturb(self, works: list[asyncio.Task[None]]) -> None:
        """Have callers and faults at once for a while; raises what failed in them."""
        passing = [asyncio.create_task(self._chaos.run())]
        for _ in range(CALLER_COUNT):
            passing.append(asyncio.create_task(self._callers.submit_jobs()))
        ended, _ = await asyncio.wait(
            [*works, *passing],
            timeout=self._plan.seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in passing:
            task.cancel()
        for task in ended:
            task.result()
        await self._chaos.wait_for_faults()

    async def _build(self) -> None:
        """Start the store, the upstreams and the processes."""
        sockets = bind_sockets(0, LOOPBACK)
        self._server.add_sockets(sockets)
        store = sockets[0].getsockname()[:2]
        if self._plan.waves:
            machines = bind_sockets(0, LOOPBACK)
            self._machine_server.add_sockets(machines)
            self._machine_address = f"{LOOPBACK}:{machines[0].getsockname()[1]}"
        for number in range(self._plan.upstreams):
            await self._pool.add(number, DOMAINS[number % len(DOMAINS)])
        for number in range(1, self._plan.instances + 1):
            domain = DOMAINS[number % len(DOMAINS)]
            instance = await self._instances.add(number, domain, store)
            await self._instances.start(instance)

    def _write_settings(self, instance: Instance) -> bytes:
        """Return the settings file of an instance."""
        return encode_settings(
            instance.name,
            instance.domain,
            instance.address,
            instance.store_proxy.address,
            instance.peer_ip,
            PEER_PORT,
            self._machine_address,
        )

    async def _operate(self) -> None:
        """Publish one configuration after another until cancelled."""
        while True:
            version = self._versions[0] + 1
            put = RowPut(CONFIGURATION, encode_configuration(version))
            await self._store.transact(Transaction(puts=(put,)), NO_TIMEOUT)
            self._versions[0] = version
            await asyncio.sleep(self._source.uniform(0.5, 3.0))

    async def _await_ready(self) -> None:
        """Wait until jobs run."""
        async with asyncio.timeout(READY_SECONDS):
            while not self._store.rows.get(RowName("cell", "cell", "leader")):
                await asyncio.sleep(0.1)

    async def _check_end(self) -> None:
        """Check that every accepted job ends, as all instances tell."""
        for instance in self._instances.instances:
            if not instance.is_alive:
                await self._instances.start(instance)
        pending = set(self._callers.accepted)
        deadline = asyncio.get_running_loop().time() + FINISH_SECONDS
        while pending and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(FINISH_POLL)
            for job in sorted(pending):
                instance = self._source.choice(self._instances.instances)
                if await self._callers.query_state(job, instance) in FINAL_STATES:
                    pending.discard(job)
        violations = self._history.violations
        await self._check_waves(deadline)
        for job in sorted(pending):
            violations.append(f"accepted job {job} has not ended")
        for job in sorted(self._callers.rejected & self._history.started_jobs):
            violations.append(f"job {job} was always rejected and has run")

    async def _check_waves(self, deadline: float) -> None:
        """Check that waves come to their end, and what was noted of them."""
        loop = asyncio.get_running_loop()
        while self._plan.waves and not self._maintenance.has_completed_wave:
            if loop.time() > deadline:
                self._history.violations.append("the first wave has not ended")
                break
            await asyncio.sleep(FINISH_POLL)
        self._history.violations.extend(self._fleet.violations)

    def _make_result(self) -> SoakResult:
        """Return what was found."""
        states = list(self._callers.accepted.values())
        return SoakResult(
            self._plan.seed,
            list(self._history.violations),
            len(states),
            states.count("completed"),
            len(self._callers.rejected),
            self._history.starts,
            self._chaos.injected,
            self._callers.calls,
            len(self._fleet.maintained),
        )
