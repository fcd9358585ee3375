"""What workspaces have running, waiting and beyond their rate, for logs and metrics."""

from collections import Counter
from collections.abc import Iterable

from attrs import define

from almondspread.jobs.job_table import JobTable
from almondspread.jobs.workspace_limits import WorkspaceLimits
from almondspread.jobs.workspace_usage import NOTHING, WorkspaceUsage
from almondspread.resources.capacity import Capacity


@define(frozen=True)
class WorkspaceLoad:
    """The load of one workspace.

    ``limit_share`` is the largest share of its limit that its bound runs take, 0
    without a limit. ``surplus_jobs`` are those not ended that are beyond its rate.
    """

    name: str
    limit_share: float
    waiting_tasks: int
    surplus_jobs: int


def measure_workspaces(
    table: JobTable, usage: WorkspaceUsage, limits: WorkspaceLimits
) -> tuple[WorkspaceLoad, ...]:
    """Return the loads of the workspaces that have any, most waiting tasks first."""
    waiting: Counter[str] = Counter()
    surplus: Counter[str] = Counter()
    for progress in table.ready_steps.values():
        waiting[progress.job.submission.workspace] += len(progress.waiting)
    for job in table.jobs.values():
        if job.is_surplus and job.ended is None:
            surplus[job.submission.workspace] += 1
    names = {*waiting, *surplus, *usage.list_workspaces()} - {""}
    found = []
    for name in sorted(names, key=lambda each: (-waiting[each], each)):
        share = find_limit_share(usage.find(name), limits.find_limit(name))
        found.append(WorkspaceLoad(name, share, waiting[name], surplus[name]))
    return tuple(found)


def find_limit_share(used: Capacity, limit: Capacity | None) -> float:
    """Return the largest share of a limit that is used; an amount of 0 is no limit.

    >>> find_limit_share(Capacity(500, 900), Capacity(1000, 0))
    0.5
    """
    if limit is None or limit == NOTHING:
        return 0.0
    shares = [0.0]
    if limit.cpu_millis:
        shares.append(used.cpu_millis / limit.cpu_millis)
    if limit.memory_mib:
        shares.append(used.memory_mib / limit.memory_mib)
    if limit.accelerators:
        shares.append(used.accelerators / limit.accelerators)
    return max(shares)


def merge_loads(name: str, loads: Iterable[WorkspaceLoad]) -> WorkspaceLoad:
    """Return the load of several workspaces together, with the largest share."""
    share = 0.0
    waiting = surplus = 0
    for load in loads:
        share = max(share, load.limit_share)
        waiting += load.waiting_tasks
        surplus += load.surplus_jobs
    return WorkspaceLoad(name, share, waiting, surplus)
