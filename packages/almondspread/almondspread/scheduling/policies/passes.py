"""One pass over the waiting workloads: what starts now and what keeps waiting."""

from collections.abc import Iterator
from datetime import datetime

from attrs import define, field

from almondspread.placement import (
    Cell,
    TaskRequest,
    Waiting,
    choose_gang,
    explain_waiting,
    find_worker,
)
from almondspread.resources.capacity import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.policies.backfill import HoldBook
from almondspread.scheduling.policies.claims import ClaimBook, Preemption
from almondspread.scheduling.policies.ordering import (
    QueueEntry,
    WaitingQueue,
    WaitingWorkload,
)
from almondspread.scheduling.policies.quotas import TeamLedger
from almondspread.scheduling.policies.running import RunningTasks


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


Decision = tuple[Placement, ...] | Deferral | Preemption


@define
class PassState:
    """What a pass reads and changes.

    ``running`` is kept by the caller: a placed task is added before the next
    decision is asked for, and removed when its end is known.
    """

    cell: Cell
    ledger: TeamLedger
    queue: WaitingQueue
    policy: str
    running: RunningTasks = field(factory=RunningTasks)
    holds: HoldBook = field(factory=HoldBook)
    claims: ClaimBook = field(factory=ClaimBook)


def decide_waiting(state: PassState, now: datetime) -> Iterator[Decision]:
    """Yield the decisions on the waiting tasks, best first.

    A task that is placed is committed in cell and ledger and leaves the queue
    before it is yielded; a gang's tasks are yielded together. A workload whose next
    task cannot be placed is passed over. The caller may stop at any time.
    """
    state.claims.refresh(state.cell, state.running)
    state.holds.refresh(state.cell, now)
    refused: dict[tuple[Capacity, int], Waiting] = {}
    for entry in state.queue.iterate(now, state.ledger.measure_share):
        workload = entry.workload
        known = refused.get((workload.size, workload.priority))
        if known is not None and _has_own_chance(state, entry):
            known = None
        needed = workload.size
        if workload.gang:
            needed = needed.times(len(entry.tasks))
        shortage = state.ledger.find_shortage(workload.team, needed)
        if shortage is not None:
            waiting = Waiting(len(state.cell), limit=shortage)
            yield Deferral(workload.name, waiting)
        elif workload.gang:
            # A hold that was given back may leave room for what found none before.
            refused.clear()
            yield _decide_gang(state, entry, now)
        elif known is not None:
            yield Deferral(workload.name, known)
        else:
            for decision in _decide_task(state, entry, now):
                if isinstance(decision, Deferral):
                    refused[(workload.size, workload.priority)] = decision.waiting
                yield decision


def _has_own_chance(state: PassState, entry: QueueEntry) -> bool:
    """Tell whether a workload may start though another of its size found no room."""
    workload = entry.workload
    if workload.gang or workload.priority >= URGENT_PRIORITY:
        return True
    return state.claims.find_worker(entry.first_task()) is not None


def cancel_workload(state: PassState, name: str) -> None:
    """Take a workload that waits out of queue, holds and claims."""
    entry = state.queue.find_entry(name)
    if entry is not None:
        for task in entry.tasks:
            state.claims.close_claim(state.cell, task)
    state.holds.close_hold(state.cell, name)
    state.queue.remove_workload(name)


def _decide_task(
    state: PassState, entry: QueueEntry, now: datetime
) -> Iterator[Decision]:
    """Place the next task of a workload, preempt for it, or defer it."""
    workload = entry.workload
    task = entry.first_task()
    request = TaskRequest(workload.name, workload.size, workload.spread)
    worker = state.claims.find_worker(task)
    if worker is None:
        worker = find_worker(state.cell, request, state.policy)
    if worker is None:
        worker = _find_in_lower_holds(state, request, workload.priority)
    if worker is not None:
        state.claims.close_claim(state.cell, task)
        placement = _place(state, workload, task, worker)
        state.holds.fill_below(state.cell, workload.priority)
        yield (placement,)
        return
    yield from _preempt(state, entry, now)
    yield Deferral(workload.name, explain_waiting(state.cell, workload.size))


def _find_in_lower_holds(
    state: PassState, request: TaskRequest, priority: int
) -> str | None:
    """Return a worker with room that gangs of lower priority hold.

    Their holds are left released where a worker is found, filled again elsewhere.
    """
    if not state.holds.release_below(state.cell, priority):
        return None
    worker = find_worker(state.cell, request, state.policy)
    if worker is None:
        state.holds.fill_below(state.cell, priority)
    return worker


def _preempt(
    state: PassState, entry: QueueEntry, now: datetime
) -> Iterator[Preemption]:
    """Yield preemptions for the tasks of an urgent workload that have none yet."""
    workload = entry.workload
    for task in list(entry.tasks):
        if state.claims.has_claim(task):
            continue
        victims = state.claims.open_claim(
            state.cell, state.running, task, workload.size, workload.priority, now
        )
        if victims is None:
            return
        yield Preemption(workload.name, task, victims)


def _decide_gang(state: PassState, entry: QueueEntry, now: datetime) -> Decision:
    """Place all tasks of a gang, or hold room for it."""
    workload = entry.workload
    cell = state.cell
    tasks = list(entry.tasks)
    hold = state.holds.find(workload.name)
    if hold is not None:
        hold.release(cell)
    state.holds.release_below(cell, workload.priority)
    request = TaskRequest(workload.name, workload.size, workload.spread)
    chosen = choose_gang(cell, [request] * len(tasks), state.policy)
    if chosen.is_ok():
        state.holds.close_hold(cell, workload.name)
        placements = []
        for task, worker in zip(tasks, chosen.ok, strict=True):
            placements.append(_place(state, workload, task, worker))
        state.holds.fill_below(cell, workload.priority)
        return tuple(placements)
    if hold is not None:
        hold.fill(cell)
    else:
        state.holds.open_hold(cell, state.running, workload, len(tasks), now)
    state.holds.fill_below(cell, workload.priority)
    return Deferral(workload.name, chosen.error)


def _place(
    state: PassState, workload: WaitingWorkload, task: str, worker: str
) -> Placement:
    """Commit a task and take it off the queue."""
    state.cell.commit(worker, workload.name, workload.size)
    state.ledger.commit(workload.team, workload.size)
    state.queue.remove(workload.name, task)
    return Placement(workload.name, task, worker, workload.size)
