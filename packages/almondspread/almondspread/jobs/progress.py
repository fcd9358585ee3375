"""How far a job has come: its tasks, their runs, and what must outlive a leader."""

from datetime import datetime, timedelta
from enum import StrEnum

from attrs import define, field

from almondspread.jobs.messages import DONE, FAILED, RunEnd
from almondspread.jobs.submissions import Step, Submission, TaskId


class JobState(StrEnum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class RunPhase(StrEnum):
    """What the leader knows of a run.

    A ``starting`` run awaits its answer; an ``unsettled`` one got none and may start
    yet; a ``stopping`` one has been told to stop and may run still.
    """

    STARTING = "starting"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


@define(eq=False)
class Run:
    """One run of a task, bound to an upstream until it is known to have ended.

    ``gone_after`` is the number of the report from which on the absence of a stopped
    run proves that it never started.
    """

    task: TaskId
    number: int
    upstream: str
    phase: RunPhase
    started_at: timedelta
    changed_at: timedelta
    seen_at: timedelta = timedelta(0)
    percent: int = 0
    figure: int = 0
    pace: int = 100
    available: bool = False
    stop_requested_at: timedelta | None = None
    conclusive_report: int | None = None


@define(frozen=True)
class Permits:
    """Tickets of the advice service by upstream, good until ``expires``."""

    tickets: dict[str, str]
    expires: timedelta


@define(frozen=True)
class StepRecord:
    """The stored part of a step's progress; ``done`` is a bitmap of its tasks."""

    occurrence: int
    step: int
    done: bytes = b""
    failed_runs: dict[int, list[int]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)


@define(frozen=True)
class JobRecord:
    """What the store keeps of a job's progress."""

    job: str
    queue: str
    state: str
    steps: tuple[StepRecord, ...] = ()


@define(eq=False)
class StepProgress:
    """The tasks of one step of one occurrence.

    ``waiting`` holds the tasks without a run, ``runs`` the runs of the others that
    are not done. ``avoided`` names upstreams on which a task has failed.
    """

    job: "JobProgress"
    occurrence: int
    number: int
    step: Step
    done: set[int] = field(factory=set)
    waiting: dict[int, None] = field(factory=dict)
    runs: dict[int, list[Run]] = field(factory=dict)
    failed_runs: dict[int, set[int]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)
    avoided_upstreams: dict[int, set[str]] = field(factory=dict)
    permits: Permits | None = None
    permits_requested_at: timedelta | None = None
    not_before: timedelta = timedelta(0)

    @property
    def key(self) -> tuple[str, int, int]:
        """The job, occurrence and number, unique among all steps."""
        return (self.job.submission.job, self.occurrence, self.number)

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return len(self.done) == self.step.count

    def make_task_id(self, index: int) -> TaskId:
        """Return the identity of one task."""
        return TaskId(*self.key, index)

    def add_run(self, run: Run) -> None:
        """Bind a task to a run."""
        self.runs.setdefault(run.task.index, []).append(run)
        self.waiting.pop(run.task.index, None)

    def remove_run(self, run: Run) -> None:
        """Forget a run; its task waits again where nothing else runs it."""
        index = run.task.index
        runs = self.runs.get(index, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs.pop(index, None)
        if index not in self.done and index not in self.runs:
            self.waiting[index] = None

    def record_end(self, end: RunEnd) -> None:
        """Take the outcome of an end to the task; repeating it changes nothing."""
        index = end.task.index
        if end.checkpoint and index not in self.done:
            self.checkpoints[index] = end.checkpoint
        if end.outcome == FAILED:
            self.failed_runs.setdefault(index, set()).add(end.run)
        if end.outcome == DONE and not self.step.lasting:
            self._record_done(index)

    def _record_done(self, index: int) -> None:
        """Count a task as done, and the whole step where it is a gang."""
        indexes = range(self.step.count) if self.step.gang else (index,)
        for each in indexes:
            self.done.add(each)
            self.waiting.pop(each, None)
            self.checkpoints.pop(each, None)

    def count_failures(self) -> int:
        """Return the most failed runs that any task, or the gang, has had."""
        if self.step.gang:
            numbers: set[int] = set()
            for runs in self.failed_runs.values():
                numbers |= runs
            return len(numbers)
        return max((len(runs) for runs in self.failed_runs.values()), default=0)

    def find_checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task goes on, shared by a gang."""
        if not self.step.gang:
            return self.checkpoints.get(index, "")
        return max(self.checkpoints.values(), default="")

    def count_unavailable(self) -> int:
        """Return how many tasks are not at work."""
        at_work = 0
        for runs in self.runs.values():
            if any(run.available and run.phase is RunPhase.RUNNING for run in runs):
                at_work += 1
        return self.step.count - at_work

    def make_record(self) -> StepRecord:
        """Return what must outlive the leader."""
        bitmap = 0
        for index in self.done:
            bitmap |= 1 << index
        size = (self.step.count + 7) // 8 if bitmap else 0
        failed = {index: sorted(runs) for index, runs in self.failed_runs.items()}
        kept = {
            index: text
            for index, text in self.checkpoints.items()
            if index in self.waiting
        }
        return StepRecord(
            self.occurrence, self.number, bitmap.to_bytes(size, "little"), failed, kept
        )

    def restore(self, record: StepRecord) -> None:
        """Take over what an earlier leader stored."""
        bitmap = int.from_bytes(record.done, "little")
        for index in range(self.step.count):
            if bitmap >> index & 1:
                self.done.add(index)
                self.waiting.pop(index, None)
        for index, runs in record.failed_runs.items():
            self.failed_runs[index] = set(runs)
        self.checkpoints.update(record.checkpoints)


@define(eq=False)
class JobProgress:
    """One job with the steps of its occurrences that have become due.

    ``accepted`` is the monotonic time at which the job was accepted, ``version`` the
    first version of the store at which it was there.
    """

    submission: Submission
    accepted: timedelta
    version: int = 0
    has_started: bool = False
    ended: JobState | None = None
    ended_at: timedelta | None = None
    end_stored: bool = False
    next_occurrence: int = 0
    steps: dict[tuple[int, int], StepProgress] = field(factory=dict)
    records: dict[tuple[int, int], StepRecord] = field(factory=dict)

    @property
    def state(self) -> JobState:
        """What callers are told."""
        if self.ended is not None:
            return self.ended
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def create_due_steps(self, wall: datetime) -> list[StepProgress]:
        """Add the steps of every occurrence that has become due; return these."""
        opened = []
        submission = self.submission
        while self.next_occurrence < submission.occurrences:
            occurrence = self.next_occurrence
            repetition = submission.repetition
            if (
                repetition is not None
                and repetition.compute_due_time(occurrence) > wall
            ):
                break
            opened.extend(self._create_occurrence())
        return opened

    def create_steps_through(self, occurrence: int) -> list[StepProgress]:
        """Add the steps of all occurrences up to one that has been started elsewhere.

        Another leader's clock may be ahead, and of a job that has ended none are open.
        """
        opened = []
        last = min(occurrence, self.submission.occurrences - 1)
        while self.next_occurrence <= last:
            opened.extend(self._create_occurrence())
        return opened

    def _create_occurrence(self) -> list[StepProgress]:
        """Add the steps of the next occurrence."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        opened = []
        for number, step in enumerate(self.submission.steps):
            opened.append(self._create_step(occurrence, number, step))
        return opened

    def _create_step(self, occurrence: int, number: int, step: Step) -> StepProgress:
        """Add one step, with what an earlier leader stored of it."""
        progress = StepProgress(self, occurrence, number, step)
        progress.waiting = dict.fromkeys(range(step.count))
        record = self.records.pop((occurrence, number), None)
        if record is not None:
            progress.restore(record)
        self.steps[occurrence, number] = progress
        return progress

    def is_ready(self, progress: StepProgress) -> bool:
        """Tell whether all steps that a step waits for are complete."""
        for number in progress.step.after:
            if not self.steps[progress.occurrence, number].is_complete:
                return False
        return True

    @property
    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self.next_occurrence < self.submission.occurrences:
            return False
        return all(progress.is_complete for progress in self.steps.values())

    def list_runs(self) -> list[Run]:
        """Return every run that is not known to have ended."""
        found = []
        for progress in self.steps.values():
            for runs in progress.runs.values():
                found.extend(runs)
        return found

    def make_record(self) -> JobRecord:
        """Return what the store keeps; of an ended job only its state."""
        steps: tuple[StepRecord, ...] = ()
        if self.ended is None:
            steps = tuple(
                progress.make_record()
                for progress in self.steps.values()
                if progress.done or progress.failed_runs or progress.checkpoints
            )
        return JobRecord(
            self.submission.job, self.submission.queue, str(self.state), steps
        )

    def restore(self, record: JobRecord) -> None:
        """Take over what an earlier leader stored."""
        state = JobState(record.state)
        if state in TERMINAL_STATES:
            self.ended = state
            self.end_stored = True
        self.has_started = state is not JobState.QUEUED
        for step in record.steps:
            self.records[step.occurrence, step.step] = step
