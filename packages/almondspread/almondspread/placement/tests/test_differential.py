import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from almondspread.placement import (
    Cell,
    TaskRequest,
    choose_gang,
    choose_worker,
    explain_infeasible,
)
from almondspread.placement.orders import FreeOrder
from almondspread.placement.values import EXCLUSION_REASONS
from almondspread.resources.capacity import Capacity
from almondspread.testing.naive_placement import (
    NaiveCell,
    count_gang_room,
    scan_gang,
    scan_reasons,
    scan_worker,
)

CAPACITIES = (
    Capacity(4, 8),
    Capacity(8, 8),
    Capacity(8, 16, 2),
    Capacity(6, 4, 1),
    Capacity(7, 4),
)
names = st.integers(0, 11).map(lambda number: f"w{number}")
sizes = st.builds(Capacity, st.integers(1, 9), st.integers(1, 9), st.integers(0, 3))
requests = st.builds(
    TaskRequest,
    st.sampled_from(["a", "b"]),
    sizes,
    st.sampled_from(["none", "rack", "failure_domain"]),
)
policies = st.sampled_from(["waiting", "packing"])


class PlacementMachine(RuleBasedStateMachine):
    """Apply the same operations to the real cell and to the naive full scan."""

    def __init__(self):
        super().__init__()
        self.real = Cell()
        self.naive = NaiveCell()
        self.held = []

    def both(self, method, *arguments):
        getattr(self.real, method)(*arguments)
        getattr(self.naive, method)(*arguments)

    @initialize(count=st.integers(0, 8))
    def start(self, count):
        for number in range(count):
            self.add(
                f"w{number}", "xy"[number % 2], "12"[number % 3 == 0], CAPACITIES[0]
            )

    @rule(
        name=names,
        domain=st.sampled_from("xy"),
        rack=st.sampled_from("12"),
        capacity=st.sampled_from(CAPACITIES),
    )
    def add(self, name, domain, rack, capacity):
        if name not in self.naive.workers:
            self.both("add_worker", name, domain, rack, capacity)

    @rule(name=names)
    def remove(self, name):
        if name in self.naive.workers:
            self.both("remove_worker", name)
            self.held = [task for task in self.held if task[0] != name]

    @rule(name=names, reason=st.sampled_from(["", *EXCLUSION_REASONS]))
    def exclude(self, name, reason):
        if name not in self.naive.workers:
            return
        if reason:
            self.both("exclude", name, reason)
        else:
            self.both("include", name)

    @rule(request=requests, policy=policies)
    def place(self, request, policy):
        expected = scan_worker(self.naive, request, policy)
        outcome = choose_worker(self.real, request, policy)
        if expected is None:
            reasons = {count.reason: count.workers for count in outcome.error.reasons}
            assert reasons == scan_reasons(self.naive, request.size)
            return
        assert outcome.ok == expected
        self.both("commit", expected, request.group, request.size)
        self.held.append((expected, request.group, request.size))

    @rule(request=requests, policy=policies, count=st.integers(1, 6))
    def place_gang(self, request, policy, count):
        gang = [request] * count
        outcome = choose_gang(self.real, gang, policy)
        room = count_gang_room(self.naive, request.size)
        assert outcome.is_ok() == (room >= count)
        expected = scan_gang(self.naive, gang, policy)
        if expected is None:
            assert outcome.error.placeable == room
            return
        assert outcome.ok == expected

    @rule(request=requests)
    def judge_impossible(self, request):
        empty_room = not self.naive.workers
        for worker in self.naive.workers.values():
            if worker.exclusion != "leaving" and request.size.fits_in(worker.capacity):
                empty_room = True
        assert (explain_infeasible(self.real, request) is None) == empty_room

    @rule(position=st.integers(0, 50))
    def release(self, position):
        if self.held:
            self.both("release", *self.held.pop(position % len(self.held)))

    @invariant()
    def same_state_within_capacity(self):
        assert len(self.real) == len(self.naive.workers)
        for naive in self.naive.workers.values():
            state = self.real.worker(naive.name)
            assert state.free == Capacity(naive.cpu, naive.memory, naive.accelerators)
            assert Capacity(0, 0, 0).fits_in(state.free)
            used = Capacity(0, 0, 0)
            for name, _, size in self.held:
                used = used.plus(size) if name == naive.name else used
            assert state.committed == used


PlacementMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
)
PlacementTest = PlacementMachine.TestCase


class FreeOrderTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=40)
    @given(st.integers(0, 2**32), st.integers(1, 600))
    def test_equals_a_sorted_list(self, seed, count):
        source = random.Random(seed)
        order = FreeOrder()
        entries = []
        for number in range(count):
            entry = (source.randrange(30), source.randrange(30), f"w{number}")
            entries.append(entry)
            order.add(entry)
            if source.random() < 0.4:
                gone = entries.pop(source.randrange(len(entries)))
                order.remove(gone)
        for _ in range(3):
            self.compare_searches(order, sorted(entries), source)
            for _ in range(len(entries) // 2):
                order.remove(entries.pop(source.randrange(len(entries))))
        for entry in entries:
            order.remove(entry)
        self.assertFalse(order)

    def compare_searches(self, order, entries, source):
        for _ in range(20):
            first, second = source.randrange(32), source.randrange(32)
            fits = [e[2] for e in entries if e[0] >= first and e[1] >= second]
            self.assertEqual(list(order.iterate_ascending(first, second)), fits)
            self.assertEqual(list(order.iterate_descending(first, second)), fits[::-1])
            below = len([entry for entry in entries if entry[0] < first])
            self.assertEqual(order.count_below(first), below)
