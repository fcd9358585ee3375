"""Kills all instances while many tasks of one minion end, and starts them again.

The minion then lists more ends than one answer of it holds.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "loopback_cell"))

from cell import Cell, run_case  # noqa: E402
from judge import find_second_runs  # noqa: E402

JOBS = [f"5c0e7a21d94b36f{number}" for number in range(4)]
TASKS = 160
TASK_CPU = 50
# Jobs follow one another so much later, and all their tasks end at about one time.
GAP_S = 1.0
LAST_TASK_S = 3.0
# The first instance is back after this time, and the others later.
DOWN_S, LATER_S = 0.5, 3.0
WATCH_S = 25.0


async def case(folder):
    """Return 1 if a task ran again after it had ended done, 0 if none did."""
    trouble = os.environ.get("TROUBLE") != "0"
    cell = Cell(folder, ["a", "b", "c"], max_hold_ms=10_000)

    def choose_duration(task):
        number = JOBS.index(task.split(".")[0])
        return LAST_TASK_S + GAP_S * (len(JOBS) - 1 - number)

    try:
        cell.configure()
        capacity = {"cpu": 32_000, "mem_mb": 65_536}
        await cell.add_minion(1, "b", capacity, choose_duration)
        await cell.start()
        if not await cell.wait_ready():
            return 2
        await asyncio.sleep(2)
        for job in JOBS:
            began = time.monotonic()
            step = {"count": TASKS, "cpu": TASK_CPU, "mem_mb": 10, "estimate_ms": 4000}
            if not await cell.submit(job, [step]):
                return 2
            await asyncio.sleep(max(0.0, began + GAP_S - time.monotonic()))
        most = max(len(each.minion.runs) for each in cell.endpoints.values())
        cell.record("most-running", tasks=most)
        if most < TASKS * len(JOBS):
            print(f"only {most} tasks run on one minion")
            return 2
        await asyncio.sleep(LAST_TASK_S - GAP_S - 0.7)
        if trouble:
            await asyncio.gather(*(cell.kill(each) for each in cell.instances))
            await asyncio.sleep(DOWN_S)
            cell.launch(cell.instances[0])
            await asyncio.sleep(LATER_S)
            for instance in cell.instances[1:]:
                cell.launch(instance)
        until = time.monotonic() + WATCH_S
        pending = list(JOBS)
        while pending and time.monotonic() < until:
            await asyncio.sleep(0.5)
            for job in list(pending):
                _, state = await cell.read_state(job, cell.instances[0])
                if state == "completed":
                    pending.remove(job)
        await asyncio.sleep(1)
        second = find_second_runs(cell.events)
        cell.record("result", second_runs=len(second), not_completed=pending)
        for task, starts in list(second.items())[:5]:
            print(task, starts)
        print(f"{len(second)} tasks of {TASKS * len(JOBS)} started again after done")
        return 1 if second else 0
    finally:
        await cell.stop()


run_case(case, FOLDER)
