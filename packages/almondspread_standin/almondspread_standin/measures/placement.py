"""Measures decisions a second of the placement, beside a full scan."""

import math
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

import click
from attrs import define, field

from almondspread.clock import ManualClock
from almondspread.placement import Cell, TaskRequest
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import QueueEntry, WaitingQueue
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.scheduling_pass import (
    Deferral,
    PassState,
    Placement,
    explain_deferral,
    schedule_waiting,
)
from almondspread.testing.naive_placement import (
    NaiveCell,
    scan_gang,
    scan_reasons,
    scan_worker,
)
from almondspread_standin.measures.arrivals import (
    Arrival,
    add_workers,
    list_arrivals,
    make_ledger,
)
from almondspread_standin.measures.results import (
    find_quantile,
    measure_resident_mb,
    print_result,
)

TASKS_PER_PASS = 60
FULL_PERCENT = 95
SLOPE_WORKERS = (24, 100, 500, 2_000)
SLOPE_TASKS_PER_WORKER = 40
MIN_SLOPE_TASKS = 20_000

# What one pass decided: the placed tasks, empty where a workload keeps waiting.
Placed = tuple[Placement, ...]


@define
class Tally:
    """What a run decided and how long each decision took, in seconds."""

    placed: int = 0
    deferred: int = 0
    elapsed: float = 0.0
    times: list[float] = field(factory=list)
    order: list[tuple[str, str]] = field(factory=list)

    @property
    def decisions(self) -> int:
        """Tasks placed plus workloads told to wait."""
        return self.placed + self.deferred

    @property
    def per_second(self) -> float:
        """Decisions a second, with the release of ended tasks in the time."""
        return self.decisions / self.elapsed


class _Replay:
    """Feeds arrivals to a queue, ends the oldest tasks, and times the decisions."""

    def __init__(
        self, cell: Cell | NaiveCell, total: Capacity, ledger: TeamQuotas
    ) -> None:
        self.cell = cell
        self.ledger = ledger
        self.queue = WaitingQueue()
        self.state: PassState | None = None
        if isinstance(cell, Cell):
            self.state = PassState(cell, ledger, self.queue, "waiting")
        self.held: deque[tuple[str, Placement]] = deque()
        self.used = Capacity(0, 0)
        self.total = total
        self.teams: dict[str, str] = {}

    def run(
        self, arrivals: list[Arrival], decide: Callable[["_Replay"], Iterator[Placed]]
    ) -> Tally:
        """Decide on all arrivals, a pass for every few."""
        tally = Tally()
        begin = time.perf_counter()
        submitted = 0
        for arrival in arrivals:
            workload = arrival.workload
            self.teams[workload.name] = workload.team
            self.queue.add(
                workload, [f"{workload.name}-{task}" for task in range(arrival.tasks)]
            )
            submitted += arrival.tasks
            if submitted < TASKS_PER_PASS:
                continue
            submitted = 0
            self._run_pass(decide, tally)
            self._end_oldest()
        self._run_pass(decide, tally)
        tally.elapsed = time.perf_counter() - begin
        return tally

    def _run_pass(
        self, decide: Callable[["_Replay"], Iterator[Placed]], tally: Tally
    ) -> None:
        """Time each decision of one pass."""
        last = time.perf_counter()
        for placed in decide(self):
            now = time.perf_counter()
            tally.times.append(now - last)
            if not placed:
                tally.deferred += 1
            for placement in placed:
                tally.placed += 1
                tally.order.append((placement.task, placement.worker))
                self.used = self.used.plus(placement.size)
                self.held.append((self.teams[placement.workload], placement))
            last = time.perf_counter()

    def _end_oldest(self) -> None:
        """End the oldest tasks until the cell is a little below full."""
        limit = self.total.cpu_millis * FULL_PERCENT // 100
        while self.used.cpu_millis > limit:
            team, placement = self.held.popleft()
            self.cell.release(placement.worker, placement.workload, placement.size)
            self.ledger.release(team, placement.size)
            self.used = self.used.minus(placement.size)


def decide_with_index(replay: _Replay) -> Iterator[Placed]:
    """Yield the decisions of the real pass."""
    clock = ManualClock()
    assert replay.state is not None
    for decision in schedule_waiting(replay.state, clock.now()):
        if isinstance(decision, tuple):
            yield decision
            continue
        if isinstance(decision, Deferral):
            explain_deferral(replay.state, decision)
        yield ()


def decide_with_scan(replay: _Replay) -> Iterator[Placed]:
    """Yield the decisions by full scans under the same rules."""
    clock = ManualClock()
    queue = replay.queue
    for entry in queue.iterate(clock.now(), replay.ledger.compute_share):
        placed = _scan_entry(replay, entry)
        for placement in placed:
            replay.cell.commit(placement.worker, placement.workload, placement.size)
            replay.ledger.commit(entry.workload.team, placement.size)
            queue.remove(placement.workload, placement.task)
        yield placed


def _scan_entry(replay: _Replay, entry: QueueEntry) -> Placed:
    """Choose by full scan; the sums over the cell are kept, as in the index."""
    cell = replay.cell
    assert isinstance(cell, NaiveCell)
    workload = entry.workload
    tasks = list(entry.tasks) if workload.gang else [entry.first_task()]
    size = workload.size
    if replay.ledger.find_exceeded_quota(workload.team, size.times(len(tasks))):
        return ()
    request = TaskRequest(workload.name, size, workload.spread)
    used, total = replay.used, replay.total
    processor_first = used.cpu_millis * total.memory_mib >= (
        used.memory_mib * total.cpu_millis
    )
    if workload.gang:
        chosen = scan_gang(cell, [request] * len(tasks), "waiting")
    else:
        name = scan_worker(cell, request, "waiting", processor_first)
        chosen = None if name is None else (name,)
    if chosen is None:
        scan_reasons(cell, size)
        return ()
    placements = []
    for task, worker in zip(tasks, chosen, strict=True):
        placements.append(Placement(workload.name, task, worker, size))
    return tuple(placements)


def run_index(workers: int, tasks: int, seed: int) -> tuple[Tally, Cell]:
    """Measure the real decision code."""
    cell = Cell()
    total = add_workers(cell, workers)
    replay = _Replay(cell, total, make_ledger(total))
    return replay.run(list_arrivals(tasks, seed), decide_with_index), cell


def run_scan(workers: int, tasks: int, seed: int) -> Tally:
    """Measure the full scan."""
    cell = NaiveCell()
    total = add_workers(cell, workers)
    replay = _Replay(cell, total, make_ledger(total))
    return replay.run(list_arrivals(tasks, seed), decide_with_scan)


def count_overcommitted(cell: Cell) -> int:
    """Return the workers committed beyond any of their resources."""
    overcommitted = 0
    for state in cell.iterate_workers():
        if not state.committed.fits_in(state.capacity):
            overcommitted += 1
    return overcommitted


def measure_slopes(seed: int) -> dict[str, Any]:
    """Return microseconds a decision by number of workers, and the exponent."""
    cost: dict[int, float] = {}
    for workers in SLOPE_WORKERS:
        tasks = max(MIN_SLOPE_TASKS, workers * SLOPE_TASKS_PER_WORKER)
        tally, _ = run_index(workers, tasks, seed)
        cost[workers] = 1e6 / tally.per_second
    least, most = SLOPE_WORKERS[0], SLOPE_WORKERS[-1]
    exponent = math.log(cost[most] / cost[least]) / math.log(most / least)
    return {
        "microseconds_per_decision": {
            str(workers): round(value, 1) for workers, value in cost.items()
        },
        "exponent": round(exponent, 3),
    }


@click.command("placement")
@click.option("--workers", default=500, show_default=True, type=click.IntRange(1))
@click.option("--tasks", default=20_000, show_default=True, type=click.IntRange(1))
@click.option("--seed", default=1, show_default=True)
@click.option("--slopes/--no-slopes", default=True, show_default=True)
def measure_placement(workers: int, tasks: int, seed: int, slopes: bool) -> None:
    """Measure placement decisions of one core against a full scan."""
    tally, cell = run_index(workers, tasks, seed)
    resident_mb = measure_resident_mb()
    baseline = run_scan(workers, tasks, seed)
    result: dict[str, Any] = {
        "measure": "placement",
        "workers": workers,
        "tasks": tasks,
        "seed": seed,
        "placed": tally.placed,
        "deferred": tally.deferred,
        "decisions_per_second": round(tally.per_second),
        "p50_ms": round(find_quantile(tally.times, 0.5) * 1e3, 4),
        "p99_ms": round(find_quantile(tally.times, 0.99) * 1e3, 4),
        "max_ms": round(max(tally.times) * 1e3, 3),
        "baseline_decisions_per_second": round(baseline.per_second),
        "baseline_p99_ms": round(find_quantile(baseline.times, 0.99) * 1e3, 4),
        "ratio": round(tally.per_second / baseline.per_second, 2),
        "same_as_baseline": tally.order == baseline.order,
        "overcommitted": count_overcommitted(cell),
        "resident_mb": resident_mb,
    }
    if slopes:
        result["slopes"] = measure_slopes(seed)
    print_result(result)
