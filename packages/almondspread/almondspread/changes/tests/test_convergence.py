import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.changes.entries import HEAD_KEY
from almondspread.changes.tests.faults import make_instances, settle

NAMES = ("a", "b", "c")
INSTANCES = st.integers(0, len(NAMES) - 1)
STEPS = st.one_of(
    st.tuples(st.just("append"), st.lists(INSTANCES, min_size=1, max_size=4)),
    st.tuples(st.just("push"), st.tuples(INSTANCES, INSTANCES, st.integers(0, 9))),
    st.tuples(st.just("read"), INSTANCES),
    st.tuples(st.just("lose"), st.integers(1, 3)),
    st.tuples(st.just("late"), st.integers(1, 3)),
    st.tuples(st.just("land"), st.none()),
    st.tuples(st.just("outage"), INSTANCES),
    st.tuples(st.just("compact"), INSTANCES),
)


class World:
    """Three instances on one table, and the outcomes that their callers got.

    Each step is the name of a method and its argument. ``done``, ``refused`` and
    ``unknown`` hold the teams whose declaration committed, was not made, or may have
    committed.
    """

    def __init__(self):
        made = make_instances(*NAMES, compact_entries=5)
        self.table, _, self.clock, self.instances = made
        self.done = []
        self.refused = []
        self.unknown = []
        self.next_value = 1

    async def run(self, steps):
        for action, argument in steps:
            await getattr(self, action)(argument)
            self.check_order()
        await self.finish()

    async def append(self, indices):
        values = range(self.next_value, self.next_value + len(indices))
        self.next_value += len(indices)
        calls = []
        for index, value in zip(indices, values, strict=True):
            calls.append(self.instances[index].declare(f"t{value}", value))
        outcomes = await settle(self.clock, *calls)
        for value, outcome in zip(values, outcomes, strict=True):
            if outcome.is_ok():
                self.done.append((f"t{value}", outcome.ok))
            elif outcome.error.not_run:
                self.refused.append(f"t{value}")
            else:
                self.unknown.append(f"t{value}")

    async def push(self, argument):
        """Deliver a pushed entry, whether or not it was delivered before."""
        source, target, index = argument
        pushed = self.instances[source].pushed
        if index < len(pushed):
            self.instances[target].log.receive(*pushed[-1 - index])

    async def read(self, index):
        await settle(self.clock, self.instances[index].log.catch_up())

    async def lose(self, count):
        self.table.lose_answers = count

    async def late(self, count):
        self.table.late = count

    async def land(self, _):
        self.table.apply_held()

    async def outage(self, index):
        self.table.down = True
        await self.append([index])
        self.table.down = False

    async def compact(self, index):
        await settle(self.clock, self.instances[index].log.compact())

    def check_order(self):
        for instance in self.instances:
            assert instance.seen == sorted(set(instance.seen)), instance.seen

    async def finish(self):
        self.table.late = self.table.lose_answers = 0
        self.table.apply_held()
        logs = [instance.log for instance in self.instances]
        await settle(self.clock, *(log.catch_up() for log in logs))
        first = self.instances[0].describe()
        for instance in self.instances:
            assert instance.describe() == first
            assert instance.log.fault == ""
        revision, found = first
        head = self.table.rows.get(HEAD_KEY)
        assert revision == (int(head.value) if head else 0)
        for name, written_at in self.done:
            assert found[name] == (int(name[1:]), written_at)
        for name in self.refused:
            assert name not in found
        # Each team is declared once, so an entry that is applied twice is detected by
        # the counts of teams and of versions.
        assert len(found) <= len(self.done) + len(self.unknown)
        versions = {version for _, version in found.values()}
        assert len(versions) == revision


class ConvergenceTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(st.lists(STEPS, max_size=25))
    def test_all_instances_agree_and_every_answer_holds(self, steps):
        asyncio.run(World().run(steps))


if __name__ == "__main__":
    unittest.main()
