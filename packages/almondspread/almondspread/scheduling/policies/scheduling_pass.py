"""One scheduling pass: which waiting tasks start now and which keep waiting."""

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

    ``limit`` says which team quota the workload would exceed. An empty ``limit``
    means that no worker, or not enough workers, had enough free capacity.
    """

    workload: str
    limit: str = ""


@define(frozen=True)
class Eviction:
    """Borrowers to stop because a gang waits only for the capacity they borrowed."""

    tasks: tuple[str, ...]


Decision = tuple[Placement, ...] | Deferral | Preemption | Eviction


def _estimate_nothing(workload: WaitingWorkload) -> timedelta | None:
    """Return no bound on the run time."""
    return None


@define
class PassState:
    """The state that a scheduling pass reads and changes.

    ``policy`` is the placement policy. The caller keeps ``running`` up to date: it
    adds a placed task before it asks for the next decision, and between passes it
    releases and removes tasks that have ended. ``estimate_max_run_time`` returns a
    run time that few tasks of a workload exceed, ``None`` for no bound.
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
    """Run one scheduling pass and yield its decisions in queue order.

    A placed task is committed in the cell and in its team's quota and removed from
    the queue before its placement is yielded; the tasks of a gang are yielded
    together. A workload whose next task cannot be placed is deferred until the next
    pass. Evictions of borrowers come first. The caller may stop at any time.
    """
    state.preemptions.refresh(state.cell, state.running, now)
    state.reservations.refresh(state.cell, state.running, now)
    yield from _evict_borrowers(state)
    unplaceable_sizes = _UnplaceableSizes()
    for entry in state.queue.iterate(now, state.quotas.compute_share):
        workload = entry.workload
        needed = workload.size
        if workload.gang:
            needed = needed.times(len(entry.tasks))
        exceeded_quota = state.quotas.find_exceeded_quota(workload.team, needed)
        if exceeded_quota is not None:
            if state.reservations.find(workload.name) is not None:
                state.reservations.remove_reservation(state.cell, workload.name)
                unplaceable_sizes.clear()
            yield Deferral(workload.name, exceeded_quota)
        elif workload.gang:
            yield _decide_gang(state, entry, now)
            unplaceable_sizes.clear()
        else:
            yield from _decide_task(state, entry, now, unplaceable_sizes)


def cancel_workload(state: PassState, name: str) -> None:
    """Remove a waiting workload from the queue, with its reserved capacity."""
    entry = state.queue.find_entry(name)
    if entry is not None:
        for task in entry.tasks:
            state.preemptions.remove(state.cell, task)
    state.reservations.remove_reservation(state.cell, name)
    state.queue.remove_workload(name)


def explain_deferral(state: PassState, deferral: Deferral) -> PlacementFailure | None:
    """Return why a workload waits, ``None`` if it no longer waits.

    The reasons are computed on demand from the present state of the cell.
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
    """Sizes for which no worker had enough free capacity during a pass.

    Free capacity only shrinks during a pass, except where the pass releases a
    reservation; then the sizes are cleared.
    """

    def __init__(self) -> None:
        self._sizes: list[Capacity] = []

    def add(self, size: Capacity) -> None:
        """Record that no worker has enough free capacity for a size."""
        if len(self._sizes) < MAX_UNPLACEABLE_SIZES:
            self._sizes.append(size)

    def includes(self, size: Capacity) -> bool:
        """Return whether a size is at least as large as a recorded one."""
        return any(recorded.fits_in(size) for recorded in self._sizes)

    def clear(self) -> None:
        """Remove all sizes because reserved capacity was released."""
        self._sizes.clear()


def _decide_task(
    state: PassState,
    entry: QueueEntry,
    now: datetime,
    unplaceable_sizes: _UnplaceableSizes,
) -> Iterator[Decision]:
    """Place the next task of a workload, or preempt for the workload and defer it."""
    workload = entry.workload
    task = entry.first_task()
    request = _make_request(workload)
    worker = state.preemptions.find_ready_worker(task)
    if worker is None and not unplaceable_sizes.includes(workload.size):
        worker = find_worker(state.cell, request, state.policy)
        if worker is None:
            unplaceable_sizes.add(workload.size)
    if worker is None:
        worker = _release_lower_reservations(state, request, workload.priority)
    if worker is None:
        worker = _borrow_reserved(state, workload, task, now)
    if worker is not None:
        if state.preemptions.is_pending(task):
            state.preemptions.remove(state.cell, task)
            unplaceable_sizes.clear()
        placement = _place(state, workload, task, worker)
        state.reservations.fill(state.cell)
        yield (placement,)
        return
    yield from _preempt(state, entry, now)
    yield Deferral(workload.name)


def _release_lower_reservations(
    state: PassState, request: TaskRequest, priority: int
) -> str | None:
    """Release the reservations of gangs of lower priority to fit a task.

    Returns the worker on which the task then fits; the reservations are left
    released. Returns ``None``, with the reservations filled again, if no worker fits.
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
    """Return a worker where a task can borrow reserved capacity, ``None`` if none.

    The borrower must not delay the gang: either it is expected to end before the gang
    starts, or it is checkpointable, so that it can be stopped with its work saved. A
    checkpointable task may borrow if the gang is not expected to start within
    ``MIN_BORROW_TIME``. The task is recorded as a borrower.
    """
    if not state.reservations:
        return None
    duration: timedelta | None = MIN_BORROW_TIME
    if not workload.checkpointable:
        duration = state.estimate_max_run_time(workload)
    if duration is None:
        return None
    worker = state.reservations.release_for_borrower(
        state.cell, workload.size, now + duration
    )
    if worker is not None:
        state.reservations.add_borrower(task)
    return worker


def _evict_borrowers(state: PassState) -> Iterator[Eviction]:
    """Yield the eviction of the borrowers that must stop now, if there are any."""
    tasks = state.reservations.select_evictions(state.running)
    if tasks:
        yield Eviction(tuple(tasks))


def _preempt(
    state: PassState, entry: QueueEntry, now: datetime
) -> Iterator[Preemption]:
    """Yield preemptions for those tasks of an urgent workload that have none yet."""
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
    """Place all tasks of a gang, or reserve capacity for the gang and defer it."""
    workload = entry.workload
    cell = state.cell
    tasks = list(entry.tasks)
    if state.queue.is_starved(workload, now):
        state.reservations.mark_starved(workload.name)
    reservation = state.reservations.find(workload.name)
    if reservation is not None:
        reservation.release(cell)
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
    if reservation is None:
        state.reservations.add_reservation(
            cell, state.running, workload, len(tasks), now
        )
    state.reservations.fill(cell)
    return Deferral(workload.name)


def _make_request(workload: WaitingWorkload) -> TaskRequest:
    """Return the placement request for one task of a workload."""
    return TaskRequest(workload.name, workload.size, workload.spread)


def _place(
    state: PassState, workload: WaitingWorkload, task: str, worker: str
) -> Placement:
    """Commit a task in the cell and its team's quota and remove it from the queue."""
    state.cell.commit(worker, workload.name, workload.size)
    state.quotas.commit(workload.team, workload.size)
    state.queue.remove(workload.name, task)
    return Placement(workload.name, task, worker, workload.size)
