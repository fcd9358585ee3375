import asyncio
import unittest

from almondspread_daemon.requests.tests.support import ClusterTestCase

KIND = "recalculation"


class TestAtMostOnce(ClusterTestCase):
    async def test_concurrent_submissions_of_one_key_run_once(self):
        calls = [self.send(f"entry-{i % 3 + 1}", KIND, "race") for i in range(12)]
        replies = await asyncio.gather(*calls)
        digests = {reply.document["digest"] for reply in replies}
        self.assertEqual([reply.status for reply in replies], [200] * 12)
        self.assertEqual(len(digests), 1)
        self.assertEqual(self.count_runs("race"), 1)
        again = await self.send("entry-2", KIND, "race")
        self.assertEqual((again.status, again.outcome), (200, "recorded"))

    async def test_key_with_another_payload_is_a_conflict(self):
        await self.send("entry-1", KIND, "k", b"one")
        reply = await self.send("entry-2", KIND, "k", b"two")
        self.assertEqual(reply.status, 409)
        self.assertIs(reply.document["not_run"], True)
        self.assertIs(reply.document["earlier_not_run"], False)
        self.assertEqual(self.count_runs("k"), 1)

    async def test_incomplete_answer_is_unknown_and_never_sent_again(self):
        for mode in ("close", "half", "never"):
            with self.subTest(mode=mode):
                self.set_faults(mode=mode)
                reply = await self.send("entry-1", KIND, mode, seconds=0.5)
                self.assertEqual(reply.status, 504)
                self.assertIsNone(reply.document["not_run"])
                self.set_faults(mode="")
                for name in ("entry-1", "entry-2", "entry-3"):
                    again = await self.send(name, KIND, mode)
                    self.assertEqual(again.status, 504)
                    self.assertIsNone(again.document["not_run"])
                self.assertEqual(self.count_runs(mode), 1)

    async def test_answer_sent_twice_goes_to_no_other_caller(self):
        self.set_faults(mode="twice")
        for number in range(12):
            body = f"body {number}".encode()
            reply = await self.send("entry-1", KIND, f"twice-{number}", body)
            if reply.status == 200:
                self.assertEqual(reply.document["key"], f"twice-{number}")
            self.assertLessEqual(self.count_runs(f"twice-{number}"), 1)

    async def test_crossed_answers_go_to_their_own_callers(self):
        calls = []
        for number in range(40):
            body = f"body {number}".encode()
            running = self.send(f"entry-{number % 3 + 1}", KIND, f"c-{number}", body)
            calls.append(running)
        for number, reply in enumerate(await asyncio.gather(*calls)):
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.document["key"], f"c-{number}")
            self.assertEqual(self.count_runs(f"c-{number}"), 1)

    async def test_late_answer_is_recorded(self):
        self.set_faults(held=True)
        reply = await self.send("entry-1", KIND, "late", seconds=0.3)
        self.assertEqual(reply.status, 504)
        self.set_faults(held=False)
        for name in ("entry-1", "entry-2", "entry-3"):
            await self.wait_until_recorded(name, "late")
        self.assertEqual(self.count_runs("late"), 1)

    async def wait_until_recorded(self, entry, key):
        async with asyncio.timeout(20):
            while True:
                reply = await self.fetch_record(entry, key)
                if reply.status == 200:
                    return reply
                await asyncio.sleep(0.05)

    async def test_request_refused_by_its_minion_was_not_run(self):
        self.set_faults(mode="refuse")
        reply = await self.send("entry-1", KIND, "refused")
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.count_runs("refused"), 0)

    async def submit_held(self, entry, key):
        self.set_faults(held=True)
        call = asyncio.create_task(self.send(entry, KIND, key))
        await self.wait_until(lambda: self.count_runs(key) == 1)
        return call

    async def test_answer_is_recorded_after_the_entry_of_its_caller_dies(self):
        owner = self.find_owner("requests/umea/0")
        entry, other_entry = self.list_others(owner)
        key = self.pick_key(owner)
        call = await self.submit_held(entry, key)
        await self.cluster.kill_entry(entry)
        await call
        self.set_faults(held=False)
        reply = await self.wait_until_recorded(other_entry, key)
        self.assertEqual(reply.document["key"], key)
        self.assertEqual(self.count_runs(key), 1)

    async def test_owner_of_the_key_dies_between_dispatch_and_answer(self):
        owner = self.find_owner("requests/umea/0")
        entry, other_entry = self.list_others(owner)
        key = self.pick_key(owner)
        call = await self.submit_held(entry, key)
        await self.cluster.kill_entry(owner)
        reply = await call
        self.assertEqual(reply.status, 504)
        self.assertIsNone(reply.document["not_run"])
        shard = self.entries[0].router.find_key_shard("route", key)
        await self.wait_until(
            lambda: any(
                getattr(running.keeper.runners.get(shard), "recovered", False)
                for running in self.entries
            )
        )
        for name in (entry, other_entry):
            again = await self.send(name, KIND, key)
            self.assertIn(again.status, (503, 504), again)
        self.set_faults(held=False)
        self.assertEqual(self.count_runs(key), 1)

    async def test_store_outage_spares_lookups_and_refuses_calls_as_not_run(self):
        self.cluster.cell.platform.set_faults(down=True)
        for name in self.cluster.entries:
            self.assertEqual((await self.send(name)).status, 200)
        reply = await self.send("entry-1", KIND, "down", seconds=0.5)
        self.assertIn(reply.status, (429, 503))
        self.assertIs(reply.document["not_run"], True)
        self.assertEqual(self.count_runs("down"), 0)
        self.cluster.cell.platform.set_faults(down=False)
        again = await self.send("entry-2", KIND, "down")
        while again.status in (429, 503):
            self.assertIs(again.document["not_run"], True)
            again = await self.send("entry-2", KIND, "down")
        self.assertEqual((again.status, again.outcome), (200, "answered"))
        self.assertEqual(self.count_runs("down"), 1)

    async def test_answer_that_cannot_be_journalled_reaches_its_caller(self):
        call = await self.submit_held("entry-1", "outage")
        self.cluster.cell.platform.set_faults(down=True)
        self.set_faults(held=False)
        reply = await call
        self.assertEqual((reply.status, reply.outcome), (200, "answered"))
        self.cluster.cell.platform.set_faults(down=False)
        await self.wait_until_recorded("entry-2", "outage")
        self.assertEqual(self.count_runs("outage"), 1)

    async def test_full_slots_refuse_before_anything_is_journalled(self):
        self.set_faults(held=True)
        calls = []
        for number in range(2):
            running = self.send("entry-1", KIND, f"fill-{number}")
            calls.append(asyncio.create_task(running))
        await self.wait_until(lambda: self.count_in_flight() == 2)
        reply = await self.send("entry-2", KIND, "over", seconds=0.3)
        self.assertIs(reply.document["not_run"], True)
        record = await self.fetch_record("entry-3", "over")
        self.assertEqual(record.status, 404)
        self.assertIs(record.document["not_run"], True)
        self.set_faults(held=False)
        for reply in await asyncio.gather(*calls):
            self.assertEqual(reply.status, 200)
        self.assertEqual(self.count_runs("over"), 0)
        self.assert_limits_kept()

    async def test_requests_run_once_while_a_minion_is_dead(self):
        name = sorted(self.cluster.cell.minions)[0]
        await self.cluster.cell.kill_minion(name)
        for number in range(6):
            reply = await self.send("entry-1", KIND, f"dead-{number}")
            self.assertEqual(reply.status, 200, reply)
            self.assertEqual(self.count_runs(f"dead-{number}"), 1)


if __name__ == "__main__":
    unittest.main()
