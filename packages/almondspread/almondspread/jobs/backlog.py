"""Estimate of how long a job that is accepted now would wait for capacity."""

from datetime import timedelta

from attrs import define

from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.progress import StepProgress
from almondspread.jobs.upstreams import Upstream


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
    now: timedelta,
) -> timedelta:
    """Return how long the work ahead of a new job of the queue will take.

    The work ahead consists of the waiting tasks with the same or a more urgent
    priority. All processors of the service's usable upstreams share it. Without usable
    upstreams, the estimate is zero.
    """
    capacity = 0
    for upstream in upstreams:
        if upstream.entry.service == queue.service and upstream.is_usable(now):
            capacity += upstream.entry.capacity.cpu_millis
    if not capacity:
        return timedelta(0)
    ahead = timedelta(0)
    for progress in waiting:
        other = configuration.queues.get(progress.job.submission.queue)
        if other is None or other.service != queue.service:
            continue
        if other.priority > queue.priority or progress.step.lasting:
            continue
        tasks = len(progress.waiting)
        ahead += progress.step.estimate * (tasks * progress.step.claim.cpu_millis)
    return ahead / capacity
