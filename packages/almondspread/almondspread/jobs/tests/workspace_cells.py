"""Base class of tests with jobs of workspaces."""

from attrs import evolve

from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import CellTest, make_job
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity


class WorkspaceCellTest(CellTest):
    """Checks at each start that no workspace has more running than its limit."""

    def setUp(self):
        super().setUp()
        self.cell.history.advance_all = self.advance_all

    def advance_all(self):
        for upstream in self.cell.upstreams.values():
            upstream.advance(self.cell.now)

    def set_workspaces(self, *workspaces):
        """Configure workspaces; their limits are checked from now on."""
        self.configure({each.name: each for each in workspaces})
        for workspace in workspaces:
            self.cell.history.limits[workspace.name] = workspace.limit

    def set_limit(self, cpu_millis=0, memory_mib=0, accelerators=0):
        """Configure one workspace with a limit."""
        limit = Capacity(cpu_millis, memory_mib, accelerators)
        self.set_workspaces(Workspace("w", limit=limit))

    def configure(self, workspaces):
        self.cell.configuration = evolve(self.cell.configuration, workspaces=workspaces)
        self.cell.scheduler.configure(self.cell.configuration)

    def submit(self, name, *steps, workspace="w", duration=None):
        """Submit a job, of which each task runs for a duration."""
        if duration is not None:
            for upstream in self.cell.upstreams.values():
                for number, step in enumerate(steps):
                    for index in range(step.count):
                        upstream.durations[TaskId(name, 0, number, index)] = duration
        self.cell.submit(evolve(make_job(name, *steps), workspace=workspace))

    def count_running(self, workspace="w"):
        """Return how many cores a workspace uses."""
        self.advance_all()
        return self.cell.history.measure_usage(workspace).cpu_millis // 1_000

    def list_reasons(self):
        """Return the causes of all waits with the number of tasks, by job."""
        found = {}
        for reason in self.cell.scheduler.explain_waits(self.cell.now):
            found.setdefault(reason.job, {})[str(reason.cause)] = reason.tasks
        return found
