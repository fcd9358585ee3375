"""What entries add to the latency of lookups, with the store up, slow and down."""

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
    run_closed,
    run_warm,
)
from almondspread_standin.measures.results import print_result
from almondspread_standin.minions import KindBehaviour

SERVICE_TIME = timedelta(milliseconds=5)
PROBE_CALLERS = 48
PROBE_SECONDS = 3.0
LOAD_SHARE = 0.6
SLOW_STORE_MS = 500.0


@click.command("lookups")
@click.option("--entries", default=8, show_default=True)
@click.option("--minions", default=24, show_default=True)
@click.option("--seconds", default=5.0, show_default=True, help="Length of each part.")
@click.option("--seed", default=1, show_default=True)
def measure_lookups(entries: int, minions: int, seconds: float, seed: int) -> None:
    """Measure lookups through entries beside direct round robin."""
    with make_directory() as directory:
        print_result(
            asyncio.run(_measure(entries, minions, seconds, seed, Path(directory)))
        )


async def _measure(
    entries: int, minions: int, seconds: float, seed: int, directory: Path
) -> dict[str, Any]:
    """Run all parts and return the figures."""
    behaviours = {"lookup": KindBehaviour(SERVICE_TIME)}
    requests = RequestSettings(balancer_lag_seconds=BALANCER_LAG_SECONDS)
    fleet = EntryFleet(entries, minions, behaviours, requests, directory)
    caller = Caller(seed)
    await fleet.start()

    async def ask(_: int) -> Answer:
        return await caller.ask_entry(fleet.urls, "lookup")

    async def ask_directly(_: int) -> Answer:
        return await caller.ask_minion(fleet.minion_addresses, "lookup", "")

    try:
        probe = await run_closed(ask, PROBE_CALLERS, PROBE_SECONDS)
        rate = LOAD_SHARE * len(probe.good) / PROBE_SECONDS
        count = int(rate * seconds)
        parts: dict[str, Outcomes] = {}
        parts["up"] = await run_warm(ask, rate, count)
        fleet.cell.platform.set_faults(delay_ms=SLOW_STORE_MS)
        parts["slow"] = await run_warm(ask, rate, count)
        fleet.cell.platform.set_faults(delay_ms=0.0, down=True)
        parts["down"] = await run_warm(ask, rate, count)
        fleet.cell.platform.set_faults(down=False)
        most = fleet.find_most_in_flight()
        direct = await run_warm(ask_directly, rate, count)
    finally:
        await fleet.stop()
        caller.close()
    return _describe(rate, parts, direct, most, seed)


def _describe(
    rate: float, parts: dict[str, Outcomes], direct: Outcomes, most: int, seed: int
) -> dict[str, Any]:
    """Return the figures by name."""
    result: dict[str, Any] = {
        "measure": "lookups",
        "seed": seed,
        "requests_per_second": round(rate, 1),
        "max_in_flight_per_minion": most,
        "baseline_p50_ms": direct.find_ms(0.5),
        "baseline_p99_ms": direct.find_ms(0.99),
    }
    for name, outcomes in parts.items():
        suffix = "" if name == "up" else f"_store_{name}"
        p50 = outcomes.find_ms(0.5) - direct.find_ms(0.5)
        p99 = outcomes.find_ms(0.99) - direct.find_ms(0.99)
        result[f"added_p50_ms{suffix}"] = round(p50, 2)
        result[f"added_p99_ms{suffix}"] = round(p99, 2)
        failed = len(outcomes.answers) - len(outcomes.good)
        result[f"failed{suffix}"] = failed
    return result
