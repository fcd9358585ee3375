"""The ``measure`` command and its subcommands."""

import click

from almondspread_standin.measures.commit import measure_commit
from almondspread_standin.measures.control import measure_control
from almondspread_standin.measures.operations import (
    measure_config,
    measure_status_reports,
    measure_watch_load,
)
from almondspread_standin.measures.packing import measure_packing
from almondspread_standin.measures.placement import measure_placement
from almondspread_standin.measures.requests.drain import measure_drain
from almondspread_standin.measures.requests.lookups import measure_lookups
from almondspread_standin.measures.requests.once import measure_once
from almondspread_standin.measures.requests.overload import measure_overload
from almondspread_standin.measures.takeover import measure_takeover


@click.group()
def measure() -> None:
    """Measure one part; the last line is one JSON object."""


measure.add_command(measure_lookups)
measure.add_command(measure_overload)
measure.add_command(measure_once)
measure.add_command(measure_drain)
measure.add_command(measure_control)
measure.add_command(measure_placement)
measure.add_command(measure_packing)
measure.add_command(measure_commit)
measure.add_command(measure_takeover)
measure.add_command(measure_config)
measure.add_command(measure_watch_load)
measure.add_command(measure_status_reports)
