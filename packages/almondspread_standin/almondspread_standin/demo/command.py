"""The command ``demo``."""

import asyncio
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import click
from loguru import logger

from almondspread.clock import SystemClock
from almondspread_standin.demo.story import DemoFailed, Story
from almondspread_standin.deployment import read_deployment
from almondspread_standin.embedded import EmbeddedCluster

OPERATORS = ("norrland", "sicily")
EXIT_FAILED = 1


@click.command()
@click.option(
    "--examples",
    default=Path("examples"),
    show_default=True,
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="The folder with one deployment for each operator.",
)
@click.option("--operator", multiple=True, type=click.Choice(OPERATORS))
@click.option("--log-level", default="ERROR", show_default=True)
def demo(examples: Path, operator: tuple[str, ...], log_level: str) -> None:
    """Run services, jobs and requests on embedded deployments, with failures.

    Ends with 0 only if every line held.
    """
    logger.remove()
    logger.add(sys.stderr, level=log_level.upper())
    for name in operator or OPERATORS:
        reason = asyncio.run(run_story(examples / name))
        if reason:
            click.echo(f"FAILED {name}: {reason}", err=True)
            sys.exit(EXIT_FAILED)
    click.echo("every line held")


async def run_story(folder: Path) -> str:
    """Run the demonstration of one deployment; return why it failed, if it did."""
    parsed = read_deployment(folder / "deployment.json")
    if parsed.is_error():
        return parsed.error.message
    clock = SystemClock()
    started = clock.monotonic()
    report = make_report(folder.name, lambda: clock.monotonic() - started)
    cluster = EmbeddedCluster(parsed.ok, clock)
    try:
        await cluster.start()
        report("start", f"{len(cluster.entries)} entries are ready")
        await Story(cluster, folder / "workloads.json", clock, report).run()
    except (DemoFailed, TimeoutError) as error:
        return str(error) or "the entries were not ready in time"
    finally:
        await cluster.stop()
    return ""


def make_report(
    operator: str, get_elapsed: Callable[[], timedelta]
) -> Callable[[str, str], None]:
    """Return a function that prints one line of the table."""

    def report(step: str, seen: str) -> None:
        seconds = get_elapsed().total_seconds()
        click.echo(f"{operator:<10}{seconds:6.2f} s  {step:<16}{seen}")

    return report
