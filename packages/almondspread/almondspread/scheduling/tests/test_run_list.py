import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.resources import Capacity
from almondspread.scheduling.run_list import (
    RunListEntry,
    count_backlog,
    list_startable,
    may_append,
)

CAPACITY = Capacity(8, 8, 2)
SIZES = st.builds(
    Capacity, st.integers(0, 5), st.integers(0, 5), st.sampled_from((0, 0, 1, 2))
)
AMOUNTS = ("cpu_millis", "memory_mib", "accelerators")


def make_entries(sizes):
    return [RunListEntry(f"t#{index}/1", size) for index, size in enumerate(sizes)]


def list_startable_naively(entries, capacity):
    """Check for each entry and resource whether all entries up to it fit."""
    startable = []
    for index, entry in enumerate(entries):
        fits = True
        for amount in AMOUNTS:
            if getattr(entry.size, amount) == 0:
                continue
            total = sum(getattr(other.size, amount) for other in entries[: index + 1])
            fits = fits and total <= getattr(capacity, amount)
        if fits:
            startable.append(entry.attempt)
    return startable


class RunListTest(unittest.TestCase):
    @given(st.lists(SIZES, max_size=8))
    @settings(derandomize=True, deadline=None, database=None)
    def test_rule_equals_naive_rule(self, sizes):
        entries = make_entries(sizes)
        expected = list_startable_naively(entries, CAPACITY)
        self.assertEqual(list_startable(entries, CAPACITY), expected)
        self.assertEqual(count_backlog(entries, CAPACITY), len(sizes) - len(expected))

    @given(st.lists(SIZES, min_size=1, max_size=6), st.data())
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    def test_r1_two_owners_with_old_knowledge_never_overcommit(self, sizes, data):
        """Claim R1: whatever ends are known to whom, what runs fits together."""
        entries = make_entries(sizes)
        running, ended = set(), set()
        known = [set(), set()]
        for _ in range(data.draw(st.integers(1, 12))):
            step = data.draw(st.sampled_from(("start", "end", "learn")))
            owner = data.draw(st.sampled_from((0, 1)))
            if step == "start":
                listed = [item for item in entries if item.attempt not in known[owner]]
                running.update(set(list_startable(listed, CAPACITY)) - ended)
            elif step == "end" and running:
                attempt = data.draw(st.sampled_from(sorted(running)))
                running.discard(attempt)
                ended.add(attempt)
            elif ended:
                known[owner].add(data.draw(st.sampled_from(sorted(ended))))
            total = Capacity(0, 0, 0)
            for entry in entries:
                if entry.attempt in running:
                    total = total.plus(entry.size)
            self.assertTrue(total.fits_in(CAPACITY), total)

    def test_backlog_is_bounded(self):
        entries = make_entries([Capacity(8, 1), Capacity(4, 1)])
        self.assertFalse(may_append(entries, Capacity(4, 1), CAPACITY, 1))
        self.assertTrue(may_append(entries, Capacity(4, 1), CAPACITY, 2))
        self.assertFalse(may_append([], Capacity(9, 1), CAPACITY, 64))
