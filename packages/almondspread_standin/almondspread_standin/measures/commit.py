"""Measures placements through real daemons, a rate-limited table and the workers."""

import asyncio
import random
import re
import tempfile
import uuid
from datetime import timedelta
from pathlib import Path

import click

from almondspread.clock import SystemClock
from almondspread.interfaces import Condition, Write
from almondspread.journal import Journal
from almondspread.resources import Capacity
from almondspread_platform import HttpCaller, HttpObjectStore, HttpTable, open_client
from almondspread_standin.cell import CellOptions, StandInDeployment
from almondspread_standin.measures.daemons import (
    DaemonCluster,
    MeasureFailed,
    describe_batch,
    make_deployment,
)
from almondspread_standin.measures.results import print_result

DOMAINS = 3
RACKS = 3
WORKERS_PER_RACK = 8
ENTRIES_PER_DOMAIN = 2
CAPACITY = Capacity(64_000, 262_144)
JOBS = 30
TASK_SECONDS = 3_600.0
SIZES = (50, 100, 200)
TIMEOUT_SECONDS = 120
PAUSE = timedelta(milliseconds=10)
BASELINE_SECONDS = 5
BASELINE_EVENT_BYTES = 120
TABLE_TIMEOUT = timedelta(seconds=2)
BUCKET = re.compile(
    r'^almondspread_journal_commit_duration_seconds_bucket\{.*le="([^"]+)".*\} (\S+)'
)


@click.command("commit")
@click.option("--row-writes-per-second", default=300.0, show_default=True)
@click.option("--tasks", default=15_000, show_default=True, type=click.IntRange(1))
@click.option("--seed", default=1, show_default=True)
def measure_commit(row_writes_per_second: float, tasks: int, seed: int) -> None:
    """Measure placements a second up to the workers' acknowledged starts."""
    result = asyncio.run(_measure(row_writes_per_second, tasks, seed))
    baseline = asyncio.run(_measure_baseline(row_writes_per_second))
    result["baseline_placements_per_second"] = round(baseline, 1)
    result["ratio"] = round(result["placements_per_second"] / baseline, 1)
    print_result(result)


async def _measure(rate: float, tasks: int, seed: int) -> dict[str, float]:
    """Return the figures of the real daemons."""
    deployment = make_deployment(
        DOMAINS, RACKS, WORKERS_PER_RACK, CAPACITY, ENTRIES_PER_DOMAIN
    )
    options = CellOptions(writes_per_second=rate)
    with tempfile.TemporaryDirectory() as directory:
        cluster = DaemonCluster(deployment, SystemClock(), Path(directory), options)
        try:
            await cluster.start()
            return await _run_tasks(cluster, tasks, seed)
        finally:
            await cluster.stop()


async def _run_tasks(cluster: DaemonCluster, tasks: int, seed: int) -> dict[str, float]:
    """Declare all tasks at once and wait until owners know that all of them run."""
    clock = SystemClock()
    source = random.Random(seed)
    documents = []
    for number in range(JOBS):
        size = Capacity(source.choice(SIZES), source.choice(SIZES))
        count = tasks // JOBS + (number < tasks % JOBS)
        if count:
            documents.append(describe_batch(f"job-{number}", count, size, TASK_SECONDS))
    counters = cluster.cell.platform.service.counters
    written = counters.row_writes
    began = clock.monotonic()
    await cluster.apply(documents)
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while cluster.cell.ledger.count().started < tasks:
            await clock.sleep(PAUSE)
        started = clock.monotonic()
        while (await cluster.count_tasks())["running"] < tasks:
            await clock.sleep(PAUSE)
    acknowledged = clock.monotonic()
    seconds = (acknowledged - began).total_seconds()
    counted = cluster.cell.ledger.count()
    return {
        "tasks": tasks,
        "placements_per_second": round(tasks / seconds, 1),
        "started_per_second": round(tasks / (started - began).total_seconds(), 1),
        "seconds": round(seconds, 2),
        "p99_commit_ms": await _find_commit_quantile(cluster, 0.99),
        "row_writes_per_second": round((counters.row_writes - written) / seconds, 1),
        "row_writes": counters.row_writes - written,
        "overcommitted": counted.over_commitments,
        "doubled": counted.double_runs,
    }


async def _find_commit_quantile(cluster: DaemonCluster, fraction: float) -> float:
    """Return the upper bound, in ms, of the histogram bucket that holds a quantile."""
    totals: dict[float, float] = {}
    for name in cluster.processes:
        for line in (await cluster.fetch_text(name, "/metrics")).splitlines():
            found = BUCKET.match(line)
            if found is None:
                continue
            bound = float(found[1])
            totals[bound] = totals.get(bound, 0.0) + float(found[2])
    if not totals or not max(totals.values()):
        raise MeasureFailed("the daemons report no commits")
    for bound in sorted(totals):
        if totals[bound] >= fraction * totals[max(totals)]:
            return bound * 1_000
    return max(totals) * 1_000


async def _measure_baseline(rate: float) -> float:
    """Return placements a second where each one is a row write of its own.

    As many writers as there are scheduling shards each commit one event after another;
    nothing is decided and no worker is told, which favours the baseline.
    """
    clock = SystemClock()
    deployment = make_deployment(1, 1, 1, CAPACITY, 1)
    cell = StandInDeployment(deployment, clock, CellOptions(writes_per_second=rate))
    cell.start()
    client = open_client(DOMAINS + 1)
    caller = HttpCaller(client)
    table = HttpTable(caller, cell.platform_address, TABLE_TIMEOUT)
    store = HttpObjectStore(caller, cell.platform_address, TABLE_TIMEOUT)
    counts = [0] * DOMAINS

    async def write(number: int) -> None:
        """Commit single events until cancelled."""
        shard = f"schedule/domain-{number}/0"
        version = (await table.transact([], [Write(f"owner/{shard}", b"1")])).ok
        condition = Condition(f"owner/{shard}", version)
        journal = Journal(
            shard, 1, condition, table, store, clock, lambda: uuid.uuid4().hex
        )
        while True:
            await journal.commit([bytes(BASELINE_EVENT_BYTES)])
            counts[number] += 1

    writers = [asyncio.create_task(write(number)) for number in range(DOMAINS)]
    began = clock.monotonic()
    await clock.sleep(timedelta(seconds=BASELINE_SECONDS))
    seconds = (clock.monotonic() - began).total_seconds()
    for writer in writers:
        writer.cancel()
    await asyncio.gather(*writers, return_exceptions=True)
    await caller.wait_idle()
    client.close()
    await cell.stop()
    return sum(counts) / seconds
