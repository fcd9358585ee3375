"""What the leader learns of upstreams: their list, their reports, their silence."""

from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.messages import (
    LOST,
    STOPPED,
    AcknowledgeEnds,
    RunEnd,
    RunSighting,
    StopRun,
    UnwatchUpstream,
    UpstreamEntry,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.pacing import choose_paces
from almondspread.jobs.progress import Run, RunPhase
from almondspread.jobs.runs import STOP_RETRY_INTERVAL, RunControl
from almondspread.jobs.upstreams import Upstream


@define(eq=False)
class UpstreamTracker:
    """Keeps the ledger's upstreams true to what they and the store tell.

    ``unseen`` upstreams may run tasks of an earlier leader: they have not reported
    yet, and their leases have not run out.
    """

    cell_state: CellState
    control: RunControl
    unseen: set[str] = field(factory=set)
    _acknowledged: dict[str, int] = field(factory=dict)

    def update_upstreams(
        self, entries: list[UpstreamEntry], now: timedelta
    ) -> list[str]:
        """Take the newest list of upstreams; return the names that are new."""
        added, replaced = self.cell_state.update_upstreams(entries, now)
        for name in replaced:
            self._lose_upstream(name, now, "replaced")
        for name, upstream in list(self.cell_state.upstreams.items()):
            if upstream.listed or upstream.bound or name in self.unseen:
                continue
            if upstream.is_usable(now):
                continue
            self._forget_upstream(name)
        return added

    def inherit_upstream(self, entry: UpstreamEntry, lapse: timedelta) -> None:
        """Take an upstream on which an earlier leader may have started runs.

        Until it reports, its leases run out at ``lapse``.
        """
        upstream = Upstream(entry, listed=False)
        upstream.orphaned_leases_until = lapse
        self.cell_state.upstreams[entry.name] = upstream
        self.unseen.add(entry.name)

    def abandon_upstreams(
        self, names: set[str], until: timedelta, now: timedelta
    ) -> None:
        """Note that an executor is lost, which may hold leases ``until`` then.

        Whether the upstreams can be reached without it has to be seen first.
        """
        for name in names:
            upstream = self.cell_state.upstreams.get(name)
            if upstream is None:
                continue
            upstream.executor_lost_at = now
            upstream.orphaned_leases_until = until
            upstream.has_reported = False
            for run in self.cell_state.list_runs(name):
                if run.phase is RunPhase.STARTING:
                    self.control.mark_unsettled(run, now)

    def update_unresponsive(self, names: set[str]) -> None:
        """Give no runs to upstreams whose executors show no signs of life."""
        for name, upstream in self.cell_state.upstreams.items():
            upstream.executor_unresponsive = name in names

    def list_watched(self) -> list[Upstream]:
        """Return the upstreams that the next leader must ask for their runs."""
        return self.cell_state.list_watched(self.unseen)

    def _lose_upstream(self, name: str, now: timedelta, reason: str) -> None:
        """Take all runs of an upstream as ended, since none can be left."""
        runs = self.cell_state.list_runs(name)
        if runs or name in self.unseen:
            logger.warning(
                "upstream lost", upstream=name, reason=reason, runs=len(runs)
            )
        self.unseen.discard(name)
        for run in runs:
            self.control.record_end(RunEnd(0, run.task, run.number, LOST), name, now)
        upstream = self.cell_state.upstreams.get(name)
        if upstream is not None and not upstream.listed:
            self._forget_upstream(name)

    def _forget_upstream(self, name: str) -> None:
        """Drop an upstream that is gone."""
        self.cell_state.upstreams.pop(name, None)
        self.unseen.discard(name)
        self._acknowledged.pop(name, None)
        self.control.orders.append(UnwatchUpstream(name))

    def handle_silence(self, silence: UpstreamSilent, now: timedelta) -> None:
        """Note that an upstream does not answer, and when its leases have run out."""
        upstream = self.cell_state.upstreams.get(silence.upstream)
        if silence.epoch != self.cell_state.epoch:
            return
        if silence.replaced:
            self._lose_upstream(silence.upstream, now, "replaced")
            if upstream is not None:
                upstream.has_reported = False
                upstream.lapse_at = now
            return
        if upstream is None:
            return
        upstream.last_observed_at = now
        if upstream.lapse_at is None:
            logger.warning(
                "upstream silent",
                upstream=upstream.name,
                lapse_in=silence.lapse_in.total_seconds(),
                runs=len(upstream.bound),
            )
        upstream.lapse_at = max(now + silence.lapse_in, upstream.orphaned_leases_until)

    def handle_report(self, report: UpstreamReport, now: timedelta) -> None:
        """Take what an upstream has answered."""
        upstream = self.cell_state.upstreams.get(report.upstream)
        if upstream is None or report.epoch != self.cell_state.epoch:
            return
        upstream.last_observed_at = now
        if not self.control.job_table.is_complete and self._names_unknown_job(report):
            # Neither the room nor the ends can be told yet; it is reported again.
            return
        if report.after > upstream.ends_seen:
            # Ends in between were not taken, so that none may be acknowledged.
            if self.control.job_table.is_complete:
                self.control.orders.append(
                    WatchUpstream(
                        upstream.name, upstream.entry.address, self.cell_state.epoch
                    )
                )
            return
        if upstream.lapse_at is not None:
            logger.info("upstream answers again", upstream=upstream.name)
            upstream.lapse_at = None
            # The store may still tell the next leader when its leases ran out.
            upstream.recorded = False
        for end in report.ends:
            if end.number <= upstream.ends_seen:
                continue
            upstream.ends_seen = end.number
            self.control.record_end(end, upstream.name, now)
        if report.running is None:
            return
        upstream.has_unknown_runs = False
        for sighting in report.running:
            self._note_sighting(sighting, upstream, now)
        self._drop_absent(upstream, report, now)
        upstream.executor_lost_at = None
        if not upstream.has_reported:
            upstream.has_reported = True
            self.unseen.discard(upstream.name)
            logger.info(
                "upstream known", upstream=upstream.name, epoch=self.cell_state.epoch
            )
        self._pace(upstream, now)

    def _names_unknown_job(self, report: UpstreamReport) -> bool:
        """Tell whether a report is about a job that is not loaded."""
        rows: list[RunSighting | RunEnd] = [*report.ends, *(report.running or ())]
        return any(row.task.job not in self.control.job_table.jobs for row in rows)

    def _note_sighting(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> None:
        """Take what is known of a running run, adopting one that is not known yet."""
        run = self.cell_state.runs.get((sighting.task, sighting.run))
        if run is None:
            run = self._adopt(sighting, upstream, now)
        if run is None:
            return
        progress = self.control.job_table.find_step(run)
        if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
            self.control.mark_running(run, now)
        if sighting.percent != run.percent:
            run.changed_at = now
        run.seen_at = now
        run.percent = sighting.percent
        run.figure = sighting.figure
        run.available = sighting.percent >= 100 and progress.step.lasting
        if sighting.checkpoint:
            progress.checkpoints[sighting.task.index] = sighting.checkpoint

    def _adopt(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> Run | None:
        """Take over a run of an earlier leader, or stop one that must not run."""
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
        """Stop a run of which nothing is known; each stop brings a report at once."""
        asked = upstream.unknown_runs_stopped_at
        if asked is not None and asked < now < asked + STOP_RETRY_INTERVAL:
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

    def _drop_absent(
        self, upstream: Upstream, report: UpstreamReport, now: timedelta
    ) -> None:
        """Drop stopped runs that a later report shows neither running nor ended."""
        assert report.running is not None
        shown = {(sighting.task, sighting.run) for sighting in report.running}
        for run in self.cell_state.list_runs(upstream.name):
            if run.conclusive_report is None or report.number < run.conclusive_report:
                continue
            if (run.task, run.number) not in shown:
                self.control.record_end(
                    RunEnd(0, run.task, run.number, STOPPED), upstream.name, now
                )

    def update_recorded(self, names: frozenset[str]) -> None:
        """Let those upstreams run tasks that the store names as open to runs."""
        for name, upstream in self.cell_state.upstreams.items():
            upstream.recorded = name in names

    def list_stale_upstreams(self, now: timedelta, patience: timedelta) -> list[str]:
        """Return the upstreams of which there has been no news for too long.

        Each is returned once in such a time.
        """
        found = []
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.last_observed_at is None:
                upstream.last_observed_at = now
            elif now - upstream.last_observed_at > patience:
                upstream.last_observed_at = now
                found.append(name)
        return found

    def has_unrecorded_upstreams(self) -> bool:
        """Tell whether an upstream could run tasks if the store named it."""
        for upstream in self.cell_state.upstreams.values():
            if upstream.has_reported and upstream.listed and not upstream.recorded:
                if upstream.lapse_at is None and not upstream.entry.draining:
                    return True
        return False

    def forget_stop_answers(self, name: str) -> None:
        """Stop anew what was being stopped, since another executor takes over."""
        for run in self.cell_state.list_runs(name):
            run.conclusive_report = None

    def _pace(self, upstream: Upstream, now: timedelta) -> None:
        """Slow down or speed up what fills beside tasks that serve users."""
        runs = self.cell_state.list_runs(upstream.name)
        if len(runs) > 1:
            self.control.orders.extend(
                choose_paces(runs, self.control.job_table.find_step, now)
            )

    def expire_leases(self, now: timedelta) -> None:
        """Lose the upstreams whose leases have run out."""
        for name, upstream in list(self.cell_state.upstreams.items()):
            if upstream.lapse_at is None or now < upstream.lapse_at:
                continue
            if upstream.bound or name in self.unseen:
                self._lose_upstream(name, now, "lapsed")

    def find_unacknowledged_ends(self) -> dict[str, int]:
        """Return the newest end of each upstream that is not acknowledged yet."""
        ends: dict[str, int] = {}
        for name, upstream in self.cell_state.upstreams.items():
            if upstream.ends_seen > self._acknowledged.get(name, 0):
                ends[name] = upstream.ends_seen
        return ends

    def acknowledge_ends(self, ends: dict[str, int]) -> None:
        """Acknowledge ends that are stored."""
        for name, number in ends.items():
            if name in self.cell_state.upstreams:
                self._acknowledged[name] = number
                self.control.orders.append(AcknowledgeEnds(name, number))
