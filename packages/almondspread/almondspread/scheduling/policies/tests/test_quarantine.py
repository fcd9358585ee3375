import unittest
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.scheduling.policies.quarantine import (
    INITIAL_QUARANTINE,
    QuarantineChange,
    QuarantineTracker,
)

WORKERS = 20


class QuarantineTrackerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.tracker = QuarantineTracker()

    def update_quarantine(self):
        return self.tracker.update_quarantine(WORKERS, 0.1, self.clock.now())

    def record_end(self, worker, workload, failed):
        self.tracker.record_end(worker, workload, failed, self.clock.now())

    def run_everywhere(self, workload, failing_workers=()):
        for number in range(WORKERS):
            worker = f"w{number}"
            self.record_end(worker, workload, worker in failing_workers)

    def test_worker_on_which_all_workloads_fail_is_quarantined(self):
        for workload in "abc":
            self.assertEqual(self.update_quarantine(), [])
            self.run_everywhere(workload, {"w7"})
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", True)])
        self.assertEqual(self.update_quarantine(), [])

    def test_bad_workload_quarantines_no_worker(self):
        everywhere = {f"w{number}" for number in range(WORKERS)}
        for workload in "abcd":
            self.run_everywhere(workload)
        for _ in range(5):
            self.run_everywhere("bad", everywhere)
        self.assertEqual(self.update_quarantine(), [])

    def test_one_workload_that_fails_often_on_one_worker_is_not_enough(self):
        for _ in range(50):
            self.record_end("w7", "flaky", True)
        self.assertEqual(self.update_quarantine(), [])

    def test_several_bad_workloads_do_not_hide_a_bad_worker(self):
        everywhere = {f"w{number}" for number in range(WORKERS)}
        for workload in ("bad1", "bad2", "bad3", "bad4"):
            self.run_everywhere(workload, everywhere)
        for workload in "abc":
            self.run_everywhere(workload, {"w7"})
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", True)])

    def test_failures_all_over_the_cell_quarantine_no_worker(self):
        for number in range(WORKERS):
            for task in range(4):
                self.record_end(f"w{number}", f"own-{number}-{task}", task > 0)
        self.assertEqual(self.update_quarantine(), [])

    def test_never_quarantines_more_than_the_allowed_share(self):
        failing = {f"w{number}" for number in range(5)}
        for workload in "abcd":
            self.run_everywhere(workload, failing)
        self.assertEqual(len(self.update_quarantine()), 2)
        self.assertEqual(len(self.tracker.quarantined), 2)
        self.assertEqual(self.update_quarantine(), [])

    def test_probation_clears_a_worker_or_doubles_its_quarantine(self):
        for workload in "abc":
            self.run_everywhere(workload, {"w7"})
        self.update_quarantine()
        self.clock.advance(INITIAL_QUARANTINE)
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", False)])
        for workload in "de":
            self.run_everywhere(workload, {"w7"})
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", True)])
        self.clock.advance(INITIAL_QUARANTINE)
        self.assertEqual(self.update_quarantine(), [])
        self.clock.advance(INITIAL_QUARANTINE)
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", False)])
        for workload in "fg":
            self.run_everywhere(workload)
        self.assertEqual(self.update_quarantine(), [])
        self.clock.advance(timedelta(hours=1))
        for workload in "hij":
            self.run_everywhere(workload, {"w7"})
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", True)])
        self.clock.advance(INITIAL_QUARANTINE)
        self.assertEqual(self.update_quarantine(), [QuarantineChange("w7", False)])
