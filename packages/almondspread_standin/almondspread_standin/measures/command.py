"""The ``measure`` command and its subcommands."""

import click

from almondspread_standin.measures.control import measure_control


@click.group()
def measure() -> None:
    """Measure one part; the last line is one JSON object."""


measure.add_command(measure_control)
