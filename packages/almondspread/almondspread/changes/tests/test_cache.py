import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.changes import Entry, ResourceCache
from almondspread.changes.entries import (
    make_removal_change,
    make_spec_change,
    make_status_change,
)
from almondspread.changes.snapshots import encode_snapshot, load_snapshot
from almondspread.resources import Metadata, Team

HISTORY = 6
NAMES = st.sampled_from(("x", "y", "z"))
CHANGES = st.one_of(
    st.tuples(st.just("declare"), NAMES, st.integers(0, 3)),
    st.tuples(st.just("remove"), NAMES, st.just(0)),
    st.tuples(st.just("report"), NAMES, st.integers(0, 3)),
)
ENTRIES = st.lists(st.lists(CHANGES, min_size=1, max_size=3), max_size=20)


def make_change(action, name, value, revision):
    if action == "declare":
        return make_spec_change("team", Team(Metadata(name), value, 1))
    if action == "remove":
        return make_removal_change("team", name)
    report = {"created_revision": max(1, revision - value), "running": value}
    return make_status_change("team", name, "shard", report)


class NaiveHistory:
    """The state and effects of every revision, each computed from the one before."""

    def __init__(self):
        self.states = [{}]
        self.effects = [[]]

    def append(self, changes, revision):
        state = dict(self.states[-1])
        effects = []
        for action, name, value in changes:
            before = state.get(name)
            after = self.compute_next(before, action, value, revision)
            if after == before and action != "declare":
                if action == "remove" or not self.accepts(before, value, revision):
                    continue
            state[name] = after
            effects.append((action, name, before, after))
        self.states.append(state)
        self.effects.append(effects)

    def accepts(self, before, value, revision):
        return before is not None and before[0] == max(1, revision - value)

    def compute_next(self, before, action, value, revision):
        """Return the created revision, version, amount and report of a team."""
        if action == "remove":
            return None
        if action == "declare":
            created, _, _, report = before or (revision, 0, 0, None)
            return (created, revision, value, report)
        if not self.accepts(before, value, revision):
            return before
        return (*before[:3], value)


def describe(item):
    if item is None:
        return None
    report = item.reports.get("shard", {}).get("running")
    created = item.created_revision
    return (created, item.resource_version, item.resource.cpu_millis, report)


def describe_all(cache):
    return {item.name: describe(item) for item in cache.iterate()}


def apply_all(cache, entries, naive):
    for revision, changes in enumerate(entries, start=1):
        made = [make_change(*change, revision) for change in changes]
        cache.apply(Entry(revision, f"b{revision}", "a", 0.0, tuple(made)))
        naive.append(changes, revision)


def drop_absent(state):
    return {name: team for name, team in state.items() if team is not None}


class CacheTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=200)
    @given(ENTRIES, st.integers(0, 20))
    def test_like_a_full_history(self, entries, start):
        cache, naive = ResourceCache(HISTORY), NaiveHistory()
        apply_all(cache, entries, naive)
        self.assertEqual(describe_all(cache), drop_absent(naive.states[-1]))
        start = min(start, len(entries))
        applied = cache.list_applied_after(start)
        if len(entries) - start > HISTORY:
            self.assertIsNone(applied)
            return
        self.assertEqual(
            [one.entry.revision for one in applied],
            [*range(start + 1, len(entries) + 1)],
        )
        for one in applied:
            found = []
            for effect in one.changes:
                before, after = describe(effect.before), describe(effect.after)
                found.append((effect.change.name, before, after))
            wanted = [effect[1:] for effect in naive.effects[one.entry.revision]]
            self.assertEqual(found, wanted)

    @settings(derandomize=True, deadline=None, database=None, max_examples=100)
    @given(ENTRIES, st.integers(0, 20))
    def test_snapshot_then_entries(self, entries, cut):
        whole, older, naive = ResourceCache(), ResourceCache(), NaiveHistory()
        apply_all(older, entries[:cut], naive)
        apply_all(whole, entries, naive)
        started = ResourceCache()
        self.assertEqual(
            load_snapshot(started, encode_snapshot(older)), bool(entries[:cut])
        )
        for entry in whole.list_entries_after(started.revision):
            started.apply(entry)
        self.assertEqual(describe_all(started), describe_all(whole))
        self.assertEqual(started.spec_revision, whole.spec_revision)

    def test_older_snapshot_is_not_loaded(self):
        cache, naive = ResourceCache(), NaiveHistory()
        apply_all(cache, [[("declare", "x", 1)]], naive)
        data = encode_snapshot(cache)
        second = make_change("declare", "x", 2, 2)
        cache.apply(Entry(2, "b", "a", 0.0, (second,)))
        self.assertFalse(load_snapshot(cache, data))
        self.assertEqual(cache.find("team", "x").resource.cpu_millis, 2)

    def test_entry_is_applied_completely_or_not_at_all(self):
        cache = ResourceCache()
        good = make_change("declare", "x", 1, 1)
        bad = evolve(make_change("declare", "y", 1, 1), value=b"\xc1")
        with self.assertRaises(ValueError):
            cache.apply(Entry(1, "b", "a", 0.0, (good, bad)))
        self.assertEqual((cache.revision, list(cache.iterate())), (0, []))


if __name__ == "__main__":
    unittest.main()
