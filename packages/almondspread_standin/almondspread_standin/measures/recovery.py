"""Measures the recovery of a shard: snapshot and rows, or all rows one by one."""

import random
import time
import uuid
from datetime import timedelta
from typing import Any

import msgpack

from almondspread.clock import ManualClock, SystemClock
from almondspread.interfaces import Condition, Instance, Write
from almondspread.journal import Journal
from almondspread.resources import Capacity
from almondspread.scheduling import EVENT_CODEC, Scheduler, ShardState, rebuild_state
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.scheduler import DesiredWorkload
from almondspread_platform import HttpCaller, HttpObjectStore, HttpTable, open_client
from almondspread_standin.cell import CellOptions, StandInDeployment
from almondspread_standin.measures.daemons import describe_batch, make_deployment

SHARD = "schedule/domain-1/0"
TASK_SIZE = Capacity(1_000, 1_024)
WORKERS = 50
TASKS_PER_JOB = 200
ROWS_AFTER_SNAPSHOT = 500
ENDS_PER_ROW = 4
PLACEMENTS_PER_ROW = 400
TABLE_TIMEOUT = timedelta(seconds=30)


class History:
    """A shard whose tasks end and are followed by waiting ones, row after row."""

    def __init__(self, running: int, waiting: int, seed: int) -> None:
        self._random = random.Random(seed)
        self.scheduler = Scheduler(
            ShardState(), LeaseTerms(), ManualClock(), self._random
        )
        capacity = TASK_SIZE.times(running // WORKERS)
        workers = []
        for number in range(WORKERS):
            name = f"worker-{number}"
            workers.append(
                Instance(
                    name,
                    "worker",
                    name,
                    "domain-1",
                    f"rack-{number}",
                    capacity=capacity,
                )
            )
        self.scheduler.set_workers(workers)
        self._desired: list[DesiredWorkload] = []
        self._add_jobs(running + waiting)

    def _add_jobs(self, tasks: int) -> None:
        """Declare jobs with some tasks in all."""
        while tasks > 0:
            count = min(TASKS_PER_JOB, tasks)
            name = f"job-{len(self._desired)}"
            document = msgpack.packb(describe_batch(name, count, TASK_SIZE, 1.0))
            workload = f"batch/{name}:1"
            self._desired.append(
                DesiredWorkload(workload, 1, document, tuple(range(count)))
            )
            tasks -= count
        self.scheduler.reconcile(self._desired, 0.0)

    def decide(self) -> list[bytes]:
        """Return the events of the next row: some tasks end and others are bound."""
        for worker in self._random.sample(
            sorted(self.scheduler.state.run_lists),
            min(ENDS_PER_ROW, len(self.scheduler.state.run_lists)),
        ):
            attempt = self._random.choice(self.scheduler.state.list_attempts(worker))
            # An excused end lets the task wait again, so that the size stays.
            self.scheduler.decisions.end_attempt(attempt, "stopped")
        self.scheduler.place(PLACEMENTS_PER_ROW)
        batch = self.scheduler.decisions.take_batch()
        return [EVENT_CODEC.encode(event) for event in batch]


async def measure_recovery(
    running: int, waiting: int, rows: int, reads_per_second: float, seed: int
) -> dict[str, Any]:
    """Return how long a new owner takes to rebuild a shard, both ways."""
    clock = SystemClock()
    options = CellOptions(reads_per_second=reads_per_second)
    cell = StandInDeployment(make_deployment(1, 1, 1, TASK_SIZE, 1), clock, options)
    cell.start()
    client = open_client(4)
    caller = HttpCaller(client)
    table = HttpTable(caller, cell.platform_address, TABLE_TIMEOUT)
    store = HttpObjectStore(caller, cell.platform_address, TABLE_TIMEOUT)

    def take_over(epoch: int) -> Journal:
        """Return the journal of the next owner."""
        key = f"owner/{SHARD}"
        version = cell.platform.service.table.apply([], [Write(key, b"%d" % epoch)]).ok
        return Journal(
            SHARD,
            epoch,
            Condition(key, version),
            table,
            store,
            clock,
            lambda: uuid.uuid4().hex,
        )

    async def recover(epoch: int) -> tuple[float, ShardState]:
        """Return the seconds that a recovery takes, and its state."""
        began = time.perf_counter()
        recovered = (await take_over(epoch).recover()).ok
        state = rebuild_state(SHARD, recovered)
        return time.perf_counter() - began, state

    try:
        history = History(running, waiting, seed)
        journal = take_over(1)
        for _ in range(max(1, rows - ROWS_AFTER_SNAPSHOT)):
            await journal.commit(history.decide())
        covered = history.scheduler.state.encode()
        tail = []
        for _ in range(min(rows, ROWS_AFTER_SNAPSHOT)):
            tail.append(history.decide())
            await journal.commit(tail[-1])
        by_rows, expected = await recover(2)
        # The same history once more, with the snapshot that compaction leaves.
        cell.platform.service.table.rows.clear()
        journal = take_over(3)
        # A row in place of those that the snapshot covers; it is never read.
        await journal.commit([])
        await journal.write_snapshot(covered)
        for events in tail:
            await journal.commit(events)
        by_snapshot, state = await recover(4)
        return {
            "recovery_snapshot_s": round(by_snapshot, 3),
            "baseline_recovery_rows_s": round(by_rows, 3),
            "recovery_rows": rows,
            "recovery_snapshot_bytes": len(covered),
            "recovery_equal": state.encode() == expected.encode(),
        }
    finally:
        await caller.wait_idle()
        client.close()
        await cell.stop()
