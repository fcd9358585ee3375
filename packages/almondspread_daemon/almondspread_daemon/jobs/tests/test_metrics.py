import unittest

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.loads import Load
from almondspread.jobs.workspace_loads import WorkspaceLoad
from almondspread_daemon.jobs.metrics import JobMetrics


class HeldTasksGaugeTest(unittest.TestCase):
    def read_gauge(self, metrics):
        """Return the exported numbers of held tasks by cause."""
        found = {}
        for line in metrics.render().decode().splitlines():
            name, _, rest = line.partition("{")
            if name != "held_tasks":
                continue
            labels, _, number = rest.partition("} ")
            cause = labels.partition('cause="')[2].partition('"')[0]
            found[cause] = float(number)
        return found

    def test_cause_that_has_ended_is_exported_as_zero(self):
        """Guards against a gauge that keeps the number of a hold that is over."""
        metrics = JobMetrics("entry-1", "umea")
        held = {str(HoldCause.UNSEEN_UPSTREAM): 7}
        metrics.set_load(3, Load(2, 1, 7, 0, 0, 0, held_tasks=held))
        expected = dict.fromkeys(map(str, HoldCause), 0)
        self.assertEqual(self.read_gauge(metrics), expected | held)
        metrics.set_load(0)
        self.assertEqual(self.read_gauge(metrics), expected)


class WorkspaceGaugesTest(unittest.TestCase):
    def read_waiting(self, metrics):
        found = {}
        for line in metrics.render().decode().splitlines():
            if line.startswith("workspace_waiting_tasks{"):
                labels, _, number = line.rpartition(" ")
                name = labels.partition('workspace="')[2].partition('"')[0]
                found[name] = float(number)
        return found

    def test_number_of_labels_is_bounded(self):
        """Guards against a time series for each of very many workspaces."""
        metrics = JobMetrics("entry-1", "umea")
        loads = [WorkspaceLoad(f"w{number}", 0.5, 2, 0) for number in range(100)]
        metrics.set_load(3, Load(0, 0, 0, 0, 0, 0, workspaces=tuple(loads)))
        found = self.read_waiting(metrics)
        self.assertEqual(len(found), 64 + 1)
        self.assertEqual(found["other"], 2 * 36)

    def test_workspace_without_load_is_exported_as_zero(self):
        """Guards against a gauge that keeps the number of work that is done."""
        metrics = JobMetrics("entry-1", "umea")
        load = WorkspaceLoad("w", 0.5, 2, 0)
        metrics.set_load(3, Load(0, 0, 0, 0, 0, 0, workspaces=(load,)))
        metrics.set_load(0)
        self.assertEqual(self.read_waiting(metrics), {"w": 0.0})


if __name__ == "__main__":
    unittest.main()
