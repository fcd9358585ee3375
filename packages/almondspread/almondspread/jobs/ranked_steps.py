"""Steps with waiting tasks, their place in the order, and where they may run."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from attrs import define

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.configuration import AdviceTiming
from almondspread.jobs.ordering import OVER_SHARE, StepRank, rank_step
from almondspread.jobs.reservations import Reservations
from almondspread.jobs.runs import RunControl
from almondspread.jobs.service_upstreams import ServiceUpstreams
from almondspread.jobs.share_tracker import ShareTracker
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.stragglers import estimate_time_left
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

# A lasting task counts as ending beyond every reservation.
LASTING_TIME = timedelta(days=1)
NO_UPSTREAMS = ServiceUpstreams()


@define(eq=False)
class RankedStep:
    """A step with waiting tasks, its place in the order, and where it may run.

    A task that starts at ``ranked_at``, which is now, is expected to end at ``ends_at``
    on an upstream of the reference speed. ``advice`` is ``None`` if the step needs no
    permits. The tasks ``held`` may not start yet. Reservations of
    ``unreserved`` upstreams do not hold for the step. While a step of a starved
    workspace is placed first, ``usual_rank`` is the rank that it has otherwise.
    """

    rank: StepRank
    progress: StepProgress
    service: ServiceUpstreams
    ranked_at: timedelta
    ends_at: timedelta
    advice: AdviceTiming | None
    held: frozenset[int] = frozenset()
    unreserved: Collection[str] = ()
    usual_rank: StepRank | None = None

    @property
    def is_over_share(self) -> bool:
        """Whether the step's workspace has its share of the service."""
        return self.rank[1] == OVER_SHARE


@define(eq=False)
class StepRanker:
    """Ranks steps, and tells how long their tasks run and what room they may use."""

    control: RunControl
    reservations: Reservations
    shares: ShareTracker

    def rank(
        self,
        progress: StepProgress,
        usable: Mapping[str, ServiceUpstreams],
        now: timedelta,
    ) -> RankedStep:
        """Return a step with its place in the order, and where it may run."""
        table = self.control.job_table
        submission = progress.job.submission
        queue = submission.find_queue(table.configuration)
        return RankedStep(
            rank_step(
                progress,
                table.configuration,
                now,
                self.shares.find_place(progress),
            ),
            progress,
            usable.get(table.find_service(submission), NO_UPSTREAMS),
            now,
            now + self._estimate_duration(progress),
            queue.advice if queue is not None else None,
        )

    def estimate_left(
        self, progress: StepProgress, run: Run, now: timedelta
    ) -> timedelta:
        """Return the expected remaining time of a run of a step."""
        ratio = self.control.ratios.find_mean(progress.job.submission.queue)
        upstream = self.control.cell_state.upstreams.get(run.upstream)
        if upstream is not None:
            ratio /= self.control.find_speed(progress, upstream)
        return estimate_time_left(progress.step, run, now, ratio)

    def _estimate_duration(self, progress: StepProgress) -> timedelta:
        """Return how long a task of a step is expected to run."""
        if progress.step.lasting:
            return LASTING_TIME
        ratio = self.control.ratios.find_mean(progress.job.submission.queue)
        return progress.step.estimate * ratio

    def find_free(self, step: RankedStep, upstream: Upstream) -> Capacity:
        """Return what a step may use of an upstream, which may be reserved."""
        if not self.reservations.is_reserved(upstream):
            return upstream.free
        if upstream.name in step.unreserved:
            return upstream.free
        return self.reservations.find_free(
            upstream, step.rank, self.find_end(step, upstream)
        )

    def find_end(self, step: RankedStep, upstream: Upstream) -> timedelta:
        """Return when a task that starts now on an upstream is expected to end."""
        speed = self.control.find_speed(step.progress, upstream)
        return step.ranked_at + (step.ends_at - step.ranked_at) / speed
