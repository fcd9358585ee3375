import asyncio
from datetime import timedelta
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from loguru import logger

from almondspread.codec import decode_message
from almondspread.ownership import OwnerRecord, make_owner_key
from almondspread_daemon.shards import schedule
from almondspread_standin.tests.shard_domain import SHARD, TERMS, Domain

HORIZON = timedelta(seconds=40)
HEALING_SECONDS = 120
WORKERS = 3
# Fewer than the workers have cores, so that after healing all of them can run.
MAX_TASKS = 11
NODES = ("entry-1", "entry-2")


class ShardMachine(RuleBasedStateMachine):
    """Instances own a shard and run tasks while all that may fail does."""

    def __init__(self):
        super().__init__()
        logger.disable("almondspread_daemon")
        # So that snapshots take the place of rows again and again.
        self.snapshots = mock.patch.object(schedule, "MIN_SNAPSHOT_ROWS", 3)
        self.snapshots.start()
        self.loop = asyncio.new_event_loop()
        self.domain = self.call(self.open_domain())
        self.jobs = {}
        self.lagging = False
        self.claim = ""
        self.epoch = 0

    async def open_domain(self):
        return Domain(WORKERS, HORIZON)

    def call(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def do(self, action, *arguments):
        """Call something that needs the running loop."""

        async def act():
            return action(*arguments)

        return self.call(act())

    @initialize()
    def start(self):
        self.declare("service", 3, 1)
        for name in NODES:
            self.do(self.domain.add_node, name)
        self.call(self.domain.run(6))

    # What the users and the time do.

    @rule(kind=st.sampled_from(("service", "batch")), tasks=st.integers(1, 3))
    def declare_job(self, kind, tasks):
        declared = sum(count for _, count, _ in self.jobs.values())
        if declared + tasks <= MAX_TASKS:
            self.declare(kind, tasks, len(self.jobs) + 1)
            if not self.lagging:
                self.domain.catch_up()

    def declare(self, kind, tasks, number):
        name = f"job-{number}-{len(self.domain.entries)}"
        command = ("serve",) if kind == "service" else ("sleep", "4")
        self.domain.declare(kind, name, tasks, command)
        self.jobs[name] = (kind, tasks, len(self.domain.entries))

    @rule(data=st.data())
    @precondition(lambda self: len(self.jobs) > 1)
    def remove_job(self, data):
        name = data.draw(st.sampled_from(sorted(self.jobs)))
        kind, _, _ = self.jobs.pop(name)
        self.domain.remove(kind, name)
        self.domain.catch_up()

    @rule(seconds=st.sampled_from((0.2, 1, 4, 12)))
    def wait(self, seconds):
        self.call(self.domain.run(seconds, 0.2))

    # What fails.

    def draw_node(self, data):
        return self.domain.nodes[data.draw(st.sampled_from(sorted(self.domain.nodes)))]

    @rule(
        data=st.data(),
        what=st.sampled_from(("table", "peers", "worker", "pause", "resume", "delay")),
    )
    def disturb_node(self, data, what):
        node = self.draw_node(data)
        if what == "table":
            node.table.cut = not node.table.cut
        elif what == "peers":
            node.cut_peers = not node.cut_peers
        elif what == "worker":
            worker = data.draw(st.integers(0, WORKERS - 1))
            node.cut_workers ^= {f"address-{worker}"}
        elif what == "pause":
            node.clock.going.clear()
        elif what == "resume":
            node.clock.going.set()
        else:
            node.table.delay = 2

    @rule(data=st.data())
    def replace_node(self, data):
        node = self.draw_node(data)
        self.call(node.kill())
        others = list(self.domain.nodes.values())
        for other in others:
            other.members.mark_unlisted(node.name, node.claimant.address)
        self.do(self.domain.add_node, node.name)

    @rule(how=st.sampled_from(("isolate", "pause", "replace")), repeat=st.booleans())
    def take_over_from_owner(self, how, repeat):
        """Have the shard change its owner in a way that may leave a stale one."""
        owner = self.domain.find_owner()
        if owner is None:
            return
        owner.repeat_exchanges = repeat
        if how == "pause":
            owner.clock.going.clear()
        elif how == "isolate":
            owner.cut_peers = True
        else:
            self.call(owner.kill())
            self.do(self.domain.add_node, owner.name)
        self.call(self.domain.run(5, 0.2))

    @rule(kind=st.sampled_from(("service", "batch")), count=st.integers(1, 2))
    def delay_commit_of_owner(self, kind, count):
        """Have the owner decide something whose commit may land later."""
        owner = self.domain.find_owner()
        if owner is None:
            return
        owner.table.delay = count
        self.declare_job(kind, 1)
        self.call(self.domain.run(0.3))

    @rule(worker=st.integers(0, WORKERS - 1), seconds=st.sampled_from((1, 25, 70)))
    def part_owner_from_the_rest(self, worker, seconds):
        """Leave a worker to an owner that only the other workers still see go."""
        owner = self.domain.find_owner()
        if owner is None:
            return
        owner.cut_peers = owner.table.cut = True
        for node in self.domain.nodes.values():
            if node is not owner:
                node.cut_workers.add(f"address-{worker}")
        self.declare_job("batch", 2)
        owner.catch_up()
        self.call(self.domain.run(5 + seconds, 0.25))

    @rule(worker=st.integers(0, WORKERS - 1), seconds=st.sampled_from((2, 5, 9)))
    def delay_exchanges_with_worker(self, worker, seconds):
        """Have what was sent to a worker come late, while nothing else comes."""
        self.domain.held.clear()
        self.cut_worker(worker, repeat=True)
        self.call(self.domain.run(seconds, 0.25))
        self.deliver_held()
        self.call(self.domain.run(9, 0.25))
        for node in self.domain.nodes.values():
            node.repeat_exchanges = False

    def cut_worker(self, worker, repeat):
        for node in self.domain.nodes.values():
            node.repeat_exchanges = repeat
            node.cut_workers.add(f"address-{worker}")

    def deliver_held(self):
        held, self.domain.held = self.domain.held, []
        for address, message in held:
            self.domain.deliver(address, message)

    @rule()
    def have_claims_land_late(self):
        """Have another instance give up claims that land once it has the shard."""
        owner = self.domain.find_owner()
        if owner is None:
            return
        others = [node for node in self.domain.nodes.values() if node is not owner]
        for other in others:
            other.table.delay = 3
        owner.cut_peers = True
        self.call(self.domain.run(8, 0.2))
        owner.cut_peers = False
        self.epochs_only_grow()
        for other in others:
            delayed, other.table.delayed = other.table.delayed, []
            for conditions, writes in delayed:
                self.domain.table.apply(conditions, writes)

    @rule()
    def heal_for_a_while(self):
        self.heal()
        self.call(self.domain.run(8, 0.2))

    @rule(worker=st.integers(0, WORKERS - 1))
    def repeat_starts_after_restart_of_worker(self, worker):
        """Have starts come again to a worker that has lost all memory of them."""
        self.domain.held.clear()
        for node in self.domain.nodes.values():
            node.repeat_exchanges = True
        self.declare_job("service", 3)
        self.call(self.domain.run(1))
        self.restart_worker(worker)
        self.call(self.domain.run(1.5))
        self.deliver_held()
        for node in self.domain.nodes.values():
            node.repeat_exchanges = False

    @rule(kind=st.sampled_from(("service", "batch")))
    def change_owner_that_knows_more(self, kind):
        """Lose an owner that acted on resources which the next one has not seen."""
        owner = self.domain.find_owner()
        if owner is None or len(self.jobs) >= MAX_TASKS:
            return
        self.lagging = True
        self.declare_job(kind, 1)
        self.lagging = False
        owner.catch_up()
        self.call(self.domain.run(1))
        owner.cut_peers = True
        self.call(self.domain.run(6, 0.2))
        self.domain.catch_up()

    @rule(data=st.data(), moved=st.booleans())
    def hand_over(self, data, moved):
        node = self.draw_node(data)
        if moved and node.shard is not None and not node.is_paused:
            self.do(asyncio.ensure_future, node.keeper.hand_over([SHARD]))

    @rule(down=st.booleans(), lost=st.integers(0, 3))
    def disturb_table(self, down, lost):
        self.domain.table.down = down
        self.domain.table.lose_answers = lost

    @rule(data=st.data())
    def deliver_delayed_transactions(self, data):
        table = self.draw_node(data).table
        order = data.draw(st.permutations(range(len(table.delayed))))
        delayed, table.delayed = table.delayed, []
        for index in order:
            self.domain.table.apply(*delayed[index])

    @rule(
        data=st.data(),
        hold=st.booleans(),
        repeat=st.booleans(),
        lose=st.booleans(),
    )
    def disturb_exchanges(self, data, hold, repeat, lose):
        node = self.draw_node(data)
        node.hold_exchanges = hold
        node.repeat_exchanges = repeat
        node.lose_reports = lose

    @rule(data=st.data())
    @precondition(lambda self: self.domain.held)
    def deliver_held_exchanges(self, data):
        held, self.domain.held = self.domain.held[-12:], []
        order = data.draw(st.permutations(range(len(held))))
        for index in order:
            self.domain.deliver(*held[index])

    @rule(worker=st.integers(0, WORKERS - 1))
    def restart_worker(self, worker):
        self.domain.agents[f"address-{worker}"].restart()

    @rule(worker=st.integers(0, WORKERS - 1), offset=st.sampled_from((-1, 0, 1)))
    def set_clock_of_worker(self, worker, offset):
        bound = TERMS.clock_offset_bound.total_seconds()
        agent = self.domain.agents[f"address-{worker}"]
        agent.set_faults(clock_offset_seconds=offset * bound)

    # What must hold.

    @invariant()
    def nothing_runs_twice_or_over_capacity(self):
        counted = self.domain.ledger.count()
        assert counted.double_runs == 0, self.domain.ledger.double_runs
        assert counted.over_commitments == 0, self.domain.ledger.over_commitments

    @invariant()
    def epochs_only_grow(self):
        row = self.domain.table.rows.get(make_owner_key(SHARD))
        if row is None:
            return
        record = decode_message(row.value, OwnerRecord)
        if record.claim == self.claim:
            assert record.epoch == self.epoch, record
        else:
            assert record.epoch > self.epoch, (record, self.epoch)
        self.claim, self.epoch = record.claim, record.epoch

    def heal(self):
        self.domain.table.down = False
        self.domain.table.lose_answers = 0
        for node in self.domain.nodes.values():
            node.table.cut = node.cut_peers = False
            node.table.delay = 0
            node.cut_workers.clear()
            node.hold_exchanges = node.repeat_exchanges = node.lose_reports = False
            node.clock.going.set()
        self.domain.catch_up()

    def check_nothing_is_lost(self):
        owner = self.domain.find_owner()
        assert owner is not None, "no one owns the shard after healing"
        states = owner.shard.scheduler.state.workloads
        running = self.domain.list_running()
        for name, (kind, tasks, revision) in self.jobs.items():
            report = states[f"{kind}/{name}:{revision}"].make_status()
            expected = "running" if kind == "service" else "finished"
            assert report[expected] == tasks, (name, report)
            if kind == "service":
                workload = f"{kind}/{name}:{revision}"
                truth = sum(running[f"{workload}#{index}"] for index in range(tasks))
                assert truth == tasks, (name, truth)
        assert len(states) == len(self.jobs), sorted(states)

    def teardown(self):
        try:
            self.heal()
            self.call(self.domain.run(HEALING_SECONDS, 0.25))
            self.nothing_runs_twice_or_over_capacity()
            self.epochs_only_grow()
            self.check_nothing_is_lost()
        finally:
            self.call(self.domain.close())
            self.loop.close()
            self.snapshots.stop()
            logger.enable("almondspread_daemon")


ShardMachineTest = ShardMachine.TestCase
ShardMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
