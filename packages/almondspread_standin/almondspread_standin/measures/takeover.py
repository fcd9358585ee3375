"""Measures what the loss and the planned stop of an owner cost."""

import asyncio
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

import click

from almondspread.clock import SystemClock
from almondspread.resources import Capacity
from almondspread_daemon.settings import OwnershipSettings, SchedulingSettings
from almondspread_standin.cell import CellOptions
from almondspread_standin.measures.daemons import (
    DaemonCluster,
    describe_batch,
    make_deployment,
)
from almondspread_standin.measures.recovery import measure_recovery
from almondspread_standin.measures.results import print_result
from almondspread_standin.workers import WorkerAgent

DOMAINS = 3
RACKS = 5
WORKERS_PER_RACK = 10
ENTRIES_PER_DOMAIN = 3
TASK_SIZE = Capacity(1_000, 1_024)
PROBE_SIZE = Capacity(50, 64)
PROBE_PRIORITY = 100
TASK_SECONDS = 3_600.0
PROBE_SECONDS = 0.5
TASKS_PER_JOB = 200
ROW_WRITES_PER_SECOND = 300.0
ROW_READS_PER_SECOND = 2_000.0
INSTANCE_LEASE_SECONDS = 3.0
TASK_LEASE_SECONDS = 10.0
EXCHANGE_MILLISECONDS = 500
LIST_LAG_SECONDS = 30.0
SETTLE_TIME = timedelta(seconds=3)
PAUSE = timedelta(milliseconds=10)
TIMEOUT_SECONDS = 120


@click.command("takeover")
@click.option("--running", default=3_600, show_default=True, type=click.IntRange(150))
@click.option("--waiting", default=5_000, show_default=True, type=click.IntRange(0))
@click.option("--rows", default=2_000, show_default=True, type=click.IntRange(1))
@click.option("--seed", default=1, show_default=True)
def measure_takeover(running: int, waiting: int, rows: int, seed: int) -> None:
    """Measure takeover, handover and recovery with many tasks under way."""
    result = asyncio.run(_measure(running, waiting))
    recovered = asyncio.run(
        measure_recovery(running, waiting, rows, ROW_READS_PER_SECOND, seed)
    )
    print_result({**result, **recovered})


async def _measure(running: int, waiting: int) -> dict[str, Any]:
    """Return the figures of real daemons."""
    workers = DOMAINS * RACKS * WORKERS_PER_RACK
    tasks_per_worker = running // workers
    # Some room is left on each worker for the tasks that probe for a new owner.
    capacity = TASK_SIZE.times(tasks_per_worker).plus(PROBE_SIZE.times(4))
    deployment = make_deployment(
        DOMAINS, RACKS, WORKERS_PER_RACK, capacity, ENTRIES_PER_DOMAIN
    )
    options = CellOptions(
        writes_per_second=ROW_WRITES_PER_SECOND, reads_per_second=ROW_READS_PER_SECOND
    )
    sections = {
        "ownership": OwnershipSettings(
            schedule_shards=1,
            request_shards=2,
            instance_lease_seconds=INSTANCE_LEASE_SECONDS,
        ),
        "scheduling": SchedulingSettings(
            task_lease_seconds=TASK_LEASE_SECONDS,
            exchange_milliseconds=EXCHANGE_MILLISECONDS,
            idle_exchange_milliseconds=EXCHANGE_MILLISECONDS,
        ),
    }
    with tempfile.TemporaryDirectory() as directory:
        cluster = DaemonCluster(
            deployment, SystemClock(), Path(directory), options, **sections
        )
        try:
            await cluster.start()
            run = TakeoverRun(cluster, tasks_per_worker * workers, waiting)
            return await run.measure()
        finally:
            await cluster.stop()


class TakeoverRun:
    """One run: tasks under way, an owner killed, another stopped."""

    def __init__(self, cluster: DaemonCluster, running: int, waiting: int) -> None:
        self._cluster = cluster
        self._ledger = cluster.cell.ledger
        self._clock = SystemClock()
        self._running = running
        self._waiting = waiting
        self._probes = 0

    async def measure(self) -> dict[str, Any]:
        """Return the figures of a takeover and of a handover."""
        await self._fill()
        self._reset_gaps()
        await self._clock.sleep(SETTLE_TIME)
        steady_gap = self._find_longest_gap()
        # Neither the heartbeats nor the list tell at once that an owner is gone.
        self._cluster.cell.platform.set_faults(list_lag_seconds=LIST_LAG_SECONDS)
        takeover = await self._kill_owner("schedule/domain-1/0")
        takeover_gap = self._find_longest_gap()
        await self._clock.sleep(SETTLE_TIME)
        self._reset_gaps()
        handover = await self._stop_owner("schedule/domain-2/0")
        counts = await self._settle_counts()
        counted = self._ledger.count()
        expected = self._running + self._waiting
        restarted = counted.started - self._running - self._probes
        return {
            "running": self._running,
            "waiting": self._waiting,
            "takeover_s": round(takeover, 2),
            "instance_lease_s": INSTANCE_LEASE_SECONDS,
            "renewal_gap_s": round(takeover_gap.total_seconds(), 2),
            "task_lease_s": TASK_LEASE_SECONDS,
            "list_lag_s": LIST_LAG_SECONDS,
            "exchange_interval_ms": EXCHANGE_MILLISECONDS,
            "steady_gap_ms": round(steady_gap.total_seconds() * 1_000, 1),
            "handover_gap_ms": round(handover * 1_000, 1),
            "lost": expected - counts["running"] - counts["waiting"],
            "doubled": counted.double_runs,
            "restarted": restarted,
            "overcommitted": counted.over_commitments,
        }

    async def _fill(self) -> None:
        """Have the cell full, and as many tasks as asked for waiting."""
        documents = []
        left = self._running + self._waiting
        while left > 0:
            count = min(TASKS_PER_JOB, left)
            name = f"job-{len(documents)}"
            documents.append(describe_batch(name, count, TASK_SIZE, TASK_SECONDS))
            left -= count
        await self._cluster.apply(documents)
        await self._settle_counts()

    async def _settle_counts(self) -> dict[str, int]:
        """Return the owners' counts once they hold, or as they are at the timeout."""
        wanted = {"running": self._running, "waiting": self._waiting}
        counts: dict[str, int] = {}
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while counts != wanted:
                    await self._clock.sleep(PAUSE)
                    counts = await self._cluster.count_tasks()
        except TimeoutError:
            pass
        return counts

    def _list_agents(self) -> list[WorkerAgent]:
        """Return the agents of all workers."""
        return [server.agent for server in self._cluster.cell.workers.values()]

    def _reset_gaps(self) -> None:
        """Measure gaps between renewals from now."""
        for agent in self._list_agents():
            agent.longest_gap = timedelta(0)

    def _find_longest_gap(self) -> timedelta:
        """Return the longest time that any worker was without a renewal."""
        return max(agent.longest_gap for agent in self._list_agents())

    async def _kill_owner(self, shard: str) -> float:
        """Kill an owner; return seconds until every shard starts new tasks again."""
        name = await self._cluster.find_owner(shard)
        began = self._clock.monotonic()
        await self._cluster.kill(name)
        await self._start_probe()
        return (self._clock.monotonic() - began).total_seconds()

    async def _start_probe(self) -> None:
        """Run an urgent task in each shard and wait until all have started.

        The tasks of a workload go round the shards, one to each.
        """
        name = f"probe-{self._probes}"
        document = describe_batch(
            name, DOMAINS, PROBE_SIZE, PROBE_SECONDS, PROBE_PRIORITY
        )
        started = self._ledger.count().started
        self._probes += DOMAINS
        await self._cluster.apply([document])
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self._ledger.count().started < started + DOMAINS:
                await self._clock.sleep(PAUSE)

    async def _stop_owner(self, shard: str) -> float:
        """Stop an owner as planned; return the longest gap in renewals, in seconds."""
        name = await self._cluster.find_owner(shard)
        await self._cluster.terminate(name)
        await self._start_probe()
        await self._clock.sleep(SETTLE_TIME)
        return self._find_longest_gap().total_seconds()
