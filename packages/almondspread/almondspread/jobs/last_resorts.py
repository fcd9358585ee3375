"""What lasting tasks may use that is kept from them at first, as a last resort.

Suspensions, trials and reservations may last longer than a lasting task may be without
a run. So where nothing else has room for such a task, it may use, after a while, an
upstream that is suspended or on trial, or room that is reserved.
"""

from collections.abc import Callable

from almondspread.jobs.permit_requests import count_room
from almondspread.jobs.service_upstreams import ServiceUpstreams
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity


def needs_last_resort(
    progress: StepProgress,
    service: ServiceUpstreams,
    find_free: Callable[[Upstream], Capacity],
) -> bool:
    """Return whether a lasting task, or a gang of these, finds no room elsewhere.

    ``find_free`` tells what the step may use of an upstream. Upstreams that the advice
    service has denied are not counted.
    """
    step = progress.step
    if not step.lasting:
        return False
    tasks = len(progress.waiting)
    missing = tasks if step.gang else 1
    for upstream in service.list_with_room(step.claim):
        if upstream.name in progress.permits.denied:
            continue
        if upstream.has_label(step.required_label):
            missing -= count_room(progress, upstream, find_free(upstream), tasks)
        if missing <= 0:
            return False
    return True
