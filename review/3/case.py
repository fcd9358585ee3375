"""The store is slow and forgets its history while instances store their first jobs."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from cell import BROKEN, HELD, CannotRun, run_case  # noqa: E402

# "0" is neither disruption, "slow" and "compact" are one of them alone.
TROUBLE = os.environ.get("TROUBLE", "1")
INSTANCES = 7
# The site's platform_slow: 60 times the usual 4 ms, for 4.5 s.
SLOW_SECONDS = 60 * 0.004
SLOW_FOR_SECONDS = 4.5
# The first client of each instance comes this long after that of the one before.
ARRIVAL_SECONDS = 0.12
# The bound finish_s of the pages; it is longer than visible_ms, which is 3 s.
FINISH_SECONDS = 14.0


async def hand_in_first_jobs(cell, fresh):
    """Hand in one job at each instance that has stored none yet; return them."""

    async def hand_in(delay, instance):
        await asyncio.sleep(delay)
        job = cell.make_job(
            [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}], 0.3
        )
        status = await cell.submit(instance, "jobs", job)
        return job if status == 200 else None

    handed_in = await asyncio.gather(
        *(hand_in(n * ARRIVAL_SECONDS, instance) for n, instance in enumerate(fresh))
    )
    return [job for job in handed_in if job is not None]


async def play(cell):
    await cell.start_store()
    for number in range(6):
        await cell.add_minion(f"i-{number + 1}", number)
    await cell.configure([cell.make_route("jobs")])
    for number in range(1, INSTANCES + 1):
        await cell.start(cell.add_instance(number))
    await cell.wait_ready()
    first = cell.make_job(
        [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}], 0.3
    )
    used = await cell.submit_until_accepted("jobs", first)
    if await cell.wait_state("jobs", first, ("completed",), 20.0) != "completed":
        raise CannotRun("the first job has not completed")
    fresh = [instance for instance in cell.instances if instance is not used]

    if TROUBLE in ("1", "slow"):
        cell.record("the store turns slow")
        cell.store.slow_seconds = SLOW_SECONDS
    slow_until = cell.now() + SLOW_FOR_SECONDS
    await asyncio.sleep(2.0)
    if TROUBLE in ("1", "compact"):
        cell.record("the store forgets its history")
        await cell.store.compact()
    jobs = await hand_in_first_jobs(cell, fresh)
    await asyncio.sleep(max(0.0, slow_until - cell.now()))
    cell.store.slow_seconds = 0.0
    cell.record("the store is as fast as before")
    if not jobs:
        raise CannotRun("no job was accepted")

    # Later jobs at every instance show that the cell works.
    later = []
    for instance in cell.instances:
        job = cell.make_job(
            [{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}], 0.3
        )
        if await cell.submit(instance, "jobs", job) == 200:
            later.append(job)
    await asyncio.sleep(FINISH_SECONDS)
    lost = []
    for job in jobs:
        answers = []
        for instance in cell.instances:
            answers.append(await cell.read_state(instance, "jobs", job))
        if 410 in answers or not cell.list_starts(job):
            lost.append(job)
            cell.record(f"job {job}: starts {len(cell.list_starts(job))}, {answers}")
    served = sum(bool(cell.list_ends(job, "done")) for job in later)
    cell.record(
        f"lost {len(lost)} of {len(jobs)}, served {served} of {len(later)} later ones"
    )
    if served < len(later):
        raise CannotRun("the cell does not serve later jobs")
    return BROKEN if lost else HELD


run_case(FOLDER, play)
