"""Which requests callers' keys allow, by the configuration of an instance."""

import unittest
from datetime import timedelta

from attrs import evolve

from almondspread.jobs.access import (
    Allowed,
    ConfigurationAge,
    ConfigurationTooOld,
    OtherWorkspace,
    UnknownKey,
    decide_key,
    decide_owner,
)
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.jobs.workspaces import Workspace, digest_key

SECOND = timedelta(seconds=1)
QUEUE = Queue("q", "a.example", "/jobs/", "s")
PUBLIC = evolve(QUEUE, public=True)
CURRENT, STALE = ConfigurationAge(is_current=True), ConfigurationAge(is_current=False)
UNCHECKED = Allowed()


def make_configuration(**keys):
    """Return a configuration with a workspace for each name, and its keys."""
    workspaces = {}
    for name, own in keys.items():
        digests = frozenset(digest_key(key) for key in own)
        workspaces[name] = Workspace(name, key_digests=digests)
    return Configuration(1, workspaces=workspaces)


BOTH = make_configuration(a=("k-a", "k-a2"), b=("k-b",))


class KeyTest(unittest.TestCase):
    def test_each_key_of_a_workspace_is_allowed_as_that_workspace(self):
        for key, name in (("k-a", "a"), ("k-a2", "a"), ("k-b", "b")):
            allowed = decide_key(BOTH, QUEUE, key, CURRENT)
            self.assertEqual(allowed, Allowed(name, checks_owner=True))

    def test_no_key_is_needed_without_workspaces(self):
        """Guards cells that have no keys against any change."""
        for age in (CURRENT, STALE, ConfigurationAge(False, None, SECOND)):
            for key in ("", "k-a"):
                allowed = decide_key(Configuration(1), QUEUE, key, age)
                self.assertEqual(allowed, UNCHECKED)
        self.assertEqual(decide_owner(UNCHECKED, "a"), UNCHECKED)

    def test_empty_list_of_workspaces_lets_nobody_in(self):
        nobody = Configuration(1, workspaces={})
        self.assertIsInstance(decide_key(nobody, QUEUE, "k", CURRENT), UnknownKey)

    def test_public_queue_needs_no_key_and_takes_no_workspace_from_one(self):
        for key in ("", "k-a", "unheard"):
            for age in (CURRENT, ConfigurationAge(False, None, SECOND)):
                allowed = decide_key(BOTH, PUBLIC, key, age)
                self.assertEqual(allowed, Allowed(checks_owner=True))

    def test_missing_key_is_refused_for_good_also_by_an_old_configuration(self):
        for age in (CURRENT, STALE):
            decision = decide_key(BOTH, QUEUE, "", age)
            self.assertEqual(decision, UnknownKey(is_missing=True))

    def test_unknown_key_is_refused_for_good_only_by_a_current_configuration(self):
        """A key that was just added was answered as one that does not exist."""
        for key in ("k", "k-a ", "K-A", "k-a,k-b", "a"):
            decision = decide_key(BOTH, QUEUE, key, CURRENT)
            self.assertEqual(decision, UnknownKey(is_missing=False))
            decision = decide_key(BOTH, QUEUE, key, STALE)
            self.assertEqual(decision, ConfigurationTooOld())

    def test_digest_of_a_key_is_no_key(self):
        for key in (digest_key("k-a").hex(), digest_key("k-a").decode("latin-1")):
            self.assertIsInstance(decide_key(BOTH, QUEUE, key, CURRENT), UnknownKey)

    def test_old_configuration_goes_on_unless_its_age_is_bounded(self):
        for age in (None, 90 * SECOND):
            allowed = decide_key(BOTH, QUEUE, "k-a", ConfigurationAge(False, age))
            self.assertEqual(allowed, Allowed("a", checks_owner=True))

    def test_no_key_is_accepted_beyond_the_bound_on_the_age(self):
        """A revoked key was served for as long as an instance was cut off."""
        for age in (None, 5.001 * SECOND):
            for key in ("k-a", "unheard", ""):
                state = ConfigurationAge(False, age, 5 * SECOND)
                decision = decide_key(BOTH, QUEUE, key, state)
                self.assertEqual(decision, ConfigurationTooOld())
        within = ConfigurationAge(False, 5 * SECOND, 5 * SECOND)
        self.assertIsInstance(decide_key(BOTH, QUEUE, "k-a", within), Allowed)

    def test_removed_key_and_removed_workspace_are_refused(self):
        without = make_configuration(a=("k-a",))
        for key in ("k-a2", "k-b"):
            self.assertIsInstance(decide_key(without, QUEUE, key, CURRENT), UnknownKey)


class OwnerTest(unittest.TestCase):
    def test_job_of_another_workspace_is_refused(self):
        caller = Allowed("a", checks_owner=True)
        self.assertEqual(decide_owner(caller, "b"), OtherWorkspace("a"))
        for owner in ("a", ""):
            self.assertEqual(decide_owner(caller, owner), caller)

    def test_caller_of_a_public_queue_gets_no_job_of_a_workspace(self):
        """The path of a public queue would let anyone read and cancel all jobs."""
        caller = Allowed(checks_owner=True)
        self.assertEqual(decide_owner(caller, "a"), OtherWorkspace(""))
        self.assertEqual(decide_owner(caller, ""), caller)


if __name__ == "__main__":
    unittest.main()
