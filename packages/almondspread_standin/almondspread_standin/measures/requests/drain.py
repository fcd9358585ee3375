"""Whether planned stops cut requests short, and how soon a leaving minion rests."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import click

from almondspread.clock import SystemClock
from almondspread_daemon.settings import RequestSettings
from almondspread_standin.measures.requests.fleet import (
    BALANCER_LAG_SECONDS,
    EntryFleet,
    make_directory,
)
from almondspread_standin.measures.requests.load import Answer, Caller, run_load
from almondspread_standin.measures.results import print_result
from almondspread_standin.minions import KindBehaviour

ENTRIES = 6
MINIONS = 12
RATE = 150.0
CALL_SHARE = 0.3
LEAVING_SECONDS = 4.0


@click.command("drain")
@click.option("--entries", default=ENTRIES, show_default=True)
@click.option("--seed", default=1, show_default=True)
def measure_drain(entries: int, seed: int) -> None:
    """Restart all entries one after another under load, then let a minion leave."""
    with make_directory() as directory:
        print_result(asyncio.run(_measure(entries, seed, Path(directory))))


async def _measure(entries: int, seed: int, directory: Path) -> dict[str, Any]:
    """Run both parts and return the figures."""
    behaviours = {
        "lookup": KindBehaviour(timedelta(milliseconds=20)),
        "reservation": KindBehaviour(timedelta(milliseconds=400)),
    }
    settings = RequestSettings(
        balancer_lag_seconds=BALANCER_LAG_SECONDS, call_deadline_seconds=10.0
    )
    fleet = EntryFleet(entries, MINIONS, behaviours, settings, directory)
    caller = Caller(seed)
    clock = SystemClock()
    await fleet.start()
    ended = asyncio.Event()
    statuses: list[int] = []
    began = clock.monotonic()

    async def ask(number: int) -> Answer:
        key = f"key-{number}" if caller.random.random() < CALL_SHARE else ""
        kind = "reservation" if key else "lookup"
        return await caller.ask_entry(fleet.urls, kind, key)

    async def restart_all() -> None:
        for name in sorted(fleet.processes):
            statuses.append(await fleet.terminate(name))
            await fleet.start_entry(name)
            await fleet.wait_ready(name)
        ended.set()

    answers: list[Answer] = []
    try:
        restarting = asyncio.create_task(restart_all())
        while not ended.is_set() and not restarting.done():
            outcomes = await run_load(ask, RATE, int(RATE))
            answers.extend(outcomes.answers)
        await restarting
        took = clock.monotonic() - began
        last = await _let_minion_leave(fleet, caller, clock)
    finally:
        await fleet.stop()
        caller.close()
    cut = [a for a in answers if a.status != 200 and a.not_run is not True]
    refused = [a for a in answers if a.not_run is True]
    return {
        "measure": "drain",
        "seed": seed,
        "requests": len(answers),
        "cut_short": len(cut),
        "cut_statuses": sorted({answer.status for answer in cut}),
        "refused_not_run": len(refused),
        "exit_statuses": statuses,
        "restart_seconds": round(took.total_seconds(), 1),
        "last_new_request_s": last,
        "max_in_flight_per_minion": fleet.find_most_in_flight(),
    }


async def _let_minion_leave(
    fleet: EntryFleet, caller: Caller, clock: SystemClock
) -> float:
    """Return how long after its first sign a leaving minion got a request."""

    async def look_up(_: int) -> Answer:
        return await caller.ask_entry(fleet.urls, "lookup")

    name = sorted(fleet.cell.minions)[0]
    agent = fleet.cell.minions[name].agent
    loading = asyncio.create_task(run_load(look_up, RATE, int(RATE * LEAVING_SECONDS)))
    await asyncio.sleep(0.5)
    left = clock.monotonic()
    fleet.cell.announce_leaving(name)
    await loading
    last = max((run.moment for run in agent.runs), default=left)
    return round(max(0.0, (last - left).total_seconds()), 3)
