"""One pass over the waiting workloads: what starts now and what keeps waiting."""

from collections.abc import Iterator
from datetime import datetime

from attrs import define

from almondspread.placement import (
    Cell,
    TaskRequest,
    Waiting,
    choose_gang,
    choose_worker,
)
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import QueueEntry, WaitingQueue
from almondspread.scheduling.policies.quotas import TeamLedger


@define(frozen=True)
class Placement:
    """A task and the worker that it was committed on."""

    workload: str
    task: str
    worker: str
    size: Capacity


@define(frozen=True)
class Deferral:
    """A workload whose next task, or whole gang, keeps waiting."""

    workload: str
    waiting: Waiting


Decision = tuple[Placement, ...] | Deferral


def decide_waiting(
    cell: Cell, ledger: TeamLedger, queue: WaitingQueue, now: datetime, policy: str
) -> Iterator[Decision]:
    """Yield the decisions on the waiting tasks, best first.

    A task that is placed is committed in cell and ledger and leaves the queue
    before it is yielded; a gang's tasks are yielded together. A workload whose next
    task cannot be placed is passed over. The caller may stop at any time.
    """
    for entry in queue.iterate(now, ledger.measure_share):
        if entry.workload.gang:
            decision = _place_gang(cell, ledger, entry, policy)
        else:
            decision = _place_task(cell, ledger, entry, policy)
        if isinstance(decision, Deferral):
            yield decision
            continue
        for placement in decision:
            cell.commit(placement.worker, placement.workload, placement.size)
            ledger.commit(entry.workload.team, placement.size)
            queue.remove(placement.workload, placement.task)
        yield decision


def _place_task(
    cell: Cell, ledger: TeamLedger, entry: QueueEntry, policy: str
) -> Decision:
    """Choose a worker for the next task of a workload."""
    workload = entry.workload
    shortage = ledger.find_shortage(workload.team, workload.size)
    if shortage is not None:
        return Deferral(workload.name, Waiting(len(cell), limit=shortage))
    request = TaskRequest(workload.name, workload.size, workload.spread)
    chosen = choose_worker(cell, request, policy)
    if chosen.is_error():
        return Deferral(workload.name, chosen.error)
    task = entry.first_task()
    return (Placement(workload.name, task, chosen.ok, workload.size),)


def _place_gang(
    cell: Cell, ledger: TeamLedger, entry: QueueEntry, policy: str
) -> Decision:
    """Choose workers for all tasks of a gang."""
    workload = entry.workload
    tasks = list(entry.tasks)
    shortage = ledger.find_shortage(workload.team, workload.size.times(len(tasks)))
    if shortage is not None:
        return Deferral(workload.name, Waiting(len(cell), limit=shortage))
    request = TaskRequest(workload.name, workload.size, workload.spread)
    chosen = choose_gang(cell, [request] * len(tasks), policy)
    if chosen.is_error():
        return Deferral(workload.name, chosen.error)
    placements = []
    for task, worker in zip(tasks, chosen.ok, strict=True):
        placements.append(Placement(workload.name, task, worker, workload.size))
    return tuple(placements)
