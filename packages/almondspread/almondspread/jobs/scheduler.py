"""The leader's decisions: which task runs where, and what is known of each run.

The scheduler takes events and returns orders. It does no input or output, and reads
the time only from the clock that it is given.
"""

from datetime import datetime, timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.backlog import estimate_wait
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.evacuation import choose_evacuations
from almondspread.jobs.ledger import RunLedger
from almondspread.jobs.messages import (
    BROKEN,
    DONE,
    FAILED,
    FENCED,
    LOST,
    STARTED,
    UNKNOWN,
    AcknowledgeEnds,
    AskPermits,
    PermitsAnswered,
    RunEnd,
    RunSighting,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UnwatchUpstream,
    UpstreamEntry,
    UpstreamOrder,
    UpstreamReport,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.ordering import rank_step
from almondspread.jobs.pacing import choose_paces
from almondspread.jobs.placement import keep_permitted, list_candidates, place_tasks
from almondspread.jobs.progress import (
    JobProgress,
    JobRecord,
    JobState,
    Permits,
    Run,
    RunPhase,
    StepProgress,
)
from almondspread.jobs.stragglers import choose_stragglers
from almondspread.jobs.submissions import Submission
from almondspread.jobs.upstreams import Upstream

# An unanswered start is looked for in a report before it is stopped.
SIGHTING_PATIENCE = timedelta(milliseconds=500)
STOP_RETRY = timedelta(milliseconds=600)
REFUSED_PAUSE = timedelta(milliseconds=100)
PERMIT_PATIENCE = timedelta(seconds=4)
# A ticket must still hold when the start that carries it arrives.
PERMIT_MARGIN = timedelta(milliseconds=200)
MAX_UPSTREAMS_ASKED = 64


@define(frozen=True)
class Announcement:
    """The state of a job as all instances should show it."""

    job: str
    queue: str
    state: str


@define(frozen=True)
class Checkpointed:
    """What one commit stores, and the ends that may be acknowledged after it."""

    records: list[JobRecord]
    ends: dict[str, int]


@define(frozen=True)
class Load:
    """How much waits for room, and how full the usable upstreams are.

    Processor amounts are thousandths of a core.
    """

    waiting_steps: int
    unseen_upstreams: int
    waiting_tasks: int
    without_permits: int
    used_millis: int
    usable_millis: int


@define(eq=False)
class Scheduler:
    """All jobs and upstreams of the cell, as the leader of one epoch sees them.

    Jobs of earlier epochs wait while an upstream that may run their tasks is unseen:
    it has not reported yet, and its leases have not run out. While some jobs are not
    loaded, ``is_complete`` is false.
    """

    epoch: int
    configuration: Configuration
    is_complete: bool = True
    jobs: dict[str, JobProgress] = field(factory=dict)
    ledger: RunLedger = field(init=False)
    unseen: set[str] = field(factory=set)
    _services: dict[str, str] = field(factory=dict)
    _open: dict[tuple[str, int, int], StepProgress] = field(factory=dict)
    _cancelled_early: set[str] = field(factory=set)
    _repeating: set[str] = field(factory=set)
    _orders: list[UpstreamOrder | AskPermits] = field(factory=list)
    _changed: set[str] = field(factory=set)
    _announced: dict[str, None] = field(factory=dict)
    _acknowledged: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.ledger = RunLedger(self.epoch)
        self.configure(self.configuration)

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; jobs of removed queues keep their service."""
        self.configuration = configuration
        for queue in configuration.queues.values():
            self._services[queue.name] = queue.service

    # Jobs

    def accept_job(
        self,
        submission: Submission,
        accepted: timedelta,
        wall: datetime,
        *,
        record: JobRecord | None = None,
        inherited: bool = False,
    ) -> None:
        """Take on a stored job, once however often it is told."""
        if submission.job in self.jobs:
            return
        job = JobProgress(submission, accepted, inherited)
        self.jobs[submission.job] = job
        self._announced[submission.job] = None
        if record is not None:
            job.restore(record)
        if job.ended is not None:
            return
        self._open_steps(job, wall)
        if submission.repetition is not None:
            self._repeating.add(submission.job)
        self._conclude(job, accepted)
        if submission.job in self._cancelled_early:
            self._cancelled_early.discard(submission.job)
            self.cancel_job(submission.job, accepted)

    def cancel_job(self, name: str, now: timedelta) -> None:
        """Cancel a job for good; the stops of its runs follow at once."""
        job = self.jobs.get(name)
        if job is None:
            # The submission was stored elsewhere and is not heard of yet.
            self._cancelled_early.add(name)
            return
        if job.ended is not None:
            return
        logger.info("job cancelled", job=name, runs=len(job.list_runs()))
        self._end_job(job, JobState.CANCELLED, now)

    def _open_steps(self, job: JobProgress, wall: datetime) -> None:
        """Open what has become due and put what can run in line."""
        for progress in job.open_due_steps(wall):
            self._line_up(progress)

    def _line_up(self, progress: StepProgress) -> None:
        """Put a step in line where it has tasks that wait and may run."""
        job = progress.job
        if job.ended is None and progress.waiting and job.is_ready(progress):
            self._open[progress.key] = progress
        else:
            self._open.pop(progress.key, None)

    def _end_job(self, job: JobProgress, state: JobState, now: timedelta) -> None:
        """Give a job its last state and stop what still runs of it."""
        job.ended = state
        job.ended_at = now
        name = job.submission.job
        self._repeating.discard(name)
        self._changed.add(name)
        self._announced[name] = None
        for progress in job.steps.values():
            self._open.pop(progress.key, None)
        for run in job.list_runs():
            self._stop(run, now)

    def _conclude(self, job: JobProgress, now: timedelta) -> None:
        """End a job that is complete or out of attempts."""
        if job.ended is not None:
            return
        queue = self.configuration.queues.get(job.submission.queue)
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

    def _find_step(self, run: Run) -> StepProgress:
        """Return the step of a run."""
        task = run.task
        return self.jobs[task.job].steps[task.occurrence, task.step]

    # Upstreams

    def list_upstreams(self, entries: list[UpstreamEntry], now: timedelta) -> list[str]:
        """Take the newest list of upstreams; return the names that are new."""
        added, replaced = self.ledger.refresh(entries)
        for name in replaced:
            self._lose_upstream(name, now, "replaced")
        for name, upstream in list(self.ledger.upstreams.items()):
            if upstream.listed or upstream.bound or name in self.unseen:
                continue
            self._forget_upstream(name)
        return added

    def inherit_upstream(self, entry: UpstreamEntry, lapse: timedelta) -> None:
        """Take an upstream on which an earlier leader may have started runs.

        Until it reports, its leases run out at ``lapse``.
        """
        upstream = Upstream(entry, listed=False)
        upstream.abandoned_until = lapse
        self.ledger.upstreams[entry.name] = upstream
        self.unseen.add(entry.name)

    def abandon_upstreams(self, names: set[str], until: timedelta) -> None:
        """Note that an executor is no longer heard, and holds leases for a while."""
        for name in names:
            upstream = self.ledger.upstreams.get(name)
            if upstream is not None:
                upstream.abandoned_until = until

    def list_watched(self) -> list[Upstream]:
        """Return the upstreams that the next leader must ask for their runs."""
        return self.ledger.list_watched(self.unseen)

    def _lose_upstream(self, name: str, now: timedelta, reason: str) -> None:
        """Take all runs of an upstream as ended, since none can be left."""
        runs = self.ledger.list_runs(name)
        if runs or name in self.unseen:
            logger.warning(
                "upstream lost", upstream=name, reason=reason, runs=len(runs)
            )
        self.unseen.discard(name)
        for run in runs:
            self._note_end(RunEnd(0, run.task, run.number, LOST), name, now)
        upstream = self.ledger.upstreams.get(name)
        if upstream is not None and not upstream.listed:
            self._forget_upstream(name)

    def _forget_upstream(self, name: str) -> None:
        """Drop an upstream that is gone."""
        self.ledger.upstreams.pop(name, None)
        self.unseen.discard(name)
        self._acknowledged.pop(name, None)
        self._orders.append(UnwatchUpstream(name))

    def observe_silence(self, silence: UpstreamSilent, now: timedelta) -> None:
        """Note that an upstream does not answer, and when its leases have run out."""
        upstream = self.ledger.upstreams.get(silence.upstream)
        if silence.replaced:
            self._lose_upstream(silence.upstream, now, "replaced")
            if upstream is not None:
                upstream.known = False
                upstream.lapse_at = now
            return
        if upstream is None:
            return
        if upstream.lapse_at is None:
            logger.warning(
                "upstream silent",
                upstream=upstream.name,
                lapse_in=silence.lapse_in.total_seconds(),
                runs=len(upstream.bound),
            )
        upstream.lapse_at = max(now + silence.lapse_in, upstream.abandoned_until)

    def observe_report(self, report: UpstreamReport, now: timedelta) -> None:
        """Take what an upstream has answered."""
        upstream = self.ledger.upstreams.get(report.upstream)
        if upstream is None or report.epoch != self.epoch:
            return
        if not self.is_complete and self._names_unknown_job(report):
            # Neither the room nor the ends can be told yet; it is reported again.
            return
        if report.after > upstream.ends_seen:
            # Ends in between were not taken, so that none may be acknowledged.
            if self.is_complete:
                self._orders.append(
                    WatchUpstream(upstream.name, upstream.entry.address, self.epoch)
                )
            return
        if upstream.lapse_at is not None:
            logger.info("upstream answers again", upstream=upstream.name)
            upstream.lapse_at = None
        for end in report.ends:
            if end.number <= upstream.ends_seen:
                continue
            upstream.ends_seen = end.number
            self._note_end(end, upstream.name, now)
        if report.running is None:
            return
        for sighting in report.running:
            self._note_sighting(sighting, upstream, now)
        self._drop_absent(upstream, report, now)
        if not upstream.known:
            upstream.known = True
            self.unseen.discard(upstream.name)
            logger.info("upstream known", upstream=upstream.name, epoch=self.epoch)
        self._pace(upstream, now)

    def _names_unknown_job(self, report: UpstreamReport) -> bool:
        """Tell whether a report is about a job that is not loaded."""
        rows: list[RunSighting | RunEnd] = [*report.ends, *(report.running or ())]
        return any(row.task.job not in self.jobs for row in rows)

    def _note_sighting(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> None:
        """Take what is known of a running run, adopting one that is not known yet."""
        run = self.ledger.runs.get((sighting.task, sighting.run))
        if run is None:
            run = self._adopt(sighting, upstream, now)
        if run is None:
            return
        progress = self._find_step(run)
        if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
            self._confirm(run, now)
        if sighting.percent != run.percent:
            run.changed = now
        run.seen = now
        run.percent = sighting.percent
        run.figure = sighting.figure
        run.at_work = sighting.percent >= 100 and progress.step.lasting
        if sighting.checkpoint:
            progress.checkpoints[sighting.task.index] = sighting.checkpoint

    def _adopt(
        self, sighting: RunSighting, upstream: Upstream, now: timedelta
    ) -> Run | None:
        """Take over a run of an earlier leader, or stop one that must not run."""
        task = sighting.task
        job = self.jobs.get(task.job)
        progress = job.steps.get((task.occurrence, task.step)) if job else None
        if progress is None or task.index >= progress.step.count:
            logger.warning(
                "unknown run stopped", task=str(task), upstream=upstream.name
            )
            self._orders.append(StopRun(upstream.name, task, sighting.run))
            return None
        run = self.ledger.adopt(progress, upstream, sighting, now)
        progress.job.begun = True
        self._line_up(progress)
        alone = len(progress.runs[task.index]) == 1 or progress.step.duplicates
        if progress.job.ended is not None or task.index in progress.done or not alone:
            self._stop(run, now)
        return run

    def _drop_absent(
        self, upstream: Upstream, report: UpstreamReport, now: timedelta
    ) -> None:
        """Drop stopped runs that a later report shows neither running nor ended."""
        assert report.running is not None
        shown = {(sighting.task, sighting.run) for sighting in report.running}
        for run in self.ledger.list_runs(upstream.name):
            if run.gone_after is None or report.number < run.gone_after:
                continue
            if (run.task, run.number) not in shown:
                self._note_end(
                    RunEnd(0, run.task, run.number, "stopped"), upstream.name, now
                )

    def record_upstreams(self, names: frozenset[str]) -> None:
        """Let those upstreams run tasks that the store names as watched."""
        for name, upstream in self.ledger.upstreams.items():
            upstream.recorded = name in names

    def forget_stop_answers(self, name: str) -> None:
        """Stop anew what was being stopped, since another executor takes over."""
        for run in self.ledger.list_runs(name):
            run.gone_after = None

    # Runs

    def _confirm(self, run: Run, now: timedelta) -> None:
        """Note that a run is there."""
        run.phase = RunPhase.RUNNING
        run.started = run.changed = now
        job = self.jobs[run.task.job]
        if not job.begun:
            job.begun = True
            self._changed.add(run.task.job)
            self._announced[run.task.job] = None

    def settle_start(self, settled: StartSettled, now: timedelta) -> None:
        """Take the outcome of a start."""
        run = self.ledger.runs.get((settled.task, settled.run))
        if run is None or settled.outcome == FENCED:
            return
        if settled.outcome == STARTED:
            if run.phase in (RunPhase.STARTING, RunPhase.UNSETTLED):
                self._confirm(run, now)
            return
        logger.info(
            "start not done",
            job=run.task.job,
            task=str(run.task),
            run=run.number,
            upstream=run.upstream,
            outcome=settled.outcome,
            reason=settled.reason,
        )
        if settled.outcome == UNKNOWN:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSETTLED
                run.changed = now
            return
        self._refuse_start(run, settled.reason, now)

    def _refuse_start(self, run: Run, reason: str, now: timedelta) -> None:
        """Put the task of a refused start back in line."""
        progress = self._find_step(run)
        self.ledger.drop(progress, run)
        progress.not_before = now + REFUSED_PAUSE
        if reason == "ticket":
            progress.permits = None
        upstream = self.ledger.upstreams.get(run.upstream)
        if upstream is not None and reason not in ("ticket", "old", "late"):
            upstream.suspend(now)
        self._break_gang(progress, run, now)
        self._line_up(progress)

    def _break_gang(self, progress: StepProgress, run: Run, now: timedelta) -> None:
        """Stop the other members of a gang's run."""
        if not progress.step.gang:
            return
        for runs in list(progress.runs.values()):
            for other in runs:
                if other.number == run.number and other is not run:
                    self._stop(other, now)

    def _stop(self, run: Run, now: timedelta) -> None:
        """Order a run to stop."""
        run.phase = RunPhase.STOPPING
        run.stop_asked = now
        self._orders.append(StopRun(run.upstream, run.task, run.number))

    def _replace(self, run: Run, now: timedelta) -> None:
        """Have a straggling run's task run elsewhere, beside it where it may."""
        progress = self._find_step(run)
        logger.info(
            "straggler replaced",
            job=run.task.job,
            task=str(run.task),
            run=run.number,
            upstream=run.upstream,
            percent=run.percent,
            ran=(now - run.started).total_seconds(),
            copied=progress.step.duplicates,
        )
        progress.avoided.setdefault(run.task.index, set()).add(run.upstream)
        if progress.step.duplicates:
            progress.waiting[run.task.index] = None
            self._line_up(progress)
        else:
            self._stop(run, now)

    def settle_stop(self, settled: StopSettled, now: timedelta) -> None:
        """Take the answer to a stop; its run ends in a later report."""
        run = self.ledger.runs.get((settled.task, settled.run))
        if run is None:
            return
        if settled.answered:
            run.gone_after = settled.number
            return
        run.stop_asked = now

    def _note_end(self, end: RunEnd, upstream: str, now: timedelta) -> None:
        """Take the end of a run to its task, its job, and its upstream."""
        run = self.ledger.runs.get((end.task, end.run))
        job = self.jobs.get(end.task.job)
        progress = job.steps.get((end.task.occurrence, end.task.step)) if job else None
        if job is None or progress is None or end.task.index >= progress.step.count:
            return
        logger.info(
            "run ended",
            job=end.task.job,
            task=str(end.task),
            run=end.run,
            upstream=upstream,
            outcome=end.outcome,
        )
        progress.note_end(end)
        if run is not None:
            self.ledger.drop(progress, run)
        if end.outcome in (DONE, FAILED):
            self._changed.add(end.task.job)
            self._judge_upstream(end, upstream, now)
        if end.outcome == FAILED:
            progress.avoided.setdefault(end.task.index, set()).add(upstream)
        if end.outcome == DONE:
            self._stop_copies(progress, end.task.index, now)
        elif run is not None and end.outcome != BROKEN:
            self._break_gang(progress, run, now)
        self._line_up(progress)
        if progress.is_complete:
            for follower in job.steps.values():
                if progress.number in follower.step.after:
                    self._line_up(follower)
        self._conclude(job, now)

    def _judge_upstream(self, end: RunEnd, name: str, now: timedelta) -> None:
        """Count an end for or against its upstream."""
        upstream = self.ledger.upstreams.get(name)
        if upstream is None:
            return
        if upstream.note_outcome(end.task.job, end.outcome == FAILED, now):
            logger.warning(
                "upstream suspended",
                upstream=name,
                reason="runs of several jobs fail there",
            )

    def _stop_copies(self, progress: StepProgress, index: int, now: timedelta) -> None:
        """Stop what else runs of a task, or of a gang, that is done."""
        if progress.step.gang or progress.step.lasting:
            return
        for run in progress.runs.get(index, []):
            self._stop(run, now)

    # Permits

    def grant_permits(self, answer: PermitsAnswered, now: timedelta) -> None:
        """Take the answer of the advice service for a step."""
        job = self.jobs.get(answer.job)
        progress = job.steps.get((answer.occurrence, answer.step)) if job else None
        if progress is None:
            return
        progress.permits_asked = None
        if answer.tickets is None:
            return
        expires = now + answer.validity - PERMIT_MARGIN
        logger.info(
            "permits granted",
            job=answer.job,
            step=answer.step,
            upstreams=len(answer.tickets),
            validity=answer.validity.total_seconds(),
        )
        progress.permits = Permits(answer.tickets, expires)

    def _ask_permits(
        self, progress: StepProgress, service: str, now: timedelta
    ) -> bool:
        """Ask which upstreams may run a step; false where that is under way."""
        asked = progress.permits_asked
        if asked is not None and now - asked < PERMIT_PATIENCE:
            return False
        label = progress.step.required_label
        usable = [
            upstream
            for upstream in self._list_service(service)
            if upstream.is_usable(now) and (not label or label in upstream.entry.labels)
        ]
        usable.sort(key=lambda upstream: -upstream.free.cpu_millis)
        names = tuple(upstream.name for upstream in usable[:MAX_UPSTREAMS_ASKED])
        if not names:
            return False
        progress.permits_asked = now
        logger.info(
            "permits asked",
            job=progress.job.submission.job,
            step=progress.number,
            waiting=len(progress.waiting),
            upstreams=len(names),
        )
        self._orders.append(AskPermits(*progress.key, names))
        return True

    # Decisions

    def schedule(
        self, now: timedelta, wall: datetime, ask_slots: int
    ) -> list[UpstreamOrder | AskPermits]:
        """Return the orders that are due; at most ``ask_slots`` ask for permits."""
        for name in list(self._repeating):
            self._open_steps(self.jobs[name], wall)
        self._expire(now)
        self._place(now, ask_slots)
        for run in choose_stragglers(self, now):
            self._replace(run, now)
        for run in choose_evacuations(self, now):
            self._stop(run, now)
        orders, self._orders = self._orders, []
        return orders

    def _expire(self, now: timedelta) -> None:
        """Act on what has waited too long."""
        for name, upstream in list(self.ledger.upstreams.items()):
            if upstream.lapse_at is not None and now >= upstream.lapse_at:
                if upstream.bound or name in self.unseen:
                    self._lose_upstream(name, now, "lapsed")
        for run in list(self.ledger.runs.values()):
            waited = now - run.changed
            if run.phase is RunPhase.UNSETTLED and waited > SIGHTING_PATIENCE:
                self._stop(run, now)
                self._break_gang(self._find_step(run), run, now)
            elif run.phase is RunPhase.STOPPING and run.gone_after is None:
                if run.stop_asked is not None and now - run.stop_asked > STOP_RETRY:
                    self._stop(run, now)

    def _list_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return [
            upstream
            for upstream in self.ledger.upstreams.values()
            if upstream.entry.service == service
        ]

    def _place(self, now: timedelta, ask_slots: int) -> None:
        """Start what has room, in order of rank."""
        steps = sorted(
            self._open.values(),
            key=lambda progress: rank_step(progress, self.configuration, now),
        )
        blocked = bool(self.unseen) or not self.is_complete
        serving = self._list_serving()
        for progress in steps:
            if now < progress.not_before:
                continue
            if blocked and progress.job.inherited and not progress.step.duplicates:
                continue
            if progress.step.gang and len(progress.waiting) < progress.step.count:
                continue
            queue = self.configuration.queues.get(progress.job.submission.queue)
            service = self._services.get(progress.job.submission.queue, "")
            candidates = list_candidates(progress, self._list_service(service), now)
            if not candidates:
                continue
            if queue is not None and queue.advice is not None:
                if progress.permits is None or progress.permits.expires <= now:
                    if ask_slots and self._ask_permits(progress, service, now):
                        ask_slots -= 1
                    continue
                candidates = keep_permitted(progress, candidates, now)
            self._start(progress, candidates, serving, queue, now)

    def _start(
        self,
        progress: StepProgress,
        candidates: list[Upstream],
        serving: set[str],
        queue: Queue | None,
        now: timedelta,
    ) -> None:
        """Bind the waiting tasks of a step to upstreams and order their starts."""
        placements = place_tasks(progress, candidates, serving)
        gang_number = self.ledger.next_number() if progress.step.gang else 0
        for placement in placements:
            number = gang_number or self.ledger.next_number()
            task = progress.name_task(placement.index)
            upstream = placement.upstream
            run = Run(task, number, upstream.name, RunPhase.STARTING, now, now)
            self.ledger.add(progress, placement.index, upstream, run)
            tickets = progress.permits.tickets if progress.permits else {}
            logger.info(
                "run placed",
                job=task.job,
                task=str(task),
                run=number,
                upstream=upstream.name,
                waited=(now - progress.job.accepted).total_seconds(),
                configuration=self.configuration.version,
            )
            self._orders.append(
                StartRun(
                    upstream.name,
                    task,
                    number,
                    progress.job.submission.payload,
                    progress.find_checkpoint(placement.index),
                    tickets.get(upstream.name, "") if queue and queue.advice else "",
                )
            )
        self._line_up(progress)

    def _list_serving(self) -> set[str]:
        """Return the upstreams that run tasks with users of their own."""
        found = set()
        for run in self.ledger.runs.values():
            if self._find_step(run).step.latency_target:
                found.add(run.upstream)
        return found

    def _pace(self, upstream: Upstream, now: timedelta) -> None:
        """Slow down or speed up what fills beside tasks that serve users."""
        runs = self.ledger.list_runs(upstream.name)
        if len(runs) > 1:
            self._orders.extend(choose_paces(runs, self._find_step, now))

    def list_waiting_steps(self) -> list[StepProgress]:
        """Return the steps with tasks that wait and may run."""
        return list(self._open.values())

    def estimate_waits(self, now: timedelta) -> dict[str, float]:
        """Return the seconds that a job accepted now would wait, by queue."""
        waits = {}
        for queue in self.configuration.queues.values():
            waits[queue.name] = estimate_wait(self, queue, now).total_seconds()
        return waits

    def measure_load(self, now: timedelta) -> Load:
        """Return how much waits and how full the upstreams are."""
        tasks = 0
        without_permits = 0
        for progress in self._open.values():
            tasks += len(progress.waiting)
            permits = progress.permits
            without_permits += permits is None or permits.expires <= now
        used = 0
        usable = 0
        for upstream in self.ledger.upstreams.values():
            if upstream.is_usable(now):
                usable += upstream.entry.capacity.cpu_millis
                used += upstream.entry.capacity.cpu_millis - upstream.free.cpu_millis
        return Load(
            len(self._open), len(self.unseen), tasks, without_permits, used, usable
        )

    # What the leader stores and tells

    def take_changes(self, limit: int) -> Checkpointed:
        """Return what has changed since the last call, to be stored.

        Of more than ``limit`` jobs the rest is left for the next call, and no end is
        acknowledged yet.
        """
        changed = sorted(self._changed)[:limit]
        self._changed.difference_update(changed)
        records = [self.jobs[name].make_record() for name in changed]
        ends: dict[str, int] = {}
        if self._changed:
            return Checkpointed(records, ends)
        for name, upstream in self.ledger.upstreams.items():
            if upstream.ends_seen > self._acknowledged.get(name, 0):
                ends[name] = upstream.ends_seen
        return Checkpointed(records, ends)

    def return_changes(self, changes: Checkpointed) -> None:
        """Take back changes that were not stored."""
        self._changed.update(record.job for record in changes.records)

    def confirm_changes(self, changes: Checkpointed) -> None:
        """Acknowledge the ends that are now stored."""
        for name, number in changes.ends.items():
            if name in self.ledger.upstreams:
                self._acknowledged[name] = number
                self._orders.append(AcknowledgeEnds(name, number))

    def take_announcements(self) -> list[Announcement]:
        """Return the states that have changed since the last call."""
        names, self._announced = self._announced, {}
        return [self._announce(name) for name in names]

    def announce_all(self) -> list[Announcement]:
        """Return the state of every job."""
        return [self._announce(name) for name in self.jobs]

    def _announce(self, name: str) -> Announcement:
        """Return the state of one job."""
        job = self.jobs[name]
        return Announcement(name, job.submission.queue, str(job.state))
