import asyncio
import random
import unittest

from almondspread_standin.soak.configuration_probe import (
    APPLY_SECONDS,
    NOT_FOUND,
    ConfigurationProbe,
)
from almondspread_standin.soak.instances import Instance

BUSY = 503


class FakeClients:
    """Answers probes with a status, and keeps the violations."""

    def __init__(self, status):
        self.status = status
        self.rng = random.Random(1)
        self.violations = []
        self.record_violation = self.violations.append

    async def call(self, instance, method, path):
        await asyncio.sleep(0)
        return self.status, {}


class ConfigurationProbeTest(unittest.IsolatedAsyncioTestCase):
    """The probe finds each way in which a configuration is not in force."""

    async def probe(self, ages, *probes, disturbed=False):
        """Return the violations of probes, each a version and the answer's status.

        Version N was published ``ages[N - 1]`` seconds ago.
        """
        now = asyncio.get_running_loop().time()
        published_at = {number: now - age for number, age in enumerate(ages, start=1)}
        clients = FakeClients(200)
        probe = ConfigurationProbe(clients, published_at, lambda: disturbed)
        instance = Instance("instance-1", "north", "127.0.0.1", "", None, None)
        for version, status in probes:
            clients.status = status
            await probe._probe(instance, version)
        return len(clients.violations)

    async def test_older_version_is_a_violation_once_its_time_is_over(self):
        late, early = APPLY_SECONDS + 0.5, APPLY_SECONDS - 0.5
        self.assertEqual(await self.probe((9, late), (1, 200)), 1)
        self.assertEqual(await self.probe((9, early), (1, 200)), 0)
        self.assertEqual(await self.probe((9, late), (2, 200)), 0)

    async def test_missing_route_is_a_violation_once_its_time_is_over(self):
        late, early = APPLY_SECONDS + 0.5, APPLY_SECONDS - 0.5
        self.assertEqual(await self.probe((9, late), (2, NOT_FOUND)), 1)
        self.assertEqual(await self.probe((9, early), (2, NOT_FOUND)), 0)
        self.assertEqual(await self.probe((9, late), (2, BUSY)), 0)
        self.assertEqual(await self.probe((9, late), (1, NOT_FOUND)), 0)

    async def test_version_that_goes_back_is_a_violation_at_any_time(self):
        for disturbed in (False, True):
            probes = ((2, 200), (1, 200))
            self.assertEqual(await self.probe((9, 0), *probes, disturbed=disturbed), 1)

    async def test_disturbed_instance_may_be_late(self):
        probes = ((1, 200), (2, NOT_FOUND))
        self.assertEqual(await self.probe((9, 9), *probes, disturbed=True), 0)


if __name__ == "__main__":
    unittest.main()
