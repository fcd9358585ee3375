import asyncio
import random
import unittest

from attrs import define, field

from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.faults import CONTACT_SECONDS, FaultInjector
from almondspread_standin.soak.proxy import LinkState
from platform_standin.store_server import ClientFaults, StoreFaults, TurnedAway


@define
class FakeProxy:
    state: LinkState = LinkState.OPEN


@define
class FakeInstance:
    """What the injector looks at of an instance."""

    store_faults: ClientFaults = field(factory=ClientFaults)
    store_proxy: FakeProxy = field(factory=FakeProxy)
    is_alive: bool = True


@define
class FakeInstances:
    instances: list


class StoreReachTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a check of configurations that nobody could learn of.

    In soak --configurations, seed 7104, four of five instances were turned away, and
    the fifth was cut off from the store meanwhile.
    """

    async def asyncSetUp(self):
        self.cell = FakeInstances([FakeInstance() for _ in range(3)])
        self.injector = FaultInjector(
            self.cell, None, MemoryRecordStore(), StoreFaults(), random.Random(1)
        )
        watch = asyncio.create_task(self.injector.watch_store())
        self.addCleanup(watch.cancel)

    async def is_disturbed(self):
        await asyncio.sleep(0.2)
        return self.injector.is_disturbed()

    async def test_one_instance_that_reaches_the_store_is_enough(self):
        first, second, _ = self.cell.instances
        first.store_faults.turned_away = TurnedAway.BUSY
        second.store_proxy.state = LinkState.HELD
        self.assertFalse(await self.is_disturbed())

    async def test_faults_that_together_keep_all_from_the_store_count(self):
        first, second, third = self.cell.instances
        first.store_faults.turned_away = TurnedAway.BUSY
        second.store_proxy.state = LinkState.HELD
        third.is_alive = False
        self.assertTrue(await self.is_disturbed())
        second.store_proxy.state = LinkState.OPEN
        self.assertTrue(await self.is_disturbed())
        self.injector._undisturbed_since -= CONTACT_SECONDS
        self.assertFalse(await self.is_disturbed())


if __name__ == "__main__":
    unittest.main()
