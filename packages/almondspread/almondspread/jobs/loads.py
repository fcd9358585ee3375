"""The backlog of a cell and the utilization of its upstreams, for logs and metrics."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.holds import HoldCause, StartHolds
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.jobs.workspace_loads import WorkspaceLoad


@define(frozen=True)
class Load:
    """The backlog of tasks, and the utilization of the usable upstreams.

    Processor amounts are in thousandths of a core. ``without_permits`` counts the
    waiting steps that have no valid permits, whether or not they need any, and
    ``suspected_tasks`` those that may crash the next upstream that starts them.
    ``held_tasks`` counts the waiting tasks by what keeps them from starting.
    """

    waiting_steps: int
    unseen_upstreams: int
    waiting_tasks: int
    without_permits: int
    used_millis: int
    usable_millis: int
    suspected_tasks: int = 0
    held_tasks: dict[str, int] = field(factory=dict)
    workspaces: tuple[WorkspaceLoad, ...] = ()


NO_LOAD = Load(0, 0, 0, 0, 0, 0)


def measure_load(
    waiting: Iterable[StepProgress],
    upstreams: Iterable[Upstream],
    unseen: int,
    now: timedelta,
    suspected: int = 0,
    held: dict[str, int] | None = None,
    workspaces: tuple[WorkspaceLoad, ...] = (),
) -> Load:
    """Return the load of steps with waiting tasks on upstreams.

    ``unseen`` upstreams have not reported to the leader yet, and ``suspected`` tasks
    may crash their upstreams. ``held`` counts the tasks that are kept from starting.
    """
    steps = tasks = without_permits = 0
    for progress in waiting:
        steps += 1
        tasks += len(progress.waiting)
        without_permits += not progress.permits.has_ticket(now)
    used = 0
    usable = 0
    for upstream in upstreams:
        if upstream.is_usable(now):
            usable += upstream.entry.capacity.cpu_millis
            used += upstream.entry.capacity.cpu_millis - upstream.free.cpu_millis
    return Load(
        steps,
        unseen,
        tasks,
        without_permits,
        used,
        usable,
        suspected,
        held or {},
        workspaces,
    )


def count_held_tasks(
    waiting: Iterable[StepProgress], holds: StartHolds, now: timedelta
) -> dict[str, int]:
    """Return how many waiting tasks each cause keeps from starting.

    >>> count_held_tasks([], StartHolds(0, 0), timedelta(0))
    {}
    """
    held: Counter[str] = Counter()
    for progress in waiting:
        cause = holds.find_cause(progress, now)
        if cause is None and holds.lacks_start_record(progress):
            cause = HoldCause.START_RECORD
        if cause is not None:
            held[str(cause)] += len(progress.waiting)
            continue
        possible = len(holds.list_held(progress))
        if possible:
            held[str(HoldCause.UNSEEN_UPSTREAM)] += possible
    return dict(held)
