"""What workspaces may have running on upstreams of which the leader knows too little.

Earlier leaders may have started runs there that this leader has not bound.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.holds import ANY_VERSION
from almondspread.jobs.inherited_tasks import (
    MAX_COPIES,
    InheritedTasks,
    count_inherited,
)
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step, TaskId
from almondspread.jobs.unseen_upstreams import UnseenUpstreams
from almondspread.jobs.workspace_usage import NOTHING, WorkspaceUsage
from almondspread.resources.capacity import Capacity

# Which jobs an earlier leader may have started changes slowly, and it takes time to go
# through them. A sum that is out of date is too high.
INHERITED_INTERVAL = timedelta(milliseconds=500)
# The runs of remembered tasks are counted again after this time at the latest.
RECOUNT_INTERVAL = timedelta(milliseconds=100)


@define(eq=False)
class UnseenCounts:
    """The runs that unseen upstreams may have, as they were counted at a time ``at``.

    ``remembered`` has the sizes of the tasks that executors remember. ``unknown`` is
    the capacity of the upstreams of which nothing is known, and ``foreign`` of those
    with runs of unknown jobs; each is ``None`` if it is not known either.
    """

    at: timedelta
    names: frozenset[str]
    foreign_names: frozenset[str]
    remembered: WorkspaceUsage = field(factory=WorkspaceUsage)
    has_unknown: bool = False
    unknown: Capacity | None = NOTHING
    foreign: Capacity | None = NOTHING


@define(eq=False)
class UnseenRuns:
    """Bounds what each workspace may have running besides its bound runs.

    The runs are counted when a bound is first asked for after ``refresh``.
    """

    cell_state: CellState
    job_table: JobTable
    unseen: UnseenUpstreams
    find_inherited_version: Callable[[], int]
    _now: timedelta = timedelta(0)
    _fenced_at: timedelta | None = None
    _is_fresh: bool = False
    _counts: UnseenCounts | None = None
    _inherited: dict[str, InheritedTasks] = field(factory=dict)
    _inherited_at: timedelta | None = None

    def refresh(self, now: timedelta) -> None:
        """Have the runs counted again as they are now."""
        self._now = now
        self._is_fresh = False
        if self.find_inherited_version() >= ANY_VERSION:
            self._fenced_at = None
        elif self._fenced_at is None:
            self._fenced_at = now

    def find(self, workspace: str) -> Capacity | None:
        """Return the most that a workspace may run unseen, ``None`` if it has no bound.

        There is none while jobs that earlier leaders may have started are missing, as
        their tasks may run on an unseen upstream. The processor time of opportunistic
        tasks is counted beside the capacity of their upstreams, since they do not
        reserve it.
        """
        counts = self._recount()
        if counts is None:
            return NOTHING
        if counts.names and not self.job_table.is_complete:
            return None
        if counts.foreign is None:
            return None
        total = counts.remembered.find(workspace).plus(counts.foreign)
        if not counts.has_unknown:
            return total
        if self._fenced_at is None or self.job_table.read_until < self._fenced_at:
            return None
        inherited = self._find_inherited(workspace)
        if inherited.has_repeated:
            if counts.unknown is None or inherited.has_opportunistic:
                return None
            return total.plus(counts.unknown)
        claims = inherited.claims
        if counts.unknown is not None:
            claims = claims.take_smaller(counts.unknown)
        return total.plus(claims).plus(inherited.unreserved)

    def _recount(self) -> UnseenCounts | None:
        """Return the present counts, ``None`` if every upstream has shown its runs."""
        if self._is_fresh:
            return self._counts
        self._is_fresh = True
        names = frozenset(self.unseen.names)
        foreign = self._list_foreign()
        if not names and not foreign:
            self._counts = None
            return None
        counts = self._counts
        if counts is not None and self._now - counts.at < RECOUNT_INTERVAL:
            if (counts.names, counts.foreign_names) == (names, foreign):
                return counts
        self._counts = self._count(UnseenCounts(self._now, names, foreign))
        return self._counts

    def _list_foreign(self) -> frozenset[str]:
        """Return the upstreams that run something of which nothing is known."""
        found = []
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.has_unknown_runs and not upstream.has_ended(self._now):
                found.append(name)
        return frozenset(found)

    def _count(self, counts: UnseenCounts) -> UnseenCounts:
        """Count what unseen upstreams, and those with runs of unknown jobs, may run."""
        for name in counts.foreign_names:
            capacity = self._find_capacity(name)
            counts.foreign = _add(counts.foreign, capacity)
        for name in counts.names - counts.foreign_names:
            tasks = self.unseen.find_possible_tasks(name)
            if tasks is None:
                counts.has_unknown = True
                counts.unknown = _add(counts.unknown, self._find_capacity(name))
            elif any(task.job not in self.job_table.jobs for task in tasks):
                counts.foreign = _add(counts.foreign, self._find_capacity(name))
            else:
                self._count_remembered(counts.remembered, name, tasks)
        return counts

    def _count_remembered(
        self, found: WorkspaceUsage, upstream: str, tasks: Iterable[TaskId]
    ) -> None:
        """Add the sizes of the tasks that an upstream may run."""
        for task in tasks:
            job = self.job_table.jobs[task.job]
            submission = job.submission
            if not submission.workspace or task.step >= len(submission.steps):
                continue
            progress = job.steps.get((task.occurrence, task.step))
            step = submission.steps[task.step]
            copies = _count_copies(step, progress, task.index, upstream)
            found.add(submission.workspace, step.size.times(copies))

    def _find_capacity(self, name: str) -> Capacity | None:
        """Return the capacity of an upstream, ``None`` if it is not known.

        Its entry may have shrunk since runs were started there, and after a takeover an
        upstream that is no longer listed has the capacity 0. So it counts as the
        largest of its service.
        """
        upstream = self.cell_state.upstreams.get(name)
        if upstream is None:
            return None
        largest = NOTHING
        for other in self.cell_state.upstreams.values():
            if other.entry.service == upstream.entry.service:
                largest = largest.take_larger(other.entry.capacity)
        return largest if largest != NOTHING else None

    def _find_inherited(self, workspace: str) -> InheritedTasks:
        """Return which tasks of a workspace earlier leaders may have started."""
        at = self._inherited_at
        if at is None or self._now - at >= INHERITED_INTERVAL:
            self._inherited = count_inherited(
                self.job_table.jobs.values(),
                self.find_inherited_version(),
                self.cell_state.epoch,
            )
            self._inherited_at = self._now
        return self._inherited.get(workspace, InheritedTasks())


def _add(total: Capacity | None, capacity: Capacity | None) -> Capacity | None:
    """Return a sum of capacities, ``None`` if any of them is not known."""
    if total is None or capacity is None:
        return None
    return total.plus(capacity)


def _count_copies(
    step: Step, progress: StepProgress | None, index: int, upstream: str
) -> int:
    """Return how many runs of a task an upstream may have that are not bound there.

    A task that must not run twice has none if another run of it is bound, or if it is
    done. The other members of a gang that is done may still be running.
    """
    runs = progress.runs.get(index, []) if progress is not None else []
    if step.duplicates:
        return max(0, MAX_COPIES - sum(run.upstream == upstream for run in runs))
    if runs:
        return 0
    is_done = progress is not None and index in progress.done
    return int(step.gang or not is_done)
