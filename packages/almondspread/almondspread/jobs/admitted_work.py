"""What this instance has admitted that the leader's estimate does not contain yet."""

from collections import deque
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.backlog import ServiceRoom
from almondspread.jobs.demand import ResourceRates
from almondspread.jobs.load_estimate import MAX_AGE
from almondspread.jobs.submissions import Submission

# A job counts until an estimate arrives this long after its admission: storing it and
# telling the leader takes part of that.
INTAKE_TIME = timedelta(milliseconds=300)
# The rate at which this instance admits work is taken over this time.
RATE_TIME = timedelta(seconds=1)
# Jobs older than this count with no estimate that is still in use.
MAX_TIME = MAX_AGE + INTAKE_TIME

# The priority of a job's queue, and its size class.
Place = tuple[int, int]


@define(frozen=True)
class _Admitted:
    """A job that was admitted ``at`` a time, with what it holds at first.

    Its whole ``work`` is that times seconds. ``place`` is the priority and the size
    class, by which jobs are placed.
    """

    at: timedelta
    service: str
    place: Place
    held: ResourceRates
    work: ResourceRates


@define(eq=False)
class AdmittedWork:
    """The jobs that this instance has admitted in the last seconds.

    The other instances are taken to admit at the rate at which this one has lately, so
    that together they do not give away the same room twice.
    """

    _jobs: deque[_Admitted] = field(factory=deque)

    def add(
        self, service: str, place: Place, submission: Submission, now: timedelta
    ) -> None:
        """Add a job that was just admitted, and forget those that count no more."""
        while self._jobs and self._jobs[0].at < now - MAX_TIME:
            self._jobs.popleft()
        held, work = _measure(submission)
        self._jobs.append(_Admitted(now, service, place, held, work))

    def estimate_wait(
        self,
        room: ServiceRoom,
        place: Place,
        instances: int,
        accelerated: bool,
        estimated_at: timedelta,
        now: timedelta,
    ) -> float:
        """Return how long a new job waits for what was admitted since, in seconds.

        Only jobs count that are placed before it or with it. There is no wait while
        all of them fit into what was free of the ``room``.
        """
        unknown_since = estimated_at - INTAKE_TIME
        others = (instances - 1) * ((now - unknown_since) / RATE_TIME)
        held = [0.0, 0.0, 0.0]
        work = [0.0, 0.0, 0.0]
        for job in self._jobs:
            if job.service != room.service or job.place > place:
                continue
            weight = 1.0 if job.at >= unknown_since else 0.0
            if now - job.at <= RATE_TIME:
                weight += others
            _add_rates(held, job.held, weight)
            _add_rates(work, job.work, weight)
        free = (room.free_cpu_millis, room.free_memory_mib, room.free_accelerators)
        whole = (room.cpu_millis, room.memory_mib, room.accelerators)
        wait = 0.0
        for number in range(3 if accelerated else 2):
            if held[number] > free[number] and whole[number]:
                part = 1.0 - free[number] / held[number]
                wait = max(wait, part * work[number] / whole[number])
        return wait


def _add_rates(sums: list[float], rates: ResourceRates, weight: float) -> None:
    """Add amounts to sums, each as often as the weight says."""
    sums[0] += rates.processor * weight
    sums[1] += rates.memory * weight
    sums[2] += rates.accelerators * weight


def _measure(submission: Submission) -> tuple[ResourceRates, ResourceRates]:
    """Return what a job's first steps hold, and its whole work in seconds of it."""
    held = [0.0, 0.0, 0.0]
    work = [0.0, 0.0, 0.0]
    for step in submission.steps:
        claim = step.claim
        rates = ResourceRates(claim.cpu_millis, claim.memory_mib, claim.accelerators)
        if not step.after:
            _add_rates(held, rates, step.count)
        _add_rates(work, rates, step.count * step.estimate.total_seconds())
    return ResourceRates(*held), ResourceRates(*work)
