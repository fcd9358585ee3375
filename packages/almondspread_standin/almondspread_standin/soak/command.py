"""The command that runs soaks."""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import click
from loguru import logger

if TYPE_CHECKING:
    from almondspread_standin.soak.soak import SoakPlan, SoakResult

ROOT = Path(__file__).resolve().parents[4]


@click.command()
@click.option("--seed", default=1, show_default=True, type=int, help="First seed.")
@click.option("--seconds", default=20.0, show_default=True, type=float)
@click.option("--runs", default=1, show_default=True, type=int, help="How many seeds.")
@click.option("--instances", default=5, show_default=True, type=int)
@click.option("--upstreams", default=6, show_default=True, type=int)
@click.option("--waves", is_flag=True, help="Also have machines maintained.")
@click.option(
    "--logs",
    default=None,
    type=click.Path(path_type=Path, file_okay=False),
    help="Where the processes' lines are kept; else a folder that is removed.",
)
def soak(
    seed: int,
    seconds: float,
    runs: int,
    instances: int,
    upstreams: int,
    waves: bool,
    logs: Path | None,
) -> None:
    """Run real processes under random faults, and check what they promise."""
    try:
        from almondspread_standin.soak.soak import SoakPlan
    except ModuleNotFoundError as error:
        raise click.ClickException(f"{error}: set PYTHONPATH=platform") from None
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    broken = 0
    for number in range(seed, seed + runs):
        plan = SoakPlan(number, seconds, instances, upstreams, waves)
        result = _run_one(plan, logs)
        broken += bool(result["violations"])
        click.echo(json.dumps(result))
    if broken:
        raise click.ClickException(f"{broken} of {runs} seeds broke a promise")


async def _run_until_told(plan: "SoakPlan", folder: Path) -> "SoakResult":
    """Run a soak; SIGTERM ends it, with all that it has started."""
    from almondspread_standin.soak.soak import Soak

    work = asyncio.create_task(Soak(plan, ROOT, folder).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, work.cancel)
    return await work


def _run_one(plan: "SoakPlan", logs: Path | None) -> dict[str, object]:
    """Run one soak and return its result as plain values."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        if logs is not None:
            folder = logs / f"seed-{plan.seed}"
            folder.mkdir(parents=True, exist_ok=True)
        return attrs.asdict(asyncio.run(_run_until_told(plan, folder)))
