"""The command ``capacity``."""

import asyncio
from pathlib import Path

import click

from almondspread_standin.capacity.experiments import EXPERIMENTS, run_experiment
from almondspread_standin.capacity.page import render_table, replace_table
from almondspread_standin.capacity.plots import draw_outcome


@click.command()
@click.option(
    "--page",
    default=Path("docs/CAPACITY.md"),
    show_default=True,
    type=click.Path(path_type=Path, dir_okay=False, exists=True),
)
@click.option(
    "--only",
    multiple=True,
    type=click.Choice([experiment.name for experiment in EXPERIMENTS]),
)
def capacity(page: Path, only: tuple[str, ...]) -> None:
    """Measure the slopes again and rewrite the page's tables and plots."""
    plots = page.parent / "plots"
    plots.mkdir(exist_ok=True)
    for experiment in EXPERIMENTS:
        if only and experiment.name not in only:
            continue
        outcome = asyncio.run(run_experiment(experiment, click.echo))
        text = replace_table(page.read_text(), experiment.name, render_table(outcome))
        page.write_text(text)
        draw_outcome(outcome, plots / f"capacity-{experiment.name}.svg")
