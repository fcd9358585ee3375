"""Decides once for each job whether it is beyond the rate of its workspace."""

from attrs import define, field

from almondspread.jobs.job_table import JobTable
from almondspread.jobs.known_workspaces import KnownWorkspaces
from almondspread.jobs.workspace_rates import WorkspaceRates


@define(eq=False)
class SurplusJobs:
    """Marks surplus jobs in the order in which callers sent them.

    The jobs that a new leader loads come in any order, so that those that came at the
    same time are sorted first.
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
