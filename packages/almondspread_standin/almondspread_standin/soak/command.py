"""The command that runs soaks, one for each seed, and prints their results as JSON."""

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
    from almondspread_standin.soak.plan import SoakPlan, SoakResult

ROOT = Path(__file__).resolve().parents[4]
LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSSSS!UTC} {message} {extra}"


@click.command()
@click.option("--seed", default=1, show_default=True, type=int, help="First seed.")
@click.option("--seconds", default=20.0, show_default=True, type=float)
@click.option("--runs", default=1, show_default=True, type=int, help="Number of seeds.")
@click.option("--instances", default=5, show_default=True, type=int)
@click.option("--upstreams", default=6, show_default=True, type=int)
@click.option("--waves", is_flag=True, help="Also run maintenance waves.")
@click.option("--variety", is_flag=True, help="Draw jobs of all kinds.")
@click.option(
    "--removes-queue", is_flag=True, help="The same, with a queue that is removed."
)
@click.option(
    "--configurations",
    is_flag=True,
    help="Keep instances from the store, and check when configurations are in force.",
)
@click.option("--silences", is_flag=True, help="Have connections fall silent for good.")
@click.option(
    "--takeovers",
    is_flag=True,
    help="Lose leaders together with upstreams, in series, beside tasks that last.",
)
@click.option(
    "--loses-domain",
    is_flag=True,
    help="Lose one failure domain for good, beside tasks that last.",
)
@click.option(
    "--foreign-entries",
    is_flag=True,
    help="Have entries of another writer at the addresses of cut off upstreams.",
)
@click.option(
    "--workspaces",
    is_flag=True,
    help="Have callers use keys that come and go, beside a workspace over its rate.",
)
@click.option(
    "--restarts",
    is_flag=True,
    help="Restart upstreams under their ids, several at once, beside long tasks.",
)
@click.option(
    "--logs",
    default=None,
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder that keeps the logs of the processes; default: a temporary one.",
)
def soak(
    seed: int,
    seconds: float,
    runs: int,
    instances: int,
    upstreams: int,
    waves: bool,
    variety: bool,
    removes_queue: bool,
    configurations: bool,
    silences: bool,
    takeovers: bool,
    loses_domain: bool,
    foreign_entries: bool,
    workspaces: bool,
    restarts: bool,
    logs: Path | None,
) -> None:
    """Run real processes under random faults, and check their guarantees."""
    try:
        from almondspread_standin.soak.plan import SoakPlan
    except ModuleNotFoundError as error:
        raise click.ClickException(f"{error}: set PYTHONPATH=platform") from None
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    failed_seeds = 0
    for current_seed in range(seed, seed + runs):
        plan = SoakPlan(
            current_seed,
            seconds,
            instances,
            upstreams,
            waves,
            variety or removes_queue,
            removes_queue,
            configurations,
            silences,
            takeovers,
            foreign_entries,
            loses_domain,
            workspaces=workspaces,
            restarts=restarts,
        )
        result = _run_one(plan, logs)
        failed_seeds += bool(result["violations"])
        click.echo(json.dumps(result))
    if failed_seeds:
        raise click.ClickException(f"{failed_seeds} of {runs} seeds had violations")


async def _run_until_terminated(plan: "SoakPlan", folder: Path) -> "SoakResult":
    """Run a soak; SIGTERM cancels it, which stops all processes that it started."""
    from almondspread_standin.soak.soak import Soak

    soak_task = asyncio.create_task(Soak(plan, ROOT, folder).run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, soak_task.cancel)
    return await soak_task


def _run_one(plan: "SoakPlan", logs: Path | None) -> dict[str, object]:
    """Run one soak and return its result as a dictionary."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        if logs is None:
            return attrs.asdict(asyncio.run(_run_until_terminated(plan, folder)))
        folder = logs / f"seed-{plan.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        sink = logger.add(folder / "soak.log", level="INFO", format=LOG_FORMAT)
        result = attrs.asdict(asyncio.run(_run_until_terminated(plan, folder)))
        logger.remove(sink)
        return result
