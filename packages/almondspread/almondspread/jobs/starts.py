"""Starts waiting tasks: requests permits, places tasks, and orders their starts."""

from collections.abc import Iterable, Iterator
from datetime import timedelta
from functools import partial
from heapq import heapify, heappop, heappush

from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.cell_state import CellState
from almondspread.jobs.expiring import list_expiring_tasks
from almondspread.jobs.holds import StartHolds
from almondspread.jobs.last_resorts import needs_last_resort
from almondspread.jobs.locality import LocalityWaits, LocalStep
from almondspread.jobs.messages import StartRun
from almondspread.jobs.ordering import FIRST_GROUP, OVER_SHARE, UNDER_SHARE, StepRank
from almondspread.jobs.permit_planning import PermitPlanner
from almondspread.jobs.placement import (
    Candidate,
    Placement,
    list_candidates,
    place_tasks,
)
from almondspread.jobs.ranked_steps import NO_UPSTREAMS, RankedStep, StepRanker
from almondspread.jobs.reservations import Reservations
from almondspread.jobs.runs import RunControl
from almondspread.jobs.service_upstreams import ServiceUpstreams, group_by_service
from almondspread.jobs.share_tracker import ShareTracker
from almondspread.jobs.starved_workspaces import StarvedWorkspaces
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.trials import PROOF_TIME, TRIAL_TIME, count_trials_left
from almondspread.jobs.upcoming import UpcomingSteps
from almondspread.jobs.upstreams import LAST_RESORT_DELAY, Upstream
from almondspread.jobs.urgency import find_slowness
from almondspread.jobs.workspace_limits import WorkspaceLimits
from almondspread.resources.capacity import Capacity

# Reservations need not follow each event, and it takes time to find them.
RESERVATION_INTERVAL = timedelta(milliseconds=100)
# Only the first waiting steps may reserve room: the others hardly get it in time.
MAX_RESERVING_STEPS = 16
# Before every priority of a queue.
STARVED_PRIORITY = -(2**31)
# The capacity of an upstream may have shrunk since its entry was read.
MAX_ENTRY_AGE = timedelta(milliseconds=2_500)


@define(eq=False)
class StartPlanner:
    """Binds waiting tasks to upstreams, in order of the rank of their steps.

    An upstream that does not enforce its capacity gets no runs once its entry is older
    than ``max_entry_age``.
    """

    cell_state: CellState
    control: RunControl
    limits: WorkspaceLimits
    shares: ShareTracker
    max_entry_age: timedelta = MAX_ENTRY_AGE
    permits: PermitPlanner = field(init=False)
    _ranker: StepRanker = field(init=False)
    _starved: StarvedWorkspaces = field(init=False)
    _reservations: Reservations = field(init=False)
    _reserved_at: timedelta = timedelta(0)
    _upcoming: UpcomingSteps = field(factory=UpcomingSteps)
    locality: LocalityWaits = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reservations = Reservations(self.limits.count_startable)
        self._ranker = StepRanker(self.control, self._reservations, self.shares)
        self._starved = StarvedWorkspaces(self.cell_state, self.limits)
        self.permits = PermitPlanner(self._ranker, self.limits, self._upcoming)
        self.locality = LocalityWaits(
            self.control.speeds, self._list_ends, self.control.remote_factor
        )

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
        self.limits.refresh(table.ready_steps.values(), now)
        self.shares.refresh(now)
        steps = self._rank_steps(usable, holds, now)
        self._add_last_resorts(steps, known, now)
        max_permit_requests -= self.permits.request_for_expiring(
            expiring, usable, max_permit_requests, now
        )
        self.locality.begin_pass(now)
        for step in self._take_in_order(steps, now):
            if not holds.lacks_start_record(step.progress):
                self._start_tasks(step, now)
            if step.advice is None or not step.progress.waiting:
                continue
            startable = self.limits.count_startable(step.progress)
            if max_permit_requests > 0 and startable:
                max_permit_requests -= self.permits.request(
                    step, step.advice, startable, now
                )
        self.locality.end_pass(
            (step.progress, table.find_service(step.progress.job.submission))
            for step in steps
            if step.progress.waiting
        )
        self.permits.request_ahead(usable, max_permit_requests, now)
        if now - self._reserved_at >= RESERVATION_INTERVAL:
            self._reserved_at = now
            self._renew_reservations(steps, usable, now)

    def _take_in_order(
        self, steps: list[RankedStep], now: timedelta
    ) -> Iterator[RankedStep]:
        """Yield steps in the order of their ranks, which change as tasks start.

        Once its workspace has its share, a step comes a second time with its remaining
        tasks, after the steps of workspaces under their share. A step of a starved
        workspace comes first, until a task of the workspace has started, and again in
        its usual place.
        """
        remaining = [(step.rank, number, step) for number, step in enumerate(steps)]
        heapify(remaining)
        while remaining:
            rank, number, step = heappop(remaining)
            if step.usual_rank is not None:
                workspace = step.progress.job.submission.workspace
                if self._starved.is_starved(workspace, now):
                    yield step
                step.rank, step.usual_rank = step.usual_rank, None
                if step.progress.waiting:
                    heappush(remaining, (step.rank, number, step))
                continue
            if step.is_over_share or rank[0] != FIRST_GROUP:
                yield step
                continue
            if self.shares.find_place(step.progress) == UNDER_SHARE:
                yield step
            if not step.progress.waiting:
                continue
            if self.shares.find_place(step.progress) == OVER_SHARE:
                step.rank = (rank[0], OVER_SHARE, *rank[2:])
                heappush(remaining, (step.rank, number, step))

    def _knows_capacity(self, upstream: Upstream, now: timedelta) -> bool:
        """Return whether an upstream's capacity is known, or enforced by itself."""
        if now - upstream.listed_at <= self.max_entry_age:
            return True
        services = self.control.job_table.configuration.services
        service = services.get(upstream.entry.service)
        return service is not None and service.enforces_capacity

    def _rank_steps(
        self, usable: dict[str, ServiceUpstreams], holds: StartHolds, now: timedelta
    ) -> list[RankedStep]:
        """Return the steps that may start tasks, in the order of their ranks."""
        table = self.control.job_table
        found = []
        for progress in table.ready_steps.values():
            if holds.find_cause(progress, now) is not None:
                continue
            if not self.limits.count_startable(progress):
                continue
            step = self._ranker.rank(progress, usable, now)
            step.held = holds.list_held(progress)
            found.append(step)
        found.sort(key=lambda step: step.rank)
        if self.shares.workspaces.has_any:
            self._promote_starved(found, now)
        return found

    def _promote_starved(self, steps: list[RankedStep], now: timedelta) -> None:
        """Put the steps of starved workspaces first, in the order of their ranks."""
        names = [step.progress.job.submission.workspace for step in steps]
        self._starved.update(names, now)
        for position, step in enumerate(steps):
            if self._starved.is_starved(names[position], now):
                priority = STARVED_PRIORITY + position
                step.usual_rank = step.rank
                step.rank = (FIRST_GROUP, UNDER_SHARE, priority, step.rank[-1])
        steps.sort(key=lambda step: step.rank)

    def _add_last_resorts(
        self, steps: list[RankedStep], known: list[Upstream], now: timedelta
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
            find_free = partial(self._ranker.find_free, step)
            if not needs_last_resort(progress, step.service, find_free):
                continue
            step.unreserved = unreserved
            service = self.control.job_table.find_service(progress.job.submission)
            if service not in extended:
                extended[service] = step.service.extend(kept.get(service, ()))
            step.service = extended[service]

    def _start_tasks(self, step: RankedStep, now: timedelta) -> None:
        """Start as many waiting tasks of a step as find room within the limit."""
        progress = step.progress
        if not self.limits.count_startable(progress):
            return
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
            progress, open_to_tasks, partial(self._ranker.find_free, step)
        )
        if local is not None:
            step.held |= self.locality.choose_held(local, candidates, now)
            if progress.step.gang and step.held:
                return
        if candidates:
            self._place_tasks(step, candidates, now)

    def _describe_local_step(self, step: RankedStep, now: timedelta) -> LocalStep:
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

    def _renew_reservations(
        self,
        steps: list[RankedStep],
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
            if not self.limits.count_startable(step.progress):
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

    def _list_allowed(self, step: RankedStep) -> list[Upstream]:
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
            left = self._ranker.estimate_left(progress, run, now)
            ends.append((now + left, progress.step.claim))
        return ends

    def _place_tasks(
        self, step: RankedStep, candidates: list[Candidate], now: timedelta
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
            progress,
            candidates,
            latency_sensitive,
            trials_left,
            step.held,
            self._count_placeable(step),
            slowness,
        )
        gang_number = self.cell_state.allocate_run_number() if progress.step.gang else 0
        for placement in placements:
            number = gang_number or self.cell_state.allocate_run_number()
            self._start_run(step, placement, number, now)
        self.locality.record_placements(progress, placements)
        self._log_placements(progress, placements, now)
        self._upcoming.add_dependents(progress)
        self.control.job_table.update_readiness(progress)

    def _count_placeable(self, step: RankedStep) -> int:
        """Return how many tasks of a step may start in its present place.

        Under the share of the workspace, these are the tasks until it has its share,
        and of a starved workspace one. A gang starts whole in any place.
        """
        startable = self.limits.count_startable(step.progress)
        if step.rank[0] != FIRST_GROUP or step.is_over_share or step.progress.step.gang:
            return startable
        if step.usual_rank is not None:
            return 1
        return min(startable, self.shares.count_within_share(step.progress))

    def _start_run(
        self, step: RankedStep, placement: Placement, number: int, now: timedelta
    ) -> None:
        """Bind one task to an upstream and order its start."""
        progress = step.progress
        upstream = placement.upstream
        task = progress.make_task_id(placement.index)
        checkpoint = progress.find_checkpoint(placement.index)
        run = Run(task, number, upstream.name, RunPhase.STARTING, now, now)
        run.is_whole = not checkpoint
        self.cell_state.add_run(progress, placement.index, upstream, run)
        self._starved.record_start(progress.job.submission.workspace, now)
        upstream.last_start_at = now
        if placement.alone:
            upstream.begin_trial(task, number, now)
            run.trial_time = PROOF_TIME if progress.step.lasting else TRIAL_TIME
        self._reservations.record_start(
            upstream,
            step.rank,
            self._ranker.find_end(step, upstream),
            progress.step.claim,
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
