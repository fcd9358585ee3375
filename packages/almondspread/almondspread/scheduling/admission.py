"""Which workloads the cell can never run, however long they wait."""

from collections.abc import Collection, Iterable

from expression import Error, Ok, Result

from almondspread.errors import InvalidInput
from almondspread.interfaces import Instance
from almondspread.resources import Capacity, GangJob, Workload


def list_capacities(instances: Iterable[Instance]) -> frozenset[Capacity]:
    """Return the distinct capacities of the listed workers that stay."""
    found = set()
    for instance in instances:
        if instance.role == "worker" and not instance.leaving:
            found.add(instance.capacity)
    return frozenset(found)


def explain_impossible(
    resource: Workload, capacities: Collection[Capacity], quota: Capacity | None
) -> str:
    """Return why a workload can never run, empty where it can.

    ``capacities`` are those of all workers of the cell; while none is known nothing
    is ruled out. ``quota`` is that of the workload's team, if it has one.

    >>> from almondspread.resources import BatchJob, Metadata, TaskTemplate
    >>> job = BatchJob(Metadata("render"), 4, TaskTemplate(9_000, 64))
    >>> explain_impossible(job, {Capacity(4_000, 8_192)}, None)
    'a task of 9000 cpu_millis fits no worker: the largest has 4000'
    """
    size = resource.template.size
    if capacities and not _fits_any(size, capacities):
        return _name_shortage(size, capacities)
    if quota is None:
        return ""
    least = size
    if isinstance(resource, GangJob):
        least = size.times(resource.tasks)
    if least.fits_in(quota):
        return ""
    what = "the gang" if isinstance(resource, GangJob) else "one task"
    return f"{what} alone is over the quota of team {resource.metadata.team}"


def _fits_any(size: Capacity, capacities: Collection[Capacity]) -> bool:
    """Tell whether a size fits an empty worker."""
    for capacity in capacities:
        if size.fits_in(capacity):
            return True
    return False


def _name_shortage(size: Capacity, capacities: Collection[Capacity]) -> str:
    """Return which resource no worker has enough of, or that none has all."""
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
    resource: Workload, capacities: Collection[Capacity], quota: Capacity | None
) -> Result[None, InvalidInput]:
    """Accept a workload, or refuse one that can never run."""
    reason = explain_impossible(resource, capacities, quota)
    if not reason:
        return Ok(None)
    return Error(
        InvalidInput(
            f"{resource.metadata.name} can never run: {reason}",
            "declare a smaller size, or have a larger worker or quota first",
        )
    )
