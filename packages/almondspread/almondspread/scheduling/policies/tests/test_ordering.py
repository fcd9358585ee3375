import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.clock import ManualClock
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import (
    DEADLINE_WINDOW,
    STARVATION_LIMIT,
    WaitingQueue,
    WaitingWorkload,
)

NOW = ManualClock().now()
SIZE = Capacity(1, 1)


def make_workload(name, priority=100, team="t", age=0, start=None):
    latest = None if start is None else NOW + timedelta(minutes=start)
    submitted = NOW - timedelta(minutes=age)
    return WaitingWorkload(name, team, priority, SIZE, submitted, latest_start=latest)


def rank_naively(workload, shares):
    """Return the key by which the whole queue can be sorted for one choice."""
    submitted, name = workload.submitted, workload.name
    start = workload.latest_start
    soon = start is not None and start <= NOW + DEADLINE_WINDOW
    if workload.priority < 900 and submitted <= NOW - STARVATION_LIMIT:
        return (1, submitted, name)
    within = (0, start, name) if soon else (1, shares[workload.team], submitted, name)
    return (0 if workload.priority >= 900 else 2, -workload.priority, *within)


workloads = st.lists(
    st.tuples(
        st.sampled_from([100, 200, 900, 950]),
        st.sampled_from("xyz"),
        st.integers(0, 40),
        st.sampled_from([None, -5, 3, 9, 30]),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=12,
)


class WaitingQueueTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(workloads)
    def test_equals_a_sort_before_each_choice(self, drawn):
        queue = WaitingQueue()
        waiting = {}
        for number, (priority, team, age, start, tasks, fits) in enumerate(drawn):
            workload = make_workload(f"w{number:02}", priority, team, age, start)
            names = [f"{workload.name}-{task}" for task in range(tasks)]
            queue.add(workload, names)
            waiting[workload.name] = [workload, names, fits]
        shares = dict.fromkeys("xyz", 0.0)
        for entry in queue.iterate(NOW, shares.__getitem__):
            expected = min(
                (item[0] for item in waiting.values()),
                key=lambda workload: rank_naively(workload, shares),
            )
            self.assertEqual(entry.workload, expected)
            _, names, fits = waiting[expected.name]
            if not fits:
                del waiting[expected.name]
                continue
            self.assertEqual(entry.first_task(), names[0])
            queue.remove(expected.name, names.pop(0))
            shares[expected.team] += 0.25
            if not names:
                del waiting[expected.name]
        self.assertEqual(waiting, {})

    def test_starved_workload_comes_before_a_stream_of_higher_priority(self):
        queue = WaitingQueue()
        queue.add(make_workload("old", priority=1, age=31), ["old-0"])
        for number in range(5):
            queue.add(make_workload(f"new{number}", priority=800), ["a"])
        first = next(queue.iterate(NOW, lambda team: 0.0))
        self.assertEqual(first.workload.name, "old")

    def test_removed_workload_leaves_no_task_or_entry(self):
        queue = WaitingQueue()
        queue.add(make_workload("a", start=1), ["a-0", "a-1"])
        queue.add(make_workload("a"), ["a-1", "a-2"])
        self.assertEqual(len(queue), 3)
        queue.remove("a", "a-0")
        queue.remove("a", "a-0")
        queue.remove_workload("a")
        queue.remove_workload("a")
        self.assertEqual(len(queue), 0)
        self.assertIsNone(queue.find_entry("a"))
        self.assertEqual(list(queue.iterate(NOW, lambda team: 0.0)), [])
