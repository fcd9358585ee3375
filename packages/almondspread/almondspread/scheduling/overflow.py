"""Which waiting tasks go to another shard, because it has room and this one has not.

Shards tell one another what their workers have free. That is some seconds old, so a
move is a good guess and never more: the shard that gets the tasks places them, or has
them wait, by what it knows itself.
"""

from collections.abc import Mapping
from datetime import datetime, timedelta

from attrs import define

from almondspread.placement import Cell
from almondspread.resources import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.policies.ordering import QueueEntry
from almondspread.scheduling.tasks import WorkloadState
from almondspread.scheduling.transfers import TaskMove

# A shard tells of so many workers, those with most room.
MAX_REPORTED_WORKERS = 12
MIN_WAIT_BEFORE_MOVE = timedelta(seconds=2)
# Replicas are placed for their spread first, so they stay longer.
MIN_REPLICA_WAIT_BEFORE_MOVE = timedelta(seconds=10)
MAX_MOVED_TASKS = 200


@define(frozen=True)
class ShardRoom:
    """What the workers of a shard with most room have free, and how much waits.

    ``free`` has processor, memory and accelerators of each, in the units of
    ``Capacity``; bare numbers keep the message small.
    """

    shard: str
    free: tuple[tuple[int, int, int], ...]
    waiting: int

    def list_free_capacities(self) -> tuple[Capacity, ...]:
        """Return what is free on each of the workers told of."""
        return tuple(Capacity(*amounts) for amounts in self.free)


def make_shard_room(shard: str, cell: Cell, waiting: int) -> ShardRoom:
    """Return what a shard tells the others of its room."""
    free = []
    for worker in cell.iterate_workers():
        if not worker.exclusion:
            free.append(
                (
                    worker.free_cpu_millis,
                    worker.free_memory_mib,
                    worker.free_accelerators,
                )
            )
    free.sort(key=_make_sort_key, reverse=True)
    return ShardRoom(shard, tuple(free[:MAX_REPORTED_WORKERS]), waiting)


def _make_sort_key(free: tuple[int, int, int]) -> tuple[int, int, int]:
    """Return a key that puts workers with rare resources and much room first."""
    cpu, memory, accelerators = free
    return (accelerators, cpu, memory)


def count_fitting_tasks(size: Capacity, capacities: tuple[Capacity, ...]) -> int:
    """Return how many tasks of a size fit in some amounts, task by task.

    >>> count_fitting_tasks(Capacity(2, 1), (Capacity(5, 9), Capacity(1, 9)))
    2
    """
    total = 0
    for capacity in capacities:
        count = capacity.cpu_millis // size.cpu_millis
        count = min(count, capacity.memory_mib // size.memory_mib)
        if size.accelerators:
            count = min(count, capacity.accelerators // size.accelerators)
        total += max(0, count)
    return total


class OverflowPlanner:
    """Knows since when each workload finds no room here."""

    def __init__(self, shard: str) -> None:
        self._shard = shard
        self._blocked_since: dict[str, datetime] = {}

    def plan_moves(
        self,
        blocked: list[tuple[QueueEntry, WorkloadState]],
        rooms: Mapping[str, ShardRoom],
        capacities: Mapping[str, tuple[Capacity, ...]],
        now: datetime,
    ) -> list[TaskMove]:
        """Return which tasks go where.

        ``blocked`` is what found no room here, ``rooms`` what other shards told,
        ``capacities`` what all workers of each shard have when empty.
        """
        since = {}
        for entry, _ in blocked:
            name = entry.workload.name
            since[name] = self._blocked_since.get(name, now)
        self._blocked_since = since
        free = {shard: room.list_free_capacities() for shard, room in rooms.items()}
        moves: list[TaskMove] = []
        moved = 0
        for entry, state in blocked:
            if moved >= MAX_MOVED_TASKS:
                break
            move = self._plan_move(entry, state, free, capacities, now)
            if move is None:
                continue
            moves.append(move)
            moved += len(move.indices)
            size = entry.workload.size
            free[move.destination] = subtract_tasks(
                free.get(move.destination, ()), size, len(move.indices)
            )
        return moves

    def _plan_move(
        self,
        entry: QueueEntry,
        state: WorkloadState,
        free: Mapping[str, tuple[Capacity, ...]],
        capacities: Mapping[str, tuple[Capacity, ...]],
        now: datetime,
    ) -> TaskMove | None:
        """Return where tasks of one workload go, if anywhere."""
        waiting = entry.workload
        indices = _list_movable_tasks(state)
        if not indices or (waiting.gang and len(indices) < len(state.tasks)):
            return None
        least = len(indices) if waiting.gang else 1
        own = count_fitting_tasks(waiting.size, capacities.get(self._shard, ()))
        if own >= least:
            if waiting.priority >= URGENT_PRIORITY:
                return None
            pause = (
                MIN_REPLICA_WAIT_BEFORE_MOVE
                if state.is_service
                else MIN_WAIT_BEFORE_MOVE
            )
            if now - self._blocked_since[waiting.name] < pause:
                return None
        found = self._find_destination(waiting.size, least, free)
        if found is None and own < least:
            # No worker here could ever run it, so it waits where one could.
            found = self._find_destination(waiting.size, least, capacities)
        if found is None:
            return None
        destination, count = found
        chosen = tuple(indices[: min(count, MAX_MOVED_TASKS)])
        if waiting.gang:
            chosen = tuple(indices)
        return TaskMove(waiting.name, chosen, destination)

    def _find_destination(
        self,
        size: Capacity,
        least: int,
        rooms: Mapping[str, tuple[Capacity, ...]],
    ) -> tuple[str, int] | None:
        """Return the shard with room for most tasks, if for at least ``least``."""
        best = None
        for shard in sorted(rooms):
            if shard == self._shard:
                continue
            count = count_fitting_tasks(size, rooms[shard])
            if count >= least and (best is None or count > best[1]):
                best = (shard, count)
        return best


def subtract_tasks(
    free: tuple[Capacity, ...], size: Capacity, count: int
) -> tuple[Capacity, ...]:
    """Return what remains free once some tasks are placed, first come first."""
    left = []
    for capacity in free:
        while count and size.fits_in(capacity):
            capacity = capacity.minus(size)
            count -= 1
        left.append(capacity)
    return tuple(left)


def _list_movable_tasks(state: WorkloadState) -> list[int]:
    """Return the tasks that can go: ready, and not about to replace another."""
    indices = []
    for index, task in state.ready.items():
        if not task.standby and task.replacement_index < 0:
            indices.append(index)
    return indices
