"""Replays of planned stops of the leader, also while the store is slow."""

import asyncio
import unittest
from datetime import timedelta

from expression import Ok

from almondspread.codec import encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowPut, Transaction
from almondspread.testing.fake_cell import make_configuration
from almondspread_daemon.jobs.candidacy import SUCCESSOR_CLAIM_TIME, Candidacy
from almondspread_daemon.jobs.links import Released
from almondspread_daemon.jobs.members import Member, Members
from almondspread_daemon.jobs.rows import LEADER_ROW, decode_leader
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_instance,
    run_ready_tasks,
)
from almondspread_daemon.jobs.tests.test_leading import LeaderTestCase


class EmptyDirectory:
    async def list_upstreams(self, timeout):
        return Ok([])


def make_member(instance, strength=1.0, started=0, leaving=False):
    member = Member(
        instance,
        "zone",
        1.0,
        lambda _: None,
        timedelta(0),
        strength,
        started * SECOND,
    )
    member.leaving = leaving
    return member


class SuccessorTest(unittest.TestCase):
    def choose(self, *members):
        found = Members()
        for member in members:
            found.add(member)
        return found.choose_successor("leader")

    def test_strongest_leads_next(self):
        weak = make_member("weak", 0.3, started=9)
        self.assertEqual(self.choose(weak, make_member("strong")), "strong")

    def test_last_started_of_equals_leads_next(self):
        """Replays a restart of all instances in turn, in which the leadership went to
        instances that were the next to be stopped."""
        old, new = make_member("old", started=1), make_member("new", started=5)
        self.assertEqual(self.choose(new, old), "new")

    def test_neither_the_leader_nor_one_that_leaves_is_named(self):
        leaving = make_member("leaving", leaving=True)
        self.assertEqual(self.choose(make_member("leader"), leaving), "")


class ReleaseTest(LeaderTestCase):
    async def test_commit_that_waits_does_not_take_the_release_back(self):
        await self.claim()
        outcomes = await asyncio.gather(
            self.committer.commit(released=True), self.committer.commit()
        )
        self.assertEqual(outcomes, [True, False])
        row, version = decode_leader((self.store.rows[LEADER_ROW],))
        self.assertTrue(row.released)
        self.assertEqual(version, self.committer.version)

    async def test_release_that_is_not_stored_leaves_the_leadership(self):
        await self.claim()
        self.store.refuses = lambda _: True
        self.assertFalse(await self.committer.commit(released=True))
        self.store.refuses = lambda _: False
        self.assertTrue(await self.committer.commit())


class SuccessionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = StoreParts()
        parts = self.parts
        access = StoreAccess(parts.store, EmptyDirectory(), parts.clock, parts.metrics)
        self.instance = make_instance(parts, access)
        self.instance.job_service.configuration = make_configuration()
        self.working = None

    async def asyncTearDown(self):
        if self.working is not None:
            self.working.cancel()
            await asyncio.gather(self.working, return_exceptions=True)

    async def put_row(self, **fields):
        row = LeaderRow(4, "entry-2", "two", "127.0.0.1:1", 50.0, **fields)
        transaction = Transaction(puts=(RowPut(LEADER_ROW, encode_message(row)),))
        return row, (await self.parts.store.transact(transaction, SECOND)).ok.version

    def take_part(self):
        self.working = asyncio.create_task(self.instance._run_election())

    def read_row(self):
        return decode_leader((self.parts.store.rows[LEADER_ROW],))[0]

    async def test_named_successor_claims_without_a_further_look(self):
        row, version = await self.put_row(released=True)
        self.instance._dispatcher.dispatch(Released(row, version, "entry-1"))
        store = self.parts.store
        # How many transactions there had been at each call, the claim being the second.
        calls = []
        store.refuses = lambda _: calls.append(store.transactions)
        self.take_part()
        await run_ready_tasks()
        self.assertEqual(self.read_row().incarnation, "one")
        self.assertEqual(calls[0], 2)

    async def test_others_leave_the_claim_to_the_successor_for_a_while(self):
        row, version = await self.put_row(released=True)
        began = self.parts.clock.monotonic()
        self.instance._dispatcher.dispatch(Released(row, version, "entry-3"))
        self.take_part()
        while self.read_row().incarnation != "one":
            await asyncio.sleep(0)
        waited = self.parts.clock.monotonic() - began
        self.assertGreaterEqual(waited, SUCCESSOR_CLAIM_TIME)
        self.assertLess(waited, 2 * SUCCESSOR_CLAIM_TIME)

    async def test_claim_whose_answer_was_lost_is_taken_up(self):
        """Before, the instance waited for the lease of its own claim to run out."""
        await self.put_row(released=True)
        losses = [True]
        self.parts.store.loses_answer = lambda: bool(losses and losses.pop())
        began = self.parts.clock.monotonic()
        self.take_part()
        while self.instance._session is None:
            await asyncio.sleep(0)
        self.assertEqual(self.read_row().epoch, 5)
        self.assertLess(self.parts.clock.monotonic() - began, SECOND)

    async def test_leader_that_renews_late_is_asked_before_it_is_deposed(self):
        """Replays a slow store: an instance that had just started found the lease
        expired, and deposed a leader that all others followed."""
        await self.put_row()
        self.parts.store.store_time += 60 * SECOND
        asked = []

        async def follow(row):
            asked.append(self.read_row().incarnation)

        self.instance._follower.follow = follow
        self.take_part()
        while self.read_row().incarnation != "one":
            await asyncio.sleep(0)
        self.assertEqual(asked, ["two"])


class CandidacyTest(unittest.TestCase):
    def setUp(self):
        self.parts = StoreParts()
        self.candidacy = Candidacy(
            "entry-1", "one", self.parts.clock, self.parts.store_clock
        )
        self.row = LeaderRow(4, "entry-2", "two", "127.0.0.1:1", 50.0, renewal=7)

    def pass_time(self, duration):
        self.parts.clock.advance(duration)

    def test_leader_that_is_not_heard_keeps_its_lease(self):
        self.candidacy.record_unreachable("two", 7)
        self.assertFalse(self.candidacy.may_claim(self.row))
        self.pass_time(2 * SECOND)
        self.assertTrue(self.candidacy.may_claim(self.row))

    def test_leader_that_has_renewed_since_is_asked_again(self):
        self.candidacy.record_unreachable("two", 6)
        self.pass_time(60 * SECOND)
        self.assertFalse(self.candidacy.may_claim(self.row))
        self.assertFalse(self.candidacy.is_unreachable(self.row))

    def test_leader_that_has_ended_is_replaced_at_once(self):
        self.candidacy.record_ended("two")
        self.assertTrue(self.candidacy.may_claim(self.row))

    def test_leader_that_resigned_may_lead_again(self):
        self.candidacy.record_resignation(4)
        self.assertTrue(self.candidacy.may_claim(self.row))
        again = LeaderRow(6, "entry-2", "two", "127.0.0.1:1", 50.0)
        self.assertFalse(self.candidacy.may_claim(again))

    def test_earlier_process_of_this_instance_has_ended(self):
        row = LeaderRow(4, "entry-1", "before", "127.0.0.1:1", 50.0)
        self.assertTrue(self.candidacy.may_claim(row))

    def test_own_row_of_an_epoch_that_is_over_is_not_taken_up(self):
        own = LeaderRow(4, "entry-1", "one", "127.0.0.1:1", 50.0)
        self.assertTrue(self.candidacy.is_own_claim(own))
        self.candidacy.record_leadership(4)
        self.assertFalse(self.candidacy.is_own_claim(own))

    def test_release_counts_once(self):
        self.candidacy.record_release(Released(self.row, 3, "entry-1"))
        self.assertEqual(self.candidacy.consume_release().version, 3)
        self.assertIsNone(self.candidacy.consume_release())
        self.assertFalse(self.candidacy.must_wait)

    def test_release_without_a_successor_leaves_the_claim_to_all(self):
        self.candidacy.record_release(Released(self.row, 3, ""))
        self.assertIsNone(self.candidacy.consume_release())
        self.assertFalse(self.candidacy.must_wait)


if __name__ == "__main__":
    unittest.main()
