"""Which worker a task goes to.

Of the workers that take tasks and have room, the best is the one

1. whose rack or failure domain holds the fewest tasks of the same workload, where
   the request asks to be spread;
2. with the fewest free accelerators that suffice, which keeps accelerators for the
   tasks that need them;
3. with the least free amount of the scarcer of processor and memory under the
   packing policy, or the greatest under the waiting policy;
4. then the same by the other of the two, then by name.
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
    """Return the name of the best worker for a task, or why it must wait.

    The cell is left as it is.

    >>> cell = Cell()
    >>> cell.add_worker("w1", "enna", "r1", Capacity(4000, 8192))
    >>> choose_worker(cell, TaskRequest("a", Capacity(100, 64)), "packing").ok
    'w1'
    >>> waiting = choose_worker(cell, TaskRequest("a", Capacity(100, 9000)), "packing")
    >>> waiting.error.to_text()
    '0 of 1 workers fit: 1 too little memory'
    """
    name = find_worker(cell, request, policy)
    if name is None:
        return Error(explain_placement_failure(cell, request.size))
    return Ok(name)


def find_worker(cell: Cell, request: TaskRequest, policy: str) -> str | None:
    """Return the name of the best worker for a task, or ``None``."""
    fitting = cell.index.iterate_fitting(
        request.size, policy, cell.processor_is_scarcer
    )
    if request.spread == SPREAD_NONE:
        return next(fitting, None)
    counts = cell.get_group_counts(request.group, request.spread)
    if not counts:
        return next(fitting, None)
    return _find_spread_worker(cell, request.spread, counts, fitting)


def choose_gang(
    cell: Cell, requests: Sequence[TaskRequest], policy: str
) -> Result[tuple[str, ...], PlacementFailure]:
    """Return a worker for each task of a gang, or why the whole gang must wait.

    The cell is left as it is. Tasks of equal size find room whenever there is room
    for all; of unlike sizes the largest are placed first, which may miss a tight
    arrangement but never gives one that does not fit.
    """
    largest_first = sorted(
        range(len(requests)),
        key=lambda position: _make_size_key(requests[position]),
        reverse=True,
    )
    chosen: dict[int, str] = {}
    waiting = None
    for position in largest_first:
        request = requests[position]
        name = find_worker(cell, request, policy)
        if name is None:
            waiting = explain_placement_failure(
                cell, request.size, tasks=len(requests), placeable=len(chosen)
            )
            break
        cell.commit(name, request.group, request.size)
        chosen[position] = name
    for position, name in chosen.items():
        cell.release(name, requests[position].group, requests[position].size)
    if waiting is not None:
        return Error(waiting)
    return Ok(tuple(chosen[position] for position in range(len(requests))))


def explain_placement_failure(
    cell: Cell, size: Capacity, tasks: int = 1, placeable: int = 0
) -> PlacementFailure:
    """Return the counts of workers that rule out a size, without visiting them."""
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
    """Return why a task fits no worker even when all are empty, else ``None``.

    Workers that are leaving do not count as room; others that take no tasks now do.
    A cell without workers rules nothing out, as its workers are not known yet.
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
    cell: Cell, spread: str, counts: dict[str, int], fitting: Iterator[str]
) -> str | None:
    """Return the best of the fitting workers by the count of their place."""
    lowest = 0
    if len(counts) == cell.count_locations(spread):
        lowest = min(counts.values())
    best = None
    best_count = 0
    for name in fitting:
        count = counts.get(cell.get_location(name, spread), 0)
        if count == lowest:
            return name
        if best is None or count < best_count:
            best, best_count = name, count
    return best


def _make_size_key(request: TaskRequest) -> tuple[int, int, int]:
    """Return a key that orders requests from small to large."""
    size = request.size
    return (size.accelerators, size.cpu_millis, size.memory_mib)
