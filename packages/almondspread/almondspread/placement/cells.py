"""The workers of a cell and the capacity that tasks occupy on each."""

from collections.abc import Iterator

from attrs import define, field

from almondspread.placement.errors import (
    DuplicateWorker,
    OverCapacity,
    PlacementError,
    UnknownCommitment,
    UnknownWorker,
)
from almondspread.placement.indexes import FreeIndex
from almondspread.placement.values import EXCLUSION_REASONS, SPREAD_RACK, ReasonCount
from almondspread.resources.capacity import Capacity


@define
class WorkerState:
    """The capacity and committed tasks of one worker; modified only by its cell.

    ``exclusion`` is one of ``EXCLUSION_REASONS`` if the worker accepts no new tasks,
    else empty. ``group_counts`` maps each workload to the number of its tasks that are
    committed on the worker.
    """

    name: str
    failure_domain: str
    rack: str
    capacity: Capacity
    free_cpu_millis: int
    free_memory_mib: int
    free_accelerators: int
    exclusion: str = ""
    group_counts: dict[str, int] = field(factory=dict)

    @property
    def free(self) -> Capacity:
        """The capacity that is not committed."""
        return Capacity(
            self.free_cpu_millis, self.free_memory_mib, self.free_accelerators
        )

    @property
    def committed(self) -> Capacity:
        """The capacity that is committed."""
        return self.capacity.minus(self.free)

    @property
    def rack_id(self) -> str:
        """Failure domain and rack, as a rack name is unique only within its domain."""
        return f"{self.failure_domain}/{self.rack}"

    def has_room(self, size: Capacity) -> bool:
        """Tell whether a task of this size fits in the free capacity."""
        return (
            size.cpu_millis <= self.free_cpu_millis
            and size.memory_mib <= self.free_memory_mib
            and size.accelerators <= self.free_accelerators
        )


class Cell:
    """A set of workers and their committed tasks, each worker within its capacity.

    A commit that would exceed a worker's capacity raises an error and changes nothing.

    >>> cell = Cell()
    >>> cell.add_worker("w1", "catania", "r1", Capacity(4000, 8192))
    >>> cell.commit("w1", "booking", Capacity(1000, 2048))
    >>> cell.worker("w1").free
    Capacity(cpu_millis=3000, memory_mib=6144, accelerators=0)
    """

    def __init__(self) -> None:
        self._workers: dict[str, WorkerState] = {}
        self._index = FreeIndex()
        self._racks: dict[str, set[str]] = {}
        self._domains: dict[str, set[str]] = {}
        self._rack_counts: dict[str, dict[str, int]] = {}
        self._domain_counts: dict[str, dict[str, int]] = {}
        self._rack_ids: dict[str, str] = {}
        self._exclusions: dict[str, int] = {}
        self._cpu_capacity = 0
        self._memory_capacity = 0
        self._cpu_free = 0
        self._memory_free = 0

    def __len__(self) -> int:
        return len(self._workers)

    @property
    def index(self) -> FreeIndex:
        """The workers that accept new tasks, by free capacity; do not modify it."""
        return self._index

    @property
    def processor_is_scarcer(self) -> bool:
        """Whether at least as large a share of processor as of memory is committed.

        Only workers that accept new tasks count.
        """
        cpu_used = self._cpu_capacity - self._cpu_free
        memory_used = self._memory_capacity - self._memory_free
        return cpu_used * self._memory_capacity >= memory_used * self._cpu_capacity

    def worker(self, name: str) -> WorkerState:
        """Return the state of one worker, which the caller must not modify."""
        try:
            return self._workers[name]
        except KeyError:
            raise UnknownWorker(
                f"worker {name!r} is not in the cell", "add it first"
            ) from None

    def has_worker(self, name: str) -> bool:
        """Tell whether a worker is in the cell."""
        return name in self._workers

    def iterate_workers(self) -> Iterator[WorkerState]:
        """Yield the state of every worker, in the order they were added."""
        yield from self._workers.values()

    def add_worker(
        self, name: str, failure_domain: str, rack: str, capacity: Capacity
    ) -> None:
        """Add a worker without tasks that accepts new ones."""
        if name in self._workers:
            raise DuplicateWorker(
                f"worker {name!r} is already in the cell", "remove it first"
            )
        state = WorkerState(
            name,
            failure_domain,
            rack,
            capacity,
            capacity.cpu_millis,
            capacity.memory_mib,
            capacity.accelerators,
        )
        self._workers[name] = state
        self._rack_ids[name] = state.rack_id
        self._racks.setdefault(state.rack_id, set()).add(name)
        self._domains.setdefault(failure_domain, set()).add(name)
        self._add_to_index(state)

    def remove_worker(self, name: str) -> None:
        """Remove a worker and all tasks committed on it."""
        state = self.worker(name)
        if not state.exclusion:
            self._remove_from_index(state)
        else:
            self._update_exclusion_count(state.exclusion, -1)
        for group, count in state.group_counts.items():
            self._update_group_counts(state, group, -count)
        del self._workers[name]
        del self._rack_ids[name]
        _remove_from_location(self._racks, state.rack_id, name)
        _remove_from_location(self._domains, state.failure_domain, name)

    def commit(self, name: str, group: str, size: Capacity) -> None:
        """Commit one task of workload ``group`` on a worker, even if it is excluded.

        Raises ``OverCapacity`` if the task does not fit in the free capacity.
        """
        state = self.worker(name)
        if not state.has_room(size):
            raise OverCapacity(
                f"worker {name!r} has {state.free} free, less than {size}",
                "release a task on it or choose another worker",
            )
        self._update_free(state, -1, size)
        state.group_counts[group] = state.group_counts.get(group, 0) + 1
        self._update_group_counts(state, group, 1)

    def release(self, name: str, group: str, size: Capacity) -> None:
        """Release one task of workload ``group`` that was committed with this size.

        Raises ``UnknownCommitment`` if the worker has no task of the workload, or less
        committed capacity than the size.
        """
        state = self.worker(name)
        committed = state.group_counts.get(group, 0)
        if not committed or not size.fits_in(state.committed):
            raise UnknownCommitment(
                f"worker {name!r} holds no task of {group!r} with {size}",
                "release each committed task once, with its committed size",
            )
        if committed == 1:
            del state.group_counts[group]
        else:
            state.group_counts[group] = committed - 1
        self._update_free(state, 1, size)
        self._update_group_counts(state, group, -1)

    def exclude(self, name: str, reason: str) -> None:
        """Exclude a worker from new tasks, for one of ``EXCLUSION_REASONS``.

        The reason replaces that of an earlier exclusion.
        """
        state = self.worker(name)
        if reason not in EXCLUSION_REASONS:
            raise PlacementError(
                f"reason {reason!r} is not known",
                "use one of " + ", ".join(EXCLUSION_REASONS),
            )
        if state.exclusion:
            self._update_exclusion_count(state.exclusion, -1)
        else:
            self._remove_from_index(state)
        state.exclusion = reason
        self._update_exclusion_count(reason, 1)

    def include(self, name: str) -> None:
        """Let a worker accept new tasks again."""
        state = self.worker(name)
        if not state.exclusion:
            return
        self._update_exclusion_count(state.exclusion, -1)
        state.exclusion = ""
        self._add_to_index(state)

    def count_locations(self, spread: str) -> int:
        """Return the number of racks or failure domains of the cell."""
        return len(self._racks if spread == SPREAD_RACK else self._domains)

    def get_workers_by_location(self, spread: str) -> dict[str, set[str]]:
        """Return the workers of each rack or failure domain.

        The caller must not modify the result.
        """
        return self._racks if spread == SPREAD_RACK else self._domains

    def get_group_counts(self, group: str, spread: str) -> dict[str, int]:
        """Return a workload's number of committed tasks per rack or failure domain.

        Locations without such a task are absent. The caller must not modify the
        result.
        """
        counts = self._rack_counts if spread == SPREAD_RACK else self._domain_counts
        return counts.get(group, {})

    def get_location(self, name: str, spread: str) -> str:
        """Return the rack ID or failure domain of a worker."""
        if spread == SPREAD_RACK:
            return self._rack_ids[name]
        return self._workers[name].failure_domain

    def count_exclusions(self) -> tuple[ReasonCount, ...]:
        """Return the number of excluded workers for each reason."""
        counts = []
        for reason in sorted(self._exclusions):
            counts.append(ReasonCount(reason, self._exclusions[reason]))
        return tuple(counts)

    def _update_free(self, state: WorkerState, sign: int, size: Capacity) -> None:
        """Add ``sign`` times a size to the free capacity of a worker."""
        cpu = sign * size.cpu_millis
        memory = sign * size.memory_mib
        indexed = not state.exclusion
        if indexed:
            self._index.remove(
                state.name,
                state.free_cpu_millis,
                state.free_memory_mib,
                state.free_accelerators,
            )
            self._cpu_free += cpu
            self._memory_free += memory
        state.free_cpu_millis += cpu
        state.free_memory_mib += memory
        state.free_accelerators += sign * size.accelerators
        if indexed:
            self._index.add(
                state.name,
                state.free_cpu_millis,
                state.free_memory_mib,
                state.free_accelerators,
            )

    def _add_to_index(self, state: WorkerState) -> None:
        """Add a worker that accepts new tasks to the index and the totals."""
        self._index.add(
            state.name,
            state.free_cpu_millis,
            state.free_memory_mib,
            state.free_accelerators,
        )
        self._update_totals(state, 1)

    def _remove_from_index(self, state: WorkerState) -> None:
        """Remove a worker from the index and the totals."""
        self._index.remove(
            state.name,
            state.free_cpu_millis,
            state.free_memory_mib,
            state.free_accelerators,
        )
        self._update_totals(state, -1)

    def _update_totals(self, state: WorkerState, sign: int) -> None:
        """Add ``sign`` times a worker to the totals over workers that accept tasks."""
        self._cpu_capacity += sign * state.capacity.cpu_millis
        self._memory_capacity += sign * state.capacity.memory_mib
        self._cpu_free += sign * state.free_cpu_millis
        self._memory_free += sign * state.free_memory_mib

    def _update_exclusion_count(self, reason: str, change: int) -> None:
        """Add ``change`` to the number of workers excluded for a reason."""
        _update_count(self._exclusions, reason, change)

    def _update_group_counts(self, state: WorkerState, group: str, change: int) -> None:
        """Add ``change`` to a workload's task counts in a worker's rack and domain."""
        racks = self._rack_counts.setdefault(group, {})
        _update_count(racks, self._rack_ids[state.name], change)
        domains = self._domain_counts.setdefault(group, {})
        _update_count(domains, state.failure_domain, change)
        if not domains:
            del self._rack_counts[group], self._domain_counts[group]


def _update_count(counts: dict[str, int], key: str, change: int) -> None:
    """Add ``change`` to one count and remove the count at zero."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)


def _remove_from_location(
    workers_by_location: dict[str, set[str]], location: str, name: str
) -> None:
    """Remove a worker from its location, and the location if it becomes empty."""
    workers_by_location[location].discard(name)
    if not workers_by_location[location]:
        del workers_by_location[location]
