"""Rejects workloads that the cell can never run, however long they wait."""

from collections.abc import Collection, Iterable, Mapping

from attrs import define, field
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput
from almondspread.interfaces import Instance
from almondspread.resources import Capacity, GangJob, Workload
from almondspread.scheduling.overflow import count_fitting_tasks


@define(frozen=True)
class CellCapacities:
    """The total capacities of the cell's workers, without those that leave.

    ``by_shard`` holds the capacity of each worker of each scheduling shard, and
    ``distinct`` the distinct capacities of all workers.
    """

    by_shard: dict[str, tuple[Capacity, ...]] = field(factory=dict)
    distinct: frozenset[Capacity] = frozenset()

    def find_max_gang_tasks(self, size: Capacity) -> int:
        """Return the largest number of tasks of a size that one empty shard fits."""
        max_count = 0
        for capacities in self.by_shard.values():
            max_count = max(max_count, count_fitting_tasks(size, capacities))
        return max_count


def gather_capacities(
    workers: Mapping[str, Iterable[Instance]],
) -> CellCapacities:
    """Return the capacities of the workers of each shard, without those that leave."""
    by_shard = {}
    distinct = set()
    for shard, instances in workers.items():
        capacities = []
        for worker in instances:
            if not worker.leaving:
                capacities.append(worker.capacity)
        by_shard[shard] = tuple(capacities)
        distinct.update(capacities)
    return CellCapacities(by_shard, frozenset(distinct))


def explain_impossible(
    resource: Workload, cell: CellCapacities, quota: Capacity | None
) -> str:
    """Return why a workload can never run, an empty string if it can.

    While no worker of the cell is known, only the quota can rule a workload out. A
    gang must fit in one shard as a whole. ``quota`` is the quota of the workload's
    team, ``None`` if the team has none.

    >>> from almondspread.resources import BatchJob, Metadata, TaskTemplate
    >>> job = BatchJob(Metadata("render"), 4, TaskTemplate(9_000, 64))
    >>> worker = Instance("w", "worker", "", "umea", capacity=Capacity(4_000, 8_192))
    >>> explain_impossible(job, gather_capacities({"a": [worker]}), None)
    'a task of 9000 cpu_millis fits no worker: the largest has 4000'
    """
    size = resource.template.size
    if cell.distinct and not _fits_any(size, cell.distinct):
        return _describe_shortage(size, cell.distinct)
    if cell.distinct and isinstance(resource, GangJob):
        most = cell.find_max_gang_tasks(size)
        if most < resource.tasks:
            return (
                f"{resource.tasks} tasks start together, and no shard holds {most + 1}"
            )
    if quota is None:
        return ""
    min_grant = size
    if isinstance(resource, GangJob):
        min_grant = size.times(resource.tasks)
    if min_grant.fits_in(quota):
        return ""
    subject = "the gang" if isinstance(resource, GangJob) else "one task"
    return f"{subject} alone is over the quota of team {resource.metadata.team}"


def _fits_any(size: Capacity, capacities: Collection[Capacity]) -> bool:
    """Tell whether a size fits at least one of the capacities."""
    for capacity in capacities:
        if size.fits_in(capacity):
            return True
    return False


def _describe_shortage(size: Capacity, capacities: Collection[Capacity]) -> str:
    """Return which resource no worker has enough of.

    If each resource alone fits some worker, the result says that no worker has all.
    """
    for name in ("cpu_millis", "memory_mib", "accelerators"):
        asked = getattr(size, name)
        largest = max(getattr(capacity, name) for capacity in capacities)
        if asked > largest:
            return f"a task of {asked} {name} fits no worker: the largest has {largest}"
    return (
        f"no worker has {size.cpu_millis} cpu_millis, {size.memory_mib} memory_mib "
        f"and {size.accelerators} accelerators together"
    )


def admit_workload(
    resource: Workload, cell: CellCapacities, quota: Capacity | None
) -> Result[None, InvalidInput]:
    """Return an error with the reason and a remedy if a workload can never run."""
    reason = explain_impossible(resource, cell, quota)
    if not reason:
        return Ok(None)
    return Error(
        InvalidInput(
            f"{resource.metadata.name} can never run: {reason}",
            "declare a smaller size, or have a larger worker or quota first",
        )
    )
