"""Upstreams that are suspended or on trial, as the last resort of tasks that last.

A suspension or a trial may last longer than such a task may be without a run. So where
no other upstream has room for the task, it may start there after a while.
"""

from collections.abc import Callable, Iterable

from almondspread.jobs.permit_requests import count_room
from almondspread.jobs.service_upstreams import ServiceUpstreams, group_by_service
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

FindFree = Callable[[Upstream], Capacity]


def add_last_resorts(
    progress: StepProgress,
    service: ServiceUpstreams,
    last_resorts: Iterable[Upstream],
    find_free: FindFree,
) -> ServiceUpstreams:
    """Return the upstreams for a step, with the last resorts if it needs these.

    ``last_resorts`` are those of the step's service, and ``find_free`` tells what the
    step may use of an upstream.
    """
    if not progress.step.lasting or _has_room(progress, service, find_free):
        return service
    groups = group_by_service([*service.by_name.values(), *last_resorts])
    return next(iter(groups.values()), service)


def _has_room(
    progress: StepProgress, service: ServiceUpstreams, find_free: FindFree
) -> bool:
    """Return whether a waiting task, or all of a gang, may fit on the upstreams.

    Upstreams that the advice service has denied are not counted.
    """
    step = progress.step
    tasks = len(progress.waiting)
    missing = tasks if step.gang else 1
    for upstream in service.list_with_room(step.claim):
        if upstream.name in progress.permits.denied:
            continue
        if upstream.has_label(step.required_label):
            missing -= count_room(progress, upstream, find_free(upstream), tasks)
        if missing <= 0:
            return True
    return False
