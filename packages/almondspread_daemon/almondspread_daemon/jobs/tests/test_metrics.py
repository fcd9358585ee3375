import unittest

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.loads import Load
from almondspread.jobs.speeds import Kind, KindSpeed
from almondspread.jobs.workspace_loads import WorkspaceLoad
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.workspace_labels import MAX_LABELLED_WORKSPACES


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

    def test_speeds_are_labelled_by_a_bounded_number_of_kinds(self):
        """Labels of single upstreams would make one series of each."""
        metrics = JobMetrics("entry-1", "umea")
        speeds = [KindSpeed(Kind("s", (f"k{n}",)), 0.7, 50) for n in range(40)]
        metrics.set_kind_speeds(speeds)
        text = metrics.render().decode()
        self.assertEqual(text.count("upstream_speed{"), 16)
        self.assertIn('kind="s/k0"', text)
        metrics.set_kind_speeds()
        self.assertNotIn("upstream_speed{", metrics.render().decode())

    def test_waits_for_near_places_are_counted_by_outcome(self):
        """An operator could not see whether waiting for near places is worthwhile."""
        metrics = JobMetrics("entry-1", "umea")
        metrics.set_near_waits({"near": 5, "far": 2})
        text = metrics.render().decode()
        self.assertRegex(text, r'near_waits_total{.*outcome="near"} 5\.0')
        self.assertRegex(text, r'near_waits_total{.*outcome="far"} 2\.0')
        metrics.set_near_waits()
        self.assertNotIn("near_waits_total{", metrics.render().decode())


class AdmissionMetricsTest(unittest.TestCase):
    def test_labels_of_workspaces_are_bounded(self):
        """Guards against metrics that grow with the number of workspaces."""
        metrics = JobMetrics("entry-1", "umea")
        for number in range(500):
            metrics.count_refusal("surplus", f"w{number}")
        text = metrics.render().decode()
        lines = [line for line in text.splitlines() if "job_refusals_total{" in line]
        self.assertEqual(len(lines), MAX_LABELLED_WORKSPACES + 1)
        (other,) = (line for line in lines if 'workspace="other"' in line)
        self.assertEqual(float(other.rpartition(" ")[2]), 500 - MAX_LABELLED_WORKSPACES)

    def test_estimate_and_its_age_are_exported(self):
        metrics = JobMetrics("entry-1", "umea")
        metrics.observe_load(lambda: 0.25, lambda: {"s": 12.0})
        text = metrics.render().decode()
        self.assertRegex(text, "load_estimate_age_seconds{[^}]*} 0.25")
        self.assertRegex(text, 'estimated_wait_seconds{[^}]*service="s"[^}]*} 12.0')


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
