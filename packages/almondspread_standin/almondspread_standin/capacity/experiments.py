"""The runs behind the page: one size varied at a time, real daemons each time."""

from collections.abc import Callable
from typing import Any

from attrs import define

from almondspread_standin.capacity.fits import Point
from almondspread_standin.measures.control import run_measure

PHASE_SECONDS = 8.0
MEASURED = (
    "core_percent_mean",
    "core_percent_max",
    "resident_mib_max",
    "kilobytes_per_second_mean",
    "kilobytes_per_second_max",
    "table_row_reads_per_second",
    "table_row_writes_per_second",
)


@define(frozen=True)
class Experiment:
    """One size that is varied, at these values, while all else stays.

    ``phase`` is ``idle`` or ``loaded``; ``target`` is the size two years from now.
    """

    name: str
    title: str
    unit: str
    sizes: tuple[int, ...]
    phase: str
    target: float
    make_options: Callable[[int], dict[str, Any]]


@define(frozen=True)
class Outcome:
    """The points of each measured value, by its name."""

    experiment: Experiment
    points: dict[str, list[Point]]


def vary_instances(size: int) -> dict[str, Any]:
    """Return the options of a run with so many instances."""
    return _describe_run(instances=size, failure_domains=6, workers=48)


def vary_workers(size: int) -> dict[str, Any]:
    """Return the options of a run with so many workers."""
    return _describe_run(workers=size, failure_domains=6, instances=12)


def vary_starts(size: int) -> dict[str, Any]:
    """Return the options of a run with so many task starts a second."""
    return _describe_run(starts_per_second=size, instances=12, failure_domains=6)


def _describe_run(**changed: Any) -> dict[str, Any]:
    """Return the options of a small run with some of them changed."""
    options: dict[str, Any] = {
        "instances": 8,
        "failure_domains": 3,
        "workers": 48,
        "schedule_shards": 2,
        "starts_per_second": 30,
        "seconds": PHASE_SECONDS,
        "seed": 1,
    }
    options.update(changed)
    return options


EXPERIMENTS = (
    Experiment(
        "instances",
        "entry instances, idle",
        "instances",
        (6, 12, 24, 48),
        "idle",
        48,
        vary_instances,
    ),
    Experiment(
        "workers",
        "workers, idle, twelve instances",
        "workers",
        (24, 96, 240, 500),
        "idle",
        500 * 12 / 48,
        vary_workers,
    ),
    Experiment(
        "starts",
        "task starts a second, twelve instances",
        "starts/s",
        (12, 30, 60, 120),
        "loaded",
        120 * 12 / 48,
        vary_starts,
    ),
)


async def run_experiment(
    experiment: Experiment, report: Callable[[str], None]
) -> Outcome:
    """Run one experiment at all of its sizes."""
    points: dict[str, list[Point]] = {name: [] for name in MEASURED}
    for size in experiment.sizes:
        result = await run_measure(**experiment.make_options(size))
        phase = result[experiment.phase]
        for name in MEASURED:
            points[name].append(Point(size, phase[name]))
        report(f"{experiment.name} {size}: {phase}")
    return Outcome(experiment, points)
