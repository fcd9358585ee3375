"""The order in which a scheduling pass tries the waiting workloads.

1. Urgent workloads, by descending priority.
2. Starved workloads, which have waited longer than the starvation limit, oldest
   first, so that a stream of workloads of higher priority delays none for ever.
3. All other workloads, by descending priority.

Within one priority, in 1 and 3, workloads that must start within ``DEADLINE_WINDOW``
to meet their deadline come first, earliest start first. The others are ordered by
their team's weighted share of the cell, lowest first, then by age.
"""

import heapq
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime, timedelta

from attrs import define, field
from sortedcontainers import SortedDict, SortedList

from almondspread.resources.capacity import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY

STARVATION_LIMIT = timedelta(minutes=30)
DEADLINE_WINDOW = timedelta(minutes=10)


@define(frozen=True)
class WaitingWorkload:
    """The properties of a waiting workload that ordering and placement depend on.

    ``size`` is the size of one task. ``latest_start`` is when a task must start to
    meet the workload's deadline, ``None`` if there is no deadline. The tasks of a
    ``gang`` are placed together or not at all.
    """

    name: str
    team: str
    priority: int
    size: Capacity
    submitted: datetime
    spread: str = "none"
    latest_start: datetime | None = None
    gang: bool = False
    checkpointable: bool = False


@define
class QueueEntry:
    """A workload and its waiting tasks, in the order in which they start."""

    workload: WaitingWorkload
    tasks: dict[str, None] = field(factory=dict)

    @property
    def age_key(self) -> tuple[datetime, str]:
        """The key that sorts entries by age, the oldest first."""
        return (self.workload.submitted, self.workload.name)

    def first_task(self) -> str:
        """Return the task that starts next; the entry must have a task."""
        return next(iter(self.tasks))


class _PriorityLevel:
    """The waiting workloads of one priority.

    ``teams`` maps each team to its workloads by age; ``starts`` sorts the workloads
    with a deadline by their latest start.
    """

    __slots__ = ("teams", "starts")

    def __init__(self) -> None:
        self.teams: dict[str, SortedList] = {}
        self.starts = SortedList()


class WaitingQueue:
    """The tasks of a shard that wait for a worker, by workload.

    The length of the queue is the number of waiting tasks.

    >>> queue = WaitingQueue()
    >>> noon = datetime(2026, 1, 1, 12)
    >>> for name, priority in [("a", 100), ("b", 300)]:
    ...     work = WaitingWorkload(name, "t", priority, Capacity(1, 1), noon)
    ...     queue.add(work, [f"{name}-0"])
    >>> [entry.workload.name for entry in queue.iterate(noon, lambda team: 0.0)]
    ['b', 'a']
    """

    def __init__(self, starvation_limit: timedelta = STARVATION_LIMIT) -> None:
        self._starvation_limit = starvation_limit
        self._entries: dict[str, QueueEntry] = {}
        self._levels: SortedDict = SortedDict()
        self._ages = SortedList()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, workload: WaitingWorkload, tasks: Iterable[str]) -> None:
        """Add tasks of a workload; a task that already waits keeps its place."""
        entry = self._entries.get(workload.name)
        if entry is None:
            entry = QueueEntry(workload)
        for task in tasks:
            if task in entry.tasks:
                continue
            entry.tasks[task] = None
            self._count += 1
        if entry.tasks and workload.name not in self._entries:
            self._add_entry(entry)

    def remove(self, name: str, task: str) -> None:
        """Remove one task, if it waits."""
        entry = self._entries.get(name)
        if entry is None or task not in entry.tasks:
            return
        del entry.tasks[task]
        self._count -= 1
        if not entry.tasks:
            self._remove_entry(entry)

    def remove_workload(self, name: str) -> None:
        """Remove all tasks of a workload, if any wait."""
        entry = self._entries.get(name)
        if entry is None:
            return
        self._count -= len(entry.tasks)
        entry.tasks.clear()
        self._remove_entry(entry)

    def find_entry(self, name: str) -> QueueEntry | None:
        """Return the entry of a workload, which the caller must not change.

        Returns ``None`` if no task of the workload waits.
        """
        return self._entries.get(name)

    def is_starved(self, workload: WaitingWorkload, now: datetime) -> bool:
        """Return whether a workload has waited as long as the starvation limit."""
        return workload.submitted <= now - self._starvation_limit

    def iterate(
        self, now: datetime, compute_share: Callable[[str], float]
    ) -> Iterator[QueueEntry]:
        """Yield the workloads in order, while the caller removes their tasks.

        If the caller removes some but not all tasks of a yielded workload, the workload
        is yielded again at the position that its team's new share gives it. If the
        caller removes none, the workload is skipped for the rest of the iteration.
        ``compute_share`` returns a team's weighted share of the cell.
        """
        skipped: set[str] = set()
        for priority in self._list_priorities():
            if priority < URGENT_PRIORITY:
                break
            yield from self._iterate_level(priority, now, compute_share, skipped)
        yield from self._iterate_sorted(
            self._ages, now - self._starvation_limit, skipped
        )
        for priority in self._list_priorities():
            if priority >= URGENT_PRIORITY:
                continue
            yield from self._iterate_level(priority, now, compute_share, skipped)

    def _list_priorities(self) -> list[int]:
        """Return the priorities of the waiting workloads, highest first."""
        return [-key for key in self._levels]

    def _iterate_level(
        self,
        priority: int,
        now: datetime,
        compute_share: Callable[[str], float],
        skipped: set[str],
    ) -> Iterator[QueueEntry]:
        """Yield the workloads of one priority in order."""
        level = self._levels.get(-priority)
        if level is None:
            return
        yield from self._iterate_sorted(level.starts, now + DEADLINE_WINDOW, skipped)
        heads: list[tuple[float, datetime, str, str]] = []
        for team, waiting in level.teams.items():
            submitted, name = waiting[0]
            heads.append((compute_share(team), submitted, name, team))
        heapq.heapify(heads)
        while heads:
            share, submitted, name, team = heapq.heappop(heads)
            current = compute_share(team)
            if current > share:
                heapq.heappush(heads, (current, submitted, name, team))
                continue
            entry = self._entries.get(name)
            if entry is not None and name not in skipped:
                count = len(entry.tasks)
                yield entry
                if 0 < len(entry.tasks) < count:
                    heapq.heappush(heads, (current, submitted, name, team))
                    continue
                skipped.add(name)
            next_key = _find_next_key(level.teams.get(team), (submitted, name))
            if next_key is not None:
                heapq.heappush(heads, (current, *next_key, team))

    def _iterate_sorted(
        self, order: SortedList, until: datetime, skipped: set[str]
    ) -> Iterator[QueueEntry]:
        """Yield the workloads whose key in a sorted list is at most ``until``.

        Each workload is yielded until it has no tasks left or lost none.
        """
        key = order[0] if order else None
        while key is not None and key[0] <= until:
            name = key[1]
            entry = self._entries.get(name)
            while entry is not None and entry.tasks and name not in skipped:
                count = len(entry.tasks)
                yield entry
                if len(entry.tasks) == count:
                    skipped.add(name)
            key = _find_next_key(order, key)

    def _add_entry(self, entry: QueueEntry) -> None:
        """Add an entry to all sorted lists."""
        workload = entry.workload
        self._entries[workload.name] = entry
        self._ages.add(entry.age_key)
        level = self._levels.get(-workload.priority)
        if level is None:
            level = self._levels[-workload.priority] = _PriorityLevel()
        level.teams.setdefault(workload.team, SortedList()).add(entry.age_key)
        if workload.latest_start is not None:
            level.starts.add((workload.latest_start, workload.name))

    def _remove_entry(self, entry: QueueEntry) -> None:
        """Remove an entry from all sorted lists."""
        workload = entry.workload
        del self._entries[workload.name]
        self._ages.remove(entry.age_key)
        level = self._levels[-workload.priority]
        waiting = level.teams[workload.team]
        waiting.remove(entry.age_key)
        if workload.latest_start is not None:
            level.starts.remove((workload.latest_start, workload.name))
        if waiting:
            return
        del level.teams[workload.team]
        if not level.teams:
            del self._levels[-workload.priority]


def _find_next_key(
    order: SortedList | None, key: tuple[datetime, str]
) -> tuple[datetime, str] | None:
    """Return the first key after ``key``, which may no longer be in the list."""
    if order is None:
        return None
    position = order.bisect_right(key)
    return order[position] if position < len(order) else None
