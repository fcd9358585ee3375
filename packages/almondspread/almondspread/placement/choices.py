"""Choice of the worker on which a task is placed.

Candidates are the workers that accept new tasks and have enough free capacity. They
are ranked by these criteria, in this order:

1. the fewest tasks of the same workload in the worker's rack or failure domain, if the
   request asks for spreading;
2. the fewest free accelerators that suffice, which keeps accelerators for the tasks
   that need them;
3. the least free amount of the scarcer of processor and memory under the packing
   policy, or the greatest under the waiting policy;
4. the same for the other of the two resources;
5. the name, ascending under the packing policy and descending under the waiting one.
"""

from collections.abc import Iterator, Sequence

from expression import Error, Ok, Result

from almondspread.placement.cells import Cell
from almondspread.placement.values import (
    LEAVING,
    SPREAD_NONE,
    TOO_FEW_ACCELERATORS,
    TOO_LITTLE_MEMORY,
    TOO_LITTLE_PROCESSOR,
    PlacementFailure,
    ReasonCount,
    TaskRequest,
)
from almondspread.resources.capacity import Capacity


def choose_worker(
    cell: Cell, request: TaskRequest, policy: str
) -> Result[str, PlacementFailure]:
    """Return the name of the best worker for a task, or why no worker fits.

    The cell is unchanged; the caller commits the task.

    >>> cell = Cell()
    >>> cell.add_worker("w1", "enna", "r1", Capacity(4000, 8192))
    >>> choose_worker(cell, TaskRequest("a", Capacity(100, 64)), "packing").ok
    'w1'
    >>> outcome = choose_worker(cell, TaskRequest("a", Capacity(100, 9000)), "packing")
    >>> outcome.error.to_text()
    '0 of 1 workers fit: 1 too little memory'
    """
    name = find_worker(cell, request, policy)
    if name is None:
        return Error(explain_placement_failure(cell, request.size))
    return Ok(name)


def find_worker(cell: Cell, request: TaskRequest, policy: str) -> str | None:
    """Return the name of the best worker for a task, ``None`` if no worker fits."""
    candidates = cell.index.iterate_fitting(
        request.size, policy, cell.processor_is_scarcer
    )
    if request.spread == SPREAD_NONE:
        return next(candidates, None)
    counts = cell.get_group_counts(request.group, request.spread)
    if not counts:
        return next(candidates, None)
    return _find_spread_worker(cell, request.spread, counts, candidates)


def choose_gang(
    cell: Cell, requests: Sequence[TaskRequest], policy: str
) -> Result[tuple[str, ...], PlacementFailure]:
    """Return a worker for each task of a gang, or why the gang cannot be placed.

    The workers are in the order of ``requests``. The cell is unchanged on return. If
    all tasks have the same size, a placement is found whenever one exists. Otherwise
    the largest tasks are placed first: this heuristic may miss a tight packing, but
    never exceeds the capacity of a worker.
    """
    largest_first = sorted(
        range(len(requests)),
        key=lambda position: _make_size_key(requests[position]),
        reverse=True,
    )
    chosen: dict[int, str] = {}
    failure = None
    for position in largest_first:
        request = requests[position]
        name = find_worker(cell, request, policy)
        if name is None:
            failure = explain_placement_failure(
                cell, request.size, tasks=len(requests), placeable=len(chosen)
            )
            break
        cell.commit(name, request.group, request.size)
        chosen[position] = name
    for position, name in chosen.items():
        cell.release(name, requests[position].group, requests[position].size)
    if failure is not None:
        return Error(failure)
    return Ok(tuple(chosen[position] for position in range(len(requests))))


def explain_placement_failure(
    cell: Cell, size: Capacity, tasks: int = 1, placeable: int = 0
) -> PlacementFailure:
    """Return for each reason how many workers cannot take a task of a size.

    The counts come from the cell's index, without a scan of the workers.
    """
    index = cell.index
    shortages = (
        ReasonCount(TOO_LITTLE_PROCESSOR, index.count_short_of_cpu(size.cpu_millis)),
        ReasonCount(TOO_LITTLE_MEMORY, index.count_short_of_memory(size.memory_mib)),
        ReasonCount(
            TOO_FEW_ACCELERATORS, index.count_short_of_accelerators(size.accelerators)
        ),
    )
    reasons = []
    for shortage in shortages:
        if shortage.workers:
            reasons.append(shortage)
    reasons.extend(cell.count_exclusions())
    return PlacementFailure(len(cell), tuple(reasons), tasks, placeable)


def explain_infeasible(cell: Cell, request: TaskRequest) -> PlacementFailure | None:
    """Return why a task would fit no worker even if all were empty, else ``None``.

    Leaving workers count as a reason and not as capacity. Workers that are excluded
    for another reason count as capacity, as they may accept tasks again. The result is
    ``None`` for a cell without workers, because its workers are not known yet.
    """
    if not len(cell):
        return None
    size = request.size
    cpu = memory = accelerators = leaving = 0
    for state in cell.iterate_workers():
        if state.exclusion == LEAVING:
            leaving += 1
            continue
        if size.fits_in(state.capacity):
            return None
        cpu += size.cpu_millis > state.capacity.cpu_millis
        memory += size.memory_mib > state.capacity.memory_mib
        accelerators += size.accelerators > state.capacity.accelerators
    counts = (
        ReasonCount(TOO_LITTLE_PROCESSOR, cpu),
        ReasonCount(TOO_LITTLE_MEMORY, memory),
        ReasonCount(TOO_FEW_ACCELERATORS, accelerators),
        ReasonCount(LEAVING, leaving),
    )
    reasons = []
    for count in counts:
        if count.workers:
            reasons.append(count)
    return PlacementFailure(len(cell), tuple(reasons))


def _find_spread_worker(
    cell: Cell, spread: str, counts: dict[str, int], candidates: Iterator[str]
) -> str | None:
    """Return the candidate whose location has the fewest tasks of the workload.

    Among equals, the first candidate wins. ``counts`` has no zeros, so the minimum
    over all locations is 0 unless every location is in ``counts``.
    """
    lowest = 0
    if len(counts) == cell.count_locations(spread):
        lowest = min(counts.values())
    best = None
    best_count = 0
    for name in candidates:
        count = counts.get(cell.get_location(name, spread), 0)
        if count == lowest:
            return name
        if best is None or count < best_count:
            best, best_count = name, count
    return best


def _make_size_key(request: TaskRequest) -> tuple[int, int, int]:
    """Return a sort key that orders requests from small to large."""
    size = request.size
    return (size.accelerators, size.cpu_millis, size.memory_mib)
