"""The ``measure`` command and its subcommands."""

import click

from almondspread_standin.measures.commit import measure_commit
from almondspread_standin.measures.packing import measure_packing
from almondspread_standin.measures.placement import measure_placement
from almondspread_standin.measures.takeover import measure_takeover


@click.group()
def measure() -> None:
    """Measure one part; the last line is one JSON object."""


measure.add_command(measure_placement)
measure.add_command(measure_packing)
measure.add_command(measure_commit)
measure.add_command(measure_takeover)
