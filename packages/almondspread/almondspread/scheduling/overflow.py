"""Plans moves of waiting tasks from a full shard to shards with free capacity.

Shards report the free capacity of their workers to each other. A report is some
seconds old, so a planned move is only an estimate: the receiving shard places the
tasks, or lets them wait, by its own current state.
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

# A shard reports only the workers with the most free capacity.
MAX_REPORTED_WORKERS = 12
MIN_WAIT_BEFORE_MOVE = timedelta(seconds=2)
# Replicas of a service wait longer, because their shards were chosen for their spread.
MIN_REPLICA_WAIT_BEFORE_MOVE = timedelta(seconds=10)
MAX_MOVED_TASKS = 200


@define(frozen=True)
class ShardRoom:
    """A shard's report of its free capacity to the other shards.

    ``free`` holds the free processor, memory and accelerators of each worker with the
    most free capacity, in the units of ``Capacity``; plain numbers keep the message
    small. ``waiting`` is the number of waiting tasks.
    """

    shard: str
    free: tuple[tuple[int, int, int], ...]
    waiting: int

    def list_free_capacities(self) -> tuple[Capacity, ...]:
        """Return the free capacity of each reported worker."""
        return tuple(Capacity(*amounts) for amounts in self.free)


def make_shard_room(shard: str, cell: Cell, waiting: int) -> ShardRoom:
    """Return the report of a shard's free capacity; excluded workers are left out."""
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
    """Return a key that ranks workers by accelerators, which are rare, before size."""
    cpu, memory, accelerators = free
    return (accelerators, cpu, memory)


def count_fitting_tasks(size: Capacity, capacities: tuple[Capacity, ...]) -> int:
    """Return how many whole tasks of a size fit in the given capacities.

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
    """Plans which blocked workloads of a shard move to other shards, and when.

    The planner remembers since when each workload has found no free capacity in this
    shard, because a workload only moves after a minimum wait.
    """

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
        """Return the moves to other shards, of about ``MAX_MOVED_TASKS`` at most.

        ``blocked`` holds the workloads that found no free capacity in this shard,
        ``rooms`` the reports of other shards, and ``capacities`` the total capacity
        of each worker of each shard.
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
        """Return the move of one workload's tasks, ``None`` if they stay.

        An urgent workload that this shard's workers could run stays, because its tasks
        can preempt others here.
        """
        waiting = entry.workload
        indices = _list_movable_tasks(state)
        if not indices or (waiting.gang and len(indices) < len(state.tasks)):
            return None
        min_count = len(indices) if waiting.gang else 1
        own_count = count_fitting_tasks(waiting.size, capacities.get(self._shard, ()))
        if own_count >= min_count:
            if waiting.priority >= URGENT_PRIORITY:
                return None
            min_wait = (
                MIN_REPLICA_WAIT_BEFORE_MOVE
                if state.is_service
                else MIN_WAIT_BEFORE_MOVE
            )
            if now - self._blocked_since[waiting.name] < min_wait:
                return None
        found = self._find_destination(waiting.size, min_count, free)
        if found is None and own_count < min_count:
            # The workers of this shard could not run the workload even when empty, so
            # its tasks wait in a shard whose workers could.
            found = self._find_destination(waiting.size, min_count, capacities)
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
        min_count: int,
        capacities: Mapping[str, tuple[Capacity, ...]],
    ) -> tuple[str, int] | None:
        """Return the shard that fits the most tasks, and how many fit.

        The result is ``None`` if no other shard fits ``min_count`` tasks.
        """
        best = None
        for shard in sorted(capacities):
            if shard == self._shard:
                continue
            count = count_fitting_tasks(size, capacities[shard])
            if count >= min_count and (best is None or count > best[1]):
                best = (shard, count)
        return best


def subtract_tasks(
    free: tuple[Capacity, ...], size: Capacity, count: int
) -> tuple[Capacity, ...]:
    """Return the free capacities after ``count`` tasks are placed by first fit."""
    remaining = []
    for capacity in free:
        while count and size.fits_in(capacity):
            capacity = capacity.minus(size)
            count -= 1
        remaining.append(capacity)
    return tuple(remaining)


def _list_movable_tasks(state: WorkloadState) -> list[int]:
    """Return the ready tasks that neither are nor have a replacement."""
    indices = []
    for index, task in state.ready.items():
        if not task.standby and task.replacement_index < 0:
            indices.append(index)
    return indices
