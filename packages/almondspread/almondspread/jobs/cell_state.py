"""The upstreams of the cell, and the runs that are bound to them."""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.incarnations import Incarnations, compute_fencing_token
from almondspread.jobs.messages import Assignment, RunSighting, UpstreamEntry
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.upstreams import Upstream
from almondspread.jobs.workspace_usage import ServiceUsage, WorkspaceUsage

# Numbers of runs and of assignments of one epoch must stay below those of the next.
# They start at a multiple of this bound.
RUNS_PER_EPOCH = 10_000_000


def find_epoch(number: int) -> int:
    """Return the epoch in which a run or an assignment was numbered, 0 if in none.

    >>> find_epoch(3 * RUNS_PER_EPOCH + 17)
    3
    """
    return number // RUNS_PER_EPOCH


@define(eq=False)
class CellState:
    """Binds runs to upstreams until they are known to have ended.

    A bound run takes up capacity of its upstream. ``runs`` holds all bound runs by task
    and run number, ``upstreams`` all upstreams by name. ``usage`` has the sizes of the
    bound runs by workspace, and ``service_usage`` what they reserve of each service.
    """

    epoch: int
    upstreams: dict[str, Upstream] = field(factory=dict)
    runs: dict[tuple[TaskId, int], Run] = field(factory=dict)
    incarnations: Incarnations = field(factory=Incarnations)
    usage: WorkspaceUsage = field(factory=WorkspaceUsage)
    service_usage: ServiceUsage = field(factory=ServiceUsage)
    _last_number: int = 0
    _last_assignment: int = 0

    def allocate_run_number(self) -> int:
        """Return a run number above all that this or an earlier leader has used."""
        self._last_number += 1
        return self.epoch * RUNS_PER_EPOCH + self._last_number

    def begin_assignment(self, upstream: Upstream, instance: str, process: str) -> None:
        """Number a new assignment of an upstream to an executor.

        The upstream gets no runs before the store names the assignment.
        """
        self._last_assignment += 1
        upstream.assignment = Assignment(
            self.epoch * RUNS_PER_EPOCH + self._last_assignment,
            instance,
            process,
            upstream.leases_until,
        )
        upstream.recorded = False

    def add_run(
        self, progress: StepProgress, index: int, upstream: Upstream, run: Run
    ) -> None:
        """Bind a run of a task to an upstream."""
        progress.add_run(run)
        if (run.task, run.number) not in self.runs:
            run.service = upstream.entry.service
            workspace = progress.job.submission.workspace
            self.usage.add(workspace, progress.step.size)
            self.service_usage.add(run.service, workspace, progress.step.claim)
        self.runs[run.task, run.number] = run
        upstream.bind(run.task, run.number, progress.step.claim)

    def adopt_run(
        self,
        progress: StepProgress,
        upstream: Upstream,
        sighting: RunSighting,
        now: timedelta,
    ) -> Run:
        """Bind a run that an earlier leader started, and return it."""
        run = Run(
            sighting.task,
            sighting.run,
            upstream.name,
            RunPhase.RUNNING,
            started_at=now,
            changed_at=now,
            knows_pace=False,
            is_confirmed=True,
        )
        self.add_run(progress, sighting.task.index, upstream, run)
        return run

    def move_run(
        self, progress: StepProgress, run: Run, upstream: Upstream, now: timedelta
    ) -> None:
        """Bind a run to the next incarnation of its upstream, which may have it."""
        old = self.upstreams.get(run.upstream)
        if old is not None:
            old.release(run.task, run.number)
        run.upstream = upstream.name
        workspace = progress.job.submission.workspace
        self.service_usage.remove(run.service, workspace, progress.step.claim)
        run.service = upstream.entry.service
        self.service_usage.add(run.service, workspace, progress.step.claim)
        run.forget_answers(now)
        upstream.bind(run.task, run.number, progress.step.claim)

    def remove_run(self, progress: StepProgress, run: Run) -> None:
        """Release a run that is known to have ended, or never to have started."""
        bound = self.runs.pop((run.task, run.number), None)
        if bound is not None:
            workspace = progress.job.submission.workspace
            self.usage.remove(workspace, progress.step.size)
            self.service_usage.remove(bound.service, workspace, progress.step.claim)
        progress.remove_run(run)
        upstream = self.upstreams.get(run.upstream)
        if upstream is not None:
            upstream.release(run.task, run.number)

    def list_runs(self, upstream: str) -> list[Run]:
        """Return the runs bound to an upstream, none for an unknown one."""
        known = self.upstreams.get(upstream)
        if known is None:
            return []
        return [self.runs[key] for key in known.bound if key in self.runs]

    def list_watched(self, kept: set[str]) -> list[Upstream]:
        """Return the upstreams that have or may get runs, and those of ``kept``.

        The leader stores them, so that its successor queries them for runs.
        """
        watched = []
        for name, upstream in self.upstreams.items():
            open_to_runs = upstream.listed and not upstream.entry.draining
            if upstream.lapse_at is not None:
                open_to_runs = False
            if upstream.bound or open_to_runs or name in kept:
                watched.append(upstream)
        return watched

    def add_upstream(self, upstream: Upstream) -> None:
        """Add an upstream as the latest incarnation under its identity."""
        upstream.generation = self.incarnations.add(upstream.entry)
        self.upstreams[upstream.name] = upstream

    def find_successor(self, upstream: Upstream) -> Upstream | None:
        """Return the later incarnation of an upstream, ``None`` if none is known."""
        latest = self.incarnations.find_latest(upstream.entry.identity)
        return None if latest == upstream.name else self.upstreams.get(latest)

    def find_fencing_token(self, upstream: Upstream) -> int:
        """Return the token under which this leader gives orders for an upstream."""
        return compute_fencing_token(self.epoch, upstream.generation)

    def choose_entries(
        self, entries: list[UpstreamEntry], now: timedelta
    ) -> list[UpstreamEntry]:
        """Return a list of entries without those of earlier incarnations."""
        chosen = {}
        for entry in entries:
            entry = self.incarnations.choose_entry(entry, self.upstreams, now)
            chosen[entry.name] = entry
        return list(chosen.values())

    def update_upstreams(
        self, entries: list[UpstreamEntry], now: timedelta, read_at: timedelta
    ) -> tuple[list[str], list[str]]:
        """Apply a list of upstreams, as it was at ``read_at`` or later.

        Return the names of the new and of the restarted upstreams. An upstream has
        restarted if a later incarnation of it is listed. Another entry at its address
        tells nothing: any writer may have put it there.
        """
        added = []
        listed = {entry.name for entry in entries}
        identities = {entry.identity for entry in entries}
        for entry in entries:
            known = self.upstreams.get(entry.name)
            if known is not None:
                known.update(entry, now, read_at)
                continue
            self.add_upstream(Upstream(entry, listed_at=read_at))
            added.append(entry.name)
        restarted = []
        for name, upstream in self.upstreams.items():
            if name in listed:
                continue
            upstream.mark_unlisted(now)
            if upstream.entry.identity in identities:
                restarted.append(name)
        return added, restarted
