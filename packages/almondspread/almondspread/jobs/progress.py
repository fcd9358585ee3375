"""The progress of jobs: their tasks and runs, and the records stored of them."""

from datetime import datetime, timedelta
from enum import StrEnum

from attrs import define, field

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.losses import Loss, TaskLosses
from almondspread.jobs.messages import DONE, FAILED, LOST, STOPPED, RunEnd
from almondspread.jobs.permits import StepPermits
from almondspread.jobs.submissions import (
    Step,
    Submission,
    TaskId,
    compute_critical_paths,
)


class JobState(StrEnum):
    """The state of a job that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@define(frozen=True)
class StepRecord:
    """The stored progress of a step.

    ``done`` is a little-endian bitmap of the indexes of the tasks that are done. The
    other fields hold, by the index of the task, the numbers of its failed runs, its
    checkpoint and the upstreams that were lost under it.
    """

    occurrence: int
    step: int
    done: bytes = b""
    failed_runs: dict[int, list[int]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)
    losses: dict[int, list[Loss]] = field(factory=dict)


@define(frozen=True)
class JobRecord:
    """The stored progress of a job."""

    job: str
    queue: str
    state: str
    steps: tuple[StepRecord, ...] = ()


@define(eq=False)
class StepProgress:
    """The progress of one step of one occurrence, by the index of each task.

    ``waiting`` holds, in order, the tasks that are to be started, and ``runs`` the
    bound runs of tasks. ``failed_runs`` has the numbers of the runs that failed, and
    ``losses`` the upstreams that were lost under a task.
    ``interrupted`` has the tasks whose run was lost or stopped, until they start again.
    ``avoided_upstreams`` names upstreams on which a task has failed or straggled, and
    ``observed_durations`` tells how long its shortest straggling run would have taken.
    No task starts before the time ``not_before``.
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
    interrupted: set[int] = field(factory=set)
    losses: TaskLosses = field(factory=TaskLosses)
    avoided_upstreams: dict[int, set[str]] = field(factory=dict)
    observed_durations: dict[int, timedelta] = field(factory=dict)
    permits: StepPermits = field(factory=StepPermits)
    not_before: timedelta = timedelta(0)

    @property
    def key(self) -> tuple[str, int, int]:
        """The job, occurrence and number, which identify the step."""
        return (self.job.submission.job, self.occurrence, self.number)

    @property
    def is_complete(self) -> bool:
        """Whether every task is done."""
        return len(self.done) == self.step.count

    def make_task_id(self, index: int) -> TaskId:
        """Return the identifier of one task."""
        return TaskId(*self.key, index)

    def add_run(self, run: Run) -> None:
        """Bind a task to a run."""
        self.runs.setdefault(run.task.index, []).append(run)
        self.waiting.pop(run.task.index, None)
        self.interrupted.discard(run.task.index)

    def remove_run(self, run: Run) -> None:
        """Remove a run; its task waits again unless it is done or has another run."""
        index = run.task.index
        runs = self.runs.get(index, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs.pop(index, None)
        if index not in self.done and index not in self.runs:
            self.waiting[index] = None

    def record_end(self, end: RunEnd) -> None:
        """Apply the end of a run to its task; the call is idempotent."""
        index = end.task.index
        if end.checkpoint and index not in self.done:
            self.checkpoints[index] = end.checkpoint
        if end.outcome in (LOST, STOPPED):
            self.interrupted.add(index)
        if end.outcome == FAILED:
            self.failed_runs.setdefault(index, set()).add(end.run)
        if end.outcome == DONE and not self.step.lasting:
            self._record_done(index)

    def _record_done(self, index: int) -> None:
        """Record a task as done, and for a gang the whole step."""
        indexes = range(self.step.count) if self.step.gang else (index,)
        for done_index in indexes:
            self.done.add(done_index)
            self.waiting.pop(done_index, None)
            self.checkpoints.pop(done_index, None)
            self.losses.forget(done_index)

    @property
    def is_on_hold(self) -> bool:
        """Whether all waiting tasks must wait, or any of a gang."""
        if not self.losses:
            return False
        lasting = self.step.lasting
        held = [self.losses.must_wait(index, lasting) for index in self.waiting]
        return any(held) if self.step.gang else all(held)

    @property
    def starts_again(self) -> bool:
        """Whether a task waits that has been interrupted and must not run twice."""
        return not self.step.duplicates and not self.interrupted.isdisjoint(
            self.waiting
        )

    def count_failures(self) -> int:
        """Return the number of failed runs of the gang, or the maximum of any task."""
        if self.step.gang:
            numbers: set[int] = set()
            for runs in self.failed_runs.values():
                numbers |= runs
            return len(numbers)
        return max((len(runs) for runs in self.failed_runs.values()), default=0)

    def find_checkpoint(self, index: int) -> str:
        """Return the checkpoint from which a task resumes, or an empty string.

        The members of a gang resume from the same checkpoint.
        """
        if not self.step.gang:
            return self.checkpoints.get(index, "")
        return max(self.checkpoints.values(), default="")

    def count_unavailable(self) -> int:
        """Return the number of tasks that have no running and available run."""
        available = 0
        for runs in self.runs.values():
            if any(run.available and run.phase is RunPhase.RUNNING for run in runs):
                available += 1
        return self.step.count - available

    @property
    def has_record(self) -> bool:
        """Whether there is anything to store."""
        return bool(self.done or self.failed_runs or self.checkpoints or self.losses)

    def make_record(self) -> StepRecord:
        """Return the record from which the next leader restores this progress."""
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
        losses = self.losses.copy()
        done = bitmap.to_bytes(size, "little")
        return StepRecord(self.occurrence, self.number, done, failed, kept, losses)

    def restore(self, record: StepRecord) -> None:
        """Restore the progress that an earlier leader stored."""
        bitmap = int.from_bytes(record.done, "little")
        for index in range(self.step.count):
            if bitmap >> index & 1:
                self.done.add(index)
                self.waiting.pop(index, None)
        for index, runs in record.failed_runs.items():
            self.failed_runs[index] = set(runs)
        self.checkpoints.update(record.checkpoints)
        self.losses = TaskLosses(dict(record.losses))


@define(eq=False)
class JobProgress:
    """The progress of a job, with the steps of all occurrences that have become due.

    ``accepted`` is the monotonic time at which the job was accepted. ``version`` is the
    first store version that contains the job. ``end_stored`` tells whether the store
    has the final state. ``records`` holds stored progress of occurrences that are not
    due yet.
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
    _critical_paths: list[timedelta] | None = None

    @property
    def critical_paths(self) -> list[timedelta]:
        """The length of the critical path from the start of each step on."""
        if self._critical_paths is None:
            self._critical_paths = compute_critical_paths(self.submission)
        return self._critical_paths

    @property
    def state(self) -> JobState:
        """The state as this leader knows it."""
        if self.ended is not None:
            return self.ended
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    @property
    def shown_state(self) -> JobState:
        """The state that callers see.

        A leader that ends before it has stored the end of a job leaves the job to a
        successor that does not know of it. A cancellation is stored before it is heard.
        """
        if self.end_stored or self.ended is JobState.CANCELLED:
            return self.state
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def create_due_steps(self, wall: datetime) -> list[StepProgress]:
        """Add the steps of every occurrence that has become due, and return them."""
        created = []
        submission = self.submission
        while self.next_occurrence < submission.occurrences:
            occurrence = self.next_occurrence
            repetition = submission.repetition
            if (
                repetition is not None
                and repetition.compute_due_time(occurrence) > wall
            ):
                break
            created.extend(self._create_occurrence())
        return created

    def create_steps_through(self, occurrence: int) -> list[StepProgress]:
        """Add the steps of all occurrences up to the given one, and return them.

        An earlier leader may have started an occurrence that is not due here, because
        its clock was ahead. A job that was loaded after its end has no steps at first.
        """
        created = []
        last = min(occurrence, self.submission.occurrences - 1)
        while self.next_occurrence <= last:
            created.extend(self._create_occurrence())
        return created

    def _create_occurrence(self) -> list[StepProgress]:
        """Add the steps of the next occurrence, and return them."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        created = []
        for number, step in enumerate(self.submission.steps):
            created.append(self._create_step(occurrence, number, step))
        return created

    def _create_step(self, occurrence: int, number: int, step: Step) -> StepProgress:
        """Add one step, with the progress that an earlier leader stored, if any."""
        progress = StepProgress(self, occurrence, number, step)
        progress.waiting = dict.fromkeys(range(step.count))
        record = self.records.pop((occurrence, number), None)
        if record is not None:
            progress.restore(record)
        self.steps[occurrence, number] = progress
        return progress

    def is_ready(self, progress: StepProgress) -> bool:
        """Return whether all steps on which a step depends are complete."""
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
        """Return the record to store, which for an ended job holds only its state."""
        steps: tuple[StepRecord, ...] = ()
        if self.ended is None:
            steps = tuple(
                progress.make_record()
                for progress in self.steps.values()
                if progress.has_record
            )
            # The next leader needs the progress of occurrences not yet due here, too.
            steps += tuple(self.records.values())
        return JobRecord(
            self.submission.job, self.submission.queue, str(self.state), steps
        )

    def restore(self, record: JobRecord) -> None:
        """Restore the progress that an earlier leader stored.

        The progress of a step takes effect when the step's occurrence becomes due.
        """
        state = JobState(record.state)
        if state in TERMINAL_STATES:
            self.ended = state
            self.end_stored = True
        self.has_started = state is not JobState.QUEUED
        for step in record.steps:
            self.records[step.occurrence, step.step] = step
