"""``measure control``: what the scheduler itself costs each instance."""

import asyncio
import random
import tempfile
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
from attrs import define
from prometheus_client.parser import text_string_to_metric_families

from almondspread.clock import SystemClock
from almondspread_daemon.settings import OwnershipSettings, SchedulingSettings
from almondspread_standin.deployment.scaling import make_deployment
from almondspread_standin.measures.daemons import DaemonCluster
from almondspread_standin.measures.results import print_result

SETTLE_TIME = timedelta(seconds=5)
DEFAULT_POLL = timedelta(seconds=1)
JOB_INTERVAL = timedelta(seconds=1)
TASK_SECONDS = 3
TARGET_CORE_PERCENT = 3.2
TARGET_RESIDENT_MIB = 64
TARGET_KILOBYTES_PER_SECOND = 17


@define(frozen=True)
class Sample:
    """Totals of one instance at one moment."""

    cpu_seconds: float
    resident_mib: float
    io_bytes: float


@define(frozen=True)
class Cost:
    """The cost of one instance over one phase."""

    core_percent: float
    resident_mib: float
    kilobytes_per_second: float


@click.command("control")
@click.option("--instances", default=8, show_default=True)
@click.option("--failure-domains", default=3, show_default=True)
@click.option("--workers", default=24, show_default=True)
@click.option("--schedule-shards", default=1, show_default=True, help="A domain.")
@click.option("--starts-per-second", default=120, show_default=True)
@click.option("--seconds", default=15.0, show_default=True, help="Of each phase.")
@click.option("--seed", default=1, show_default=True)
def measure_control(**options: Any) -> None:
    """Measure processor, memory, bytes and table rows: idle, and under starts."""
    print_result(asyncio.run(run_measure(**options)))


async def run_measure(
    instances: int,
    failure_domains: int,
    workers: int,
    schedule_shards: int,
    starts_per_second: int,
    seconds: float,
    seed: int,
) -> dict[str, Any]:
    """Return the figures of both phases."""
    clock = SystemClock()
    deployment = make_deployment(
        failure_domains=failure_domains, workers=workers, entries=instances
    )
    with tempfile.TemporaryDirectory() as directory:
        cluster = DaemonCluster(
            deployment,
            clock,
            Path(directory),
            poll=DEFAULT_POLL,
            ownership=OwnershipSettings(schedule_shards=schedule_shards),
            scheduling=SchedulingSettings(),
        )
        figures = await _run_phases(cluster, starts_per_second, seconds, seed)
    sizes = {
        "instances": instances,
        "workers": workers,
        "schedule_shards": schedule_shards,
    }
    return {**sizes, **figures}


async def _run_phases(
    cluster: DaemonCluster, starts_per_second: int, seconds: float, seed: int
) -> dict[str, Any]:
    """Start a deployment and return the figures of both phases."""
    clock = SystemClock()
    try:
        await cluster.start()
        await clock.sleep(SETTLE_TIME)
        phase = timedelta(seconds=seconds)
        idle = await _measure_phase(cluster, phase)
        load = asyncio.create_task(
            _submit_jobs(cluster, starts_per_second, random.Random(seed))
        )
        await clock.sleep(SETTLE_TIME)
        loaded = await _measure_phase(cluster, phase)
        load.cancel()
        truth = cluster.cell.ledger.count()
        return {
            "idle": idle,
            "loaded": loaded,
            "target": {
                "core_percent": TARGET_CORE_PERCENT,
                "resident_mib": TARGET_RESIDENT_MIB,
                "kilobytes_per_second": TARGET_KILOBYTES_PER_SECOND,
            },
            "started": truth.started,
            "double_runs": truth.double_runs,
            "over_commitments": truth.over_commitments,
            "seed": seed,
        }
    finally:
        await cluster.stop()


async def _submit_jobs(
    cluster: DaemonCluster, tasks: int, random_source: random.Random
) -> None:
    """Submit a job of so many short tasks again and again, and drop old ones."""
    clock = SystemClock()
    number = 0
    while True:
        started = clock.monotonic()
        name = random_source.choice(list(cluster.processes))
        document = {
            "kind": "batch",
            "metadata": {"name": f"load-{number}"},
            "tasks": tasks,
            "template": {
                "cpu_millis": 100,
                "memory_mib": 64,
                "command": ["sleep", str(TASK_SECONDS)],
            },
        }
        await cluster.fetch(name, "/v1/apply", {"items": [{"document": document}]})
        old = number - 2 * TASK_SECONDS - 4
        if old >= 0:
            await cluster.fetch(name, "/v1/cancel", {"names": [f"batch/load-{old}"]})
        number += 1
        spent = clock.monotonic() - started
        await clock.sleep(JOB_INTERVAL - spent)


async def _measure_phase(cluster: DaemonCluster, phase: timedelta) -> dict[str, Any]:
    """Return the costs over one phase."""
    clock = SystemClock()
    before = await _take_samples(cluster)
    counters = cluster.cell.platform.service.counters
    rows_before = (counters.row_reads, counters.row_writes)
    started_before = cluster.cell.ledger.count().started
    start = clock.monotonic()
    await clock.sleep(phase)
    elapsed = (clock.monotonic() - start).total_seconds()
    after = await _take_samples(cluster)
    costs = []
    for name, sample in after.items():
        costs.append(_find_cost(before[name], sample, elapsed))
    started = cluster.cell.ledger.count().started - started_before
    return {
        "core_percent_max": round(max(cost.core_percent for cost in costs), 2),
        "core_percent_mean": round(_find_mean([c.core_percent for c in costs]), 2),
        "resident_mib_max": round(max(cost.resident_mib for cost in costs), 1),
        "kilobytes_per_second_max": round(
            max(cost.kilobytes_per_second for cost in costs), 1
        ),
        "kilobytes_per_second_mean": round(
            _find_mean([c.kilobytes_per_second for c in costs]), 1
        ),
        "starts_per_second": round(started / elapsed, 1),
        "table_row_reads_per_second": round(
            (counters.row_reads - rows_before[0]) / elapsed, 1
        ),
        "table_row_writes_per_second": round(
            (counters.row_writes - rows_before[1]) / elapsed, 1
        ),
    }


def _find_mean(values: list[float]) -> float:
    """Return the mean of some values."""
    return sum(values) / len(values)


def _find_cost(before: Sample, after: Sample, elapsed: float) -> Cost:
    """Return the cost of one instance between two samples."""
    return Cost(
        core_percent=100 * (after.cpu_seconds - before.cpu_seconds) / elapsed,
        resident_mib=after.resident_mib,
        kilobytes_per_second=(after.io_bytes - before.io_bytes) / 1000 / elapsed,
    )


async def _take_samples(cluster: DaemonCluster) -> dict[str, Sample]:
    """Return a sample of each instance."""
    samples = {}
    for name in cluster.processes:
        text = await cluster.fetch_text(name, "/metrics")
        usage = cluster.read_usage(name)
        io_bytes = _sum_metric(text, "almondspread_io")
        samples[name] = Sample(usage.cpu_seconds, usage.resident_mib, io_bytes)
    return samples


def _sum_metric(text: str, prefix: str) -> float:
    """Return the sum over all samples of the metrics whose name has a prefix."""
    total = 0.0
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name.startswith(prefix):
                total += sample.value
    return total
