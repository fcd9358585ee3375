"""Whether keyed requests run at most once while entries and minions fail."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
from attrs import define, field

from almondspread_daemon.settings import RequestSettings
from almondspread_standin.measures.requests.fleet import (
    BALANCER_LAG_SECONDS,
    EntryFleet,
    make_directory,
)
from almondspread_standin.measures.requests.load import Answer, Caller, run_load
from almondspread_standin.measures.results import print_result
from almondspread_standin.minions import KindBehaviour

SERVICE_TIME = timedelta(milliseconds=20)
FAULT_PAUSE = timedelta(seconds=1)
PAUSED = timedelta(seconds=5)
TRIES = 4
CALL_DEADLINE_SECONDS = 10.0
BASELINE_SHARE = 0.1
KIND = "reservation"


@define
class Ledger:
    """Every answer that each key's caller got."""

    answers: dict[str, list[Answer]] = field(factory=dict)

    def note(self, key: str, answer: Answer) -> None:
        """Take in one answer."""
        self.answers.setdefault(key, []).append(answer)


@click.command("once")
@click.option("--requests", default=20_000, show_default=True)
@click.option("--entries", default=8, show_default=True)
@click.option("--minions", default=24, show_default=True)
@click.option("--rate", default=300.0, show_default=True, help="Requests a second.")
@click.option("--seed", default=1, show_default=True)
def measure_once(
    requests: int, entries: int, minions: int, rate: float, seed: int
) -> None:
    """Count doubled, lost and wrongly refused requests under failures."""
    with make_directory() as directory:
        print_result(
            asyncio.run(
                _measure(requests, entries, minions, rate, seed, Path(directory))
            )
        )


async def _measure(
    requests: int, entries: int, minions: int, rate: float, seed: int, directory: Path
) -> dict[str, Any]:
    """Run the load with faults, then the same without keys, round robin."""
    behaviours = {KIND: KindBehaviour(SERVICE_TIME)}
    settings = RequestSettings(
        balancer_lag_seconds=BALANCER_LAG_SECONDS,
        call_deadline_seconds=CALL_DEADLINE_SECONDS,
    )
    fleet = EntryFleet(entries, minions, behaviours, settings, directory)
    caller = Caller(seed)
    ledger = Ledger()
    naive = Ledger()
    await fleet.start()

    async def submit(number: int) -> Answer:
        """Submit a key, again while it is refused as not run."""
        key = f"key-{number}"
        for _ in range(TRIES):
            answer = await caller.ask_entry(fleet.urls, KIND, key)
            ledger.note(key, answer)
            if answer.not_run is not True:
                return answer
            await asyncio.sleep(caller.random.uniform(0.2, 1.0))
        return answer

    async def submit_naively(number: int) -> Answer:
        """Send to the next minion, again after every failure."""
        key = f"naive-{number}"
        for _ in range(TRIES):
            answer = await caller.ask_minion(fleet.minion_addresses, KIND, key)
            naive.note(key, answer)
            if answer.status == 200:
                return answer
        return answer

    try:
        failing = asyncio.create_task(_cause_failures(fleet, caller))
        await run_load(submit, rate, requests)
        failing.cancel()
        await asyncio.wait([failing])
        most = fleet.find_most_in_flight()
        failing = asyncio.create_task(_break_minions(fleet, caller))
        await run_load(submit_naively, rate, int(requests * BASELINE_SHARE))
        failing.cancel()
        await asyncio.wait([failing])
    finally:
        await fleet.stop()
        caller.close()
    result = {"measure": "once", "seed": seed, **_judge(fleet, ledger)}
    result["max_in_flight_per_minion"] = most
    for name, value in _judge(fleet, naive).items():
        result[f"baseline_{name}"] = value
    result["baseline_max_in_flight_per_minion"] = fleet.find_most_in_flight()
    return result


async def _cause_failures(fleet: EntryFleet, caller: Caller) -> None:
    """Kill, pause and restart entries, and break minions, one after another."""
    breaking = asyncio.create_task(_break_minions(fleet, caller))
    try:
        while True:
            name = caller.random.choice(sorted(fleet.processes))
            if caller.random.random() < 0.5:
                await fleet.kill(name)
                await asyncio.sleep(FAULT_PAUSE.total_seconds())
                await fleet.start_entry(name)
                await fleet.wait_ready(name)
            else:
                await fleet.pause(name, PAUSED)
            await asyncio.sleep(FAULT_PAUSE.total_seconds())
    finally:
        breaking.cancel()


async def _break_minions(fleet: EntryFleet, caller: Caller) -> None:
    """Have one minion after another close, break off, hang or hold its answers."""
    while True:
        agent = caller.random.choice(fleet.agents)
        fault = caller.random.choice(("close", "half", "held"))
        changes: dict[str, Any] = {"held": True} if fault == "held" else {"mode": fault}
        agent.set_faults(**changes)
        try:
            await asyncio.sleep(FAULT_PAUSE.total_seconds() / 2)
        finally:
            agent.set_faults(mode="", held=False)
        await asyncio.sleep(FAULT_PAUSE.total_seconds())


def _judge(fleet: EntryFleet, ledger: Ledger) -> dict[str, Any]:
    """Compare what callers were told with what minions ran."""
    doubled = lost = false_not_run = unknown = answered = refused = 0
    for key, answers in ledger.answers.items():
        runs = sum(agent.runs_by_key[key] for agent in fleet.agents)
        doubled += runs > 1
        if any(answer.status == 200 for answer in answers):
            answered += 1
            lost += runs == 0
            continue
        if all(answer.not_run is True for answer in answers):
            refused += 1
            false_not_run += runs > 0
            continue
        unknown += 1
    return {
        "requests": len(ledger.answers),
        "answered": answered,
        "refused": refused,
        "doubled": doubled,
        "lost": lost,
        "false_not_run": false_not_run,
        "unknown_share": round(unknown / max(1, len(ledger.answers)), 5),
    }
