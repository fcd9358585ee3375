"""The refusals of jobs, as callers see them."""

from attrs import define

from almondspread.errors import Overloaded, Problem, Unavailable
from almondspread.jobs.admission import Excess, Outlook, RefusalReason, find_misfit
from almondspread.jobs.configuration import Queue
from almondspread.jobs.submissions import Submission
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity

# New upstreams take about this long to be listed, if any are added at all.
NO_UPSTREAM_RETRY_SECONDS = 30.0
# A limit changes only when an operator publishes a new one.
LIMIT_RETRY_SECONDS = 30.0


@define(frozen=True)
class Refusal:
    """Why a job is refused, with the ``outlook`` by which that was decided."""

    reason: RefusalReason
    problem: Problem
    outlook: Outlook = Outlook(0.0)


def check_limit(submission: Submission, workspace: Workspace | None) -> Refusal | None:
    """Return the refusal of a job that can never run within its workspace's limit."""
    if workspace is None:
        return None
    misfit = find_misfit(submission, workspace.limit, is_whole=True)
    if not misfit:
        return None
    problem = Overloaded(
        f"the job exceeds the limit of workspace {workspace.name}: {misfit}",
        "submit smaller tasks, or ask the operator for a higher limit",
        retry_after_seconds=LIMIT_RETRY_SECONDS,
    )
    return Refusal(RefusalReason.WORKSPACE_LIMIT, problem)


def check_size(
    queue: Queue, submission: Submission, largest: Capacity | None
) -> Refusal | None:
    """Return the refusal of a job with a task that no known upstream has room for."""
    if largest is None:
        return None
    misfit = find_misfit(submission, largest, is_whole=False)
    if not misfit:
        return None
    problem = Unavailable(
        f"no upstream of {queue.service} is large enough: {misfit}",
        "submit smaller tasks, or again once larger upstreams have been added",
        not_run=True,
        retry_after_seconds=NO_UPSTREAM_RETRY_SECONDS,
    )
    return Refusal(RefusalReason.NO_UPSTREAM, problem)


def make_overloaded(
    queue: Queue, excess: Excess, outlook: Outlook, retry_after: float
) -> Problem:
    """Return the problem of a job that is refused because of load."""
    text = f"a job of {queue.name} would wait {outlook.wait_seconds:.1f} s for capacity"
    if excess.reason is RefusalReason.SURPLUS:
        text = f"the workspace exceeds its rate of jobs, and {text}"
    return Overloaded(
        text,
        "submit it again after the time given in Retry-After",
        retry_after_seconds=retry_after,
    )
