"""Cancels many jobs of small tasks at once, and watches how long the tasks run on."""

import asyncio
import os
import sys
import time
from pathlib import Path

import psutil

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "loopback_cell"))

from cell import FRONT, PREFIX, Cell, run_case  # noqa: E402

JOBS = [f"5c0e7a21d94b3{number:03x}" for number in range(96)]
TASKS = 40
TASK_CPU = 25
MINIONS = 3
CANCEL_S, STOP_TIMEOUT_S = 3.0, 0.9
WATCH_S = 20.0


async def case(folder):
    """Return 1 if a task runs on for too long after its job was cancelled."""
    trouble = os.environ.get("TROUBLE") != "0"
    cell = Cell(folder, ["a", "b", "c"])
    acknowledged = {}

    async def cancel(number, job):
        for attempt in range(5):
            instance = cell.instances[(number + attempt) % 3]
            address = f"{instance.ip}:{FRONT}"
            status, _ = await cell.fetch("DELETE", address, PREFIX + job)
            at = cell.record("cancel", instance.name, job=job, status=status)
            if 200 <= status < 300 or status == 410:
                acknowledged[job] = at
                return

    try:
        cell.configure()
        for number in range(1, MINIONS + 1):
            capacity = {"cpu": 32_000, "mem_mb": 65_536}
            await cell.add_minion_process(number, "abc"[number - 1], capacity, 300)
        await cell.start()
        if not await cell.wait_ready():
            return 2
        step = {"count": TASKS, "cpu": TASK_CPU, "mem_mb": 10, "estimate_ms": 300_000}
        for number, job in enumerate(JOBS):
            began = time.monotonic()
            if not await cell.submit(job, [step]):
                return 2
            await asyncio.sleep(max(0.0, began + 0.3 - time.monotonic()))
        until = time.monotonic() + 30
        while time.monotonic() < until:
            running = [len(each.minion.runs) for each in cell.endpoints.values()]
            if sum(running) == TASKS * len(JOBS):
                break
            await asyncio.sleep(0.2)
        else:
            print(f"not all tasks run: {running}")
            return 2
        cell.record("running", tasks=running)
        used = [_measure(each) for each in cell.list_processes()]
        if trouble:
            await asyncio.gather(
                *(cancel(number, job) for number, job in enumerate(JOBS))
            )
        until = time.monotonic() + (WATCH_S if trouble else 5.0)
        while time.monotonic() < until:
            await asyncio.sleep(0.5)
            left = sum(len(each.minion.runs) for each in cell.endpoints.values())
            cell.record("left", tasks=left)
            if not left:
                break
        for (name, before), process in zip(used, cell.list_processes()):
            cell.record(
                "cpu-seconds", name, used=round(_measure(process)[1] - before, 1)
            )
        now = cell.record("watched")
        late = _find_late(cell.events, acknowledged, now)
        lapses = sum(
            each[1] == "end" and each[3]["how"] == "lapsed" for each in cell.events
        )
        longest = max(late.values(), default=0.0)
        cell.record(
            "result", late=len(late), longest_s=round(longest, 1), lapsed=lapses
        )
        print(
            f"{len(late)} tasks ran on too long, up to {longest:.1f} s after the "
            f"cancellation was acknowledged; {lapses} leases lapsed"
        )
        return 1 if late else 0
    finally:
        await cell.stop()


def _find_late(events, acknowledged, now):
    """Return the tasks that ran on too long, with the time after the acknowledgement."""
    ended = {}
    started = set()
    for at, what, _, fields in events:
        if what == "start":
            started.add(fields["task"])
        if what == "end":
            ended[fields["task"]] = at
    late = {}
    for task in started:
        at = acknowledged.get(task.split(".")[0])
        if at is not None and ended.get(task, now) - at > CANCEL_S + STOP_TIMEOUT_S:
            late[task] = ended.get(task, now) - at
    return late


def _measure(row):
    """Return the name of a process, and how many seconds of processor time it used."""
    name, pid = row
    times = psutil.Process(pid).cpu_times()
    return name, times.user + times.system


run_case(case, FOLDER)
