import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.requests import MinionSlots, QueuedRequest, RequestQueue, ShardSlots
from almondspread.requests.kinds import LOOKUP, SERVING_ORDER
from almondspread.requests.slots import choose_minion
from almondspread.testing.naive_requests import NaiveQueue, choose_naively

SECOND = timedelta(seconds=1)
KINDS = st.sampled_from(SERVING_ORDER)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), KINDS, st.integers(0, 20)),
        st.tuples(st.just("pop"), st.sets(KINDS, min_size=1), st.just(0)),
    ),
    max_size=60,
)
BOUNDS = st.fixed_dictionaries({kind: st.integers(1, 5) for kind in SERVING_ORDER})
MINIONS = st.lists(
    st.builds(
        dict,
        slots=st.integers(1, 8),
        taken=st.lists(KINDS, max_size=8),
        leaving=st.booleans(),
        listed=st.booleans(),
        seconds=st.floats(0.001, 2),
        held=st.integers(0, 8),
        may_send_until=st.integers(0, 2),
        drained_at=st.tuples(st.integers(0, 3), st.integers(0, 3)),
    ),
    max_size=6,
)


def build_minion(number, parts):
    shard = ShardSlots(
        f"minions/umea/{number}", 2, may_send_until=parts["may_send_until"] * SECOND
    )
    shard.held = {f"m-{number}": parts["held"]}
    shard.lookups_drained_at = parts["drained_at"][0] * SECOND
    shard.calls_drained_at = parts["drained_at"][1] * SECOND
    minion = MinionSlots(f"m-{number}", "a", parts["slots"], shard)
    minion.leaving = parts["leaving"]
    minion.listed = parts["listed"]
    for kind in SERVING_ORDER:
        minion.health.seconds[kind] = parts["seconds"]
    for kind in parts["taken"][: parts["slots"]]:
        minion.acquire_slot(kind)
    return minion


class TestDifferential(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(BOUNDS, STEPS)
    def test_queue_serves_and_sheds_like_a_plain_list(self, bounds, steps):
        queue, naive = RequestQueue(bounds), NaiveQueue(bounds)
        for number, (action, what, due) in enumerate(steps):
            if action == "push":
                ours = QueuedRequest(what, due * SECOND, ticket=number)
                theirs = QueuedRequest(what, due * SECOND, ticket=number)
                self.assertEqual(queue.push(ours), naive.push(theirs))
                continue
            ours = queue.pop(list(what))
            theirs = naive.pop(list(what))
            self.assertEqual(
                ours.ticket if ours else None, theirs.ticket if theirs else None
            )
        for kind in SERVING_ORDER:
            left = [waiting.ticket for waiting in naive.list_kind(kind)]
            self.assertEqual(queue.count(kind), len(left))

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(MINIONS, KINDS, st.integers(0, 3))
    def test_choice_is_that_of_a_plain_scan(self, parts, kind, at):
        minions = [build_minion(i, one) for i, one in enumerate(parts)]
        now = at * SECOND
        self.assertIs(
            choose_minion(minions, kind, now), choose_naively(minions, kind, now)
        )

    @settings(derandomize=True, deadline=None, database=None)
    @given(MINIONS, st.lists(KINDS, max_size=40))
    def test_slots_are_never_exceeded(self, parts, kinds):
        minions = [build_minion(i, one) for i, one in enumerate(parts)]
        before = {minion.name: minion.in_flight for minion in minions}
        for kind in kinds:
            minion = choose_minion(minions, kind, timedelta(0))
            if minion is not None:
                minion.acquire_slot(kind)
        for minion in minions:
            if minion.in_flight == before[minion.name]:
                continue
            held = minion.shard.count_held(minion, timedelta(0))
            self.assertLessEqual(minion.in_flight + held, minion.slots)
            if minion.slots >= 2 and LOOKUP not in kinds:
                self.assertLess(minion.calls_in_flight, minion.slots)


if __name__ == "__main__":
    unittest.main()
