"""Tests of preemption, gangs, retries, quarantine and usage limits in a scheduler."""

import unittest
from datetime import timedelta

from almondspread.interfaces import AttemptUsage, WorkerReport
from almondspread.resources import Capacity
from almondspread.scheduling import ShardState, gather_capacities
from almondspread.scheduling.events import AttemptBound, AttemptEnded
from almondspread.scheduling.failures import compute_quarantine_limit
from almondspread.scheduling.policies.backfill import INITIAL_RESERVATION_DURATION
from almondspread.scheduling.policies.retries import MAX_BACKOFF
from almondspread.scheduling.tests.shards import TASK, Shard, make_desired

SECOND = timedelta(seconds=1)


def report_usage(shard, attempt, memory=0, restarts=0):
    usage = AttemptUsage(attempt.name, memory, 0, restarts)
    shard.scheduler.handle_report(attempt.worker, WorkerReport((usage,)))


class UrgentTest(unittest.TestCase):
    def start_full_shard(self, **fields):
        shard = Shard()
        shard.declare(make_desired("batch", "b", 12, **fields))
        shard.decide()
        shard.report_running()
        return shard

    def test_the_victim_has_ended_before_urgent_work_starts(self):
        shard = self.start_full_shard(checkpointable=True)
        shard.declare(make_desired("batch", "u", 1, priority=900))
        batch = shard.decide()
        self.assertFalse(any(isinstance(event, AttemptBound) for event in batch))
        shard.report_stops()
        batch = shard.decide()
        kinds = [type(e) for e in batch if isinstance(e, AttemptBound | AttemptEnded)]
        self.assertEqual(kinds, [AttemptEnded, AttemptBound])
        self.assertEqual(len(shard.get_task_workers("batch/u:1")), 1)
        tasks = shard.state.workloads["batch/b:1"].tasks.values()
        (victim,) = [task for task in tasks if task.attempt is None]
        self.assertEqual((victim.failures, victim.checkpoint), (0, "half"))

    def test_the_capacity_of_several_victims_is_reserved(self):
        shard = self.start_full_shard()
        large = Capacity(3_000, 512)
        shard.declare(make_desired("batch", "u", 1, large, priority=900))
        shard.declare(make_desired("batch", "small", 4, priority=800))
        shard.decide()
        now = shard.clock.now().timestamp()
        stops = []
        for worker in shard.workers:
            message = shard.scheduler.compose_exchange(worker.name, now, ())
            stops.extend(message.stops)
        self.assertEqual(len(stops), 3)
        attempts = {attempt.name: attempt for attempt in shard.list_attempts()}
        for name in stops:
            shard.report_end(attempts[name], "stopped")
            shard.decide()
        self.assertEqual(len(shard.get_task_workers("batch/u:1")), 1)
        self.assertEqual(shard.get_task_workers("batch/small:1"), {})

    def test_work_below_urgent_priority_preempts_nothing(self):
        shard = self.start_full_shard()
        shard.declare(make_desired("batch", "u", 1, priority=899))
        shard.decide()
        self.assertFalse(
            any(attempt.eviction_mode for attempt in shard.list_attempts())
        )

    def test_evictions_continue_after_a_takeover(self):
        shard = self.start_full_shard()
        shard.declare(make_desired("batch", "u", 1, priority=900))
        shard.decide()
        shard = Shard(state=ShardState.decode(shard.state.encode()))
        shard.report_stops()
        shard.decide()
        self.assertEqual(len(shard.get_task_workers("batch/u:1")), 1)


class GangTest(unittest.TestCase):
    def test_a_gang_that_loses_a_task_restarts_as_a_whole(self):
        shard = Shard()
        shard.declare(make_desired("gang", "g", 3))
        shard.decide()
        shard.report_running()
        shard.report_end(shard.list_attempts()[0], "lapsed")
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 2)
        shard.report_stops()
        shard.decide()
        numbers = [attempt.number for attempt in shard.list_attempts()]
        self.assertEqual(numbers, [2, 2, 2])

    def test_a_preempted_gang_stops_as_a_whole(self):
        shard = Shard(workers=1)
        shard.declare(make_desired("gang", "g", 4))
        shard.decide()
        shard.report_running()
        shard.declare(make_desired("batch", "u", 1, priority=900))
        shard.decide()
        shard.report_stops()
        shard.decide()
        self.assertEqual(shard.get_task_workers("gang/g:1"), {})
        self.assertEqual(len(shard.get_task_workers("batch/u:1")), 1)

    def test_a_failed_gang_starts_no_task(self):
        shard = Shard()
        shard.declare(make_desired("gang", "g", 3, attempts=1))
        shard.decide()
        shard.report_running()
        first, second, _ = shard.list_attempts()
        shard.report_end(first, "lapsed")
        shard.report_end(second, "failed")
        shard.report_stops()
        shard.clock.advance(MAX_BACKOFF)
        shard.decide()
        self.assertEqual(shard.list_attempts(), [])
        self.assertEqual(shard.state.workloads["gang/g:1"].make_status()["failed"], 3)

    def test_backfill_leaves_reserved_capacity_to_a_gang(self):
        shard = Shard(workers=1)
        shard.declare(make_desired("batch", "old", 4))
        shard.decide()
        shard.report_running()
        shard.declare(make_desired("gang", "g", 4))
        shard.decide()
        shard.declare(make_desired("batch", "new", 9))
        for attempt in shard.list_attempts():
            shard.report_end(attempt)
            shard.decide()
        self.assertEqual(len(shard.get_task_workers("gang/g:1")), 4)

    def test_a_reservation_expires_and_the_gang_gets_another(self):
        shard = Shard(workers=1)
        shard.declare(make_desired("batch", "old", 4))
        shard.decide()
        shard.report_running()
        shard.declare(make_desired("gang", "g", 4))
        shard.decide()
        reservations = shard.scheduler.reservations
        self.assertEqual(len(reservations), 1)
        shard.clock.advance(INITIAL_RESERVATION_DURATION)
        shard.decide()
        self.assertEqual(len(reservations), 0)
        shard.declare(make_desired("batch", "others", 9, priority=300))
        shard.decide()
        shard.clock.advance(2 * INITIAL_RESERVATION_DURATION)
        shard.report_end(shard.list_attempts()[0])
        shard.decide()
        self.assertEqual(len(reservations), 1)


class RetryTest(unittest.TestCase):
    def test_retry_delays_grow_and_are_reported(self):
        shard = Shard()
        shard.declare(make_desired("batch", "b", 1, attempts=4))
        delays = []
        for _ in range(3):
            shard.decide()
            (attempt,) = shard.list_attempts()
            shard.report_end(attempt, "failed")
            shard.decide()
            self.assertEqual(shard.list_attempts(), [])
            state = shard.state.workloads["batch/b:1"]
            delay = state.tasks[0].retry_at - shard.clock.now().timestamp()
            delays.append(delay)
            message = shard.scheduler.describe_workload(state)["message"]
            self.assertIn("wait for their next try", message)
            shard.clock.advance(timedelta(seconds=delay + 0.001))
        self.assertEqual(sorted(delays), delays)
        self.assertGreater(delays[2], 2 * delays[0])
        shard.decide()
        shard.report_end(shard.list_attempts()[0], "failed")
        self.assertEqual(state.make_status()["failed"], 1)

    def test_a_takeover_keeps_the_retry_delay(self):
        shard = Shard()
        shard.declare(make_desired("batch", "b", 1))
        shard.decide()
        shard.report_end(shard.list_attempts()[0], "failed")
        shard = Shard(state=ShardState.decode(shard.state.encode()))
        shard.decide()
        self.assertEqual(shard.list_attempts(), [])
        shard.clock.advance(MAX_BACKOFF)
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 1)

    def test_a_lapse_uses_no_attempt_and_has_no_delay(self):
        shard = Shard()
        shard.declare(make_desired("batch", "b", 1, attempts=1))
        shard.decide()
        shard.scheduler.end_lapsed(shard.list_attempts()[0])
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 1)


class QuarantineTest(unittest.TestCase):
    def test_quarantine_limits_add_up_to_the_share_of_the_cell(self):
        counts = {"a": 8, "b": 7, "c": 9, "d": 1}
        for share in (0.0, 0.1, 0.25, 0.5):
            limits = [
                compute_quarantine_limit(counts, share, shard) for shard in counts
            ]
            self.assertEqual(sum(limits), int(25 * share))

    def test_a_worker_that_fails_most_workloads_is_quarantined(self):
        shard = Shard(workers=10)
        cell = gather_capacities({"schedule/umea/0": shard.workers})
        shard.scheduler.set_capacities(cell)
        for number in range(5):
            shard.declare(make_desired("batch", f"b{number}", 8, attempts=9))
        shard.decide()
        for attempt in shard.list_attempts():
            failed = attempt.worker == "w3"
            shard.report_end(attempt, "failed" if failed else "finished")
        shard.clock.advance(2 * SECOND)
        shard.decide()
        self.assertEqual(shard.scheduler.cell.worker("w3").exclusion, "quarantined")
        self.assertEqual(shard.state.list_attempts("w3"), [])

    def test_one_bad_workload_quarantines_no_worker(self):
        shard = Shard(workers=10)
        cell = gather_capacities({"schedule/umea/0": shard.workers})
        shard.scheduler.set_capacities(cell)
        shard.declare(make_desired("batch", "bad", 40, attempts=9))
        for _ in range(3):
            shard.decide()
            for attempt in shard.list_attempts():
                shard.report_end(attempt, "failed")
            shard.clock.advance(MAX_BACKOFF)
        shard.decide()
        self.assertEqual(shard.scheduler.cell.count_exclusions(), ())


class UsageTest(unittest.TestCase):
    def start(self, kind="batch", tasks=3, **fields):
        shard = Shard(workers=1, capacity=Capacity(4_000, 2_000))
        shard.declare(make_desired(kind, "b", tasks, **fields))
        shard.decide()
        shard.report_running()
        return shard

    def compose(self, shard):
        return shard.scheduler.compose_exchange("w0", 0.0, ())

    def test_a_task_over_its_memory_is_throttled(self):
        shard = self.start()
        attempt = shard.list_attempts()[0]
        report_usage(shard, attempt, TASK.memory_mib + 1)
        self.assertEqual(self.compose(shard).throttles, (attempt.name,))

    def test_the_largest_excess_is_evicted_before_memory_is_full(self):
        shard = self.start(checkpointable=True)
        first, second, third = shard.list_attempts()
        usages = []
        for attempt, memory in ((first, 600), (second, 900), (third, 400)):
            usages.append(AttemptUsage(attempt.name, memory, 0))
        shard.scheduler.handle_report("w0", WorkerReport(tuple(usages)))
        self.assertEqual(self.compose(shard).checkpoints, (second.name,))
        self.assertEqual(self.compose(shard).throttles, (first.name,))
        shard.report_stops()
        task = shard.state.workloads["batch/b:1"].tasks[second.index]
        self.assertEqual((task.failures, task.checkpoint), (1, "half"))
        self.assertGreater(task.retry_at, 0)

    def test_a_crash_loop_is_evicted_and_retried_after_a_delay(self):
        shard = self.start("service", 1)
        (attempt,) = shard.list_attempts()
        report_usage(shard, attempt, 0, 4)
        self.assertEqual(self.compose(shard).stops, ())
        report_usage(shard, attempt, 0, 5)
        self.assertEqual(self.compose(shard).stops, (attempt.name,))
        shard.report_stops()
        shard.decide()
        self.assertEqual(shard.list_attempts(), [])
        task = shard.state.workloads["service/b:1"].tasks[0]
        self.assertEqual(task.failures, 1)
        shard.clock.advance(MAX_BACKOFF)
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 1)


if __name__ == "__main__":
    unittest.main()
