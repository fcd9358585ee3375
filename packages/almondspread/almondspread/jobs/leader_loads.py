"""What the leader tells all instances of the load, a few times a second."""

from collections.abc import Mapping
from datetime import timedelta

from almondspread.jobs.backlog import (
    estimate_backlog,
    is_counted,
    list_sizes,
    sum_capacities,
)
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.exceeded_rates import ExceededRates
from almondspread.jobs.expected_work import WorkspaceBounds, list_expected_work
from almondspread.jobs.load_estimate import Loads
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.upstreams import Upstream


def estimate_loads(
    jobs: Mapping[str, JobProgress],
    upstreams: Mapping[str, Upstream],
    configuration: Configuration,
    ratios: DurationRatios,
    exceeded_rates: ExceededRates,
    now: timedelta,
    instances: int = 1,
    with_sizes: bool = False,
    bounds: WorkspaceBounds | None = None,
) -> Loads:
    """Return how long a job accepted now would wait, and who exceeds their rate.

    ``ratios`` corrects the declared estimates. As many ``instances`` accept jobs.
    ``bounds`` are those of workspaces.
    """
    counted = {name for name, known in upstreams.items() if is_counted(known, now)}
    works = list_expected_work(
        jobs.values(), counted, configuration, ratios, now, bounds
    )
    capacities = sum_capacities(upstreams.values(), works, now)
    backlog = estimate_backlog(configuration, works, capacities)
    exceeded = exceeded_rates.list_exceeded(configuration.workspaces, now)
    sizes = list_sizes(upstreams.values()) if with_sizes else ()
    return Loads(backlog.waits, backlog.rooms, exceeded, instances, sizes)
