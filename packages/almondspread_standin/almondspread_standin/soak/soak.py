"""One soak: starts all parts, runs them under random faults, and checks the results."""

import asyncio
import random
from datetime import timedelta
from pathlib import Path

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from almondspread.clock import SystemClock
from almondspread.codec import decode_message
from almondspread.jobs.job_records import JobRecord
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.jobs.store_limits import StoreLimits
from almondspread.testing.fake_upstream import History
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_daemon.jobs.rows import make_progress_name
from almondspread_platform.caller import HttpCaller, open_client
from almondspread_standin.soak.clients import (
    ENDED_STATES,
    EXTRA_QUEUE,
    QUEUE,
    JobClients,
)
from almondspread_standin.soak.configuration_probe import ConfigurationProbe
from almondspread_standin.soak.faults import (
    CONFIGURATION_FAULTS,
    FOREIGN_ENTRY_FAULTS,
    SILENCE_FAULTS,
    FaultInjector,
)
from almondspread_standin.soak.instances import PEER_PORT, Instance, Instances
from almondspread_standin.soak.job_kinds import (
    LASTING_KINDS,
    RESTART_KINDS,
    TaskBehaviour,
)
from almondspread_standin.soak.lasting_watch import LastingWatch
from almondspread_standin.soak.maintenance import MaintenanceDriver
from almondspread_standin.soak.plan import SoakPlan, SoakResult
from almondspread_standin.soak.pool import LOOPBACK, UpstreamPool
from almondspread_standin.soak.run_counts import RunCounts
from almondspread_standin.soak.workspaces import WorkspaceTraffic
from platform_standin.call_limits import CallLimits, CallRates
from platform_standin.formats import (
    MAX_ATTEMPTS,
    encode_configuration,
    encode_settings,
)
from platform_standin.machine_server import MachineFleet, make_machine_application
from platform_standin.store_server import (
    ClientFaults,
    StoreBackend,
    StoreFaults,
    make_store_application,
)

FAILURE_DOMAINS = ("north", "middle", "south")
CLIENT_COUNT = 8
MAX_CALLS = 128
ROWS_PER_PAGE = 500
# Settings files name so many instances.
SEEDS = 3
CONFIGURATION = RowName("op", "", "config")
# All accepted jobs must have ended this long after the last fault.
FINISH_SECONDS = 60.0
FINISH_POLL_SECONDS = 0.5
SMALL_ROW_BYTES = 8_192
SHORT_STATUS_SECONDS = 4.0
EXTRA_QUEUE_SHARE = 0.6
READY_SECONDS = 30.0
NO_TIMEOUT = timedelta(0)
# The clock of an upstream that has run for long is this far ahead of a new one.
UPTIME = timedelta(minutes=10)


class Soak:
    """One soak: its instances, upstreams, clients and stand-ins of the platform."""

    def __init__(self, plan: SoakPlan, root: Path, directory: Path) -> None:
        self._plan = plan
        self._clock = SystemClock()
        # Separate generators, so that a seed always leads to the same choice of faults.
        self._rng = random.Random(f"{plan.seed} operator")
        fault_rng = random.Random(f"{plan.seed} faults")
        job_rng = random.Random(f"{plan.seed} jobs")
        run_counts = RunCounts(lambda: asyncio.get_running_loop().time())
        self._history = History(running=run_counts)
        self._store = MemoryRecordStore(page_rows=ROWS_PER_PAGE)
        self._store_faults = StoreFaults()
        limits = CallLimits()
        if plan.variety:
            limits = CallLimits(row_bytes=SMALL_ROW_BYTES)
            self._store.limits = StoreLimits(row_bytes=SMALL_ROW_BYTES)
            self._history.max_attempts = MAX_ATTEMPTS
        self._store_backend = StoreBackend(
            self._store, self._store_faults, limits, CallRates(limits, self._clock)
        )
        self._store_servers: list[HTTPServer] = []
        self._instances = Instances(root, directory, self._encode_settings)
        behaviour = TaskBehaviour()
        self._pool = UpstreamPool(
            self._history, self._store, self._clock, self._rng, behaviour
        )
        self._pool.kept_id_share = plan.kept_id_share
        self._history.advance_all = self._pool.advance_all
        self._http_client = open_client(MAX_CALLS)
        caller = HttpCaller(self._http_client, per_address=MAX_CALLS, overall=MAX_CALLS)
        self._caller = caller
        self._clients = JobClients(
            self._instances, self._history, caller, self._clock, job_rng, plan.seed
        )
        if plan.variety:
            self._clients.behaviour = behaviour
            self._clients.status_seconds = SHORT_STATUS_SECONDS
        if plan.takeovers or plan.loses_domain:
            self._clients.behaviour = behaviour
            self._clients.kinds = LASTING_KINDS
        if plan.restarts:
            self._pool.uptime = UPTIME
            self._clients.behaviour = behaviour
            self._clients.kinds = RESTART_KINDS
        self._clients.read_stored_state = self._read_stored_state
        self._clients.count_crashes = self._pool.count_crashes
        if plan.removes_queue:
            self._clients.queues = (QUEUE, EXTRA_QUEUE)
        self._fleet = MachineFleet()
        self._maintenance = MaintenanceDriver(
            self._fleet, self._pool, self._store, random.Random(f"{plan.seed} waves")
        )
        self._machine_server = HTTPServer(make_machine_application(self._fleet))
        self._machine_address = ""
        # When each version was acknowledged, by the event loop's clock.
        self._published_at: dict[int, float] = {}
        self._has_extra = plan.removes_queue
        self._fault_injector = FaultInjector(
            self._instances, self._pool, self._store, self._store_faults, fault_rng
        )
        if plan.configurations or plan.workspaces:
            self._fault_injector.kinds = CONFIGURATION_FAULTS
        elif plan.foreign_entries:
            self._fault_injector.kinds = FOREIGN_ENTRY_FAULTS
        elif plan.silences:
            self._fault_injector.kinds = SILENCE_FAULTS
        self._workspaces = WorkspaceTraffic(
            self._clients, self._pool, self._fault_injector.is_disturbed
        )
        self._lasting_watch = LastingWatch(
            self._clients,
            self._pool,
            run_counts,
            self._fault_injector.disturbances,
            self._rng,
        )

    async def run(self) -> SoakResult:
        """Run the soak and return its result; all that was started is stopped again."""
        background_tasks: list[asyncio.Task[None]] = []
        try:
            await self._start_all()
            background_tasks.append(asyncio.create_task(self._pool.run()))
            background_tasks.append(asyncio.create_task(self._publish_configurations()))
            await self._wait_for_leader()
            if self._plan.waves:
                background_tasks.append(asyncio.create_task(self._maintenance.run()))
            probe = ConfigurationProbe(
                self._clients, self._published_at, self._fault_injector.is_disturbed
            )
            background_tasks.append(asyncio.create_task(probe.run()))
            watch = self._fault_injector.watch_store()
            background_tasks.append(asyncio.create_task(watch))
            background_tasks.append(asyncio.create_task(self._lasting_watch.run()))
            if self._plan.workspaces:
                watch = self._workspaces.watch_limit()
                background_tasks.append(asyncio.create_task(watch))
            await self._run_under_faults(background_tasks)
            await self._check_results()
            for background_task in background_tasks:
                if background_task.done():
                    # A check that has failed itself has not checked anything since.
                    background_task.result()
        finally:
            for background_task in background_tasks:
                background_task.cancel()
            await self._fault_injector.stop()
            await self._instances.stop()
            await self._pool.stop()
            for server in self._store_servers:
                server.stop()
            self._machine_server.stop()
            await self._caller.wait_idle()
            self._http_client.close()
        return self._make_result()

    async def _run_under_faults(
        self, background_tasks: list[asyncio.Task[None]]
    ) -> None:
        """Run clients and faults for the planned time, then wait for active faults.

        Raises the exception of any task that fails in the meantime.
        """
        run_faults = self._fault_injector.run
        if self._plan.loses_domain:
            run_faults = self._fault_injector.run_domain_loss
        elif self._plan.restarts:
            run_faults = self._fault_injector.run_restarts
        elif self._plan.takeovers:
            run_faults = self._fault_injector.run_takeovers
        temporary_tasks = [asyncio.create_task(run_faults())]
        if self._plan.workspaces:
            temporary_tasks.append(asyncio.create_task(self._workspaces.run()))
        for _ in range(CLIENT_COUNT):
            temporary_tasks.append(asyncio.create_task(self._clients.submit_jobs()))
        done, _ = await asyncio.wait(
            [*background_tasks, *temporary_tasks],
            timeout=self._plan.seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in temporary_tasks:
            task.cancel()
        for task in done:
            task.result()
        await self._fault_injector.wait_for_faults()

    async def _start_all(self) -> None:
        """Start the store, the upstreams and the instances."""
        if self._plan.waves:
            machines = bind_sockets(0, LOOPBACK)
            self._machine_server.add_sockets(machines)
            self._machine_address = f"{LOOPBACK}:{machines[0].getsockname()[1]}"
        for number in range(self._plan.upstreams):
            await self._pool.add(number, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)])
        for number in range(1, self._plan.instances + 1):
            domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
            await self._add_instance(number, domain)
        for instance in self._instances.instances:
            await self._instances.start(instance)
        self._fault_injector.record_start()

    async def _add_instance(self, number: int, domain: str) -> None:
        """Add an instance, and start the server at which it reaches the store."""
        faults = ClientFaults()
        server = HTTPServer(make_store_application(self._store_backend, faults))
        sockets = bind_sockets(0, LOOPBACK)
        server.add_sockets(sockets)
        self._store_servers.append(server)
        store = sockets[0].getsockname()[:2]
        await self._instances.add(number, domain, store, faults)

    def _encode_settings(self, instance: Instance) -> bytes:
        """Return the content of an instance's settings file."""
        return encode_settings(
            instance.name,
            instance.domain,
            instance.address,
            instance.store_proxy.address,
            instance.peer_ip,
            PEER_PORT,
            self._machine_address,
            self._store_backend.limits.row_bytes,
            int(self._clients.status_seconds),
            tuple(each.peer_ip for each in self._instances.instances[:SEEDS]),
        )

    def _read_stored_state(self, job: str) -> str:
        """Return the last state of a job that was ever stored, ``""`` for none."""
        for row in reversed(self._store.changes):
            if row.name == make_progress_name(job) and row.value is not None:
                return decode_message(row.value, JobRecord).state
        return ""

    async def _publish_configurations(self) -> None:
        """Publish one configuration version after another until cancelled."""
        while True:
            has_extra = self._has_extra and self._rng.random() < EXTRA_QUEUE_SHARE
            await self._publish_configuration(has_extra)
            await asyncio.sleep(self._rng.uniform(0.5, 3.0))

    async def _publish_configuration(self, has_extra_queue: bool) -> None:
        """Publish the next version of the configuration."""
        version = max(self._published_at, default=0) + 1
        workspaces = self._workspaces.rotate_keys() if self._plan.workspaces else None
        value = encode_configuration(
            version, has_extra_queue=has_extra_queue, workspaces=workspaces
        )
        put = RowPut(CONFIGURATION, value)
        await self._store.transact(Transaction(puts=(put,)), NO_TIMEOUT)
        now = self._published_at[version] = asyncio.get_running_loop().time()
        self._workspaces.record_published(now)

    async def _wait_for_leader(self) -> None:
        """Wait until a leader has been elected, so that jobs can run."""
        async with asyncio.timeout(READY_SECONDS):
            while not self._store.rows.get(RowName("cell", "cell", "leader")):
                await asyncio.sleep(0.1)

    async def _check_results(self) -> None:
        """Check that each accepted job ends, and that no rejected job has run.

        Starts the instances that are down first, and reads each job's state from a
        random instance until a final state is reported.
        """
        for instance in self._instances.instances:
            if not instance.is_alive:
                self._fault_injector.record_start()
                await self._instances.start(instance)
        # The extra queue is gone for good. Nobody can ask for its jobs, which go on.
        if self._has_extra:
            self._has_extra = False
            await self._publish_configuration(False)
        deadline = asyncio.get_running_loop().time() + FINISH_SECONDS
        await self._lasting_watch.check_finally()
        pending = set(self._clients.accepted)
        while pending and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(FINISH_POLL_SECONDS)
            for job in sorted(pending):
                if self._history.submissions[job].queue == EXTRA_QUEUE:
                    if self._clients.has_ended(job):
                        pending.discard(job)
                    continue
                instance = self._rng.choice(self._instances.instances)
                if await self._clients.query_state(job, instance) in ENDED_STATES:
                    pending.discard(job)
        violations = self._history.violations
        self._workspaces.check(self._instances.directory)
        await self._check_waves(deadline)
        for reason in self._store_backend.refusals:
            violations.append(f"a call exceeded a limit of the store: {reason}")
        for job in sorted(pending):
            violations.append(f"accepted job {job} has not ended")
        for job in sorted(self._clients.rejected & self._history.started_jobs):
            violations.append(f"job {job} was always rejected and has run")

    async def _check_waves(self, deadline: float) -> None:
        """Check that the first wave ends, and collect the violations of all waves."""
        loop = asyncio.get_running_loop()
        while self._plan.waves and not self._maintenance.has_completed_wave:
            if loop.time() > deadline:
                self._history.violations.append("the first wave has not ended")
                break
            await asyncio.sleep(FINISH_POLL_SECONDS)
        self._history.violations.extend(self._fleet.violations)

    def _make_result(self) -> SoakResult:
        """Return the result from all that was recorded."""
        states = list(self._clients.accepted.values())
        return SoakResult(
            self._plan.seed,
            list(self._history.violations),
            len(states),
            states.count("completed"),
            len(self._clients.rejected),
            self._history.starts,
            self._fault_injector.injected,
            self._clients.calls,
            len(self._fleet.maintained),
            len(self._lasting_watch.late_starts),
        )
