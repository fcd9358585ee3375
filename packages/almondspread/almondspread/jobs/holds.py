"""Why waiting tasks may not start yet, although their step is ready."""

import sys
from collections.abc import Collection, Iterable, Mapping
from datetime import timedelta
from enum import StrEnum

from attrs import define, field

from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId

# These lie below and above every version that the store assigns.
NO_VERSION = -1
ANY_VERSION = sys.maxsize

# The job, the occurrence and the number of a step.
StepKey = tuple[str, int, int]


class HoldCause(StrEnum):
    """What keeps the waiting tasks of a ready step from starting.

    Tasks without any of these wait for permits or for room.
    """

    REFUSED_START = "refused_start"
    UNSEEN_UPSTREAM = "unseen_upstream"
    LEADER_LEASE = "leader_lease"
    GANG_MEMBERS = "gang_members"
    LOST_UPSTREAMS = "lost_upstreams"
    START_RECORD = "start_record"


@define(frozen=True)
class StartHolds:
    """Tells what may not start yet, by job, by the job's store version and by task.

    Of jobs up to ``held_version``, any task may run on an upstream that has not
    reported, and ``possible_tasks``, by their step, may in any case; of these, only
    tasks that may run twice can start. Jobs beyond ``startable_version`` start no tasks
    yet. Without ``may_start_again``, no task that was interrupted starts again.
    """

    held_version: int
    startable_version: int
    may_start_again: bool = True
    possible_tasks: Mapping[StepKey, Collection[int]] = field(factory=dict)

    def find_cause(self, progress: StepProgress, now: timedelta) -> HoldCause | None:
        """Return what keeps all waiting tasks of a step, ``None`` if nothing does.

        A step that only lacks a start record may ask for permits meanwhile, so that
        ``lacks_start_record`` tells of it.
        """
        if now < progress.not_before:
            return HoldCause.REFUSED_START
        held = self.list_held(progress)
        if held and (progress.step.gang or len(held) == len(progress.waiting)):
            return HoldCause.UNSEEN_UPSTREAM
        if progress.starts_again and not self.may_start_again:
            return HoldCause.LEADER_LEASE
        if progress.step.gang and len(progress.waiting) < progress.step.count:
            return HoldCause.GANG_MEMBERS
        if progress.is_on_hold:
            return HoldCause.LOST_UPSTREAMS
        return None

    def list_held(self, progress: StepProgress) -> frozenset[int]:
        """Return the waiting tasks of a step that may run on an unseen upstream."""
        if progress.step.duplicates:
            return frozenset()
        if progress.job.version <= self.held_version:
            return frozenset(progress.waiting)
        possible = self.possible_tasks.get(progress.key)
        if not possible:
            return frozenset()
        return frozenset(progress.waiting).intersection(possible)

    def lacks_start_record(self, progress: StepProgress) -> bool:
        """Return whether the store does not record yet that a step may start."""
        return progress.job.version > self.startable_version


def group_by_step(tasks: Iterable[TaskId]) -> dict[StepKey, set[int]]:
    """Return the indexes of tasks, by their step.

    >>> group_by_step([TaskId("j", 0, 1, 4), TaskId("j", 0, 1, 7)])
    {('j', 0, 1): {4, 7}}
    """
    found: dict[StepKey, set[int]] = {}
    for task in tasks:
        key = (task.job, task.occurrence, task.step)
        found.setdefault(key, set()).add(task.index)
    return found
