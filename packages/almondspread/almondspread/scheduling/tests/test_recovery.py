import asyncio
import random
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.clock import ManualClock
from almondspread.interfaces import (
    Condition,
    Instance,
    Write,
)
from almondspread.journal import CorruptJournal, Journal, make_row_key
from almondspread.resources import Capacity
from almondspread.scheduling import EVENT_CODEC, Scheduler, ShardState, rebuild_state
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.scheduler import DesiredWorkload
from almondspread.testing import MemoryStore, MemoryTable

SHARD = "schedule/umea/0"
OWNER = f"owner/{SHARD}"
WORKERS = [
    Instance(f"w{n}", "worker", f"a:{n}", "umea", f"r{n}", False, Capacity(4000, 4096))
    for n in range(3)
]


def describe_batch(name, tasks):
    template = {"cpu_millis": 1000, "memory_mib": 512, "command": ["sleep", "1"]}
    return msgpack.packb(
        {
            "kind": "batch",
            "metadata": {"name": name},
            "tasks": tasks,
            "template": template,
            "attempts": 2,
        }
    )


def make_scheduler(state):
    return Scheduler(state, LeaseTerms(), ManualClock(), random.Random(1))


class WriterCrashed(Exception):
    """The writer crashed at this call to the platform."""


class CrashingPlatform:
    """Crashes the writer before or after one chosen call takes effect."""

    def __init__(self, table, store, calls, after_effect):
        self._table, self._store = table, store
        self._calls_left = calls
        self._after_effect = after_effect

    async def _call(self, call, *arguments):
        self._calls_left -= 1
        if self._calls_left == 0 and not self._after_effect:
            raise WriterCrashed
        outcome = await call(*arguments)
        if self._calls_left == 0:
            raise WriterCrashed
        return outcome

    async def transact(self, conditions, writes):
        return await self._call(self._table.transact, conditions, writes)

    async def put(self, name, data):
        return await self._call(self._store.put, name, data)

    async def delete(self, name):
        return await self._call(self._store.delete, name)


class History:
    """A scheduler with a journal, and a list of all committed events."""

    def __init__(self):
        self.table, self.store = MemoryTable(), MemoryStore()
        self.events = []
        self.epoch = 0
        self.take_over(make_scheduler(ShardState()))

    def take_over(self, scheduler):
        self.epoch += 1
        version = self.table.apply([], [Write(OWNER, b"%d" % self.epoch)]).ok
        self.scheduler = scheduler
        scheduler.set_workers(WORKERS)
        self.journal = self.make_journal(Condition(OWNER, version))

    def make_journal(self, condition):
        return Journal(
            SHARD,
            self.epoch,
            condition,
            self.table,
            self.store,
            ManualClock(),
            lambda: f"{self.epoch}-{len(self.events)}",
        )

    def recover(self):
        recovery = asyncio.run(self.journal.recover()).ok
        return rebuild_state(SHARD, recovery)

    def step(self, tasks, ended, outcome):
        desired = []
        for name, count in tasks.items():
            indices = tuple(range(count))
            document = describe_batch(name, max(1, count))
            desired.append(DesiredWorkload(f"batch/{name}:1", 1, document, indices))
        self.scheduler.reconcile(desired, float(self.epoch))
        attempts = []
        for worker in list(self.scheduler.state.run_lists):
            attempts.extend(self.scheduler.state.list_attempts(worker))
        for attempt in attempts[:ended]:
            self.scheduler.decisions.end_attempt(attempt, outcome)
        self.scheduler.remove_cancelled()
        self.scheduler.place(5)
        batch = self.scheduler.decisions.take_batch()
        if not batch:
            return
        encoded = [EVENT_CODEC.encode(event) for event in batch]
        self.events.extend(encoded)
        assert asyncio.run(self.journal.commit(encoded)).is_ok()

    def snapshot(self, crash_at, after_effect):
        """Crash while writing a snapshot; the next owner recovers and takes over."""
        platform = CrashingPlatform(self.table, self.store, crash_at, after_effect)
        journal = self.journal
        journal._table, journal._store = platform, platform
        try:
            asyncio.run(journal.write_snapshot(self.scheduler.state.encode()))
        except WriterCrashed:
            pass
        self.take_over(make_scheduler(ShardState()))
        self.take_over(make_scheduler(self.recover()))
        asyncio.run(self.journal.recover())

    def replay(self):
        """Return the state that results from all committed events."""
        state = ShardState()
        for event in self.events:
            state.apply(EVENT_CODEC.decode(event))
        return state


STEPS = st.tuples(
    st.just("step"),
    st.dictionaries(st.sampled_from("abc"), st.integers(1, 4)),
    st.integers(0, 4),
    st.sampled_from(("finished", "failed", "lapsed")),
)
SNAPSHOTS = st.tuples(st.just("snapshot"), st.integers(1, 6), st.booleans())


class RecoveryTest(unittest.TestCase):
    @given(st.lists(st.one_of(STEPS, STEPS, SNAPSHOTS), min_size=2, max_size=14))
    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    def test_j3_snapshot_and_rows_equal_all_rows_wherever_the_writer_ends(self, steps):
        history = History()
        for kind, *arguments in steps:
            if kind == "step":
                history.step(*arguments)
            else:
                history.snapshot(*arguments)
        history.take_over(make_scheduler(ShardState()))
        self.assertEqual(history.recover().encode(), history.replay().encode())

    def test_j4_error_names_a_row_that_contradicts_the_state(self):
        history = History()
        history.step({"a": 2}, 0, "finished")
        row = history.table.rows[make_row_key(SHARD, 1)]
        history.table.apply([], [Write(make_row_key(SHARD, 2), row.value)])
        with self.assertRaises(CorruptJournal) as caught:
            history.recover()
        self.assertEqual(caught.exception.location, make_row_key(SHARD, 2))

    def test_j4_error_names_an_undecodable_snapshot(self):
        history = History()
        history.step({"a": 2}, 0, "finished")
        asyncio.run(history.journal.write_snapshot(b"\x93"))
        with self.assertRaises(CorruptJournal) as caught:
            history.recover()
        self.assertEqual(caught.exception.location, f"snapshot/{SHARD}/1-1")

    def test_snapshot_keeps_acknowledged_attempts(self):
        history = History()
        history.step({"a": 1}, 0, "finished")
        (attempt,) = history.scheduler.state.list_attempts(
            next(iter(history.scheduler.state.run_lists))
        )
        attempt.acknowledged = True
        state = ShardState.decode(history.scheduler.state.encode())
        self.assertTrue(state.find_attempt("batch/a:1", 0, 1).acknowledged)
