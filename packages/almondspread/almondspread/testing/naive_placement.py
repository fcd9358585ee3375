"""Placement by a full scan under the rules of ``almondspread.placement``.

It is written to be plainly right and stands beside the real one in differential
tests and as the baseline of measurements.
"""

from collections.abc import Sequence

from attrs import define, field

from almondspread.placement.errors import OverCapacity
from almondspread.placement.values import (
    POLICY_PACKING,
    SPREAD_FAILURE_DOMAIN,
    SPREAD_RACK,
    TOO_FEW_ACCELERATORS,
    TOO_LITTLE_MEMORY,
    TOO_LITTLE_PROCESSOR,
    TaskRequest,
)
from almondspread.resources.capacity import Capacity


@define
class NaiveWorker:
    """One worker and what is free on it."""

    name: str
    failure_domain: str
    rack: str
    capacity: Capacity
    cpu: int
    memory: int
    accelerators: int
    exclusion: str = ""
    groups: dict[str, int] = field(factory=dict)

    def has_room(self, size: Capacity) -> bool:
        """Tell whether a task of this size fits."""
        return (
            size.cpu_millis <= self.cpu
            and size.memory_mib <= self.memory
            and size.accelerators <= self.accelerators
        )


class NaiveCell:
    """Workers in a plain dictionary; every question visits all of them."""

    def __init__(self) -> None:
        self.workers: dict[str, NaiveWorker] = {}

    def add_worker(
        self, name: str, failure_domain: str, rack: str, capacity: Capacity
    ) -> None:
        """Add an empty worker."""
        self.workers[name] = NaiveWorker(
            name,
            failure_domain,
            rack,
            capacity,
            capacity.cpu_millis,
            capacity.memory_mib,
            capacity.accelerators,
        )

    def remove_worker(self, name: str) -> None:
        """Forget a worker."""
        del self.workers[name]

    def commit(self, name: str, group: str, size: Capacity) -> None:
        """Commit a task."""
        worker = self.workers[name]
        if not worker.has_room(size):
            raise OverCapacity(f"{name} has no room for {size}", "choose another")
        worker.cpu -= size.cpu_millis
        worker.memory -= size.memory_mib
        worker.accelerators -= size.accelerators
        worker.groups[group] = worker.groups.get(group, 0) + 1

    def release(self, name: str, group: str, size: Capacity) -> None:
        """Release a task."""
        worker = self.workers[name]
        worker.cpu += size.cpu_millis
        worker.memory += size.memory_mib
        worker.accelerators += size.accelerators
        worker.groups[group] -= 1

    def exclude(self, name: str, reason: str) -> None:
        """Give a worker no new tasks."""
        self.workers[name].exclusion = reason

    def include(self, name: str) -> None:
        """Let a worker take new tasks."""
        self.workers[name].exclusion = ""

    def is_processor_scarcer(self) -> bool:
        """Tell whether processor is committed to a greater part than memory."""
        cpu = memory = cpu_used = memory_used = 0
        for worker in self.workers.values():
            if worker.exclusion:
                continue
            cpu += worker.capacity.cpu_millis
            memory += worker.capacity.memory_mib
            cpu_used += worker.capacity.cpu_millis - worker.cpu
            memory_used += worker.capacity.memory_mib - worker.memory
        return cpu_used * memory >= memory_used * cpu


def scan_worker(
    cell: NaiveCell,
    request: TaskRequest,
    policy: str,
    processor_first: bool | None = None,
) -> str | None:
    """Return the best worker for a task by visiting all, or ``None``.

    ``processor_first`` may be passed in where the caller keeps the sums, so that a
    measurement does not count them for every task.
    """
    if processor_first is None:
        processor_first = cell.is_processor_scarcer()
    counts = _count_places(cell, request)
    sign = 1 if policy == POLICY_PACKING else -1
    best = None
    for worker in cell.workers.values():
        if worker.exclusion or not worker.has_room(request.size):
            continue
        place = _name_place(worker, request.spread)
        first, second = worker.cpu, worker.memory
        if not processor_first:
            first, second = second, first
        rank = (counts.get(place, 0), worker.accelerators, sign * first, sign * second)
        if best is None or rank < best[0]:
            best = (rank, worker.name)
            continue
        if rank == best[0] and (worker.name < best[1]) == (sign == 1):
            best = (rank, worker.name)
    return best[1] if best else None


def scan_gang(
    cell: NaiveCell, requests: Sequence[TaskRequest], policy: str
) -> tuple[str, ...] | None:
    """Return workers for tasks of one size, one by one, or ``None``."""
    chosen: list[str] = []
    for request in requests:
        name = scan_worker(cell, request, policy)
        if name is None:
            break
        cell.commit(name, request.group, request.size)
        chosen.append(name)
    for name, request in zip(chosen, requests, strict=False):
        cell.release(name, request.group, request.size)
    return tuple(chosen) if len(chosen) == len(requests) else None


def count_gang_room(cell: NaiveCell, size: Capacity) -> int:
    """Return how many tasks of one size the cell has room for."""
    room = 0
    for worker in cell.workers.values():
        if worker.exclusion:
            continue
        fits = [worker.cpu // size.cpu_millis, worker.memory // size.memory_mib]
        if size.accelerators:
            fits.append(worker.accelerators // size.accelerators)
        room += min(fits)
    return room


def scan_reasons(cell: NaiveCell, size: Capacity) -> dict[str, int]:
    """Return the number of workers ruled out for each reason, without zeros."""
    reasons: dict[str, int] = {}

    def count(reason: str) -> None:
        reasons[reason] = reasons.get(reason, 0) + 1

    for worker in cell.workers.values():
        if worker.exclusion:
            count(worker.exclusion)
            continue
        if worker.cpu < size.cpu_millis:
            count(TOO_LITTLE_PROCESSOR)
        if worker.memory < size.memory_mib:
            count(TOO_LITTLE_MEMORY)
        if worker.accelerators < size.accelerators:
            count(TOO_FEW_ACCELERATORS)
    return reasons


def _name_place(worker: NaiveWorker, spread: str) -> str:
    """Return the place over which a request is spread."""
    if spread == SPREAD_RACK:
        return f"{worker.failure_domain}/{worker.rack}"
    if spread == SPREAD_FAILURE_DOMAIN:
        return worker.failure_domain
    return ""


def _count_places(cell: NaiveCell, request: TaskRequest) -> dict[str, int]:
    """Return the tasks of the request's workload in each place."""
    counts: dict[str, int] = {}
    if request.spread not in (SPREAD_RACK, SPREAD_FAILURE_DOMAIN):
        return counts
    for worker in cell.workers.values():
        here = worker.groups.get(request.group, 0)
        if here:
            place = _name_place(worker, request.spread)
            counts[place] = counts.get(place, 0) + here
    return counts
