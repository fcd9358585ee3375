"""Kills the leader in a maintenance wave, after the service for machines was away."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "loopback_cell"))

from cell import Cell, find_port, run_case  # noqa: E402
from cloud import Cloud, name_machine  # noqa: E402
from judge import find_second_runs  # noqa: E402

SHORT_JOB, JOB = "94b36f85c0e7a21c", "94b36f85c0e7a21d"
MINIONS = 4
TASKS_PER_MINION = 2
SHORT_TASK_S = 5.0
TASK_S = 40.0
AWAY_S = 5.0


async def case(folder):
    """Return 1 if a task ran twice at a time, 0 if none did."""
    trouble = os.environ.get("TROUBLE") != "0"
    zones = ["a", "b", "c"]
    cell = Cell(folder, zones, max_hold_ms=6_000)

    def choose_duration(task):
        return SHORT_TASK_S if task.startswith(SHORT_JOB) else TASK_S

    placed = {number: zones[(number - 1) % 3] for number in range(1, MINIONS + 1)}
    try:
        cell.configure()
        for number, zone in placed.items():
            capacity = {"cpu": 16_000, "mem_mb": 16_384}
            await cell.add_minion(number, zone, capacity, choose_duration)
        cloud = Cloud(cell, placed, choose_duration)
        await cell.start(cloud=cloud.listen("127.0.0.1", find_port("127.0.0.1")))
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(2)
        cloud.request_wave(1, [name_machine(1)], within_s=30, at_most=1)
        until = time.monotonic() + 10
        while not cloud.upkeeps and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if not cloud.upkeeps:
            return 2
        away_until = time.monotonic() + AWAY_S
        # The order was carried out and answered; from now on no call is answered.
        await asyncio.sleep(0.1)
        cloud.is_silent = trouble
        cell.record("cloud", silent=trouble)
        # Two tasks find room on each minion by their memory. The first job fills the
        # other minions, so that the tasks of the second run on the one that is back.
        others = [each for each in cell.instances if each is not cell.read_leader()]
        step = {"cpu": 2000, "mem_mb": 8000, "estimate_ms": 5000}
        step["count"] = TASKS_PER_MINION * (MINIONS - 1)
        if not await cell.submit(SHORT_JOB, [step], instances=others):
            return 2
        await asyncio.sleep(2.5)
        step = {**step, "count": TASKS_PER_MINION, "estimate_ms": 40_000, "fills": True}
        if not await cell.submit(JOB, [step], instances=others):
            return 2
        await asyncio.sleep(1)
        running = {n: len(each.minion.runs) for n, each in cell.endpoints.items()}
        cell.record("running", tasks=running)
        if not running[1]:
            print(f"nothing runs on the minion that is back: {running}")
            return 2
        leader = cell.read_leader()
        if trouble:
            await cell.kill(leader)
            await asyncio.sleep(0.5)
            cell.launch(leader)
        await asyncio.sleep(max(0.0, away_until - time.monotonic()))
        cloud.is_silent = False
        cell.record("cloud", silent=False)
        await asyncio.sleep(12)
        second = find_second_runs(cell.events)
        cell.record("result", second_runs=len(second))
        for task, starts in second.items():
            print(task, starts)
        return 1 if second else 0
    finally:
        await cell.stop()


run_case(case, FOLDER)
