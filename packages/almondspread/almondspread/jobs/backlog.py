"""Estimate of how long a job that is accepted now would wait for capacity.

The wait is that for the scarcest resource: where tasks need many accelerators, these
are taken long before the processors are.
"""

from datetime import timedelta

from attrs import define

from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.ordering import FIRST_GROUP, rank_step
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

# Longer waits make no difference to any job, and must not overflow.
MAX_WAIT = timedelta(days=1)


@define(frozen=True)
class ServiceWait:
    """How many seconds a job would wait whose queue has this service and priority.

    Waits depend on nothing else, while there may be thousands of queues.
    """

    service: str
    priority: int
    seconds: float


def estimate_wait(
    queue: Queue,
    configuration: Configuration,
    waiting: list[StepProgress],
    upstreams: list[Upstream],
    ratios: DurationRatios,
    now: timedelta,
) -> timedelta:
    """Return how long the work ahead of a new job of the queue will take.

    The work ahead consists of the waiting tasks that would be placed before those of
    the new job. All usable upstreams of the service share it. ``ratios`` corrects the
    estimates of each queue. Without usable upstreams, the estimate is zero.
    """
    capacity = Capacity(0, 0, 0)
    for upstream in upstreams:
        if upstream.entry.service == queue.service and upstream.is_usable(now):
            capacity = capacity.plus(upstream.entry.capacity)
    if not capacity.cpu_millis:
        return timedelta(0)
    processor = memory = accelerators = 0.0
    for progress in waiting:
        if not _is_ahead(progress, queue, configuration, now):
            continue
        name = progress.job.submission.queue
        claim = progress.step.claim
        seconds = progress.step.estimate.total_seconds() * ratios.find_mean(name)
        seconds *= len(progress.waiting)
        processor += seconds * claim.cpu_millis
        memory += seconds * claim.memory_mib
        accelerators += seconds * claim.accelerators
    wait = max(
        processor / capacity.cpu_millis,
        memory / max(capacity.memory_mib, 1),
        accelerators / max(capacity.accelerators, 1),
    )
    return timedelta(seconds=min(wait, MAX_WAIT.total_seconds()))


def _is_ahead(
    progress: StepProgress, queue: Queue, configuration: Configuration, now: timedelta
) -> bool:
    """Return whether a step's waiting tasks are placed before a new job of the queue.

    Jobs that are late already stand behind new ones, and tasks that no upstream may run
    take room from nobody.
    """
    other = progress.job.submission.find_queue(configuration)
    if other is None or other.service != queue.service:
        return False
    if other.priority > queue.priority or progress.step.lasting:
        return False
    if progress.permits.denied and not progress.permits.allowed:
        return False
    return rank_step(progress, configuration, now)[0] == FIRST_GROUP
