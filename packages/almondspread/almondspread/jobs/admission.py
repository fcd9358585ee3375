"""Whether a job is accepted, given the load that it would meet and add to.

Each instance decides alone. A job that would be on time is admitted. One that would be
late is refused if the time left for late work would not suffice for it either, and one
beyond the rate of its workspace as soon as it would wait notably.
"""

from enum import StrEnum

from attrs import define

from almondspread.jobs.load_estimate import JobShape
from almondspread.jobs.ordering import LATE_FACTOR
from almondspread.jobs.submissions import Submission
from almondspread.resources.capacity import Capacity

# The estimate is up to this old, and tasks end in steps rather than evenly, so that
# shorter waits than this say nothing. Refusing a job for them costs more than a delay.
TOLERANCE_SECONDS = 0.4
# A surplus job may use up no more than this part of its slack. What it takes, others
# lack, and they are admitted as long as they can be on time.
SURPLUS_PART = 0.25
# Late work has this part of the capacity to itself while new work goes on arriving.
LATE_SHARE = 0.25
# A queue that refuses jobs accepts them again below this part of its bounds.
REOPENING_PART = 0.8


class RefusalReason(StrEnum):
    """Why a job is refused."""

    LOAD = "load"
    SURPLUS = "surplus"
    WORKSPACE_LIMIT = "workspace_limit"
    NO_UPSTREAM = "no_upstream"


@define(frozen=True)
class Outlook:
    """What a job has to expect, in seconds.

    It would wait ``wait_seconds`` while it can be on time; work that is late has to
    wait ``late_seconds``. The client first sent it ``elapsed_seconds`` ago. It
    ``is_surplus`` if it is beyond the rate of its workspace. Its queue ``is_refusing``
    if it has refused a job a moment ago.
    """

    wait_seconds: float
    late_seconds: float = 0.0
    elapsed_seconds: float = 0.0
    is_surplus: bool = False
    is_refusing: bool = False


@define(frozen=True)
class Excess:
    """That a job is refused, and for how many seconds its wait is too long."""

    reason: RefusalReason
    seconds: float


def is_refused_by_load(submission: Submission) -> bool:
    """Return whether a job may be refused because of load.

    Jobs with lasting tasks and repeated jobs are always admitted.
    """
    if submission.repetition is not None:
        return False
    return not any(step.lasting for step in submission.steps)


def find_excess(job: JobShape, outlook: Outlook) -> Excess | None:
    """Return why a job is refused because of load, ``None`` if it is admitted.

    All bounds are relative to the job's own target, so that large jobs are not refused
    more often than small ones.
    """
    slack = job.slack - outlook.elapsed_seconds
    strictness = REOPENING_PART if outlook.is_refusing else 1.0
    wait = outlook.wait_seconds
    if outlook.is_surplus:
        # Late work is placed before surplus, and other surplus as well.
        wait = max(wait, outlook.late_seconds)
        bound = max(0.0, SURPLUS_PART * slack * strictness) + TOLERANCE_SECONDS
        if wait > bound:
            return Excess(RefusalReason.SURPLUS, wait - bound)
        return None
    if wait <= max(0.0, slack * strictness) + TOLERANCE_SECONDS:
        return None
    late_wait = wait + max(0.0, outlook.late_seconds - wait) / LATE_SHARE
    bound = LATE_FACTOR * job.objective - job.path - outlook.elapsed_seconds
    if late_wait <= bound * strictness:
        return None
    return Excess(RefusalReason.LOAD, late_wait - bound * strictness)


def find_misfit(submission: Submission, bound: Capacity, is_whole: bool) -> str:
    """Return which amount of a job can never fit into a bound, ``""`` if all can.

    An amount of 0 in the bound sets none. If the bound ``is_whole``, as that of a
    workspace, the tasks of a gang have to fit into it together.

    >>> from almondspread.jobs.submissions import Step
    >>> gang = Step(4, Capacity(500, 100), gang=True)
    >>> job = Submission("j", "q", "", (gang,))
    >>> find_misfit(job, Capacity(1000, 0, 0), True)
    'step 0 needs 2000 of cpu_millis at once, and 1000 are allowed'
    >>> find_misfit(job, Capacity(1000, 0, 0), False)
    ''
    """
    for number, step in enumerate(submission.steps):
        size = step.size.times(step.count) if is_whole and step.gang else step.size
        amounts = (
            ("cpu_millis", size.cpu_millis, bound.cpu_millis),
            ("memory_mib", size.memory_mib, bound.memory_mib),
            ("accelerators", size.accelerators, bound.accelerators),
        )
        for name, needed, allowed in amounts:
            if allowed and needed > allowed:
                return (
                    f"step {number} needs {needed} of {name} at once, "
                    f"and {allowed} are allowed"
                )
    return ""
