"""Orders requests for permits of steps whose tasks could start with them."""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.configuration import AdviceTiming
from almondspread.jobs.expiring import ExpiringTasks
from almondspread.jobs.messages import PermitsAnswered
from almondspread.jobs.permit_requests import (
    MIN_UPSTREAMS_PER_REQUEST,
    PermitRequester,
    estimate_request_time,
)
from almondspread.jobs.ranked_steps import RankedStep, StepRanker
from almondspread.jobs.service_upstreams import ServiceUpstreams
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upcoming import REQUEST_AHEAD_MARGIN, UpcomingSteps
from almondspread.jobs.workspace_limits import WorkspaceLimits, measure_earlier_runs


@define(eq=False)
class PermitPlanner:
    """Requests permits for waiting tasks, and ahead for tasks that will soon wait."""

    ranker: StepRanker
    limits: WorkspaceLimits
    upcoming: UpcomingSteps
    _requester: PermitRequester = field(factory=PermitRequester)

    def record_answer(self, answer: PermitsAnswered, now: timedelta) -> None:
        """Store the permits for a step, if the advice service has granted any."""
        progress = self.ranker.control.job_table.find_known_step(
            answer.job, answer.occurrence, answer.step
        )
        if progress is not None:
            self._requester.record_answer(progress, answer, now)

    def request_ahead(
        self, usable: dict[str, ServiceUpstreams], limit: int, now: timedelta
    ) -> None:
        """Order up to ``limit`` requests for permits of steps that are soon ready."""
        table = self.ranker.control.job_table

        def find_time_ahead(progress: StepProgress) -> timedelta:
            queue = progress.job.submission.find_queue(table.configuration)
            if queue is None or queue.advice is None:
                return timedelta.min
            return estimate_request_time(queue.advice, MIN_UPSTREAMS_PER_REQUEST)

        def estimate(progress: StepProgress, run: Run) -> timedelta:
            return self.ranker.estimate_left(progress, run, now)

        for progress in self.upcoming.list_due(find_time_ahead, estimate):
            if limit <= 0:
                return
            step = self.ranker.rank(progress, usable, now)
            if step.advice is None or not progress.permits.is_unknown:
                continue
            freed = measure_earlier_runs(progress)
            startable = self.limits.count_startable(progress, freed=freed)
            if startable:
                limit -= self.request(step, step.advice, startable, now)

    def request_for_expiring(
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
            step = self.ranker.rank(tasks.progress, usable, now)
            if step.advice is None or ordered >= limit:
                continue
            ahead = estimate_request_time(step.advice, MIN_UPSTREAMS_PER_REQUEST)
            if tasks.at - now > ahead + REQUEST_AHEAD_MARGIN:
                continue
            if tasks.progress.permits.has_ticket(tasks.at):
                continue
            count = self.limits.count_startable(tasks.progress, tasks.count)
            if count:
                ordered += self.request(step, step.advice, count, now)
        return ordered

    def request(
        self, step: RankedStep, advice: AdviceTiming, tasks: int, now: timedelta
    ) -> bool:
        """Order a request for permits for some tasks; return whether one is due."""
        ready_at = self.ranker.reservations.find_ready_time(step.progress)
        if ready_at is not None:
            asked = len(step.progress.permits.allowed)
            if ready_at - now > estimate_request_time(advice, asked):
                ready_at = None
        request = self._requester.request(
            step.progress,
            step.service,
            lambda upstream: self.ranker.find_free(step, upstream),
            advice,
            tasks,
            ready_at,
            now,
        )
        if request is None:
            return False
        self.ranker.control.orders.append(request)
        return True
