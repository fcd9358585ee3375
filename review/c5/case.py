"""Resets the connection of one order on a task's pace, and watches the task beside it."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "loopback_cell"))

from cell import Cell, run_case  # noqa: E402

SERVING_JOB, FILLING_JOB = "21d94b36f85c0e7a", "21d94b36f85c0e7b"
TARGET_MS = 100
# The tail of the serving task alone, and with a task that fills at full pace.
TAIL_MS, DISTURBED_TAIL_MS = 40, 160
HARM_S = 4.0
CONTACT_S = 3.0
WATCH_S = 20.0


async def case(folder):
    """Return 1 if a serving task is harmed for ``HARM_S`` on end, in calm times."""
    trouble = os.environ.get("TROUBLE") != "0"
    cell = Cell(folder, ["a", "b", "c"])
    reset_at = []

    def choose_duration(task):
        return None if task.startswith(SERVING_JOB) else 60.0

    try:
        cell.configure()
        capacity = {"cpu": 16_000, "mem_mb": 32_768}
        await cell.add_minion(1, "a", capacity, choose_duration)
        minion = cell.endpoints[1].minion

        def find_paces():
            return [
                run.pace
                for run in minion.runs.values()
                if run.task.startswith(FILLING_JOB)
            ]

        def compute_tail():
            pace = max(find_paces(), default=0)
            return round(TAIL_MS + (DISTURBED_TAIL_MS - TAIL_MS) * pace / 100)

        def measure(run):
            return compute_tail() if run.task.startswith(SERVING_JOB) else 4000

        def loses_call(path):
            if not trouble or path != "pace" or reset_at:
                return False
            reset_at.append(cell.record("reset-connection", minion.id, call=path))
            return True

        minion.measure = measure
        minion.loses_call = loses_call
        await cell.start()
        if not await cell.wait_ready():
            return 2
        serving = {
            "count": 1,
            "cpu": 8000,
            "mem_mb": 1000,
            "long_running": True,
            "image": "serving",
            "target_ms": TARGET_MS,
        }
        if not await cell.submit(SERVING_JOB, [serving]):
            return 2
        await asyncio.sleep(3)
        filling = {
            "count": 1,
            "cpu": 4000,
            "mem_mb": 1000,
            "estimate_ms": 60_000,
            "image": "filling",
            "fills": True,
        }
        if not await cell.submit(FILLING_JOB, [filling]):
            return 2
        until = time.monotonic() + WATCH_S
        harmed_since = None
        longest = 0.0
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            tail, paces = compute_tail(), find_paces()
            at = cell.record("tail", minion.id, tail_ms=tail, paces=paces)
            is_calm = not reset_at or at - reset_at[0] > CONTACT_S
            if tail <= TARGET_MS or not is_calm or not any(paces):
                harmed_since = None
                continue
            harmed_since = at if harmed_since is None else harmed_since
            longest = max(longest, at - harmed_since)
        if len(minion.runs) != 2 or (trouble and not reset_at):
            print("the tasks did not run, or no pace was ordered")
            return 2
        cell.record("result", harmed_s=round(longest, 1))
        print(f"over its target for {longest:.1f} s on end, in calm times")
        return 1 if longest >= HARM_S else 0
    finally:
        await cell.stop()


run_case(case, FOLDER)
