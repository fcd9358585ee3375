import asyncio
import unittest

from almondspread_standin.tests.operators import (
    ClusterTest,
    make_configuration,
    make_team,
)


class ConfigurationTest(ClusterTest):
    domains = ("umea", "lulea")
    entries_in_each = 2

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.by_name = dict(self.cluster.urls)

    async def set_policy(self, name, policy):
        answer = await self.client.apply(self.by_name[name], make_configuration(policy))
        self.assertEqual(answer.status, 200, answer.document)
        return answer.document["revision"]

    async def read_status(self, name):
        path = f"{self.by_name[name]}/v1/resources/configuration/cell"
        return (await self.client.send(path)).document["status"]

    async def wait_for_status(self, name, condition):
        async with asyncio.timeout(20):
            while not condition(await self.read_status(name)):
                await asyncio.sleep(0.05)
        return await self.read_status(name)

    async def count_catch_ups(self, entry, count):
        """Wait until an instance has tried so often to read the log."""
        catch_up = entry.changes.catch_up
        tries = []

        async def note():
            tries.append(1)
            return await catch_up()

        entry.changes.catch_up = note
        await self.wait_until(lambda: len(tries) >= count)

    def find_policy(self, name):
        item = self.cluster.entries[name].changes.cache.find("configuration", "cell")
        return item.resource.policy

    async def test_in_force_everywhere(self):
        revision = await self.set_policy("umea-1", "packing")
        await self.wait_for_revision(revision)
        status = await self.wait_for_status("lulea-2", lambda s: not s["not_in_force"])
        self.assertEqual(status["accepted_revision"], revision)
        self.assertEqual(status["in_force"], sorted(self.cluster.entries))

    async def test_cut_off_domain_is_named_and_follows_later(self):
        await self.set_policy("umea-1", "packing")
        await self.wait_for_status("umea-2", lambda s: not s["not_in_force"])
        self.cluster.cut_off("lulea")
        revision = await self.set_policy("umea-1", "waiting")
        await self.wait_for_revision(revision, ["umea-1", "umea-2"])
        status = await self.wait_for_status(
            "umea-2",
            lambda s: (
                len([w for w in s["not_in_force"].values() if "silent" in w]) == 2
            ),
        )
        self.assertEqual(status["in_force"], ["umea-1", "umea-2"])
        self.assertEqual(sorted(status["not_in_force"]), ["lulea-1", "lulea-2"])
        refused = await self.client.apply(
            self.by_name["lulea-1"], make_configuration("packing", a="b")
        )
        # Of a change that was sent and not answered, nobody there knows the fate.
        self.assertIn(refused.status, (503, 504))
        self.assertIsNot(refused.document["not_run"], False)
        self.assertEqual(self.find_policy("lulea-1"), "packing")
        self.cluster.reconnect()
        await self.wait_for_revision(revision)
        self.assertEqual(self.find_policy("lulea-2"), "waiting")
        await self.wait_for_status("umea-2", lambda s: not s["not_in_force"])

    async def test_restart_in_an_outage_keeps_the_revision_in_force(self):
        revision = await self.set_policy("umea-1", "packing")
        await self.wait_for_revision(revision)
        self.cluster.cell.platform.set_faults(down=True)
        await self.cluster.kill_entry("lulea-2")
        started = await self.cluster.start_entry("lulea-2")
        await self.wait_until(lambda: started.is_ready)
        self.assertEqual(started.changes.cache.revision, revision)
        self.assertEqual(self.find_policy("lulea-2"), "packing")

    async def test_restart_far_behind_takes_a_peers_snapshot(self):
        revision = await self.set_policy("umea-1", "packing")
        await self.wait_for_revision(revision)
        self.cluster.cell.platform.set_faults(down=True)
        await self.cluster.kill_entry("lulea-2")
        for entry in self.cluster.entries.values():
            entry.changes.cache._history.clear()
        started = await self.cluster.start_entry("lulea-2")
        await self.wait_until(lambda: started.is_ready)
        self.assertEqual(self.find_policy("lulea-2"), "packing")
        self.assertEqual(started.changes.cache.oldest_revision, revision)

    async def test_restart_of_all_in_an_outage_is_not_ready(self):
        revision = await self.set_policy("umea-1", "packing")
        self.cluster.cell.platform.set_faults(down=True)
        names = list(self.cluster.entries)
        for name in names:
            await self.cluster.kill_entry(name)
        for name in names:
            await self.cluster.start_entry(name)
        first = self.cluster.entries[names[0]]
        await self.count_catch_ups(first, 3)
        answer = await self.client.send(f"{self.by_name[names[0]]}/readyz")
        self.assertEqual(answer.status, 503)
        self.cluster.cell.platform.set_faults(down=False)
        await self.wait_for_revision(revision)
        await self.wait_until(lambda: first.is_ready)

    async def test_lost_answers_and_races_keep_one_growing_revision(self):
        seen = {name: [] for name in self.cluster.entries}
        for name, entry in self.cluster.entries.items():
            announce = entry.follower.notify_change

            def note(name=name, entry=entry, announce=announce):
                seen[name].append(entry.changes.cache.revision)
                announce()

            entry.follower.notify_change = note
        calls = []
        for number in range(24):
            if number % 6 == 0:
                self.cluster.cell.platform.set_faults(lose_answers=2)
            url = list(self.by_name.values())[number % 4]
            calls.append(
                asyncio.ensure_future(self.client.apply(url, make_team("t", number)))
            )
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*calls)
        self.assertEqual({one.status for one in answers}, {200})
        revisions = [one.document["revision"] for one in answers]
        await self.wait_for_revision(max(revisions))
        self.assertEqual(len(set(revisions)), len(revisions))
        for found in seen.values():
            self.assertEqual(found, sorted(set(found)))


if __name__ == "__main__":
    unittest.main()
