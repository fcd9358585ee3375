import asyncio
import unittest
from datetime import timedelta

from attrs import evolve
from expression import Error
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from almondspread.clock import ManualClock
from almondspread.interfaces import Condition, TableUnavailable, Write
from almondspread.journal import Journal, StaleCondition, Superseded
from almondspread.journal.journal import ExtraOperations
from almondspread.resources import Capacity
from almondspread.scheduling import EVENT_CODEC, ShardState, rebuild_state
from almondspread.scheduling.events import WorkloadAdded
from almondspread.scheduling.overflow import (
    OverflowPlanner,
    ShardRoom,
    count_fitting_tasks,
)
from almondspread.scheduling.tests.shards import TASK, Shard, make_desired
from almondspread.scheduling.transfers import (
    RECLAIM_TIMEOUT,
    TRANSFER_PREFIX,
    TaskMove,
    compose_transfer,
    decode_transfer,
    prepare_receive,
    prepare_send,
    should_receive,
)
from almondspread.testing import MemoryStore, MemoryTable

SHARDS = ("schedule/a/0", "schedule/b/0")
WORKLOAD = "batch/j:1"
TASKS = 4


class FaultyTable:
    """A table that loses responses to transactions applied at once, later or never."""

    def __init__(self, table):
        self.table = table
        self.faults = []
        self.late = []

    async def transact(self, conditions, writes):
        fault = self.faults.pop() if self.faults else "none"
        if fault == "none":
            return await self.table.transact(conditions, writes)
        if fault == "lost":
            await self.table.transact(conditions, writes)
        if fault == "late":
            self.late.append((conditions, writes))
        return Error(TableUnavailable(fault))

    async def read(self, keys):
        return await self.table.read(keys)

    async def scan(self, prefix, after, limit):
        return await self.table.scan(prefix, after, limit)


class InstantClock(ManualClock):
    """A clock on which each sleep returns at once."""

    async def sleep(self, duration):
        return None


class Owner:
    """The owner of one shard, whose state is rebuilt from its journal."""

    def __init__(self, shard, table, clock, epoch):
        self.shard = shard
        self.table = FaultyTable(table)
        self.clock = clock
        self.names = 0
        self.epoch = epoch
        key = f"owner/{shard}"
        version = table.apply([], [Write(key, b"%d" % epoch)]).ok
        self.journal = Journal(
            shard,
            epoch,
            Condition(key, version),
            self.table,
            MemoryStore(),
            InstantClock(),
            self.make_name,
        )
        recovery = asyncio.run(self.journal.recover()).ok
        self.state = rebuild_state(shard, recovery)

    def make_name(self):
        self.names += 1
        return f"{self.shard[-3]}-{self.epoch}-{self.names}"

    def commit(self, events, extra=None):
        encoded = [EVENT_CODEC.encode(event) for event in events]
        return asyncio.run(self.journal.commit(encoded, extra or ExtraOperations()))

    def add(self):
        desired = make_desired("batch", "j", TASKS)
        event = WorkloadAdded(WORKLOAD, 1, desired.document, desired.indices, 0.0)
        self.state.apply(event)
        self.commit([event])

    def send(self, count, destination):
        state = self.state.workloads.get(WORKLOAD)
        indices = tuple(state.ready)[:count] if state else ()
        if not indices:
            return
        move = TaskMove(WORKLOAD, indices, destination)
        now = self.clock.now().timestamp()
        transfer = compose_transfer(state, move, self.shard, self.make_name(), now)
        event, write = prepare_send(transfer)
        if self.commit([event], ExtraOperations(writes=(write,))).is_ok():
            self.state.apply(event)

    def look(self):
        """Return the transfer rows that the shard should receive now."""
        rows = asyncio.run(self.table.scan(TRANSFER_PREFIX, "", 100)).ok
        now = self.clock.now().timestamp()
        return [
            row for row in rows if should_receive(decode_transfer(row), self.shard, now)
        ]

    def receive(self, row):
        content = decode_transfer(row).content
        committed = self.commit([content], prepare_receive(row))
        if committed.is_ok():
            self.state.apply(content)
        return committed


def list_held(state):
    """Return the tasks of the workload that a shard holds."""
    workload = state.workloads.get(WORKLOAD)
    return list(workload.tasks) if workload else []


class TransferMachine(RuleBasedStateMachine):
    """Two shards that send tasks to each other, with lost responses and takeovers."""

    def __init__(self):
        super().__init__()
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.epoch = 1
        self.owners = [Owner(shard, self.table, self.clock, 1) for shard in SHARDS]
        self.owners[0].add()
        self.stale = []
        self.seen = []

    faults = st.lists(st.sampled_from(("lost", "late", "down")), max_size=3)

    @rule(place=st.integers(0, 1), count=st.integers(1, TASKS), faults=faults)
    def send(self, place, count, faults):
        owner = self.owners[place]
        owner.table.faults = list(faults)
        owner.send(count, SHARDS[1 - place])

    @rule(place=st.integers(0, 1))
    def look(self, place):
        self.seen.extend((place, row) for row in self.owners[place].look())

    @rule(pick=st.integers(0, 7), faults=faults)
    def receive(self, pick, faults):
        if not self.seen:
            return
        place, row = self.seen[pick % len(self.seen)]
        owner = self.owners[place]
        owner.table.faults = list(faults)
        owner.receive(row)

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule(place=st.integers(0, 1))
    def take_over(self, place):
        self.epoch += 1
        self.stale.append(self.owners[place])
        self.owners[place] = Owner(SHARDS[place], self.table, self.clock, self.epoch)

    @rule()
    def stale_owner_acts(self):
        if not self.stale:
            return
        owner = self.stale[-1]
        other = SHARDS[1] if owner.shard == SHARDS[0] else SHARDS[0]
        owner.send(1, other)
        for row in owner.look():
            owner.receive(row)

    @rule()
    def late_writes_land(self):
        for owner in [*self.owners, *self.stale]:
            for conditions, writes in owner.table.late:
                self.table.apply(conditions, writes)
            owner.table.late.clear()

    @invariant()
    def each_task_is_in_one_place(self):
        held = []
        for owner in self.owners:
            held.extend(list_held(owner.state))
        rows = asyncio.run(self.table.scan(TRANSFER_PREFIX, "", 100)).ok
        for row in rows:
            held.extend(task.index for task in decode_transfer(row).content.tasks)
        assert sorted(held) == list(range(TASKS)), held


class TransferTest(unittest.TestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.owners = [Owner(shard, self.table, self.clock, 1) for shard in SHARDS]
        self.owners[0].add()

    def test_each_task_is_in_one_place_under_faults_and_takeovers(self):
        options = settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=120,
            stateful_step_count=30,
        )
        run_state_machine_as_test(TransferMachine, settings=options)

    def test_only_one_shard_receives_an_expired_row(self):
        sender, receiver = self.owners
        sender.send(2, SHARDS[1])
        (row,) = receiver.look()
        self.assertEqual(sender.look(), [])
        self.clock.advance(RECLAIM_TIMEOUT)
        self.assertEqual(sender.look(), [row])
        self.assertTrue(sender.receive(row).is_ok())
        self.assertEqual(receiver.receive(row).error, StaleCondition(row.key))
        self.assertEqual(len(list_held(sender.state)), TASKS)
        self.assertEqual(sender.state.workloads[WORKLOAD].transferred_out, set())

    def test_a_superseded_owner_sends_and_receives_nothing(self):
        sender, receiver = self.owners
        sender.send(1, SHARDS[1])
        Owner(SHARDS[0], self.table, self.clock, 2)
        Owner(SHARDS[1], self.table, self.clock, 2)
        (row,) = receiver.look()
        self.assertEqual(receiver.receive(row).error, Superseded(SHARDS[1]))
        before = len(list_held(sender.state))
        sender.send(1, SHARDS[1])
        self.assertEqual(len(list_held(sender.state)), before)

    def test_moved_tasks_keep_their_attempts_and_follow_changes(self):
        shard = Shard()
        desired = make_desired("batch", "j", 2, Capacity(4_001, 1))
        shard.declare(desired)
        state = shard.state.workloads[WORKLOAD]
        state.tasks[1].failures, state.tasks[1].attempt_number = 1, 1
        move = TaskMove(WORKLOAD, (0, 1), SHARDS[1])
        transfer = compose_transfer(state, move, SHARDS[0], "t", 0.0)
        shard.scheduler.decisions.record_event(prepare_send(transfer)[0])
        other = ShardState()
        other.apply(transfer.content)
        self.assertEqual(other.workloads[WORKLOAD].tasks[1].failures, 1)
        self.assertEqual(other.workloads[WORKLOAD].tasks[1].attempt_number, 1)
        guest = Shard(state=ShardState.decode(other.encode()))
        bigger = make_desired("batch", "j", 3)
        shard.declare(bigger)
        guest.scheduler.declare_workload(make_unassigned(bigger), 0.0)
        guest.decide()
        shard.decide()
        self.assertEqual(sorted(guest.get_task_workers(WORKLOAD)), [0, 1])
        self.assertEqual(sorted(shard.get_task_workers(WORKLOAD)), [2])


def make_unassigned(desired):
    """Return a desired workload of which the shard is assigned no task."""
    return evolve(desired, indices=())


class OverflowTest(unittest.TestCase):
    def choose(self, shard, rooms, capacities, waits=(0, 3)):
        overflow = OverflowPlanner(SHARDS[0])
        moves = []
        for seconds in waits:
            shard.clock.advance(timedelta(seconds=seconds))
            moves = overflow.plan_moves(
                shard.scheduler.list_blocked(), rooms, capacities, shard.clock.now()
            )
        return moves

    def fill(self, **fields):
        shard = Shard(workers=1)
        shard.declare(make_desired("batch", "j", 7, **fields))
        shard.decide()
        return shard

    capacities = {SHARDS[0]: (Capacity(4_000, 4_096),), SHARDS[1]: (TASK,)}

    def test_moved_tasks_fit_the_free_capacity(self):
        rooms = {SHARDS[1]: ShardRoom(SHARDS[1], ((2_500, 9_000, 0),), 0)}
        (move,) = self.choose(self.fill(), rooms, self.capacities)
        self.assertEqual((len(move.indices), move.destination), (2, SHARDS[1]))

    def test_free_capacity_is_used_by_one_workload_only(self):
        shard = self.fill()
        shard.declare(make_desired("batch", "k", 5))
        shard.decide()
        rooms = {SHARDS[1]: ShardRoom(SHARDS[1], ((4_500, 9_000, 0),), 0)}
        moves = self.choose(shard, rooms, self.capacities)
        self.assertEqual([len(move.indices) for move in moves], [3, 1])

    def test_work_stays_before_the_minimum_wait_and_without_reports(self):
        rooms = {SHARDS[1]: ShardRoom(SHARDS[1], ((2_500, 9_000, 0),), 0)}
        self.assertEqual(self.choose(self.fill(), rooms, self.capacities, (0, 1)), [])
        self.assertEqual(self.choose(self.fill(), {}, self.capacities), [])

    def test_work_too_large_for_its_shard_moves_to_one_that_fits(self):
        shard = self.fill(size=Capacity(100, 100, 2))
        capacities = {**self.capacities, SHARDS[1]: (Capacity(200, 200, 2),)}
        (move,) = self.choose(shard, {}, capacities, (0,))
        self.assertEqual(move.destination, SHARDS[1])

    def test_a_gang_moves_as_a_whole_or_stays(self):
        shard = Shard(workers=1)
        shard.declare(make_desired("gang", "g", 5))
        shard.decide()
        for free, moved in ((4_999, 0), (5_000, 5)):
            rooms = {SHARDS[1]: ShardRoom(SHARDS[1], ((free, 9_000, 0),), 0)}
            moves = self.choose(shard, rooms, self.capacities)
            self.assertEqual(sum(len(move.indices) for move in moves), moved)

    def test_work_over_its_quota_stays(self):
        shard = Shard(workers=1)
        shard.scheduler.decisions.teams.set_team("t", Capacity(0, 0), 1.0)
        shard.declare(make_desired("batch", "j", 7, team="t"))
        shard.decide()
        self.assertEqual(shard.scheduler.list_blocked(), [])

    def test_fitting_counts_whole_tasks(self):
        room = (Capacity(2_999, 9_000), Capacity(1_000, 100), Capacity(5_000, 1_024))
        self.assertEqual(count_fitting_tasks(TASK, room), 4)


if __name__ == "__main__":
    unittest.main()
