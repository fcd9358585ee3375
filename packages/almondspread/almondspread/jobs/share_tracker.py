"""Which workspaces have less than their fair share of each service now."""

from collections import defaultdict
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.fair_shares import Demand, compute_shares, count_within_share
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.known_workspaces import KnownWorkspaces
from almondspread.jobs.ordering import OVER_SHARE, UNDER_SHARE
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.workspace_limits import WorkspaceLimits
from almondspread.jobs.workspace_usage import NOTHING
from almondspread.resources.capacity import MAX_COUNT, Capacity

# Shares follow what all steps wait for, which takes time to add up.
SHARE_INTERVAL = timedelta(milliseconds=100)
# The weight of workspaces that are not known.
DEFAULT_WEIGHT = 1.0
NO_WORKSPACE = ""


@define(frozen=True)
class ServiceShares:
    """The capacity of a service, and the share of each workspace that has a bound."""

    capacity: Capacity
    shares: dict[str, float]


@define(eq=False)
class ShareTracker:
    """Tells where each step stands by the share of its workspace.

    Only workspaces with running or waiting tasks have a share. Those without a bound
    may use all that is free, which they are lent. Jobs without a workspace have no
    bound, and what they run is not shared. Lasting tasks don't wait for a share either:
    they must not be without a run for long. In a cell without workspaces nothing is
    shared.
    """

    cell_state: CellState
    job_table: JobTable
    workspaces: KnownWorkspaces
    limits: WorkspaceLimits
    _by_service: dict[str, ServiceShares] = field(factory=dict)
    _updated_at: timedelta | None = None

    def refresh(self, now: timedelta) -> None:
        """Compute the shares anew, at most once per ``SHARE_INTERVAL``."""
        if not self.workspaces.has_any:
            return
        if self._updated_at is not None and now - self._updated_at < SHARE_INTERVAL:
            return
        self._updated_at = now
        capacities = self._measure_services(now)
        self._by_service = {}
        for service, demands in self._list_demands().items():
            capacity = capacities.get(service, NOTHING).minus(
                self.cell_state.service_usage.find(service, NO_WORKSPACE)
            )
            shares = compute_shares(capacity, demands)
            if shares:
                self._by_service[service] = ServiceShares(capacity, shares)

    def find_place(self, progress: StepProgress) -> int:
        """Return the place of a step in the first group, see ``rank_step``."""
        return UNDER_SHARE if self.count_within_share(progress) else OVER_SHARE

    def count_within_share(self, progress: StepProgress) -> int:
        """Return how many tasks may start until a step's workspace has its share."""
        if not self._by_service:
            return MAX_COUNT
        submission = progress.job.submission
        if progress.step.lasting or not submission.workspace:
            return MAX_COUNT
        service = self.job_table.find_service(submission)
        known = self._by_service.get(service)
        if known is None:
            return MAX_COUNT
        share = known.shares.get(submission.workspace)
        if share is None:
            return MAX_COUNT
        used = self.cell_state.service_usage.find(service, submission.workspace)
        return count_within_share(progress.step.claim, used, known.capacity, share)

    def _measure_services(self, now: timedelta) -> dict[str, Capacity]:
        """Return the capacity of each service."""
        found: dict[str, Capacity] = defaultdict(lambda: NOTHING)
        for upstream in self.cell_state.upstreams.values():
            if upstream.has_reported and not upstream.has_ended(now):
                service = upstream.entry.service
                found[service] = found[service].plus(upstream.entry.capacity)
        return found

    def _list_demands(self) -> dict[str, list[Demand]]:
        """Return what the workspaces have running and waiting, by service."""
        wanted: dict[tuple[str, str], Capacity] = {}
        usage = self.cell_state.service_usage
        for service, workspace in usage.list_users():
            if workspace == NO_WORKSPACE:
                continue
            wanted[service, workspace] = usage.find(service, workspace)
        for key, claim in self._list_waiting():
            wanted[key] = wanted.get(key, NOTHING).plus(claim)
        found: dict[str, list[Demand]] = {}
        for (service, workspace), amount in wanted.items():
            demand = Demand(workspace, self._find_weight(workspace), amount)
            found.setdefault(service, []).append(demand)
        return found

    def _list_waiting(self) -> Iterable[tuple[tuple[str, str], Capacity]]:
        """Yield what each ready step waits for that its limit lets start."""
        for progress in self.job_table.ready_steps.values():
            submission = progress.job.submission
            if not submission.workspace:
                continue
            key = (self.job_table.find_service(submission), submission.workspace)
            count = self.limits.count_startable(progress)
            yield key, progress.step.claim.times(count)

    def _find_weight(self, workspace: str) -> float:
        """Return the weight of a workspace."""
        known = self.workspaces.find(workspace)
        return known.weight if known is not None else DEFAULT_WEIGHT
