import unittest
from datetime import UTC, datetime, timedelta

from almondspread.ownership import Member, Members, make_incarnation

SUSPECT_AFTER = timedelta(seconds=1)
OLD = make_incarnation(datetime(2026, 1, 1, tzinfo=UTC))
NEW = make_incarnation(datetime(2026, 1, 1, 0, 0, 5, tzinfo=UTC))
ADDRESS, OTHER_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"


class MembersTest(unittest.TestCase):
    def setUp(self):
        self.members = Members(SUSPECT_AFTER)

    def receive_heartbeat(self, incarnation, seconds, address=ADDRESS):
        heard_at = timedelta(seconds=seconds)
        self.members.record_heartbeat(
            Member("entry-1", address, "umea", incarnation, heard_at)
        )

    def has_ended(self, incarnation, seconds, address=ADDRESS):
        now = timedelta(seconds=seconds)
        return self.members.has_ended("entry-1", incarnation, address, now)

    def test_late_heartbeat_of_an_earlier_process_is_ignored(self):
        self.receive_heartbeat(NEW, 1)
        self.receive_heartbeat(OLD, 2)
        self.assertEqual(self.members.find("entry-1").incarnation, NEW)
        self.assertFalse(self.has_ended(NEW, 3))

    def test_l4_later_process_at_the_same_address_is_evidence(self):
        self.receive_heartbeat(OLD, 1)
        self.assertFalse(self.has_ended(OLD, 60))
        self.receive_heartbeat(NEW, 61)
        self.assertTrue(self.has_ended(OLD, 61))

    def test_l4_later_process_at_another_address_is_no_evidence(self):
        self.receive_heartbeat(OLD, 1)
        self.receive_heartbeat(NEW, 2, OTHER_ADDRESS)
        self.assertFalse(self.has_ended(OLD, 60))

    def test_l4_older_heartbeat_is_no_evidence_against_a_later_process(self):
        self.receive_heartbeat(OLD, 1)
        self.assertFalse(self.has_ended(NEW, 60))

    def test_l4_list_is_evidence_only_while_the_instance_is_silent(self):
        self.receive_heartbeat(OLD, 1)
        self.members.mark_unlisted("entry-1", ADDRESS)
        self.assertEqual(self.members.list_live(timedelta(seconds=1)), [])
        self.assertFalse(self.has_ended(OLD, 1.5))
        self.assertTrue(self.has_ended(OLD, 3))
        self.receive_heartbeat(OLD, 4)
        self.assertFalse(self.has_ended(OLD, 4.5))

    def test_l4_list_is_evidence_only_about_the_address_that_left_it(self):
        self.receive_heartbeat(NEW, 1, OTHER_ADDRESS)
        self.members.mark_unlisted("entry-1", ADDRESS)
        self.assertFalse(self.has_ended(NEW, 60, OTHER_ADDRESS))
