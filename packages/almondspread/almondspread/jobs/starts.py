"""Starts waiting tasks: requests permits, places tasks, and orders their starts."""

from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.configuration import Queue
from almondspread.jobs.messages import AskPermits, PermitsAnswered, StartRun
from almondspread.jobs.ordering import rank_step
from almondspread.jobs.permit_requests import choose_asked, list_askable
from almondspread.jobs.permits import AllowedShares
from almondspread.jobs.placement import (
    Placement,
    filter_permitted,
    list_candidates,
    place_tasks,
)
from almondspread.jobs.progress import Run, RunPhase, StepProgress
from almondspread.jobs.runs import RunControl
from almondspread.jobs.upstreams import Upstream


@define(frozen=True)
class StartHolds:
    """Tells which jobs may not start yet, by the store version that added them.

    Tasks of jobs up to ``held_version`` may already be running on an upstream that has
    not reported, so that only tasks that may run twice can start. Jobs beyond
    ``startable_version`` start no tasks yet.
    """

    held_version: int
    startable_version: int

    def may_run_unseen(self, progress: StepProgress) -> bool:
        """Return whether a step's tasks may run unseen and must not run twice."""
        return progress.job.version <= self.held_version and not (
            progress.step.duplicates
        )

    def lacks_start_record(self, progress: StepProgress) -> bool:
        """Return whether the store does not record yet that a step may start."""
        return progress.job.version > self.startable_version


@define(eq=False)
class StartPlanner:
    """Binds waiting tasks to upstreams, in order of the rank of their steps."""

    cell_state: CellState
    control: RunControl
    allowed_shares: AllowedShares = field(factory=AllowedShares)

    def handle_permits_answer(self, answer: PermitsAnswered, now: timedelta) -> None:
        """Store the permits for a step, if the advice service has granted any."""
        progress = self.control.job_table.find_known_step(
            answer.job, answer.occurrence, answer.step
        )
        if progress is None:
            return
        asked = progress.permits.requested
        progress.permits.record_answer(answer.tickets, answer.validity, now)
        if answer.tickets is None:
            return
        queue = progress.job.submission.queue
        self.allowed_shares.record(queue, asked, answer.tickets)
        logger.info(
            "permits granted",
            job=answer.job,
            step=answer.step,
            upstreams=len(answer.tickets),
            asked=len(asked),
            validity=answer.validity.total_seconds(),
        )

    def _request_permits(
        self, progress: StepProgress, suitable: list[Upstream], now: timedelta
    ) -> bool:
        """Order a request for permits for a step; return whether one was ordered.

        No request is ordered while an earlier one is pending, or where its answer
        would not let any task start.
        """
        if not progress.permits.may_ask(now):
            return False
        askable = [
            candidate
            for candidate in list_askable(progress, suitable)
            if progress.permits.find_ticket(candidate.upstream.name, now) is None
        ]
        has_room = any(candidate.room for candidate in askable)
        if not has_room and not progress.permits.is_unknown:
            return False
        share = self.allowed_shares.find(progress.job.submission.queue)
        names = choose_asked(progress, askable, share)
        if not names:
            return False
        progress.permits.record_request(names, now)
        logger.info(
            "permits requested",
            job=progress.job.submission.job,
            step=progress.number,
            waiting=len(progress.waiting),
            upstreams=len(names),
        )
        self.control.orders.append(AskPermits(*progress.key, names))
        return True

    def _list_usable(self, now: timedelta) -> dict[str, list[Upstream]]:
        """Return the upstreams to which runs may be bound, by service."""
        found: dict[str, list[Upstream]] = {}
        for upstream in self.cell_state.upstreams.values():
            if upstream.is_usable(now):
                found.setdefault(upstream.entry.service, []).append(upstream)
        return found

    def start_waiting_tasks(
        self, now: timedelta, max_permit_requests: int, holds: StartHolds
    ) -> None:
        """Order starts of the waiting tasks that fit and that ``holds`` lets start.

        Steps whose queue requires advice start only with permits. At most
        ``max_permit_requests`` requests for permits are ordered.
        """
        steps = sorted(
            self.control.job_table.ready_steps.values(),
            key=lambda progress: rank_step(
                progress, self.control.job_table.configuration, now
            ),
        )
        latency_sensitive = self._list_latency_sensitive()
        usable = self._list_usable(now)
        for progress in steps:
            if now < progress.not_before:
                continue
            if holds.may_run_unseen(progress):
                continue
            if progress.step.gang and len(progress.waiting) < progress.step.count:
                continue
            queue = self.control.job_table.configuration.queues.get(
                progress.job.submission.queue
            )
            service = self.control.job_table.find_service(progress.job.submission.queue)
            suitable = usable.get(service, [])
            candidates = list_candidates(progress, suitable)
            needs_advice = queue is not None and queue.advice is not None
            if needs_advice:
                candidates = filter_permitted(progress, candidates, now)
            if candidates and not holds.lacks_start_record(progress):
                self._start(progress, candidates, latency_sensitive, queue, now)
            if needs_advice and progress.waiting and max_permit_requests:
                max_permit_requests -= self._request_permits(progress, suitable, now)

    def _start(
        self,
        progress: StepProgress,
        candidates: list[Upstream],
        latency_sensitive: set[str],
        queue: Queue | None,
        now: timedelta,
    ) -> None:
        """Bind waiting tasks of a step to upstreams and order their starts."""
        placements = place_tasks(progress, candidates, latency_sensitive)
        gang_number = self.cell_state.allocate_run_number() if progress.step.gang else 0
        for placement in placements:
            number = gang_number or self.cell_state.allocate_run_number()
            task = progress.make_task_id(placement.index)
            upstream = placement.upstream
            checkpoint = progress.find_checkpoint(placement.index)
            run = Run(task, number, upstream.name, RunPhase.STARTING, now, now)
            run.is_whole = not checkpoint
            self.cell_state.add_run(progress, placement.index, upstream, run)
            ticket = ""
            if queue and queue.advice:
                ticket = progress.permits.find_ticket(upstream.name, now) or ""
            self.control.orders.append(
                StartRun(
                    upstream.name,
                    task,
                    number,
                    progress.job.submission.payload,
                    checkpoint,
                    ticket,
                    progress.step.is_paced,
                )
            )
        self._log_placements(progress, placements, now)
        self.control.job_table.update_readiness(progress)

    def _log_placements(
        self, progress: StepProgress, placements: list[Placement], now: timedelta
    ) -> None:
        """Log in one line on which upstreams the tasks of a step are placed."""
        if not placements:
            return
        chosen: dict[str, list[int]] = {}
        for placement in placements:
            chosen.setdefault(placement.upstream.name, []).append(placement.index)
        logger.info(
            "runs placed",
            job=progress.job.submission.job,
            occurrence=progress.occurrence,
            step=progress.number,
            tasks=chosen,
            still_waiting=len(progress.waiting),
            waited=(now - progress.job.accepted).total_seconds(),
            configuration=self.control.job_table.configuration.version,
        )

    def _list_latency_sensitive(self) -> set[str]:
        """Return the upstreams that run tasks with a latency target."""
        found = set()
        for run in self.cell_state.runs.values():
            if self.control.job_table.find_step(run).step.latency_target:
                found.add(run.upstream)
        return found
