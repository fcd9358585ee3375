"""The progress of jobs, with the steps of all occurrences that have become due."""

from datetime import datetime, timedelta

from attrs import define, field

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.job_records import (
    TERMINAL_STATES,
    JobRecord,
    JobState,
    StepRecord,
)
from almondspread.jobs.occurrences import Occurrences
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import (
    Step,
    Submission,
    compute_critical_paths,
)


@define(eq=False)
class JobProgress:
    """The progress of a job, with the ``steps`` of the occurrences that are open.

    ``accepted`` is the monotonic time at which the job was accepted. ``version`` is the
    first store version that contains the job. ``end_stored`` tells whether the store
    has the final state. The job ``is_surplus`` if it is beyond the rate of its
    workspace. ``records`` holds stored progress of occurrences that are not
    due yet.
    """

    submission: Submission
    accepted: timedelta
    version: int = 0
    has_started: bool = False
    is_surplus: bool = False
    ended: JobState | None = None
    ended_at: timedelta | None = None
    end_stored: bool = False
    steps: dict[tuple[int, int], StepProgress] = field(factory=dict)
    records: dict[tuple[int, int], StepRecord] = field(factory=dict)
    occurrences: Occurrences = field(init=False)
    _critical_paths: list[timedelta] | None = None

    def __attrs_post_init__(self) -> None:
        tasks = sum(step.count for step in self.submission.steps)
        self.occurrences = Occurrences(self.submission.occurrences, tasks)

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
        """Add the steps of the occurrences that have become due, and return them.

        If many occurrences are open, the others wait until some of those are finished.
        """
        created = []
        occurrences = self.occurrences
        repetition = self.submission.repetition
        while not occurrences.have_all_begun and occurrences.has_room:
            if (
                repetition is not None
                and repetition.compute_due_time(occurrences.next_number) > wall
            ):
                break
            created.extend(self._begin_occurrence())
        return created

    def create_steps_through(self, occurrence: int) -> list[StepProgress]:
        """Add the steps of all occurrences up to the given one, and return them.

        An earlier leader may have started an occurrence that is not due here, because
        its clock was ahead. A job that was loaded after its end has no steps at first.
        """
        created = []
        last = min(occurrence, self.submission.occurrences - 1)
        while self.occurrences.next_number <= last:
            created.extend(self._begin_occurrence())
        return created

    def _begin_occurrence(self) -> list[StepProgress]:
        """Add the steps of the next occurrence, and return them.

        There are none if the occurrence is finished.
        """
        occurrence = self.occurrences.begin()
        if self.occurrences.is_finished(occurrence):
            return []
        created = []
        for number, step in enumerate(self.submission.steps):
            created.append(self._create_step(occurrence, number, step))
        return [] if self.close_occurrence(occurrence) else created

    def close_occurrence(self, occurrence: int) -> bool:
        """Remove the steps of a finished occurrence; return whether it is finished.

        It is once all its tasks are done and none of its runs is left. The only
        occurrence of a job that is not repeated stays until the job ends.
        """
        if self.submission.repetition is None:
            return False
        keys = [(occurrence, number) for number in range(len(self.submission.steps))]
        for key in keys:
            progress = self.steps.get(key)
            if progress is None or progress.runs or not progress.is_complete:
                return False
        for key in keys:
            del self.steps[key]
        self.occurrences.finish(occurrence)
        return True

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
        if not self.occurrences.have_all_begun:
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
        submission = self.submission
        if self.ended is not None:
            return JobRecord(
                submission.job,
                submission.queue,
                str(self.state),
                workspace=submission.workspace,
            )
        steps = tuple(
            progress.make_record()
            for progress in self.steps.values()
            if progress.has_record
        )
        # The next leader needs the progress of occurrences not yet due here, too.
        steps += tuple(self.records.values())
        return JobRecord(
            submission.job,
            submission.queue,
            str(self.state),
            steps,
            self.occurrences.first_open,
            self.occurrences.encode_finished(),
            submission.workspace,
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
        self.occurrences.restore(record.first_open, record.finished)
        for step in record.steps:
            self.records[step.occurrence, step.step] = step
