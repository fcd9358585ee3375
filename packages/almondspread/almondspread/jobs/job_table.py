"""The table of all jobs of the cell, and of their steps that are ready to start."""

from collections.abc import Callable
from datetime import datetime, timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.job_records import JobRecord, JobState
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Submission, TaskId

# A job that was first mentioned longer ago counts as never mentioned.
MENTION_RETENTION = timedelta(seconds=60)
StopRuns = Callable[[list[Run], timedelta], None]


@define(frozen=True)
class Announcement:
    """The state of a job, sent to all instances for their callers.

    ``workspace`` is that of the job. It is empty for a job of none, and where the
    receivers know it from an earlier announcement.
    """

    job: str
    queue: str
    state: str
    workspace: str = ""


@define(eq=False)
class JobTable:
    """Holds all jobs, finds the steps that are ready to start, and ends jobs.

    ``stop_runs`` is called with the remaining runs of a job that has ended.
    ``is_complete`` is false while some jobs are not loaded. All jobs stored before
    ``read_until`` are known, unless they were deleted. ``ready_steps`` have
    waiting tasks and no incomplete dependencies, ``_steps_with_losses`` tasks under
    which an upstream was lost. The progress of ``changed`` jobs has to be stored.
    ``unrated`` are the jobs of workspaces that were added since ``SurplusJobs`` last
    compared them with the rates of their workspaces. ``forgotten`` jobs are removed
    from the table, and their stored progress is still to be deleted.
    ``_first_mentions`` tells when upstreams first mentioned jobs that were unknown
    then. ``_unannounced`` jobs have a state that is to be sent; the value tells whether
    it is the first one of the job.
    """

    configuration: Configuration
    stop_runs: StopRuns
    is_complete: bool = True
    read_until: timedelta = timedelta.min
    jobs: dict[str, JobProgress] = field(factory=dict)
    ready_steps: dict[tuple[str, int, int], StepProgress] = field(factory=dict)
    _steps_with_losses: dict[tuple[str, int, int], StepProgress] = field(factory=dict)
    changed: set[str] = field(factory=set)
    forgotten: set[str] = field(factory=set)
    unrated: list[str] = field(factory=list)
    newest_version: int = 0
    _services: dict[str, str] = field(factory=dict)
    _cancelled_early: dict[str, timedelta] = field(factory=dict)
    _repeating: set[str] = field(factory=set)
    _unannounced: dict[str, bool] = field(factory=dict)
    _first_mentions: dict[str, timedelta] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.configure(self.configuration)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; jobs of removed queues go on."""
        self.configuration = configuration
        for queue in configuration.queues.values():
            self._services[queue.name] = queue.service

    def find_service(self, submission: Submission) -> str:
        """Return the service of a job's queue, which may have been removed since.

        Without the queue as it was at the acceptance, only a leader that has seen the
        queue knows its service.
        """
        queue = submission.find_queue(self.configuration)
        if queue is not None:
            return queue.service
        return self._services.get(submission.queue, "")

    def accept_job(
        self,
        submission: Submission,
        accepted: timedelta,
        wall: datetime,
        *,
        version: int = 0,
        record: JobRecord | None = None,
    ) -> None:
        """Add a stored job, with the progress that an earlier leader stored, if any.

        The call is idempotent: repeating it can only lower the job's known version.
        """
        self.newest_version = max(self.newest_version, version)
        known = self.jobs.get(submission.job)
        if known is not None:
            known.version = min(known.version, version)
            return
        job = JobProgress(submission, accepted, version)
        self.jobs[submission.job] = job
        self._unannounced[submission.job] = True
        if submission.workspace:
            self.unrated.append(submission.job)
        if record is not None:
            job.restore(record)
        if job.ended is not None:
            return
        self._create_due_steps(job, wall)
        if submission.repetition is not None:
            self._repeating.add(submission.job)
        self.end_if_finished(job, accepted)
        if submission.job in self._cancelled_early:
            del self._cancelled_early[submission.job]
            self.cancel_job(submission.job, accepted)

    def cancel_job(self, name: str, now: timedelta) -> None:
        """Cancel a job irrevocably, and stop its runs.

        The cancellation of an unknown job takes effect when the job is added.
        """
        job = self.jobs.get(name)
        if job is None:
            # Another instance stored the submission, and it has not arrived here yet.
            self._cancelled_early.setdefault(name, now)
            return
        if job.ended is not None:
            return
        logger.info("job cancelled", job=name, runs=len(job.list_runs()))
        self._end_job(job, JobState.CANCELLED, now)

    def fail_job(self, name: str, reason: str, now: timedelta) -> None:
        """End a job as failed, for a reason that lies outside of its tasks."""
        job = self.jobs.get(name)
        if job is None or job.ended is not None:
            return
        logger.error("job failed", job=name, reason=reason)
        self._end_job(job, JobState.FAILED, now)

    def create_due_occurrences(self, wall: datetime) -> None:
        """Create the steps of the occurrences that have become due."""
        for name in list(self._repeating):
            self._create_due_steps(self.jobs[name], wall)

    def _create_due_steps(self, job: JobProgress, wall: datetime) -> None:
        """Create the steps of one job that have become due."""
        for progress in job.create_due_steps(wall):
            self._add_step(progress)

    def _add_step(self, progress: StepProgress) -> None:
        """Add a step that was just created."""
        self.update_readiness(progress)
        if progress.losses:
            self._steps_with_losses[progress.key] = progress

    def mark_losses(self, progress: StepProgress) -> None:
        """Record that the losses of a step have changed and are to be stored."""
        self._steps_with_losses[progress.key] = progress
        if progress.job.ended is None:
            self.changed.add(progress.job.submission.job)

    def list_steps_with_losses(self) -> list[StepProgress]:
        """Return the steps of unended jobs under which upstreams were lost."""
        for key, progress in list(self._steps_with_losses.items()):
            if progress.job.ended is not None or not progress.losses:
                del self._steps_with_losses[key]
        return list(self._steps_with_losses.values())

    def update_readiness(self, progress: StepProgress) -> None:
        """Add a step to the ready steps, or remove it, as its state demands."""
        job = progress.job
        if job.ended is None and progress.waiting and job.is_ready(progress):
            self.ready_steps[progress.key] = progress
        else:
            self.ready_steps.pop(progress.key, None)

    def _end_job(self, job: JobProgress, state: JobState, now: timedelta) -> None:
        """Set the final state of a job and stop its remaining runs."""
        job.ended = state
        job.ended_at = now
        name = job.submission.job
        self._repeating.discard(name)
        self.changed.add(name)
        self._unannounced.setdefault(name, False)
        for progress in job.steps.values():
            self.ready_steps.pop(progress.key, None)
        self.stop_runs(job.list_runs(), now)

    def mark_end_stored(self, name: str) -> None:
        """Record that the end of a job is stored, so that callers may see it."""
        job = self.jobs.get(name)
        if job is not None and not job.end_stored:
            job.end_stored = True
            self._unannounced.setdefault(name, False)

    def end_if_finished(self, job: JobProgress, now: timedelta) -> None:
        """End a job that is complete, has used up its attempts or crashes upstreams."""
        if job.ended is not None or self._end_if_crashing(job, now):
            return
        queue = job.submission.find_queue(self.configuration)
        for progress in job.steps.values():
            if progress.step.lasting or queue is None:
                continue
            failures = progress.count_failures()
            if failures >= queue.max_attempts and not progress.is_complete:
                logger.info(
                    "job failed",
                    job=job.submission.job,
                    step=progress.number,
                    attempts=failures,
                    max_attempts=queue.max_attempts,
                    configuration=self.configuration.version,
                )
                self._end_job(job, JobState.FAILED, now)
                return
        if job.is_complete:
            logger.info("job completed", job=job.submission.job)
            self._end_job(job, JobState.COMPLETED, now)

    def count_suspects(self) -> int:
        """Return the number of tasks that may crash the next upstream."""
        steps = self.list_steps_with_losses()
        return sum(progress.losses.count_suspects() for progress in steps)

    def _end_if_crashing(self, job: JobProgress, now: timedelta) -> bool:
        """End a job with a task that crashes its upstreams; return whether it has."""
        for progress in job.steps.values():
            index = progress.losses.find_crashing(progress.step.lasting)
            if index is None:
                continue
            logger.warning(
                "job failed",
                job=job.submission.job,
                step=progress.number,
                task=index,
                reason="upstreams crash when they start the task",
                upstreams=[loss.upstream for loss in progress.losses.by_task[index]],
            )
            self._end_job(job, JobState.FAILED, now)
            return True
        return False

    def list_expired(self, now: timedelta, retention: timedelta) -> list[str]:
        """Return jobs that ended ``retention`` or longer ago and have no runs left.

        For a job that an earlier leader ended, the time counts from the first call.
        Cancellations of jobs that have never been added expire as well.
        """
        expired = []
        for name, cancelled_at in self._cancelled_early.items():
            if now - cancelled_at >= retention:
                expired.append(name)
        for name, job in self.jobs.items():
            if job.ended is None:
                continue
            if job.ended_at is None:
                job.ended_at = now
            if now - job.ended_at >= retention and not job.list_runs():
                expired.append(name)
        return expired

    def forget_jobs(self, names: list[str]) -> None:
        """Remove jobs whose submissions are no longer stored."""
        for name in names:
            self.jobs.pop(name, None)
            self.changed.discard(name)
            self._unannounced.pop(name, None)
            self._cancelled_early.pop(name, None)
        self.forgotten.update(names)

    def record_read(self, began: timedelta) -> None:
        """Record that all jobs stored before the time ``began`` have been read."""
        self.read_until = max(self.read_until, began)
        for name, mentioned_at in list(self._first_mentions.items()):
            if mentioned_at + MENTION_RETENTION < began:
                del self._first_mentions[name]

    def record_mention(self, name: str, now: timedelta) -> bool:
        """Record that an upstream mentions a job; return whether the job may be unread.

        An earlier leader may have started a job that was stored after this leader had
        begun to read. A job that is still unknown after a read that began since its
        first mention is deleted.
        """
        if name in self.jobs:
            return False
        mentioned_at = self._first_mentions.setdefault(name, now)
        return not self.is_complete or self.read_until < mentioned_at

    def close_occurrence(self, progress: StepProgress) -> None:
        """Remove the steps of a step's occurrence from its job if it is finished."""
        if progress.job.ended is None:
            progress.job.close_occurrence(progress.occurrence)

    def find_step(self, run: Run) -> StepProgress:
        """Return the step of a run, whose job must be known."""
        task = run.task
        return self.jobs[task.job].steps[task.occurrence, task.step]

    def find_known_step(
        self, job: str, occurrence: int, step: int
    ) -> StepProgress | None:
        """Return a step, or ``None`` if the job is unknown or the step not open."""
        known = self.jobs.get(job)
        return known.steps.get((occurrence, step)) if known is not None else None

    def find_started_step(self, task: TaskId) -> StepProgress | None:
        """Return the step of a task that an upstream runs, or ``None`` if unknown.

        Steps up to the task's occurrence are created, since an earlier leader has
        started them. A finished occurrence has no steps any more.
        """
        job = self.jobs.get(task.job)
        if job is None:
            return None
        for created in job.create_steps_through(task.occurrence):
            self._add_step(created)
        progress = job.steps.get((task.occurrence, task.step))
        if progress is None or task.index >= progress.step.count:
            return None
        return progress

    def mark_started(self, job: JobProgress) -> None:
        """Record that a task of a job has started."""
        if job.has_started:
            return
        job.has_started = True
        self.changed.add(job.submission.job)
        self._unannounced.setdefault(job.submission.job, False)

    @property
    def has_announcements(self) -> bool:
        """Whether job states have changed since the last ``take_announcements``."""
        return bool(self._unannounced)

    def take_announcements(self) -> list[Announcement]:
        """Return the job states that have changed since the last call."""
        names, self._unannounced = self._unannounced, {}
        return [self._announce(name, is_first) for name, is_first in names.items()]

    def list_unfinished_states(self) -> list[Announcement]:
        """Return the state of every job whose end is not stored yet."""
        found = []
        for name, job in self.jobs.items():
            if not job.end_stored:
                found.append(self._announce(name, is_first=True))
        return found

    def _announce(self, name: str, is_first: bool) -> Announcement:
        """Return the state of one job, with its workspace if it is the first one."""
        job = self.jobs[name]
        workspace = job.submission.workspace if is_first else ""
        return Announcement(name, job.submission.queue, str(job.shown_state), workspace)
