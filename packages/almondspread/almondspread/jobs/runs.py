"""The life cycle of runs: starting, stopping, replacing and ending them."""

from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.locality import is_far
from almondspread.jobs.messages import (
    BROKEN,
    DONE,
    FAILED,
    FENCED,
    REASONS_WITHOUT_FAULT,
    STARTED,
    TICKET_REASON,
    UNKNOWN,
    AskPermits,
    RunEnd,
    StartSettled,
    StopRun,
    StopSettled,
    UpstreamOrder,
)
from almondspread.jobs.speeds import UpstreamSpeeds
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.stragglers import extrapolate_duration
from almondspread.jobs.upstreams import Upstream

# A run whose start had no clear outcome may show up in a report within this time.
# After that it is stopped.
UNSETTLED_TIMEOUT = timedelta(milliseconds=250)
# A live executor has reported the outcome of a start by then, since its own timeout
# for the call is shorter.
START_TIMEOUT = timedelta(milliseconds=1_500)
STOP_RETRY_INTERVAL = timedelta(milliseconds=600)
REFUSED_START_DELAY = timedelta(milliseconds=100)


@define(eq=False)
class RunControl:
    """Tracks each bound run until it ends, and collects ``orders`` to be sent.

    ``ratios`` and ``speeds`` learn from the runs that are done. Tasks take
    ``remote_factor`` times as long on another rack than that of their data.
    """

    cell_state: CellState
    remote_factor: float = 1.0
    job_table: JobTable = field(init=False)
    orders: list[UpstreamOrder | AskPermits] = field(factory=list)
    ratios: DurationRatios = field(factory=DurationRatios)
    speeds: UpstreamSpeeds = field(factory=UpstreamSpeeds)

    def stop_runs(self, runs: list[Run], now: timedelta) -> None:
        """Order several runs to stop."""
        for run in runs:
            self.stop(run, now)

    def stop(self, run: Run, now: timedelta) -> None:
        """Order a run to stop."""
        run.phase = RunPhase.STOPPING
        run.stop_requested_at = now
        self.orders.append(StopRun(run.upstream, run.task, run.number))

    def mark_running(self, run: Run, now: timedelta) -> None:
        """Record that a run has started."""
        run.phase = RunPhase.RUNNING
        run.started_at = run.changed_at = now
        run.is_confirmed = True
        self.job_table.mark_started(self.job_table.jobs[run.task.job])

    def handle_start_outcome(self, settled: StartSettled, now: timedelta) -> None:
        """Update a run by the reported outcome of its start."""
        run = self.cell_state.runs.get((settled.task, settled.run))
        if run is None or settled.outcome == FENCED:
            return
        if settled.upstream != run.upstream:
            # The run counts for the next incarnation by now, whose reports decide.
            return
        if settled.outcome == STARTED:
            if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
                self.mark_running(run, now)
            return
        logger.info(
            "run not started",
            job=run.task.job,
            task=str(run.task),
            run=run.number,
            upstream=run.upstream,
            outcome=settled.outcome,
            reason=settled.reason,
        )
        if settled.outcome == UNKNOWN:
            if run.phase is RunPhase.STARTING:
                self.mark_unsettled(run, now)
            return
        self._requeue_refused_start(run, settled.reason, now)

    def mark_unsettled(self, run: Run, now: timedelta) -> None:
        """Record that it is unknown whether a run has started."""
        run.phase = RunPhase.UNSETTLED
        run.changed_at = now

    def _requeue_refused_start(self, run: Run, reason: str, now: timedelta) -> None:
        """Make the task of a refused start wait again, after a short delay.

        Unless the reason lies with the start itself, the upstream is suspended.
        """
        progress = self.job_table.find_step(run)
        self.cell_state.remove_run(progress, run)
        progress.not_before = now + REFUSED_START_DELAY
        if reason == TICKET_REASON:
            progress.permits.discard_tickets()
        upstream = self.cell_state.upstreams.get(run.upstream)
        if upstream is not None and reason not in REASONS_WITHOUT_FAULT:
            upstream.suspend(now)
        self.stop_other_members(progress, run, now)
        self.job_table.update_readiness(progress)
        self.job_table.close_occurrence(progress)

    def stop_other_members(
        self, progress: StepProgress, run: Run, now: timedelta
    ) -> None:
        """Stop the other members of a run of a gang, if the step is one."""
        if not progress.step.gang:
            return
        for runs in list(progress.runs.values()):
            for other in runs:
                if other.number == run.number and other is not run:
                    self.stop(other, now)

    def handle_stop_answer(self, settled: StopSettled, now: timedelta) -> None:
        """Update a stopping run by the answer to its stop order.

        The run ends only with a later report that shows its end or its absence. A stop
        without an answer is retried.
        """
        run = self.cell_state.runs.get((settled.task, settled.run))
        if run is None or settled.upstream != run.upstream:
            return
        if settled.answered:
            run.conclusive_report = settled.number
            return
        run.stop_requested_at = now

    def replace_straggler(self, run: Run, now: timedelta) -> None:
        """Have the task of a straggling run started on another upstream.

        If the task may run twice, a second copy starts beside the straggling run.
        Otherwise the straggling run is stopped first.
        """
        progress = self.job_table.find_step(run)
        logger.info(
            "straggler replaced",
            job=run.task.job,
            task=str(run.task),
            run=run.number,
            upstream=run.upstream,
            percent=run.percent,
            ran=(now - run.started_at).total_seconds(),
            copied=progress.step.duplicates,
        )
        index = run.task.index
        progress.avoided_upstreams.setdefault(index, set()).add(run.upstream)
        duration = extrapolate_duration(run, now)
        known = progress.observed_durations.get(index, duration)
        progress.observed_durations[index] = min(known, duration)
        if progress.step.duplicates:
            progress.waiting[index] = None
            self.job_table.update_readiness(progress)
        else:
            self.stop(run, now)

    def record_end(self, end: RunEnd, upstream: str, now: timedelta) -> None:
        """Apply the end of a run to its task, its job and its upstream."""
        run = self.cell_state.runs.get((end.task, end.run))
        task = end.task
        progress = self.job_table.find_started_step(task)
        if progress is None:
            return
        logger.info(
            "run ended",
            job=end.task.job,
            task=str(end.task),
            run=end.run,
            upstream=upstream,
            outcome=end.outcome,
        )
        progress.record_end(end)
        if run is not None:
            self._learn_duration(progress, run, end, now)
            self.cell_state.remove_run(progress, run)
        if end.outcome in (DONE, FAILED):
            self.job_table.changed.add(end.task.job)
            has_worked = run is not None and run.available
            if not (end.outcome == FAILED and has_worked):
                self._record_upstream_outcome(end, upstream, now)
        if end.outcome == FAILED:
            progress.avoided_upstreams.setdefault(end.task.index, set()).add(upstream)
        if end.outcome == DONE:
            self._stop_copies(progress, end.task.index, now)
        elif run is not None and end.outcome != BROKEN:
            self.stop_other_members(progress, run, now)
        self.job_table.update_readiness(progress)
        if progress.is_complete:
            for dependent in progress.job.steps.values():
                if progress.number in dependent.step.after:
                    self.job_table.update_readiness(dependent)
        self.job_table.close_occurrence(progress)
        self.job_table.end_if_finished(progress.job, now)

    def _learn_duration(
        self, progress: StepProgress, run: Run, end: RunEnd, now: timedelta
    ) -> None:
        """Record how long a run took that has done all the work of its task.

        The ratios of a queue are those at the reference speed, so that they don't
        depend on where its tasks happen to run.
        """
        if end.outcome != DONE or progress.step.is_paced:
            return
        upstream = self.cell_state.upstreams.get(run.upstream)
        if run.is_whole:
            duration = now - run.started_at
            speed = 1.0
            if upstream is not None:
                speed = self.find_speed(progress, upstream)
            queue = progress.job.submission.queue
            self.ratios.record(queue, progress.step.estimate, duration * speed)
            if upstream is not None:
                self.speeds.record(progress, upstream, duration, now)
        if progress.is_complete:
            self.speeds.close_step(progress, now)

    def find_speed(self, progress: StepProgress, upstream: Upstream) -> float:
        """Return how fast a step's tasks run on an upstream.

        1.0 is the speed near their data on an upstream of the reference speed. Tasks
        are slower on an upstream that is far from their data.
        """
        return self.speeds.find_speed(upstream) / self._find_factor(progress, upstream)

    def find_usual_speed(self, progress: StepProgress, upstream: Upstream) -> float:
        """Return how fast a step's tasks run on upstreams of a kind as a rule."""
        factor = self._find_factor(progress, upstream)
        return self.speeds.find_kind_speed(upstream) / factor

    def _find_factor(self, progress: StepProgress, upstream: Upstream) -> float:
        """Return how many times as long tasks run on an upstream as near their data."""
        return self.remote_factor if is_far(progress.step, upstream) else 1.0

    def _record_upstream_outcome(self, end: RunEnd, name: str, now: timedelta) -> None:
        """Record whether a run on an upstream succeeded, and log a suspension."""
        upstream = self.cell_state.upstreams.get(name)
        if upstream is None:
            return
        if upstream.record_outcome(end.task.job, end.outcome == FAILED, now):
            logger.warning(
                "upstream suspended",
                upstream=name,
                reason="runs of several jobs fail there",
            )

    def _stop_copies(self, progress: StepProgress, index: int, now: timedelta) -> None:
        """Stop the remaining runs of a task that is done.

        The members of a gang end by themselves, and lasting tasks are never done.
        """
        if progress.step.gang or progress.step.lasting:
            return
        for run in progress.runs.get(index, []):
            self.stop(run, now)

    def expire_unanswered(self, now: timedelta) -> None:
        """Handle starts and stops that have had no answer for too long."""
        for run in list(self.cell_state.runs.values()):
            waited = now - run.changed_at
            if run.phase is RunPhase.STARTING and waited > START_TIMEOUT:
                # The executor that was to start the run is gone.
                self.mark_unsettled(run, now)
            if run.phase is RunPhase.UNSETTLED and waited > UNSETTLED_TIMEOUT:
                self.stop(run, now)
                self.stop_other_members(self.job_table.find_step(run), run, now)
            elif run.phase is RunPhase.STOPPING and run.conclusive_report is None:
                if (
                    run.stop_requested_at is not None
                    and now - run.stop_requested_at > STOP_RETRY_INTERVAL
                ):
                    self.stop(run, now)
