"""One pass over the waiting workloads: what starts now and what keeps waiting."""

from collections.abc import Callable, Iterator
from datetime import datetime, timedelta

from attrs import define, field

from almondspread.placement import (
    Cell,
    PlacementFailure,
    TaskRequest,
    choose_gang,
    explain_placement_failure,
    find_worker,
)
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.backfill import MIN_BORROW_TIME, ReservationTable
from almondspread.scheduling.policies.ordering import (
    QueueEntry,
    WaitingQueue,
    WaitingWorkload,
)
from almondspread.scheduling.policies.pending_preemptions import (
    PendingPreemptions,
    Preemption,
)
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.running import RunningTasks

MAX_UNPLACEABLE_SIZES = 32


@define(frozen=True)
class Placement:
    """A task and the worker that it was committed on."""

    workload: str
    task: str
    worker: str
    size: Capacity


@define(frozen=True)
class Deferral:
    """A workload whose next task, or whole gang, keeps waiting.

    ``limit`` names the quota that it is over, where that is the cause; otherwise no
    worker, or not enough workers, had room.
    """

    workload: str
    limit: str = ""


@define(frozen=True)
class Eviction:
    """Running tasks to stop since a gang waits for nothing but their room."""

    tasks: tuple[str, ...]


Decision = tuple[Placement, ...] | Deferral | Preemption | Eviction


def _estimate_nothing(workload: WaitingWorkload) -> timedelta | None:
    """Estimate no run time."""
    return None


@define
class PassState:
    """What a pass reads and changes.

    ``running`` is kept by the caller: a placed task is added before the next
    decision is asked for; one that ended is released and removed between passes.
    ``estimate_longest`` returns a run time that few tasks of a workload exceed,
    ``None`` for no bound.
    """

    cell: Cell
    quotas: TeamQuotas
    queue: WaitingQueue
    policy: str
    running: RunningTasks = field(factory=RunningTasks)
    reservations: ReservationTable = field(factory=ReservationTable)
    preemptions: PendingPreemptions = field(factory=PendingPreemptions)
    estimate_max_run_time: Callable[[WaitingWorkload], timedelta | None] = (
        _estimate_nothing
    )


def schedule_waiting(state: PassState, now: datetime) -> Iterator[Decision]:
    """Yield the decisions on the waiting tasks, best first.

    A task that is placed is committed in cell and ledger and leaves the queue
    before it is yielded; a gang's tasks are yielded together. A workload whose next
    task cannot be placed is passed over. The caller may stop at any time.
    """
    state.preemptions.refresh(state.cell, state.running, now)
    state.reservations.refresh(state.cell, state.running, now)
    yield from _evict_borrowers(state)
    too_large = _UnplaceableSizes()
    for entry in state.queue.iterate(now, state.quotas.compute_share):
        workload = entry.workload
        needed = workload.size
        if workload.gang:
            needed = needed.times(len(entry.tasks))
        shortage = state.quotas.find_exceeded_quota(workload.team, needed)
        if shortage is not None:
            if state.reservations.find(workload.name) is not None:
                state.reservations.remove_reservation(state.cell, workload.name)
                too_large.clear()
            yield Deferral(workload.name, shortage)
        elif workload.gang:
            yield _decide_gang(state, entry, now)
            too_large.clear()
        else:
            yield from _decide_task(state, entry, now, too_large)


def cancel_workload(state: PassState, name: str) -> None:
    """Take a workload that waits out of queue, holds and claims."""
    entry = state.queue.find_entry(name)
    if entry is not None:
        for task in entry.tasks:
            state.preemptions.remove(state.cell, task)
    state.reservations.remove_reservation(state.cell, name)
    state.queue.remove_workload(name)


def explain_deferral(state: PassState, deferral: Deferral) -> PlacementFailure | None:
    """Return why a workload waits, ``None`` when it no longer does.

    Reasons are counted only when they are asked for, as the cell is now.
    """
    entry = state.queue.find_entry(deferral.workload)
    if entry is None:
        return None
    if deferral.limit:
        return PlacementFailure(len(state.cell), limit=deferral.limit)
    workload = entry.workload
    if not workload.gang:
        return explain_placement_failure(state.cell, workload.size)
    requests = [_make_request(workload)] * len(entry.tasks)
    chosen = choose_gang(state.cell, requests, state.policy)
    return chosen.error if chosen.is_error() else None


class _UnplaceableSizes:
    """Sizes for which one pass found no worker, as room only shrinks during it."""

    def __init__(self) -> None:
        self._sizes: list[Capacity] = []

    def add(self, size: Capacity) -> None:
        """Note that no worker has room for a size."""
        if len(self._sizes) < MAX_UNPLACEABLE_SIZES:
            self._sizes.append(size)

    def includes(self, size: Capacity) -> bool:
        """Tell whether a size is at least as large as one noted."""
        return any(noted.fits_in(size) for noted in self._sizes)

    def clear(self) -> None:
        """Forget all sizes, since room was given back."""
        self._sizes.clear()


def _decide_task(
    state: PassState, entry: QueueEntry, now: datetime, too_large: _UnplaceableSizes
) -> Iterator[Decision]:
    """Place the next task of a workload, preempt for it, or defer it."""
    workload = entry.workload
    task = entry.first_task()
    request = _make_request(workload)
    worker = state.preemptions.find_ready_worker(task)
    if worker is None and not too_large.includes(workload.size):
        worker = find_worker(state.cell, request, state.policy)
        if worker is None:
            too_large.add(workload.size)
    if worker is None:
        worker = _release_lower_reservations(state, request, workload.priority)
    if worker is None:
        worker = _borrow_reserved(state, workload, task, now)
    if worker is not None:
        if state.preemptions.is_pending(task):
            state.preemptions.remove(state.cell, task)
            too_large.clear()
        placement = _place(state, workload, task, worker)
        state.reservations.fill(state.cell)
        yield (placement,)
        return
    yield from _preempt(state, entry, now)
    yield Deferral(workload.name)


def _release_lower_reservations(
    state: PassState, request: TaskRequest, priority: int
) -> str | None:
    """Return a worker with room that gangs of lower priority hold.

    Their holds are left released where a worker is found, filled again elsewhere.
    """
    if not state.reservations.release_lower_priority(state.cell, priority):
        return None
    worker = find_worker(state.cell, request, state.policy)
    if worker is None:
        state.reservations.fill(state.cell)
    return worker


def _borrow_reserved(
    state: PassState, workload: WaitingWorkload, task: str, now: datetime
) -> str | None:
    """Return a worker with held room for a task that will not be in its way.

    It either ends before the room is needed or can be stopped with its work saved.
    """
    if not state.reservations:
        return None
    needed: timedelta | None = MIN_BORROW_TIME
    if not workload.checkpointable:
        needed = state.estimate_max_run_time(workload)
    if needed is None:
        return None
    worker = state.reservations.release_for_borrower(
        state.cell, workload.size, now + needed
    )
    if worker is not None:
        state.reservations.add_borrower(task)
    return worker


def _evict_borrowers(state: PassState) -> Iterator[Eviction]:
    """Yield the borrowers of held room that have to stop now."""
    tasks = state.reservations.select_evictions(state.running)
    if tasks:
        yield Eviction(tuple(tasks))


def _preempt(
    state: PassState, entry: QueueEntry, now: datetime
) -> Iterator[Preemption]:
    """Yield preemptions for the tasks of an urgent workload that have none yet."""
    workload = entry.workload
    for task in list(entry.tasks):
        if state.preemptions.is_pending(task):
            continue
        victims = state.preemptions.start_preemption(
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
    if state.queue.is_starved(workload, now):
        state.reservations.mark_starved(workload.name)
    hold = state.reservations.find(workload.name)
    if hold is not None:
        hold.release(cell)
    state.reservations.release_lower_priority(cell, workload.priority)
    requests = [_make_request(workload)] * len(tasks)
    chosen = choose_gang(cell, requests, state.policy)
    if chosen.is_ok():
        state.reservations.remove_reservation(cell, workload.name)
        placements = []
        for task, worker in zip(tasks, chosen.ok, strict=True):
            placements.append(_place(state, workload, task, worker))
        state.reservations.fill(cell)
        return tuple(placements)
    if hold is None:
        state.reservations.add_reservation(
            cell, state.running, workload, len(tasks), now
        )
    state.reservations.fill(cell)
    return Deferral(workload.name)


def _make_request(workload: WaitingWorkload) -> TaskRequest:
    """Return what placing one task of a workload asks for."""
    return TaskRequest(workload.name, workload.size, workload.spread)


def _place(
    state: PassState, workload: WaitingWorkload, task: str, worker: str
) -> Placement:
    """Commit a task and take it off the queue."""
    state.cell.commit(worker, workload.name, workload.size)
    state.quotas.commit(workload.team, workload.size)
    state.queue.remove(workload.name, task)
    return Placement(workload.name, task, worker, workload.size)
