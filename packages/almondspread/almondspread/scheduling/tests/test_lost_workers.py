"""Tasks that crash the workers that run them."""

import unittest
from datetime import timedelta

from almondspread.scheduling.failures import LOSS_WINDOW
from almondspread.scheduling.tasks import FAILED, WAITING
from almondspread.scheduling.tests.shards import Shard, make_desired


class LostWorkerTest(unittest.TestCase):
    """A task restarted worker after worker, and each loss was nobody's failure."""

    def setUp(self):
        self.shard = Shard()

    def lose_worker(self, wait=timedelta(seconds=30)):
        """Have the only task started, and report that its worker has restarted."""
        self.shard.clock.advance(wait)
        self.shard.decide()
        self.shard.report_running()
        (attempt,) = self.shard.list_attempts()
        self.shard.report_end(attempt, "lost")

    def read_task(self):
        (state,) = self.shard.state.workloads.values()
        return state.tasks[0]

    def test_task_that_restarts_its_workers_uses_up_its_attempts(self):
        self.shard.declare(make_desired("batch", "crashing", 1, attempts=2))
        for _ in range(2):
            self.lose_worker()
            self.assertEqual(
                (self.read_task().phase, self.read_task().failures), (WAITING, 0)
            )
        self.lose_worker()
        self.assertEqual(self.read_task().failures, 1)
        self.lose_worker()
        self.assertEqual(self.read_task().phase, FAILED)

    def test_replica_that_restarts_its_workers_is_started_less_and_less_often(self):
        self.shard.declare(make_desired("service", "crashing", 1))
        for _ in range(3):
            self.lose_worker()
        self.assertGreater(self.read_task().retry_at, 0.0)

    def test_losses_far_apart_are_no_failures(self):
        self.shard.declare(make_desired("batch", "long", 1, attempts=1))
        for _ in range(5):
            self.lose_worker(LOSS_WINDOW * 2)
        self.assertEqual(
            (self.read_task().phase, self.read_task().failures), (WAITING, 0)
        )
