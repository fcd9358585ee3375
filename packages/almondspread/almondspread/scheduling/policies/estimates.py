"""Estimates of run time and memory, learnt from finished attempts.

Declared sizes decide how much capacity is committed. Estimates of run time decide
only when capacity is expected to become free and which tasks may borrow capacity
reserved for a gang. An estimate is based on the workload's own finished attempts if
there are enough, else on the ratio of actual to declared values of the team's attempts,
else on the declared value.
"""

from collections import OrderedDict, deque
from datetime import timedelta

from attrs import define, field

MAX_SAMPLES = 32
MIN_SAMPLES = 3
MAX_WORKLOADS = 4_096
UPPER_QUANTILE = 0.95
UNKNOWN_RUN_TIME = timedelta(hours=1)


@define(frozen=True)
class RunTimeEstimate:
    """The expected run time, and an upper run time that few attempts exceed.

    ``samples`` is the number of finished attempts behind the estimate, 0 if the
    declared or the default run time is used.
    """

    expected: timedelta
    upper: timedelta
    samples: int


@define
class _Samples:
    """The latest samples of one workload or team.

    The samples of a workload are seconds and MiB; those of a team are ratios of
    actual to declared values.
    """

    run_seconds: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    memory_mib: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))


class UsageEstimator:
    """Estimates run time and memory for a bounded number of workloads.

    Above ``MAX_WORKLOADS``, the least recently finished workload is dropped.

    >>> estimator = UsageEstimator()
    >>> minute = timedelta(minutes=1)
    >>> for minutes in (9, 10, 11):
    ...     actual = minutes * minute
    ...     estimator.record_finished("nightly", "routes", minute, actual, 100, 80)
    >>> estimator.estimate_run_time("nightly", "routes", minute).expected
    datetime.timedelta(seconds=600)
    >>> estimator.estimate_run_time("weekly", "routes", 2 * minute).expected
    datetime.timedelta(seconds=1200)
    """

    def __init__(self) -> None:
        self._workloads: OrderedDict[tuple[str, str], _Samples] = OrderedDict()
        self._teams: dict[str, _Samples] = {}

    def record_finished(
        self,
        workload: str,
        team: str,
        declared: timedelta,
        actual: timedelta,
        declared_mib: int,
        peak_mib: int,
    ) -> None:
        """Record a finished attempt; a declared run time of 0 means unknown."""
        key = (team, workload)
        samples = self._workloads.setdefault(key, _Samples())
        self._workloads.move_to_end(key)
        samples.run_seconds.append(actual.total_seconds())
        samples.memory_mib.append(peak_mib)
        if len(self._workloads) > MAX_WORKLOADS:
            self._workloads.popitem(last=False)
        ratios = self._teams.setdefault(team, _Samples())
        if declared > timedelta(0):
            ratios.run_seconds.append(actual / declared)
        ratios.memory_mib.append(peak_mib / declared_mib)

    def estimate_run_time(
        self, workload: str, team: str, declared: timedelta
    ) -> RunTimeEstimate:
        """Return the estimated run time of an attempt."""
        samples = self._workloads.get((team, workload))
        if samples is not None and len(samples.run_seconds) >= MIN_SAMPLES:
            return _make_estimate(samples.run_seconds, timedelta(seconds=1))
        if declared <= timedelta(0):
            return RunTimeEstimate(UNKNOWN_RUN_TIME, UNKNOWN_RUN_TIME, 0)
        ratios = self._teams.get(team)
        if ratios is not None and len(ratios.run_seconds) >= MIN_SAMPLES:
            return _make_estimate(ratios.run_seconds, declared)
        return RunTimeEstimate(declared, declared, 0)

    def estimate_memory(self, workload: str, team: str, declared_mib: int) -> int:
        """Return the memory in MiB that few attempts exceed."""
        samples = self._workloads.get((team, workload))
        if samples is not None and len(samples.memory_mib) >= MIN_SAMPLES:
            return round(_find_quantile(samples.memory_mib, UPPER_QUANTILE))
        ratios = self._teams.get(team)
        if ratios is not None and len(ratios.memory_mib) >= MIN_SAMPLES:
            upper = _find_quantile(ratios.memory_mib, UPPER_QUANTILE)
            return round(upper * declared_mib)
        return declared_mib


def _make_estimate(samples: deque[float], unit: timedelta) -> RunTimeEstimate:
    """Return the median and the upper quantile of samples, multiplied by ``unit``."""
    return RunTimeEstimate(
        _find_quantile(samples, 0.5) * unit,
        _find_quantile(samples, UPPER_QUANTILE) * unit,
        len(samples),
    )


def _find_quantile(samples: deque[float], quantile: float) -> float:
    """Return the sample at a quantile between 0 and 1."""
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
