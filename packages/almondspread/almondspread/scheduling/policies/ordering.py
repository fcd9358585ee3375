"""The order in which waiting workloads are tried.

1. Urgent workloads, by priority.
2. Workloads that waited longer than the starvation limit, oldest first, so that a
   stream of higher priorities delays no workload for ever.
3. The rest by priority; within one priority first those that must start soon to
   meet their deadline, earliest first, then by the team's weighted share of the
   cell, then by age.
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
    """What the order and placement of a workload's tasks depend on.

    ``latest_start`` is when a task must start to meet the deadline, if there is one.
    The tasks of a ``gang`` are placed together or not at all.
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
    """A workload and its tasks that wait, in the order in which they start."""

    workload: WaitingWorkload
    tasks: dict[str, None] = field(factory=dict)

    @property
    def age_key(self) -> tuple[datetime, str]:
        """What the entry is sorted by among equals."""
        return (self.workload.submitted, self.workload.name)

    def first_task(self) -> str:
        """Return the task that starts next."""
        return next(iter(self.tasks))


class _PriorityLevel:
    """The waiting workloads of one priority."""

    __slots__ = ("teams", "starts")

    def __init__(self) -> None:
        self.teams: dict[str, SortedList] = {}
        self.starts = SortedList()


class WaitingQueue:
    """The tasks of a shard that wait for a worker, by workload.

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
        """Add tasks of a workload; one that waits already keeps its place."""
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
        """Return what waits of a workload; for reading only."""
        return self._entries.get(name)

    def is_starved(self, workload: WaitingWorkload, now: datetime) -> bool:
        """Tell whether a workload has waited longer than the starvation limit."""
        return workload.submitted <= now - self._starvation_limit

    def iterate(
        self, now: datetime, measure_share: Callable[[str], float]
    ) -> Iterator[QueueEntry]:
        """Yield the workloads in order while their tasks are removed.

        A workload that lost tasks since it was yielded comes again at the place that
        its team's new share gives it; one that did not is passed over for the rest
        of the iteration.
        """
        passed: set[str] = set()
        for priority in self._list_priorities():
            if priority < URGENT_PRIORITY:
                break
            yield from self._iterate_level(priority, now, measure_share, passed)
        yield from self._iterate_sorted(
            self._ages, now - self._starvation_limit, passed
        )
        for priority in self._list_priorities():
            if priority >= URGENT_PRIORITY:
                continue
            yield from self._iterate_level(priority, now, measure_share, passed)

    def _list_priorities(self) -> list[int]:
        """Return the priorities that wait, highest first."""
        return [-key for key in self._levels]

    def _iterate_level(
        self,
        priority: int,
        now: datetime,
        measure_share: Callable[[str], float],
        passed: set[str],
    ) -> Iterator[QueueEntry]:
        """Yield the workloads of one priority."""
        band = self._levels.get(-priority)
        if band is None:
            return
        yield from self._iterate_sorted(band.starts, now + DEADLINE_WINDOW, passed)
        heads: list[tuple[float, datetime, str, str]] = []
        for team, waiting in band.teams.items():
            submitted, name = waiting[0]
            heads.append((measure_share(team), submitted, name, team))
        heapq.heapify(heads)
        while heads:
            share, submitted, name, team = heapq.heappop(heads)
            current = measure_share(team)
            if current > share:
                heapq.heappush(heads, (current, submitted, name, team))
                continue
            entry = self._entries.get(name)
            if entry is not None and name not in passed:
                count = len(entry.tasks)
                yield entry
                if 0 < len(entry.tasks) < count:
                    heapq.heappush(heads, (current, submitted, name, team))
                    continue
                passed.add(name)
            following = _find_next_key(band.teams.get(team), (submitted, name))
            if following is not None:
                heapq.heappush(heads, (current, *following, team))

    def _iterate_sorted(
        self, order: SortedList, until: datetime, passed: set[str]
    ) -> Iterator[QueueEntry]:
        """Yield the workloads of a sorted list up to a time, each until it is stuck."""
        key = order[0] if order else None
        while key is not None and key[0] <= until:
            name = key[1]
            entry = self._entries.get(name)
            while entry is not None and entry.tasks and name not in passed:
                count = len(entry.tasks)
                yield entry
                if len(entry.tasks) == count:
                    passed.add(name)
            key = _find_next_key(order, key)

    def _add_entry(self, entry: QueueEntry) -> None:
        """Put an entry in all sorted lists."""
        workload = entry.workload
        self._entries[workload.name] = entry
        self._ages.add(entry.age_key)
        band = self._levels.get(-workload.priority)
        if band is None:
            band = self._levels[-workload.priority] = _PriorityLevel()
        band.teams.setdefault(workload.team, SortedList()).add(entry.age_key)
        if workload.latest_start is not None:
            band.starts.add((workload.latest_start, workload.name))

    def _remove_entry(self, entry: QueueEntry) -> None:
        """Take an entry out of all sorted lists."""
        workload = entry.workload
        del self._entries[workload.name]
        self._ages.remove(entry.age_key)
        band = self._levels[-workload.priority]
        waiting = band.teams[workload.team]
        waiting.remove(entry.age_key)
        if workload.latest_start is not None:
            band.starts.remove((workload.latest_start, workload.name))
        if waiting:
            return
        del band.teams[workload.team]
        if not band.teams:
            del self._levels[-workload.priority]


def _find_next_key(
    order: SortedList | None, key: tuple[datetime, str]
) -> tuple[datetime, str] | None:
    """Return the first key after one that may be gone."""
    if order is None:
        return None
    position = order.bisect_right(key)
    return order[position] if position < len(order) else None
