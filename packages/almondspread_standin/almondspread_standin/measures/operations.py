"""Measurements of what operators see: configuration, watches and reports."""

import asyncio
from pathlib import Path

import click

from almondspread_standin.measures.config import measure_configuration
from almondspread_standin.measures.hosting import host_entries, load_settings
from almondspread_standin.measures.reports import measure_reports
from almondspread_standin.measures.results import print_result
from almondspread_standin.measures.watches import measure_watches


@click.command("config")
@click.option("--instances", default=48, show_default=True, type=int)
@click.option("--seed", default=1, show_default=True, type=int)
@click.option(
    "--steady-seconds",
    default=120.0,
    show_default=True,
    help="How long changes come at the day's rate.",
)
def measure_config(instances: int, seed: int, steady_seconds: float) -> None:
    """Measure how soon changes of configuration are in force everywhere."""
    print_result(asyncio.run(measure_configuration(instances, seed, steady_seconds)))


@click.command("watches")
@click.option("--watchers", default=2_000, show_default=True, type=int)
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--changes", default=30, show_default=True, type=int)
@click.option(
    "--pause", default=0.5, show_default=True, help="Seconds between changes."
)
def measure_watch_load(watchers: int, seed: int, changes: int, pause: float) -> None:
    """Measure the lag and memory of many watches, across an instance's death."""
    print_result(asyncio.run(measure_watches(watchers, seed, changes, pause)))


@click.command("reports")
@click.option("--instances", default=48, show_default=True, type=int)
@click.option("--seed", default=1, show_default=True, type=int)
@click.option("--starts-per-second", default=120, show_default=True, type=int)
@click.option("--seconds", default=20.0, show_default=True, help="Simulated time.")
def measure_status_reports(
    instances: int, seed: int, starts_per_second: int, seconds: float
) -> None:
    """Measure the table rows that status reports cost, on a simulated clock."""
    running = measure_reports(instances, seed, starts_per_second, seconds)
    print_result(asyncio.run(running))


@click.command()
@click.option(
    "--settings", "paths", multiple=True, required=True, type=click.Path(path_type=Path)
)
@click.option("--control-port", required=True, type=int)
def host(paths: tuple[Path, ...], control_port: int) -> None:
    """Run several entries in one process, with fault switches."""
    loaded = load_settings(paths)
    if loaded.is_error():
        raise click.ClickException(loaded.error.to_text())
    host_entries(loaded.ok, control_port)
