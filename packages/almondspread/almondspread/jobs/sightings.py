"""Updates of the leader's runs from what upstreams report as running."""

from collections.abc import Sequence
from datetime import timedelta

from attrs import define
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.crashes import CrashTracker
from almondspread.jobs.messages import STOPPED, RunEnd, RunSighting, StopRun
from almondspread.jobs.pacing import choose_paces
from almondspread.jobs.runs import STOP_RETRY_INTERVAL, RunControl
from almondspread.jobs.upstreams import Upstream


@define(eq=False)
class RunSightings:
    """Applies the running runs in a report to the cell state."""

    cell_state: CellState
    control: RunControl
    crashes: CrashTracker

    def update_running(
        self, upstream: Upstream, sightings: Sequence[RunSighting], now: timedelta
    ) -> None:
        """Update the runs of an upstream that a report shows; it shows all running."""
        upstream.has_unknown_runs = False
        for sighting in sightings:
            self._update_run(sighting, upstream, now)

    def _update_run(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> None:
        """Update a run that an upstream reports as running; adopt an unknown one."""
        run = self.cell_state.runs.get((sighting.task, sighting.run))
        if run is None:
            run = self._adopt_run(sighting, upstream, now)
        if run is None:
            return
        progress = self.control.job_table.find_step(run)
        if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
            self.crashes.record_sighting(progress, run)
            self.control.mark_running(run, now)
        if sighting.percent != run.percent:
            run.changed_at = now
        run.seen_at = now
        run.percent = sighting.percent
        run.figure = sighting.figure
        run.available = sighting.percent >= 100 and progress.step.lasting
        if run.available:
            self.crashes.record_work(progress, run, now)
        if sighting.checkpoint:
            progress.checkpoints[sighting.task.index] = sighting.checkpoint

    def _adopt_run(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> Run | None:
        """Adopt a run of an earlier leader, and stop it if it must not run.

        Return ``None`` for a run of an unknown step, which is stopped.
        """
        task = sighting.task
        progress = self.control.job_table.find_started_step(task)
        if progress is None:
            upstream.has_unknown_runs = True
            self._stop_unknown_run(sighting, upstream, now)
            return None
        run = self.cell_state.adopt_run(progress, upstream, sighting, now)
        self.control.job_table.mark_started(progress.job)
        self.control.job_table.update_readiness(progress)
        alone = len(progress.runs[task.index]) == 1 or progress.step.duplicates
        if progress.job.ended is not None or task.index in progress.done or not alone:
            self.control.stop(run, now)
        return run

    def _stop_unknown_run(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> None:
        """Stop a run of an unknown step.

        Each stop makes the executor report the runs again at once, so a stop is only
        repeated after the retry interval.
        """
        last_stop = upstream.unknown_runs_stopped_at
        if last_stop is not None and last_stop < now < last_stop + STOP_RETRY_INTERVAL:
            return
        upstream.unknown_runs_stopped_at = now
        logger.warning(
            "unknown run stopped",
            job=sighting.task.job,
            task=str(sighting.task),
            run=sighting.run,
            upstream=upstream.name,
        )
        self.control.orders.append(StopRun(upstream.name, sighting.task, sighting.run))

    def end_absent_runs(
        self,
        upstream: Upstream,
        sightings: Sequence[RunSighting],
        number: int,
        now: timedelta,
    ) -> None:
        """End stopped runs that the report ``number`` no longer shows as running.

        It must list all ends, and be later than the answer to the stop.
        """
        running = {(sighting.task, sighting.run) for sighting in sightings}
        for run in self.cell_state.list_runs(upstream.name):
            if run.conclusive_report is None or number < run.conclusive_report:
                continue
            if (run.task, run.number) not in running:
                self.control.record_end(
                    RunEnd(0, run.task, run.number, STOPPED), upstream.name, now
                )

    def adjust_paces(self, upstream: Upstream, now: timedelta) -> None:
        """Adjust the speed of opportunistic runs beside tasks with a latency target."""
        runs = self.cell_state.list_runs(upstream.name)
        self.control.orders.extend(
            choose_paces(runs, self.control.job_table.find_step, now)
        )
