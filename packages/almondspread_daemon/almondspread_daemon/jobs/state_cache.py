"""A cache of the states of jobs that the leader has sent to this instance."""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.admission_control import AdmissionControl
from almondspread.jobs.job_records import TERMINAL_STATES, JobState
from almondspread.jobs.job_table import Announcement


@define(eq=False)
class JobStateCache:
    """The states of jobs that are known to this instance, by job id.

    ``is_current`` is true while a leader keeps the states up to date. While
    ``knows_all`` is true, a job that is not in the cache does not exist or its end is
    stored. ``_workspaces`` has the workspaces of jobs that belong to one, which only
    the first announcement of each job tells.
    ``admission`` holds the leader's estimate of the load.
    """

    is_current: bool = False
    knows_all: bool = False
    admission: AdmissionControl = field(factory=AdmissionControl)
    _states: dict[str, Announcement] = field(factory=dict)
    _queued: dict[str, set[str]] = field(factory=dict)
    _ended_at: dict[str, timedelta] = field(factory=dict)
    _workspaces: dict[str, str] = field(factory=dict)

    def replace(self, states: tuple[Announcement, ...]) -> None:
        """Replace the states of all jobs whose end is not stored; keep ended ones."""
        for name, known in list(self._states.items()):
            if JobState(known.state) not in TERMINAL_STATES:
                del self._states[name]
                self._workspaces.pop(name, None)
        self._queued.clear()
        self.update(states)
        self.is_current = True
        self.knows_all = False

    def mark_stale(self) -> None:
        """Note that no leader keeps the states up to date."""
        self.is_current = False
        self.knows_all = False

    def update(self, states: tuple[Announcement, ...]) -> None:
        """Store states that have changed."""
        for state in states:
            self._states[state.job] = state
            if state.workspace:
                self._workspaces[state.job] = state.workspace
            queued = self._queued.setdefault(state.queue, set())
            if state.state == JobState.QUEUED:
                queued.add(state.job)
            else:
                queued.discard(state.job)

    def add_queued(self, job: str, queue: str, workspace: str = "") -> None:
        """Add a job that this instance has just accepted, unless it is known."""
        if job not in self._states:
            self.update((Announcement(job, queue, JobState.QUEUED, workspace),))

    def find_state(self, job: str) -> JobState | None:
        """Return the state of a job, ``None`` if it is not known."""
        known = self._states.get(job)
        return JobState(known.state) if known is not None else None

    def find_workspace(self, job: str) -> str:
        """Return the workspace of a job, empty if it has none or it is not known."""
        return self._workspaces.get(job, "")

    def count_queued(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return len(self._queued.get(queue, ()))

    def remove_ended(self, now: timedelta, retention: timedelta) -> None:
        """Remove jobs that an earlier call saw as ended at least ``retention`` ago."""
        for job, state in list(self._states.items()):
            if JobState(state.state) not in TERMINAL_STATES:
                continue
            if now - self._ended_at.setdefault(job, now) < retention:
                continue
            del self._states[job], self._ended_at[job]
            self._workspaces.pop(job, None)
