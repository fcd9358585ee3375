"""The progress of one step of a job: its tasks and their runs."""

from datetime import timedelta
from typing import TYPE_CHECKING

from attrs import define, field

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.job_records import StepRecord
from almondspread.jobs.losses import TaskLosses
from almondspread.jobs.messages import DONE, FAILED, LOST, STOPPED, RunEnd
from almondspread.jobs.permits import StepPermits
from almondspread.jobs.submissions import Step, TaskId

if TYPE_CHECKING:
    from almondspread.jobs.progress import JobProgress


@define(eq=False)
class StepProgress:
    """The progress of one step of one occurrence, by the index of each task.

    ``waiting`` holds, in order, the tasks that are to be started, and ``runs`` the
    bound runs of tasks. ``failed_runs`` has the numbers of the runs that failed, and
    ``losses`` the upstreams that were lost under a task.
    ``interrupted`` has the tasks whose run was lost or stopped, until they start again,
    and ``restarting`` the lasting tasks that had a run, however it ended.
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
    restarting: set[int] = field(factory=set)
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
        self.restarting.discard(run.task.index)

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
            if self.step.lasting:
                self.restarting.add(index)

    def record_end(self, end: RunEnd) -> None:
        """Apply the end of a run to its task; the call is idempotent."""
        index = end.task.index
        if end.checkpoint and index not in self.done:
            self.checkpoints[index] = end.checkpoint
        if end.outcome in (LOST, STOPPED):
            self.interrupted.add(index)
        if end.outcome == FAILED and not self.step.lasting:
            # Attempts of lasting tasks are not limited, so there is nothing to count.
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
        if not self.step.lasting:
            for index, runs in record.failed_runs.items():
                self.failed_runs[index] = set(runs)
        self.checkpoints.update(record.checkpoints)
        self.losses = TaskLosses(dict(record.losses))
