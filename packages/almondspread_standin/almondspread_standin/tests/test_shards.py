import asyncio
import unittest
from datetime import timedelta

from loguru import logger

from almondspread.codec import encode_message
from almondspread.interfaces import Write
from almondspread.journal import make_row_key
from almondspread.ownership import OwnerRecord, make_owner_key
from almondspread_standin.tests.shard_domain import SHARD, TERMS, Domain

LAPSE = TERMS.time_to_lapse.total_seconds()
HORIZON = TERMS.horizon.total_seconds()
HOUR = 3_600


class DomainTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        logger.disable("almondspread_daemon")
        self.addCleanup(logger.enable, "almondspread_daemon")
        self.domain = Domain()
        self.domain.declare("service", "stops", 3)
        self.domain.declare("batch", "nightly", 3, ("sleep", "100000"))

    async def asyncTearDown(self):
        counted = self.domain.ledger.count()
        await self.domain.close()
        self.assertEqual(counted.double_runs, 0)
        self.assertEqual(counted.over_commitments, 0)

    async def start(self, *names):
        for name in names or ("entry-1", "entry-2"):
            self.domain.add_node(name)
        await self.domain.run(6)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        return self.domain.find_owner()

    def find_other(self, owner):
        for node in self.domain.nodes.values():
            if node is not owner:
                return node
        return None


class TakeoverTest(DomainTestCase):
    async def test_killed_owner_is_followed_without_a_lapse_or_a_restart(self):
        owner = await self.start()
        started = self.domain.ledger.count().started
        other = self.find_other(owner)
        await owner.kill()
        await self.domain.run(5)
        self.assertIs(self.domain.find_owner(), other)
        self.assertEqual(other.keeper.list_epochs(), {SHARD: 2})
        await self.domain.run(60)
        self.assertEqual(self.domain.ledger.count().started, started)
        self.assertEqual(sum(self.domain.list_running().values()), 6)

    async def test_status_after_a_takeover_waits_for_the_workers(self):
        """The report of the previous owner stands until what runs is known."""
        owner = await self.start()
        other = self.find_other(owner)
        address = next(iter(self.domain.agents))
        other.cut_workers.add(address)
        await owner.kill()
        while other.shard is None:
            await self.domain.run(0.1)
        # Shorter than three exchanges, after which the worker counts as unreachable.
        await self.domain.run(0.8)
        for reports in other.published:
            for report in reports.values():
                self.assertEqual(report["running"], 3)
        other.cut_workers.clear()
        await self.domain.run(10)
        self.assertTrue(other.published)
        last = {}
        for reports in other.published:
            last.update(reports)
        self.assertEqual([report["running"] for report in last.values()], [3, 3])

    async def test_handover_is_taken_at_once_and_keeps_every_lease(self):
        owner = await self.start()
        other = self.find_other(owner)
        writes = self.domain.table.row_writes
        await self.run_beside(owner.keeper.hand_over_all(), 0.08, step=0.02)
        self.assertIs(self.domain.find_owner(), other)
        self.assertLessEqual(self.domain.table.row_writes - writes, 4)
        await owner.kill()
        await self.domain.run(30)
        self.assertEqual(self.domain.ledger.count().started, 6)
        self.assertEqual(sum(self.domain.list_running().values()), 6)

    async def run_beside(self, coroutine, seconds, step=0.1):
        task = asyncio.ensure_future(coroutine)
        await self.domain.run(seconds, step)
        self.assertTrue(task.done())

    async def test_handover_during_an_outage_ends_and_releases_nothing(self):
        owner = await self.start()
        owner.table.cut = True
        self.domain.declare("batch", "more", 2, ("sleep", "5"))
        self.domain.catch_up()
        await self.domain.run(2)
        await self.run_beside(owner.keeper.hand_over_all(), 5)
        row = self.domain.table.rows[make_owner_key(SHARD)]
        self.assertIn(owner.claimant.incarnation.encode(), row.value)
        await owner.kill()
        await self.domain.run(20)
        self.assertEqual(self.domain.list_running()["service/stops:1#0"], 1)
        self.assertEqual(self.domain.ledger.count().started, 8)

    async def test_c2_late_claim_of_a_live_instance_is_released(self):
        owner = await self.start()
        other = self.find_other(owner)
        # As if a claim of the other instance had landed after it gave up.
        late = OwnerRecord(
            other.name,
            other.claimant.incarnation,
            2,
            other.claimant.address,
            "late",
        )
        self.domain.table.apply(
            [], [Write(make_owner_key(SHARD), encode_message(late))]
        )
        other.keeper._unconfirmed.add(SHARD)
        await self.domain.run(5)
        self.assertIs(self.domain.find_owner(), owner)
        self.assertGreater(owner.keeper.list_epochs()[SHARD], 2)

    async def test_owner_replaced_under_its_name_is_taken_over_from(self):
        owner = await self.start("entry-1")
        await owner.kill()
        again = self.domain.add_node("entry-1")
        await self.domain.run(1)
        self.assertIs(self.domain.find_owner(), again)
        self.assertIsNotNone(again.shard.ownership.authority.previous_stopped_at)

    async def test_l4_namesake_elsewhere_waits_and_does_not_count_as_evidence(self):
        owner = await self.start("entry-1")
        await owner.kill()
        again = self.domain.add_node("entry-1", "peer-elsewhere")
        await self.domain.run(1)
        self.assertIsNone(again.shard)
        await self.domain.run(4)
        self.assertIs(self.domain.find_owner(), again)
        self.assertIsNone(again.shard.ownership.authority.previous_stopped_at)


class StaleOwnerTest(DomainTestCase):
    async def test_l3_superseded_owner_stops_within_a_confirmation(self):
        owner = await self.start()
        other = self.find_other(owner)
        owner.cut_peers = True
        owner.table.cut = True
        await self.domain.run(10)
        self.assertIsNotNone(other.shard)
        self.assertIsNotNone(owner.shard)
        owner.table.cut = False
        await self.domain.run(2)
        self.assertIsNone(owner.shard)

    async def test_l3_confirmed_owner_acts_beyond_the_horizon(self):
        await self.start("entry-1")
        await self.domain.run(HORIZON + 30)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(self.domain.ledger.count().started, 6)

    async def test_l1_exchange_of_a_paused_owner_is_dead_on_arrival(self):
        """The pause falls between the owner's check and its act."""
        owner = await self.start()
        self.domain.declare("batch", "held", 2, ("sleep", "5"))
        self.domain.catch_up()
        owner.hold_exchanges = True
        await self.domain.run(1)
        held = list(self.domain.held)
        self.assertTrue(any(message.starts for _, message in held))
        await owner.kill()
        self.domain.remove("batch", "held")
        self.domain.catch_up()
        await self.domain.run(30)
        running = self.domain.list_running()
        for address, message in held:
            self.domain.deliver(address, message)
        self.assertEqual(self.domain.list_running(), running)

    async def test_l3_owner_without_the_table_renews_up_to_the_horizon(self):
        owner = await self.start("entry-1")
        owner.table.cut = True
        await self.domain.run(HORIZON - 5)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        await self.domain.run(5 + LAPSE)
        self.assertEqual(sum(self.domain.list_running().values()), 0)

    async def test_l4_cut_off_owner_counts_as_renewing(self):
        """The worker and its owner vanish together from the other instance's view."""
        owner = await self.start()
        other = self.find_other(owner)
        address = next(iter(self.domain.agents))
        owner.cut_peers = owner.table.cut = True
        other.cut_workers.add(address)
        await self.domain.run(HORIZON - 10)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(self.domain.ledger.count().started, 6)

    async def test_l4_rack_lost_with_its_owner_is_replaced_after_one_lapse(self):
        owner = await self.start()
        other = self.find_other(owner)
        address, agent = next(iter(self.domain.agents.items()))
        lost = len(agent.running)
        self.assertGreater(lost, 0)
        agent.die()
        await owner.kill()
        await self.domain.run(8)
        self.assertIsNone(other.shard.ownership.authority.previous_stopped_at)
        other.members.mark_unlisted(owner.name, owner.claimant.address)
        await self.domain.run(2 + LAPSE + 4)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(self.domain.ledger.count().started, 6 + lost)

    async def test_l4_rack_lost_with_its_owner_waits_without_evidence(self):
        owner = await self.start()
        agent = next(iter(self.domain.agents.values()))
        lost = len(agent.running)
        agent.die()
        await owner.kill()
        await self.domain.run(10 * LAPSE)
        self.assertEqual(sum(self.domain.list_running().values()), 6 - lost)

    async def test_j5_owner_with_older_resources_removes_and_reverts_nothing(self):
        owner = await self.start()
        other = self.find_other(owner)
        self.domain.declare("batch", "late", 2, ("sleep", "100000"))
        owner.catch_up()
        await self.domain.run(2)
        await owner.kill()
        await self.domain.run(10)
        self.assertIs(self.domain.find_owner(), other)
        self.assertEqual(sum(self.domain.list_running().values()), 8)
        other.catch_up()
        await self.domain.run(10)
        self.assertEqual(sum(self.domain.list_running().values()), 8)
        self.assertEqual(self.domain.ledger.count().started, 8)


class OutageTest(DomainTestCase):
    async def test_hour_without_the_table_keeps_work_and_restarts_services(self):
        self.domain.horizon = timedelta(hours=2)
        owner = await self.start("entry-1")
        self.domain.table.down = True
        agent = next(iter(self.domain.agents.values()))
        agent.set_faults(crash_all=True)
        await self.domain.run(5)
        agent.set_faults(crash_all=False)
        self.domain.declare("batch", "later", 3, ("sleep", "5"))
        self.domain.catch_up()
        await self.domain.run(HOUR, step=2)
        self.assertIs(self.domain.find_owner(), owner)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(self.domain.ledger.count().started, 6)
        self.domain.table.down = False
        await self.domain.run(3)
        self.assertEqual(self.domain.ledger.count().started, 9)
        self.assertEqual(sum(self.domain.list_running().values()), 9)

    async def test_flapping_table_with_lost_answers_loses_and_doubles_nothing(self):
        await self.start()
        for number in range(20):
            self.domain.declare("batch", f"job-{number}", 1, ("sleep", "1"))
            self.domain.catch_up()
            self.domain.table.down = number % 3 == 0
            self.domain.table.lose_answers = number % 2
            await self.domain.run(1)
        self.domain.table.down = False
        self.domain.table.lose_answers = 0
        await self.domain.run(20)
        self.assertEqual(self.domain.ledger.count().started, 26)
        self.assertEqual(sum(self.domain.list_running().values()), 6)

    async def test_j4_broken_row_stops_the_shard_and_is_not_overwritten(self):
        owner = await self.start()
        other = self.find_other(owner)
        key = make_row_key(SHARD, 1)
        self.domain.table.apply([], [Write(key, b"\xc1")])
        await owner.kill()
        await self.domain.run(60, step=0.5)
        self.assertIn(key, other.keeper.faults[SHARD])
        self.assertIsNone(other.shard)
        self.assertEqual(self.domain.table.rows[key].value, b"\xc1")


class WorkerTest(DomainTestCase):
    async def test_l6_restarted_worker_has_its_tasks_replaced_at_once(self):
        await self.start()
        agent = next(iter(self.domain.agents.values()))
        lost = len(agent.running)
        agent.restart()
        await self.domain.run(3)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(self.domain.ledger.count().started, 6 + lost)

    async def test_l5_worker_that_does_not_answer_keeps_its_tasks_for_one_lapse(self):
        owner = await self.start()
        address = next(iter(self.domain.agents))
        for node in self.domain.nodes.values():
            node.cut_workers.add(address)
        await self.domain.run(LAPSE + 5)
        self.assertIs(self.domain.find_owner(), owner)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertGreater(self.domain.ledger.count().started, 6)

    async def test_l1_worker_whose_clock_is_far_off_obeys_nothing(self):
        agent = next(iter(self.domain.agents.values()))
        agent.set_faults(clock_offset_seconds=60.0)
        self.domain.add_node("entry-1")
        await self.domain.run(2 * LAPSE)
        self.assertEqual(agent.running, ())
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        agent.set_faults(clock_offset_seconds=0.0)
        self.domain.declare("batch", "more", 6, ("sleep", "100000"))
        self.domain.catch_up()
        await self.domain.run(5)
        self.assertEqual(len(agent.running), 4)

    async def test_worker_replaced_at_another_address_is_not_asked_too_soon(self):
        await self.start()
        address, agent = next(iter(self.domain.agents.items()))
        self.domain.add_worker(agent.name, "address-new")
        await self.domain.run(LAPSE - 2)
        self.assertEqual(self.domain.agents["address-new"].running, ())
        await self.domain.run(10)
        self.assertEqual(sum(self.domain.list_running().values()), 6)
        self.assertEqual(agent.running, ())
