"""Decides once for each job whether it is beyond the rate of its workspace."""

from attrs import define, field

from almondspread.jobs.job_table import JobTable
from almondspread.jobs.known_workspaces import KnownWorkspaces
from almondspread.jobs.workspace_rates import WorkspaceRates


@define(eq=False)
class SurplusJobs:
    """Marks surplus jobs in the order in which callers sent them.

    A new leader loads jobs in any order, so the jobs since the last call are sorted by
    the time of their acceptance. Jobs that a later call finds to be older than those of
    an earlier one add no tokens to the bucket of their workspace.
    """

    job_table: JobTable
    workspaces: KnownWorkspaces
    _rates: WorkspaceRates = field(factory=WorkspaceRates)

    def mark_new(self) -> None:
        """Mark the surplus jobs among those accepted since the last call."""
        names, self.job_table.unrated = self.job_table.unrated, []
        jobs = []
        for name in names:
            job = self.job_table.jobs.get(name)
            if job is not None:
                jobs.append(job)
        jobs.sort(key=lambda job: job.accepted)
        for job in jobs:
            workspace = self.workspaces.find(job.submission.workspace)
            if workspace is None:
                continue
            job.is_surplus = self._rates.record(
                workspace.name, workspace.weight, job.accepted
            )
