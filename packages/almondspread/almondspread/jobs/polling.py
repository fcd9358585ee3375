"""How often the executor of an upstream asks for the state of the upstream's runs.

A renew call returns as soon as a run ends. Its longest wait only bounds how late the
leader hears of progress, of latencies and of an upstream that has fallen silent.
"""

from collections.abc import Iterable, Set
from datetime import timedelta

from almondspread.jobs.messages import RunSighting
from almondspread.jobs.submissions import TaskId

IDLE_WAIT = timedelta(seconds=2)
RUNNING_WAIT = timedelta(seconds=1)
# Opportunistic tasks can harm latency-sensitive ones within a second.
PACED_WAIT = timedelta(milliseconds=500)
# Answers return early when runs end. A full report follows the previous one after this
# share of the wait, so that each answer to a call that waited to the end has one.
FULL_REPORT_SHARE = 0.8


def choose_renew_wait(
    running: Iterable[RunSighting], unpaced: Set[tuple[TaskId, int]]
) -> timedelta:
    """Return how long the next renew call may wait for a run to end.

    ``unpaced`` has the task and number of each run that is known to need no frequent
    reports. Runs that an earlier executor started are not among them.

    >>> task = TaskId("job", 0, 0, 0)
    >>> choose_renew_wait([], set()).total_seconds()
    2.0
    >>> choose_renew_wait([RunSighting(task, 1)], {(task, 1)}).total_seconds()
    1.0
    >>> choose_renew_wait([RunSighting(task, 1)], set()).total_seconds()
    0.5
    """
    wait = IDLE_WAIT
    for sighting in running:
        if (sighting.task, sighting.run) not in unpaced:
            return PACED_WAIT
        wait = RUNNING_WAIT
    return wait
