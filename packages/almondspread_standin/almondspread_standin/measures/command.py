"""The ``measure`` command and its subcommands."""

import click

from almondspread_standin.measures.requests.drain import measure_drain
from almondspread_standin.measures.requests.lookups import measure_lookups
from almondspread_standin.measures.requests.once import measure_once
from almondspread_standin.measures.requests.overload import measure_overload


@click.group()
def measure() -> None:
    """Measure one part; the last line is one JSON object."""


measure.add_command(measure_lookups)
measure.add_command(measure_overload)
measure.add_command(measure_once)
measure.add_command(measure_drain)
