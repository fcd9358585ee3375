"""The command line of the stand-ins."""

import asyncio
import signal
from pathlib import Path

import click

from almondspread.clock import SystemClock
from almondspread_standin.capacity import capacity
from almondspread_standin.cell import CellOptions, StandInDeployment
from almondspread_standin.demo import demo
from almondspread_standin.deployment import Deployment, read_deployment
from almondspread_standin.measures import measure
from almondspread_standin.measures.operations import host
from almondspread_standin.soak.command import soak


@click.group()
def main() -> None:
    """Run stand-ins for the platform, its workers and its minions."""


main.add_command(demo)
main.add_command(capacity)
main.add_command(measure)
main.add_command(host)
main.add_command(soak)


@main.command()
@click.option(
    "--deployment",
    "path",
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="The deployment file.",
)
@click.option("--platform-port", default=7000, show_default=True, type=int)
@click.option(
    "--base-port",
    default=0,
    show_default=True,
    type=int,
    help="First port of the workers and minions; 0 takes any free ones.",
)
@click.option("--writes-per-second", default=0.0, help="Row writes; 0 for no limit.")
@click.option("--reads-per-second", default=0.0, help="Row reads; 0 for no limit.")
def run(
    path: Path,
    platform_port: int,
    base_port: int,
    writes_per_second: float,
    reads_per_second: float,
) -> None:
    """Run the platform, workers and minions of a deployment until SIGTERM."""
    parsed = read_deployment(path)
    if parsed.is_error():
        raise click.ClickException(f"{parsed.error.message}: {parsed.error.remedy}")
    options = CellOptions(platform_port, base_port, writes_per_second, reads_per_second)
    asyncio.run(_serve(parsed.ok, options))


async def _serve(deployment: Deployment, options: CellOptions) -> None:
    """Run a cell until the process is told to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    cell = StandInDeployment(deployment, SystemClock(), options)
    cell.start()
    _print_addresses(cell)
    await stopped.wait()
    await cell.stop()


def _print_addresses(cell: StandInDeployment) -> None:
    """Print where everything listens, one line each."""
    click.echo(f"platform {cell.platform_address}")
    for name, server in cell.servers.items():
        click.echo(f"{name} {server.address}")
    for name, url in cell.entry_urls.items():
        click.echo(f"{name} {url} (to be started)")
