"""When a cell is calm, and until when a task that lasts has to run again.

The times are those of the rule LOST. A task that lasts is lost if nothing of it runs
for three seconds that begin six seconds after its last run or later, there is room for
it twice over all the while, and these seconds and the four before them are calm.
"""

import math

from attrs import define

RESTART_SECONDS = 6.0
ABSENCE_SECONDS = 3.0
CALM_SECONDS = 4.0


@define(eq=False)
class Disturbance:
    """A fault at instances, links, the store or upstreams, under way or over."""

    kind: str
    began: float
    ended: float = math.inf


def find_calm_start(disturbances: list[Disturbance]) -> float:
    """Return since when no fault is under way, infinity while one is.

    >>> find_calm_start([Disturbance("kill", 3.0, 9.0), Disturbance("cut", 4.0, 5.0)])
    9.0
    >>> find_calm_start([Disturbance("kill", 3.0, 9.0), Disturbance("cut", 4.0)])
    inf
    """
    return max((each.ended for each in disturbances), default=-math.inf)


def compute_deadline(last_end: float, calm_since: float, room_since: float) -> float:
    """Return when a task that lasts is lost, if nothing of it runs until then.

    Its last run ended at ``last_end``. Since ``calm_since`` no fault was under way,
    and since ``room_since`` there was room for the task twice over.

    >>> compute_deadline(last_end=10.0, calm_since=5.0, room_since=5.0)
    19.0
    >>> compute_deadline(last_end=10.0, calm_since=14.0, room_since=5.0)
    21.0
    """
    restart_due = last_end + RESTART_SECONDS
    return max(restart_due, calm_since + CALM_SECONDS, room_since) + ABSENCE_SECONDS
