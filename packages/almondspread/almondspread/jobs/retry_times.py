"""When a refused caller should come back, and when it came first."""

import zlib
from datetime import timedelta

from attrs import define, field

# A caller that comes back at once meets the same load.
MIN_RETRY_SECONDS = 1.0
# The time over which returns are spread, at the least: ``Retry-After`` has whole
# seconds, so that a shorter spread would bring all callers back together.
MIN_SPREAD_SECONDS = 2.0
# Jobs that cannot be on time when they come back return at a rate that is lower by this
# factor, and not before the seconds below.
LATE_SPREAD_FACTOR = 4.0
MIN_LATE_SECONDS = 10.0
# Jobs of a kind count as being refused for this long after the last one was.
REFUSING_TIME = timedelta(seconds=1)
# Jobs whose refusal is remembered, the oldest of which are forgotten first.
MAX_REFUSED_JOBS = 4_096

# The service, the priority, and whether jobs are surplus.
RefusalKind = tuple[str, int, bool]


@define(eq=False)
class Attempts:
    """When a job was first refused here, and how often it has been."""

    first_at: timedelta
    count: int = 0


@define(eq=False)
class RefusedJobs:
    """The jobs that this instance has refused lately."""

    _jobs: dict[str, Attempts] = field(factory=dict)

    def record(self, job: str, now: timedelta) -> Attempts:
        """Record that a job was refused, and return its attempts."""
        attempts = self._jobs.pop(job, None) or Attempts(now)
        attempts.count += 1
        self._jobs[job] = attempts
        if len(self._jobs) > MAX_REFUSED_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return attempts

    def forget(self, job: str) -> None:
        """Forget a job that has been admitted."""
        self._jobs.pop(job, None)

    def measure_elapsed(self, job: str, now: timedelta) -> float:
        """Return how many seconds ago a job was first refused, 0 if it never was."""
        attempts = self._jobs.get(job)
        return (now - attempts.first_at).total_seconds() if attempts else 0.0


@define(eq=False)
class _Period:
    """Since when jobs are refused, and when the last one was."""

    since: timedelta
    last_at: timedelta


@define(eq=False)
class RefusingKinds:
    """The kinds of jobs of which some are refused now.

    >>> kinds = RefusingKinds()
    >>> second = timedelta(seconds=1)
    >>> [kinds.record(("s", 0, False), at * second) for at in (1, 2, 5)]
    [0.0, 1.0, 0.0]
    """

    _periods: dict[RefusalKind, _Period] = field(factory=dict)

    def is_refusing(self, kind: RefusalKind, now: timedelta) -> bool:
        """Return whether a job of a kind was refused a moment ago."""
        period = self._periods.get(kind)
        return period is not None and now - period.last_at <= REFUSING_TIME

    def record(self, kind: RefusalKind, now: timedelta) -> float:
        """Record a refusal; return for how many seconds there have been some."""
        if not self.is_refusing(kind, now):
            self._periods[kind] = _Period(now, now)
        period = self._periods[kind]
        period.last_at = now
        return (now - period.since).total_seconds()


def choose_retry_seconds(
    job: str, attempts: int, excess: float, drain: float, time_left: float
) -> float:
    """Return after how many seconds a refused caller should come back.

    After ``excess`` seconds a job like this one would be admitted, if none came in
    between. Callers are spread by their job's id over the time in which the backlog
    drains; those that were refused more often come earlier in it. If a job cannot be on
    time when it comes back, as its ``time_left`` for that is shorter, it comes much
    later, and leaves the room to jobs that can.

    >>> choose_retry_seconds("a", 1, 4.0, 10.0, 60.0) <= 4.0 + 10.0
    True
    >>> choose_retry_seconds("a", 1, 4.0, 10.0, 3.0) > 4.0 + 10.0
    True
    """
    fraction = zlib.crc32(job.encode()) / 2**32
    base = max(MIN_RETRY_SECONDS, excess)
    spread = max(drain, MIN_SPREAD_SECONDS)
    if base + MIN_SPREAD_SECONDS > time_left:
        spread *= LATE_SPREAD_FACTOR
        base += max(drain, MIN_LATE_SECONDS)
    return base + fraction * spread / max(attempts, 1)
