"""Goodput and latency when callers send several times what the minions hold."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import click

from almondspread_daemon.settings import RequestSettings
from almondspread_standin.measures.requests.fleet import (
    BALANCER_LAG_SECONDS,
    EntryFleet,
    make_directory,
)
from almondspread_standin.measures.requests.load import (
    Answer,
    Caller,
    Outcomes,
    run_load,
)
from almondspread_standin.measures.results import print_result
from almondspread_standin.minions import KindBehaviour

ENTRIES = 4
MINIONS = 6
SLOTS = 8
SERVICE_TIME = timedelta(milliseconds=200)
DEADLINE_SECONDS = 1.0
CALL_SHARE = 0.2


@click.command("overload")
@click.option("--factor", default=3.0, show_default=True, help="Times the capacity.")
@click.option("--seconds", default=8.0, show_default=True, help="Length of each part.")
@click.option("--seed", default=1, show_default=True)
def measure_overload(factor: float, seconds: float, seed: int) -> None:
    """Measure goodput under overload beside that at saturation."""
    with make_directory() as directory:
        print_result(asyncio.run(_measure(factor, seconds, seed, Path(directory))))


async def _measure(
    factor: float, seconds: float, seed: int, directory: Path
) -> dict[str, Any]:
    """Run saturation, overload and the naive overload."""
    behaviours = {
        "lookup": KindBehaviour(SERVICE_TIME),
        "reservation": KindBehaviour(SERVICE_TIME),
    }
    settings = RequestSettings(
        balancer_lag_seconds=BALANCER_LAG_SECONDS,
        lookup_deadline_seconds=DEADLINE_SECONDS,
        call_deadline_seconds=10.0,
    )
    fleet = EntryFleet(ENTRIES, MINIONS, behaviours, settings, directory)
    caller = Caller(seed)
    refused: list[str] = []
    await fleet.start()

    async def ask(number: int) -> Answer:
        key = f"key-{number}" if caller.random.random() < CALL_SHARE else ""
        kind = "reservation" if key else "lookup"
        answer = await caller.ask_entry(fleet.urls, kind, key)
        if key and answer.not_run is True:
            refused.append(key)
        return answer

    async def look_up(_: int) -> Answer:
        return await caller.ask_entry(fleet.urls, "lookup")

    async def ask_directly(_: int) -> Answer:
        return await caller.ask_minion(fleet.minion_addresses, "lookup", "")

    capacity = MINIONS * SLOTS / SERVICE_TIME.total_seconds()
    try:
        saturated = await run_load(look_up, capacity, int(capacity * seconds))
        rate = factor * capacity
        lookups = await run_load(look_up, rate, int(rate * seconds))
        mixed = await run_load(ask, rate, int(rate * seconds))
        most = fleet.find_most_in_flight()
        direct = await run_load(ask_directly, rate, int(rate * seconds))
    finally:
        await fleet.stop()
        caller.close()
    false_not_run = 0
    for key in refused:
        false_not_run += any(agent.runs_by_key[key] for agent in fleet.agents)
    at_saturation = _count_goodput(saturated, seconds)
    overloaded = _count_goodput(lookups, seconds)
    return {
        "measure": "overload",
        "seed": seed,
        "factor": factor,
        "goodput_at_saturation": at_saturation,
        "goodput": overloaded,
        "goodput_share": round(overloaded / max(0.001, at_saturation), 3),
        "goodput_mixed": _count_goodput(mixed, seconds),
        "lookup_p99_ms": lookups.find_ms(0.99),
        "lookup_deadline_ms": DEADLINE_SECONDS * 1_000,
        "refused": lookups.count(429),
        "false_not_run": false_not_run,
        "max_in_flight_per_minion": most,
        "baseline_goodput": _count_goodput(direct, seconds),
        "baseline_max_in_flight_per_minion": fleet.find_most_in_flight(),
    }


def _count_goodput(outcomes: Outcomes, seconds: float) -> float:
    """Return the answers within the deadline, a second."""
    good = [taken for taken in outcomes.good if taken <= DEADLINE_SECONDS]
    return round(len(good) / seconds, 1)
