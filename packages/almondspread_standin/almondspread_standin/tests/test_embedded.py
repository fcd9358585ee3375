"""The cluster that tests and demonstrations run in one process."""

import asyncio
import unittest

from almondspread.clock import SystemClock
from almondspread_standin.embedded import EmbeddedCluster
from almondspread_standin.tests.operators import plan_deployment


class EmbeddedClusterTest(unittest.IsolatedAsyncioTestCase):
    # A stack for every callback made a start outlast the leases of its instances.
    async def test_start_does_not_record_a_stack_for_every_callback(self):
        cluster = EmbeddedCluster(plan_deployment(("umea",), 1), SystemClock())
        self.addAsyncCleanup(cluster.stop)
        await cluster.start()
        self.assertFalse(asyncio.get_running_loop().get_debug())
