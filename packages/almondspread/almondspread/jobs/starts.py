"""Starts what has room: permits, placement, and the orders that follow."""

from datetime import timedelta

from attrs import define
from loguru import logger

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.configuration import Queue
from almondspread.jobs.messages import AskPermits, PermitsAnswered, StartRun
from almondspread.jobs.ordering import rank_step
from almondspread.jobs.placement import (
    Placement,
    filter_permitted,
    list_candidates,
    place_tasks,
)
from almondspread.jobs.progress import Permits, Run, RunPhase, StepProgress
from almondspread.jobs.runs import RunControl
from almondspread.jobs.upstreams import Upstream

PERMIT_TIMEOUT = timedelta(seconds=4)
# A ticket must still hold when the start that carries it arrives.
PERMIT_MARGIN = timedelta(milliseconds=200)
MAX_UPSTREAMS_PER_REQUEST = 64


@define(frozen=True)
class StartHolds:
    """Which jobs may not start yet, by the version of the store that brought them.

    Jobs up to ``held_version`` may be running where it is not seen; they start only
    what may run twice. Jobs beyond ``startable_version`` start nothing yet.
    """

    held_version: int
    startable_version: int

    def may_run_unseen(self, progress: StepProgress) -> bool:
        """Tell whether tasks of a step may be running unseen, and must run once."""
        return progress.job.version <= self.held_version and not (
            progress.step.duplicates
        )

    def lacks_start_record(self, progress: StepProgress) -> bool:
        """Tell whether it is not stored yet that tasks of a step may be started."""
        return progress.job.version > self.startable_version


@define(eq=False)
class StartPlanner:
    """Binds waiting tasks to upstreams, in order of rank."""

    cell_state: CellState
    control: RunControl

    def handle_permits_answer(self, answer: PermitsAnswered, now: timedelta) -> None:
        """Take the answer of the advice service for a step."""
        progress = self.control.job_table.find_known_step(
            answer.job, answer.occurrence, answer.step
        )
        if progress is None:
            return
        progress.permits_requested_at = None
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

    def _request_permits(
        self, progress: StepProgress, usable: list[Upstream], now: timedelta
    ) -> bool:
        """Ask which upstreams may run a step; false where that is under way."""
        asked = progress.permits_requested_at
        if asked is not None and now - asked < PERMIT_TIMEOUT:
            return False
        label = progress.step.required_label
        suited = [upstream for upstream in usable if upstream.has_label(label)]
        suited.sort(key=lambda upstream: -upstream.free.cpu_millis)
        names = tuple(upstream.name for upstream in suited[:MAX_UPSTREAMS_PER_REQUEST])
        if not names:
            return False
        progress.permits_requested_at = now
        logger.info(
            "permits asked",
            job=progress.job.submission.job,
            step=progress.number,
            waiting=len(progress.waiting),
            upstreams=len(names),
        )
        self.control.orders.append(AskPermits(*progress.key, names))
        return True

    def _list_usable(self, now: timedelta) -> dict[str, list[Upstream]]:
        """Return the upstreams that may be given runs, by service."""
        found: dict[str, list[Upstream]] = {}
        for upstream in self.cell_state.upstreams.values():
            if upstream.is_usable(now):
                found.setdefault(upstream.entry.service, []).append(upstream)
        return found

    def start_waiting_tasks(
        self, now: timedelta, ask_slots: int, holds: StartHolds
    ) -> None:
        """Start what has room and is not held.

        At most ``ask_slots`` questions for permits are added.
        """
        steps = sorted(
            self.control.job_table.ready_steps.values(),
            key=lambda progress: rank_step(
                progress, self.control.job_table.configuration, now
            ),
        )
        serving = self._list_serving()
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
            suited = usable.get(service, [])
            candidates = list_candidates(progress, suited)
            if not candidates:
                continue
            if queue is not None and queue.advice is not None:
                if progress.permits is None or progress.permits.expires <= now:
                    if ask_slots and self._request_permits(progress, suited, now):
                        ask_slots -= 1
                    continue
                candidates = filter_permitted(progress, candidates, now)
            if not holds.lacks_start_record(progress):
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
        gang_number = self.cell_state.allocate_run_number() if progress.step.gang else 0
        for placement in placements:
            number = gang_number or self.cell_state.allocate_run_number()
            task = progress.make_task_id(placement.index)
            upstream = placement.upstream
            run = Run(task, number, upstream.name, RunPhase.STARTING, now, now)
            self.cell_state.add_run(progress, placement.index, upstream, run)
            tickets = progress.permits.tickets if progress.permits else {}
            self.control.orders.append(
                StartRun(
                    upstream.name,
                    task,
                    number,
                    progress.job.submission.payload,
                    progress.find_checkpoint(placement.index),
                    tickets.get(upstream.name, "") if queue and queue.advice else "",
                )
            )
        self._log_placements(progress, placements, now)
        self.control.job_table.update_readiness(progress)

    def _log_placements(
        self, progress: StepProgress, placements: list[Placement], now: timedelta
    ) -> None:
        """Log in one line which tasks of a step go where."""
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

    def _list_serving(self) -> set[str]:
        """Return the upstreams that run tasks with users of their own."""
        found = set()
        for run in self.cell_state.runs.values():
            if self.control.job_table.find_step(run).step.latency_target:
                found.add(run.upstream)
        return found
