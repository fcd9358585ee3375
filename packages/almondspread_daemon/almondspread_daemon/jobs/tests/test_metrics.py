import unittest

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.loads import Load
from almondspread_daemon.jobs.metrics import MAX_WORKSPACE_LABELS, JobMetrics


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


class AdmissionMetricsTest(unittest.TestCase):
    def test_labels_of_workspaces_are_bounded(self):
        """Guards against metrics that grow with the number of workspaces."""
        metrics = JobMetrics("entry-1", "umea")
        for number in range(500):
            metrics.count_refusal("surplus", f"w{number}")
        text = metrics.render().decode()
        lines = [line for line in text.splitlines() if "job_refusals_total{" in line]
        self.assertEqual(len(lines), MAX_WORKSPACE_LABELS + 1)
        (other,) = (line for line in lines if 'workspace="other"' in line)
        self.assertEqual(float(other.rpartition(" ")[2]), 500 - MAX_WORKSPACE_LABELS)

    def test_estimate_and_its_age_are_exported(self):
        metrics = JobMetrics("entry-1", "umea")
        metrics.observe_load(lambda: 0.25, lambda: {"s": 12.0})
        text = metrics.render().decode()
        self.assertRegex(text, "load_estimate_age_seconds{[^}]*} 0.25")
        self.assertRegex(text, 'estimated_wait_seconds{[^}]*service="s"[^}]*} 12.0')


if __name__ == "__main__":
    unittest.main()
