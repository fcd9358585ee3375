import asyncio
import unittest
from datetime import UTC, datetime

from loguru import logger

from almondspread.clock import ManualClock
from almondspread.jobs.scheduler import Scheduler
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    make_submission,
    run_ready_tasks,
)
from almondspread_daemon.jobs.wait_log import WaitLog

WALL = datetime(2026, 1, 1, tzinfo=UTC)


class WaitLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_task_that_waits_says_why_once_it_has_waited_for_long(self):
        clock = ManualClock()
        scheduler = Scheduler(4, make_configuration())
        scheduler.accept_job(
            make_submission("j", count=3), clock.monotonic(), WALL, version=7
        )
        lines = []
        handler = logger.add(lambda line: lines.append(line.record))
        self.addCleanup(logger.remove, handler)
        log = asyncio.create_task(WaitLog(scheduler, clock).run())
        self.addCleanup(log.cancel)
        for _ in range(4):
            await run_ready_tasks()
            clock.advance(SECOND)
        (line,) = [line for line in lines if line["message"] == "task waits"]
        fields = line["extra"]
        self.assertEqual((fields["job"], fields["tasks"], fields["epoch"]), ("j", 3, 4))
        self.assertEqual(fields["cause"], "start_record")
        self.assertEqual(fields["waited"], 2.0)
        self.assertIsNone(fields["seconds_left"])


if __name__ == "__main__":
    unittest.main()
