"""A scheduled job runs so often that the record of its progress outgrows a row."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from cell import BROKEN, HELD, disturbs, run_case  # noqa: E402

STEPS = 5
INTERVAL_MS = 100
# The same job runs this often with and without the disruption.
LARGE_RUNS, SMALL_RUNS = 1_000, 60
# By then the record of the large job is larger than a row.
GROWN_SECONDS = 60.0
# The bound finish_s of the pages, and the span of the rule LOST.
FINISH_SECONDS = 14.0
LOST_SECONDS = 3.0


def make_scheduled_job(cell, runs):
    """Return a job of some small steps side by side, which runs ``runs`` times."""
    step = {"count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 50}
    return cell.make_job(
        [step] * STEPS,
        seconds=0.05,
        max_runs=runs,
        first_run_ms=int(time.time() * 1000) + 1_000,
        interval_ms=INTERVAL_MS,
    )


async def play(cell):
    await cell.start_store()
    for number in range(6):
        await cell.add_minion(f"i-{number + 1}", number)
    await cell.configure([cell.make_route("jobs"), cell.make_route("term")])
    for number in (1, 2, 3):
        await cell.start(cell.add_instance(number))
    await cell.wait_ready()
    await cell.wait_minions_used()
    runs = LARGE_RUNS if disturbs() else SMALL_RUNS
    scheduled = make_scheduled_job(cell, runs)
    await cell.submit_until_accepted("term", scheduled)
    first_due = cell.now() + 1.0
    while cell.now() < first_due + GROWN_SECONDS and not cell.store.refused_calls:
        await asyncio.sleep(0.5)
    cell.record("scheduled starts", len(cell.list_starts(scheduled)))
    for reason in cell.store.refused_calls[:3]:
        cell.record("the store has refused a call:", reason)
    await asyncio.sleep(5.0)
    # Ordinary jobs of other clients, one after the other, while the store, the minions
    # and all processes are well.
    jobs = []
    for _ in range(8):
        job = cell.make_job(
            [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 500}]
        )
        await cell.submit_until_accepted("jobs", job)
        jobs.append(job)
        await asyncio.sleep(1.0)
    ended_at = cell.now()
    await asyncio.sleep(FINISH_SECONDS)
    lost = []
    for job in jobs:
        state = await cell.read_state(cell.instances[0], "jobs", job)
        began = cell.list_starts(job)
        waited = (began[0][0] if began else cell.now()) - ended_at
        cell.record(f"job {job} is {state}, starts {len(began)}, waited {waited:.1f} s")
        if waited > LOST_SECONDS:
            lost.append(job)
    # The scheduled job has tasks whose turn has come as long as not all of those that
    # are due have been started.
    due = min(runs, int((cell.now() - first_due) * 1000 / INTERVAL_MS)) * STEPS
    starts = [each[0] for each in cell.list_starts(scheduled)]
    idle = cell.now() - starts[-1]
    cell.record(
        f"scheduled job: due {due}, started {len(starts)}, none for {idle:.1f} s"
    )
    if len(starts) < due and idle > LOST_SECONDS:
        lost.append(scheduled)
    free = sum(minion.free_cpu() for minion in cell.minions)
    cell.record(f"lost {len(lost)} of {len(jobs) + 1}, free {free} of {6 * 16_000}")
    cell.record("calls that the store has refused:", len(cell.store.refused_calls))
    return BROKEN if lost else HELD


run_case(FOLDER, play)
