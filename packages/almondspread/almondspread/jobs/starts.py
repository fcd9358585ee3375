"""Starts waiting tasks: requests permits, places tasks, and orders their starts."""

from collections.abc import Collection, Iterable
from datetime import timedelta
from functools import partial

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.configuration import AdviceTiming
from almondspread.jobs.expiring import ExpiringTasks, list_expiring_tasks
from almondspread.jobs.holds import StartHolds
from almondspread.jobs.last_resorts import needs_last_resort
from almondspread.jobs.locality import LocalityWaits, LocalStep
from almondspread.jobs.messages import PermitsAnswered, StartRun
from almondspread.jobs.ordering import FIRST_GROUP, StepRank, rank_step
from almondspread.jobs.permit_requests import (
    MIN_UPSTREAMS_PER_REQUEST,
    PermitRequester,
    estimate_request_time,
)
from almondspread.jobs.placement import (
    Candidate,
    Placement,
    list_candidates,
    place_tasks,
)
from almondspread.jobs.reservations import Reservations
from almondspread.jobs.runs import RunControl
from almondspread.jobs.service_upstreams import ServiceUpstreams, group_by_service
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.stragglers import estimate_time_left
from almondspread.jobs.trials import PROOF_TIME, TRIAL_TIME, count_trials_left
from almondspread.jobs.upcoming import REQUEST_AHEAD_MARGIN, UpcomingSteps
from almondspread.jobs.upstreams import LAST_RESORT_DELAY, Upstream
from almondspread.jobs.urgency import find_slowness
from almondspread.resources.capacity import Capacity

# Reservations need not follow each event, and it takes time to find them.
RESERVATION_INTERVAL = timedelta(milliseconds=100)
# Only the first waiting steps may reserve room: the others hardly get it in time.
MAX_RESERVING_STEPS = 16
# A lasting task counts as ending beyond every reservation.
LASTING_TIME = timedelta(days=1)
NO_UPSTREAMS = ServiceUpstreams()
# The capacity of an upstream may have shrunk since its entry was read.
MAX_ENTRY_AGE = timedelta(milliseconds=2_500)


@define(eq=False)
class _RankedStep:
    """A step with waiting tasks, its place in the order, and where it may run.

    A task that starts at ``ranked_at``, which is now, is expected to end at ``ends_at``
    on an upstream of the reference speed. ``advice`` is ``None`` if
    the step needs no permits. The tasks ``held`` may not start yet. Reservations of
    ``unreserved`` upstreams do not hold for the step.
    """

    rank: StepRank
    progress: StepProgress
    service: ServiceUpstreams
    ranked_at: timedelta
    ends_at: timedelta
    advice: AdviceTiming | None
    held: frozenset[int] = frozenset()
    unreserved: Collection[str] = ()


@define(eq=False)
class StartPlanner:
    """Binds waiting tasks to upstreams, in order of the rank of their steps.

    An upstream that does not enforce its capacity gets no runs once its entry is older
    than ``max_entry_age``.
    """

    cell_state: CellState
    control: RunControl
    max_entry_age: timedelta = MAX_ENTRY_AGE
    _requester: PermitRequester = field(factory=PermitRequester)
    _reservations: Reservations = field(factory=Reservations)
    _reserved_at: timedelta = timedelta(0)
    _upcoming: UpcomingSteps = field(factory=UpcomingSteps)
    locality: LocalityWaits = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.locality = LocalityWaits(
            self.control.speeds, self._list_ends, self.control.remote_factor
        )

    def handle_permits_answer(self, answer: PermitsAnswered, now: timedelta) -> None:
        """Store the permits for a step, if the advice service has granted any."""
        progress = self.control.job_table.find_known_step(
            answer.job, answer.occurrence, answer.step
        )
        if progress is not None:
            self._requester.record_answer(progress, answer, now)

    def start_waiting_tasks(
        self, now: timedelta, max_permit_requests: int, holds: StartHolds
    ) -> None:
        """Order starts of the waiting tasks that fit and that ``holds`` lets start.

        Steps whose queue requires advice start only with permits. At most
        ``max_permit_requests`` requests for permits are ordered.
        """
        table = self.control.job_table
        expiring = list_expiring_tasks(self.cell_state, table.find_step, now)
        if not table.ready_steps and self._upcoming.is_empty and not expiring:
            self._reservations.clear()
            return
        known = [
            upstream
            for upstream in self.cell_state.upstreams.values()
            if self._knows_capacity(upstream, now)
        ]
        usable = group_by_service(each for each in known if each.is_usable(now))
        steps = self._rank_steps(usable, holds, now)
        self._add_last_resorts(steps, known, now)
        max_permit_requests -= self._request_for_expiring(
            expiring, usable, max_permit_requests, now
        )
        self.locality.begin_pass(now)
        for step in steps:
            if not holds.lacks_start_record(step.progress):
                self._start_tasks(step, now)
            if step.advice is None or not step.progress.waiting:
                continue
            if max_permit_requests > 0:
                max_permit_requests -= self._request_permits(
                    step, step.advice, len(step.progress.waiting), now
                )
        self.locality.end_pass(
            (step.progress, table.find_service(step.progress.job.submission))
            for step in steps
            if step.progress.waiting
        )
        self._request_ahead(usable, max_permit_requests, now)
        if now - self._reserved_at >= RESERVATION_INTERVAL:
            self._reserved_at = now
            self._renew_reservations(steps, usable, now)

    def _knows_capacity(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an upstream's capacity is known, or enforced by itself."""
        if now - upstream.listed_at <= self.max_entry_age:
            return True
        services = self.control.job_table.configuration.services
        service = services.get(upstream.entry.service)
        return service is not None and service.enforces_capacity

    def _rank_steps(
        self, usable: dict[str, ServiceUpstreams], holds: StartHolds, now: timedelta
    ) -> list[_RankedStep]:
        """Return the steps that may start tasks, in the order of their ranks."""
        table = self.control.job_table
        found = []
        for progress in table.ready_steps.values():
            if holds.find_cause(progress, now) is not None:
                continue
            step = self._rank_step(progress, usable, now)
            step.held = holds.list_held(progress)
            found.append(step)
        found.sort(key=lambda step: step.rank)
        return found

    def _add_last_resorts(
        self, steps: list[_RankedStep], known: list[Upstream], now: timedelta
    ) -> None:
        """Let lasting tasks that find no room use what is kept from them at first."""
        unreserved = self._reservations.list_older(now - LAST_RESORT_DELAY)
        kept: dict[str, list[Upstream]] = {}
        for upstream in known:
            if upstream.is_last_resort(now):
                kept.setdefault(upstream.entry.service, []).append(upstream)
        extended: dict[str, ServiceUpstreams] = {}
        for step in steps if kept or unreserved else ():
            progress = step.progress
            find_free = partial(self._find_free, step)
            if not needs_last_resort(progress, step.service, find_free):
                continue
            step.unreserved = unreserved
            service = self.control.job_table.find_service(progress.job.submission)
            if service not in extended:
                extended[service] = step.service.extend(kept.get(service, ()))
            step.service = extended[service]

    def _rank_step(
        self,
        progress: StepProgress,
        usable: dict[str, ServiceUpstreams],
        now: timedelta,
    ) -> _RankedStep:
        """Return a step with its place in the order, and where it may run."""
        table = self.control.job_table
        submission = progress.job.submission
        queue = submission.find_queue(table.configuration)
        return _RankedStep(
            rank_step(progress, table.configuration, now),
            progress,
            usable.get(table.find_service(submission), NO_UPSTREAMS),
            now,
            now + self._estimate_duration(progress),
            queue.advice if queue is not None else None,
        )

    def _request_ahead(
        self, usable: dict[str, ServiceUpstreams], limit: int, now: timedelta
    ) -> None:
        """Order up to ``limit`` requests for permits of steps that are soon ready."""
        table = self.control.job_table

        def find_time_ahead(progress: StepProgress) -> timedelta:
            queue = progress.job.submission.find_queue(table.configuration)
            if queue is None or queue.advice is None:
                return timedelta.min
            return estimate_request_time(queue.advice, MIN_UPSTREAMS_PER_REQUEST)

        def estimate(progress: StepProgress, run: Run) -> timedelta:
            return self._estimate_left(progress, run, now)

        for progress in self._upcoming.list_due(find_time_ahead, estimate):
            if limit <= 0:
                return
            step = self._rank_step(progress, usable, now)
            if step.advice is None or not progress.permits.is_unknown:
                continue
            limit -= self._request_permits(
                step, step.advice, len(progress.waiting), now
            )

    def _request_for_expiring(
        self,
        expiring: list[ExpiringTasks],
        usable: dict[str, ServiceUpstreams],
        limit: int,
        now: timedelta,
    ) -> int:
        """Order up to ``limit`` requests for tasks whose runs are about to be lost.

        Return the number of requests. The answers arrive just before the loss.
        """
        ordered = 0
        for tasks in expiring:
            step = self._rank_step(tasks.progress, usable, now)
            if step.advice is None or ordered >= limit:
                continue
            ahead = estimate_request_time(step.advice, MIN_UPSTREAMS_PER_REQUEST)
            if tasks.at - now > ahead + REQUEST_AHEAD_MARGIN:
                continue
            if tasks.progress.permits.has_ticket(tasks.at):
                continue
            count = len(tasks.progress.waiting) + tasks.count
            ordered += self._request_permits(step, step.advice, count, now)
        return ordered

    def _estimate_left(
        self, progress: StepProgress, run: Run, now: timedelta
    ) -> timedelta:
        """Return the expected remaining time of a run of a step."""
        ratio = self.control.ratios.find_mean(progress.job.submission.queue)
        upstream = self.cell_state.upstreams.get(run.upstream)
        if upstream is not None:
            ratio /= self.control.find_speed(progress, upstream)
        return estimate_time_left(progress.step, run, now, ratio)

    def _estimate_duration(self, progress: StepProgress) -> timedelta:
        """Return how long a task of a step is expected to run."""
        if progress.step.lasting:
            return LASTING_TIME
        ratio = self.control.ratios.find_mean(progress.job.submission.queue)
        return progress.step.estimate * ratio

    def _start_tasks(self, step: _RankedStep, now: timedelta) -> None:
        """Start as many waiting tasks of a step as find room."""
        progress = step.progress
        upstreams: Iterable[Upstream]
        if step.advice is None:
            upstreams = step.service.list_with_room(progress.step.claim)
        else:
            upstreams = step.service.list_named_with_room(
                progress.permits.list_usable(now), progress.step.claim
            )
        local = None
        if self.locality.concerns(progress):
            local = self._describe_local_step(step, now)
            upstreams = self.locality.narrow(local, upstreams, now)
        # Some may have been put on trial since the upstreams of the step were chosen.
        open_to_tasks = (
            upstream
            for upstream in upstreams
            if not upstream.trying or upstream.is_last_resort(now)
        )
        candidates = list_candidates(
            progress, open_to_tasks, partial(self._find_free, step)
        )
        if local is not None:
            step.held |= self.locality.choose_held(local, candidates, now)
            if progress.step.gang and step.held:
                return
        if candidates:
            self._place_tasks(step, candidates, now)

    def _describe_local_step(self, step: _RankedStep, now: timedelta) -> LocalStep:
        """Return what decides how long a step waits for a near place."""
        progress = step.progress
        permitted = None
        if step.advice is not None:
            permitted = progress.permits.list_usable(now)
        return LocalStep(
            progress,
            step.rank,
            self.control.job_table.find_service(progress.job.submission),
            step.ends_at - step.ranked_at,
            step.service.by_name,
            permitted,
            step.held,
        )

    def _find_free(self, step: _RankedStep, upstream: Upstream) -> Capacity:
        """Return what a step may use of an upstream, which may be reserved."""
        if not self._reservations.is_reserved(upstream):
            return upstream.free
        if upstream.name in step.unreserved:
            return upstream.free
        return self._reservations.find_free(
            upstream, step.rank, self._find_end(step, upstream)
        )

    def _find_end(self, step: _RankedStep, upstream: Upstream) -> timedelta:
        """Return when a task that starts now on an upstream is expected to end."""
        speed = self.control.find_speed(step.progress, upstream)
        return step.ranked_at + (step.ends_at - step.ranked_at) / speed

    def _request_permits(
        self, step: _RankedStep, advice: AdviceTiming, tasks: int, now: timedelta
    ) -> bool:
        """Order a request for permits for some tasks; return whether one is due."""
        ready_at = self._reservations.find_ready_time(step.progress)
        if ready_at is not None:
            asked = len(step.progress.permits.allowed)
            if ready_at - now > estimate_request_time(advice, asked):
                ready_at = None
        request = self._requester.request(
            step.progress,
            step.service,
            lambda upstream: self._find_free(step, upstream),
            advice,
            tasks,
            ready_at,
            now,
        )
        if request is None:
            return False
        self.control.orders.append(request)
        return True

    def _renew_reservations(
        self,
        steps: list[_RankedStep],
        usable: dict[str, ServiceUpstreams],
        now: timedelta,
    ) -> None:
        """Reserve upstreams for large tasks that are still waiting."""
        self._reservations.clear()
        table = self.control.job_table
        waiting: dict[str, list[tuple[StepRank, StepProgress, list[Upstream]]]] = {}
        considered = 0
        for step in steps:
            if not step.progress.waiting or step.rank[0] != FIRST_GROUP:
                continue
            if self.locality.is_waiting(step.progress):
                continue
            considered += 1
            if considered > MAX_RESERVING_STEPS:
                break
            service = table.find_service(step.progress.job.submission)
            row = (step.rank, step.progress, self._list_allowed(step))
            waiting.setdefault(service, []).append(row)
        for service, rows in waiting.items():
            size = len(usable.get(service, NO_UPSTREAMS))
            self._reservations.renew(
                rows, size, lambda upstream: self._list_ends(upstream, now), now
            )

    def _list_allowed(self, step: _RankedStep) -> list[Upstream]:
        """Return the upstreams that are known to be allowed to run a step's tasks."""
        progress = step.progress
        limit = progress.step.spread_limit
        upstreams = list(step.service.by_name.values())
        if step.advice is not None:
            upstreams = step.service.list_named(progress.permits.allowed)
        found = []
        for upstream in upstreams:
            if not upstream.has_label(progress.step.required_label):
                continue
            if limit and upstream.count_step(progress.key) >= limit:
                continue
            found.append(upstream)
        return found

    def _list_ends(
        self, upstream: Upstream, now: timedelta
    ) -> list[tuple[timedelta, Capacity]]:
        """Return when each run on an upstream is expected to end, and what it frees."""
        ends = []
        for run in self.cell_state.list_runs(upstream.name):
            progress = self.control.job_table.find_step(run)
            if progress.step.lasting and run.phase is not RunPhase.STOPPING:
                continue
            left = self._estimate_left(progress, run, now)
            ends.append((now + left, progress.step.claim))
        return ends

    def _place_tasks(
        self, step: _RankedStep, candidates: list[Candidate], now: timedelta
    ) -> None:
        """Bind waiting tasks of a step to candidates and order their starts."""
        progress = step.progress
        latency_sensitive: set[str] = set()
        if progress.step.opportunistic:
            latency_sensitive = self._list_latency_sensitive()
        trials_left = 0
        if progress.losses:
            service = candidates[0].upstream.entry.service
            upstreams = self.cell_state.upstreams.values()
            trials_left = count_trials_left(upstreams, service)
        slowness = find_slowness(progress, step.rank, self.control.speeds, now)
        placements = place_tasks(
            progress, candidates, latency_sensitive, trials_left, step.held, slowness
        )
        gang_number = self.cell_state.allocate_run_number() if progress.step.gang else 0
        for placement in placements:
            number = gang_number or self.cell_state.allocate_run_number()
            self._start_run(step, placement, number, now)
        self.locality.record_placements(progress, placements)
        self._log_placements(progress, placements, now)
        self._upcoming.add_dependents(progress)
        self.control.job_table.update_readiness(progress)

    def _start_run(
        self, step: _RankedStep, placement: Placement, number: int, now: timedelta
    ) -> None:
        """Bind one task to an upstream and order its start."""
        progress = step.progress
        upstream = placement.upstream
        task = progress.make_task_id(placement.index)
        checkpoint = progress.find_checkpoint(placement.index)
        run = Run(task, number, upstream.name, RunPhase.STARTING, now, now)
        run.is_whole = not checkpoint
        self.cell_state.add_run(progress, placement.index, upstream, run)
        upstream.last_start_at = now
        if placement.alone:
            upstream.begin_trial(task, number, now)
            run.trial_time = PROOF_TIME if progress.step.lasting else TRIAL_TIME
        self._reservations.record_start(
            upstream, step.rank, self._find_end(step, upstream), progress.step.claim
        )
        ticket = ""
        if step.advice is not None:
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
