"""The ``measure`` command and its subcommands."""

import click

from almondspread_standin.measures.placement import measure_placement


@click.group()
def measure() -> None:
    """Measure one part; the last line is one JSON object."""


measure.add_command(measure_placement)
