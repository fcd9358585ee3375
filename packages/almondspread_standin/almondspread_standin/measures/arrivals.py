"""Seeded cells and streams of workloads for the measurement of placement."""

import random
from datetime import timedelta

from attrs import define

from almondspread.clock import ManualClock
from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import WaitingWorkload
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.testing.naive_placement import NaiveCell

TEAMS = 88
FAILURE_DOMAINS = 6
WORKERS_PER_RACK = 8
WORKER_CAPACITY = Capacity(32_000, 65_536)
ACCELERATOR_CAPACITY = Capacity(64_000, 131_072, 8)
ACCELERATOR_WORKERS_PERCENT = 23
MAX_TASKS = 12
SERVICE_SHARE = 0.2
GANG_SHARE = 0.05
ACCELERATOR_SHARE = 0.1
QUOTA_FACTOR = 3
ARRIVAL_INTERVAL = timedelta(milliseconds=50)


@define(frozen=True)
class Arrival:
    """A workload and how many tasks it has."""

    workload: WaitingWorkload
    tasks: int


def add_workers(cell: Cell | NaiveCell, count: int) -> Capacity:
    """Fill a cell with workers; return what they have together."""
    total = Capacity(0, 0)
    for number in range(count):
        rack = number // WORKERS_PER_RACK
        domain = f"domain-{rack % FAILURE_DOMAINS}"
        accelerated = number % 100 < ACCELERATOR_WORKERS_PERCENT
        capacity = ACCELERATOR_CAPACITY if accelerated else WORKER_CAPACITY
        cell.add_worker(f"worker-{number:04}", domain, f"rack-{rack}", capacity)
        total = total.plus(capacity)
    return total


def make_ledger(total: Capacity) -> TeamQuotas:
    """Return a ledger whose quotas add up to a multiple of the cell."""
    ledger = TeamQuotas(total)
    quota = Capacity(
        total.cpu_millis * QUOTA_FACTOR // TEAMS,
        total.memory_mib * QUOTA_FACTOR // TEAMS,
        total.accelerators,
    )
    for number in range(TEAMS):
        ledger.set_team(f"team-{number}", quota, 1.0 + number % 3)
    return ledger


def list_arrivals(task_count: int, seed: int) -> list[Arrival]:
    """Return a stream of services, batch jobs and gangs of all teams."""
    source = random.Random(seed)
    clock = ManualClock()
    arrivals: list[Arrival] = []
    remaining = task_count
    while remaining:
        clock.advance(ARRIVAL_INTERVAL)
        tasks = min(remaining, source.randint(1, MAX_TASKS))
        remaining -= tasks
        arrivals.append(Arrival(_draw_workload(source, clock, len(arrivals)), tasks))
    return arrivals


def _draw_workload(
    source: random.Random, clock: ManualClock, number: int
) -> WaitingWorkload:
    """Return one workload of random kind, team and size."""
    kind = source.random()
    spread = "none"
    accelerators = 0
    if kind < SERVICE_SHARE:
        spread = source.choice(["rack", "failure_domain"])
    elif kind < SERVICE_SHARE + ACCELERATOR_SHARE:
        accelerators = source.choice([1, 1, 2, 4])
    return WaitingWorkload(
        name=f"workload-{number}",
        team=f"team-{source.randrange(TEAMS)}",
        priority=source.choice([100, 100, 200, 500, 900]),
        size=Capacity(
            source.choice([250, 500, 1_000, 2_000, 4_000]),
            source.choice([256, 512, 1_024, 2_048, 8_192]),
            accelerators,
        ),
        submitted=clock.now(),
        spread=spread,
        gang=kind > 1 - GANG_SHARE,
    )
