"""How long tasks really run, as a ratio to the estimates that callers declare.

Declared estimates can be off by a factor of ten either way, but the tasks of one queue
err alike, so that the queue's ended runs tell what to expect of its next ones.
"""

from bisect import bisect_left, insort
from collections import deque
from datetime import timedelta

from attrs import define, field

MAX_REMEMBERED_RUNS = 100
# Fewer runs than this say too little about the queue.
MIN_RUNS = 8
UPPER_QUANTILE = 0.9
# Ratios that are assumed until a queue has ended enough runs.
DEFAULT_MEAN_RATIO = 1.0
DEFAULT_UPPER_RATIO = 4.0
MIN_ESTIMATE = timedelta(milliseconds=10)
# Larger ratios come of missing estimates, and say nothing about the next task.
MAX_RATIO = 100.0


@define(eq=False)
class _Ratios:
    """The newest ratios of one queue, in order of arrival and in order of size."""

    arrivals: deque[float] = field(factory=deque)
    ordered: list[float] = field(factory=list)

    def add(self, ratio: float) -> None:
        """Add a ratio in place of the oldest one, if there are too many."""
        self.arrivals.append(ratio)
        insort(self.ordered, ratio)
        if len(self.arrivals) > MAX_REMEMBERED_RUNS:
            oldest = self.arrivals.popleft()
            self.ordered.pop(bisect_left(self.ordered, oldest))


@define(eq=False)
class DurationRatios:
    """The ratios of real to estimated duration of the newest done runs, by queue.

    >>> ratios = DurationRatios()
    >>> ratios.find_upper("queue")
    4.0
    >>> second = timedelta(seconds=1)
    >>> for tenths in range(10, 30):
    ...     ratios.record("queue", second, second * tenths / 10)
    >>> ratios.find_mean("queue"), ratios.find_upper("queue")
    (1.95, 2.8)
    """

    _queues: dict[str, _Ratios] = field(factory=dict)

    def record(self, queue: str, estimate: timedelta, duration: timedelta) -> None:
        """Record a run that has done the whole work of its task."""
        ratio = min(duration / max(estimate, MIN_ESTIMATE), MAX_RATIO)
        self._queues.setdefault(queue, _Ratios()).add(ratio)

    def find_mean(self, queue: str) -> float:
        """Return the mean ratio of a queue."""
        ratios = self._queues.get(queue)
        if ratios is None or len(ratios.ordered) < MIN_RUNS:
            return DEFAULT_MEAN_RATIO
        return sum(ratios.ordered) / len(ratios.ordered)

    def find_upper(self, queue: str) -> float:
        """Return the ratio that nine of ten runs of a queue stay below."""
        ratios = self._queues.get(queue)
        if ratios is None or len(ratios.ordered) < MIN_RUNS:
            return DEFAULT_UPPER_RATIO
        return ratios.ordered[int(len(ratios.ordered) * UPPER_QUANTILE)]
