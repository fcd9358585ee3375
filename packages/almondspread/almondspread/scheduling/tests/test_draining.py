import unittest

from attrs import evolve

from almondspread.interfaces import WorkerReport
from almondspread.resources import Capacity
from almondspread.scheduling import ShardState
from almondspread.scheduling.draining import DRAIN_GRACE_PERIOD
from almondspread.scheduling.rules import CellRules
from almondspread.scheduling.tests.shards import Shard, make_desired


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.shard = Shard()

    def start(self, *desired):
        self.shard.declare(*desired)
        self.shard.decide()
        self.shard.report_running()

    def drain(self, *workers):
        self.shard.scheduler.set_rules(CellRules(drained=frozenset(workers)))
        self.decide()

    def decide(self):
        self.shard.scheduler.move_drained_tasks()
        return self.shard.decide()

    def count_on(self, worker):
        return len(self.shard.state.list_attempts(worker))

    def find_status(self, workload):
        return self.shard.state.workloads[workload].make_status()

    def test_a_replica_stops_only_once_its_replacement_runs(self):
        self.start(make_desired("service", "s", 3))
        self.drain("w0")
        self.shard.report_stops()
        self.assertEqual(self.count_on("w0"), 1)
        self.assertEqual(len(self.shard.list_attempts()), 4)
        self.assertEqual(self.find_status("service/s:1")["running"], 3)
        self.shard.report_running()
        self.decide()
        self.shard.report_stops()
        self.decide()
        self.assertEqual(self.count_on("w0"), 0)
        status = self.find_status("service/s:1")
        self.assertEqual((status["tasks"], status["running"]), (3, 3))

    def test_a_replacement_continues_after_a_takeover(self):
        self.start(make_desired("service", "s", 3))
        self.drain("w0")
        state = ShardState.decode(self.shard.state.encode())
        self.shard = Shard(state=state)
        self.drain("w0")
        self.assertEqual(len(self.shard.list_attempts()), 4)
        self.assertEqual(self.find_status("service/s:1")["tasks"], 3)
        self.shard.report_running()
        self.decide()
        self.shard.report_stops()
        self.assertEqual(self.count_on("w0"), 0)
        self.assertEqual(self.find_status("service/s:1")["running"], 3)

    def test_undrain_retires_replacements(self):
        self.start(make_desired("service", "s", 3))
        self.drain("w0")
        self.drain()
        self.shard.report_stops()
        self.decide()
        self.assertEqual(self.count_on("w0"), 1)
        self.assertEqual(len(self.shard.list_attempts()), 3)

    def test_a_replacement_stays_after_the_replaced_task_ends(self):
        self.start(make_desired("service", "s", 3))
        self.drain("w0")
        self.shard.report_end(self.shard.state.list_attempts("w0")[0], "lapsed")
        self.decide()
        self.assertEqual(len(self.shard.list_attempts()), 3)
        self.shard.report_running()
        self.decide()
        status = self.find_status("service/s:1")
        self.assertEqual((status["tasks"], status["running"]), (3, 3))

    def test_a_checkpointable_task_continues_from_its_checkpoint(self):
        self.start(make_desired("batch", "b", 3, checkpointable=True))
        drained = self.shard.get_task_workers("batch/b:1")[0]
        self.drain(drained)
        self.shard.report_stops()
        self.decide()
        self.assertEqual(self.count_on(drained), 0)
        task = self.shard.state.workloads["batch/b:1"].tasks[0]
        self.assertEqual(
            (task.checkpoint, task.failures, task.attempt_number), ("half", 0, 2)
        )

    def test_other_batch_work_may_finish_within_the_grace_period(self):
        self.start(make_desired("batch", "b", 1))
        drained = self.shard.get_task_workers("batch/b:1")[0]
        self.drain(drained)
        self.shard.report_stops()
        self.assertEqual(self.count_on(drained), 1)
        self.shard.clock.advance(DRAIN_GRACE_PERIOD)
        self.decide()
        self.shard.report_stops()
        self.assertEqual(self.count_on(drained), 0)

    def test_overdue_replicas_without_free_capacity_stop_one_at_a_time(self):
        self.shard = Shard(workers=1)
        self.start(make_desired("service", "s", 3))
        self.drain("w0")
        self.assertEqual(self.count_on("w0"), 3)
        self.shard.clock.advance(DRAIN_GRACE_PERIOD)
        self.decide()
        evicted = [a for a in self.shard.list_attempts() if a.eviction_mode]
        self.assertEqual(len(evicted), 1)

    def test_a_worker_that_reports_leaving_gets_no_new_tasks(self):
        report = WorkerReport(leaving=True)
        self.shard.scheduler.handle_report("w0", report)
        self.shard.scheduler.set_workers(self.shard.workers)
        self.start(make_desired("batch", "b", 12))
        self.assertEqual(self.count_on("w0"), 0)
        self.assertEqual(len(self.shard.list_attempts()), 8)

    def test_an_unlisted_worker_is_removed_once_empty(self):
        self.start(make_desired("service", "s", 3))
        rest = self.shard.workers[1:]
        self.shard.scheduler.set_workers(rest)
        self.decide()
        self.assertEqual(self.count_on("w0"), 1)
        self.shard.report_end(self.shard.state.list_attempts("w0")[0], "lapsed")
        self.shard.scheduler.set_workers(rest)
        self.assertEqual(len(self.shard.scheduler.cell), 2)
        self.shard.scheduler.set_workers(self.shard.workers)
        self.assertEqual(self.shard.scheduler.cell.worker("w0").exclusion, "")

    def test_a_resized_worker_counts_its_new_capacity_once_empty(self):
        self.start(make_desired("batch", "b", 1))
        worker = self.shard.get_task_workers("batch/b:1")[0]
        smaller = Capacity(500, 512)
        self.shard.workers = [evolve(w, capacity=smaller) for w in self.shard.workers]
        self.shard.scheduler.set_workers(self.shard.workers)
        self.assertEqual(self.shard.scheduler.cell.worker(worker).exclusion, "leaving")
        self.shard.report_end(self.shard.list_attempts()[0])
        self.shard.scheduler.set_workers(self.shard.workers)
        for known in self.shard.scheduler.cell.iterate_workers():
            self.assertEqual((known.capacity, known.exclusion), (smaller, ""))


if __name__ == "__main__":
    unittest.main()
