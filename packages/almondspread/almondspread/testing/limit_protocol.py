"""A small model of how two leaders keep a workspace within its limit.

The second leader may claim at any time, while the first one does not know of it. Each
run takes one unit of the limit. Starts may be carried out late, executors may be lost
with what they remember, and the limit may be lowered and raised. The model has no time:
that leases have expired is a step of its own, before which no late start is left.
"""

from collections.abc import Iterator
from enum import StrEnum

from attrs import define, evolve

from almondspread.testing.protocol_state import UPSTREAMS, replace_item
from almondspread.testing.state_search import Step

# An upstream has room for as many runs as the higher limit allows in all.
CAPACITY = 2
LIMITS = (1, 2)
# How many tasks each epoch may start; the first leader's are known to the second.
MAX_STARTS = (2, 1)

Runs = tuple[frozenset[int], frozenset[int]]
Memories = tuple[frozenset[int] | None, frozenset[int] | None]


class LimitProtection(StrEnum):
    """What keeps a workspace within its limit; a search may go without one of them."""

    COUNT_STARTS = "a start counts until it is known that it is not carried out"
    COUNT_STOPPING = "a run that is being stopped counts until it has ended"
    COUNT_EACH = "tasks that are planned together count one by one"
    COUNT_REMEMBERED = "what executors remember counts until their upstream reports"
    COUNT_UNKNOWN = "an upstream counts as full while nothing is known of it"
    WAIT_FOR_LEASES = "a silent upstream's runs count until its leases have expired"
    FENCE_UPSTREAMS = "an upstream refuses the leader before the one it answers"
    FENCE_EXECUTORS = "an executor that has told its memory refuses the leader before"


@define(frozen=True, cache_hash=True)
class LimitedCall:
    """A start under way, with the highest limit under which it has been counted."""

    upstream: int
    epoch: int
    run: int
    limit: int


@define(frozen=True, cache_hash=True)
class CountingLeader:
    """What a leader counts: its bound runs, and what unseen upstreams may run.

    ``bound`` has pairs of an upstream and a run. What the executor of an upstream
    remembers is ``None`` as long as it has not told it.
    """

    epoch: int
    starts: int = 0
    bound: frozenset[tuple[int, int]] = frozenset()
    unseen: frozenset[int] = frozenset()
    remembered: Memories = (None, None)


@define(frozen=True, cache_hash=True)
class LimitWorld:
    """The state of the model.

    By upstream: the highest epoch that it has answered, its runs, what its executor
    remembers, ``None`` once that is lost, and the epoch that the executor serves.
    """

    leaders: tuple[CountingLeader | None, CountingLeader | None] = (
        CountingLeader(1),
        None,
    )
    calls: frozenset[LimitedCall] = frozenset()
    tokens: tuple[int, int] = (1, 1)
    running: Runs = (frozenset(), frozenset())
    memories: Memories = (frozenset(), frozenset())
    serving: tuple[int, int] = (1, 1)
    limit: int = LIMITS[0]
    changes_left: int = 2
    losses_left: int = 1
    lapses_left: int = 1
    violation: str = ""


class LimitProtocol:
    """The steps of the model, without the protections in ``removed``."""

    def __init__(self, removed: frozenset[LimitProtection] = frozenset()) -> None:
        self._removed = removed

    def _has(self, protection: LimitProtection) -> bool:
        return protection not in self._removed

    def list_steps(self, world: LimitWorld) -> Iterator[Step[LimitWorld]]:
        """Yield all steps that are possible in a state."""
        if world.leaders[1] is None:
            claimed = CountingLeader(2, unseen=frozenset(UPSTREAMS))
            yield Step("1 claims", self._update(world, 1, claimed))
        for limit in LIMITS if world.changes_left else ():
            if limit != world.limit:
                left = world.changes_left - 1
                changed = evolve(world, limit=limit, changes_left=left)
                yield Step(f"the limit becomes {limit}", changed)
        for call in sorted(world.calls, key=repr):
            yield Step(f"{call.run} arrives", self._deliver(world, call))
        for number in UPSTREAMS:
            yield from self._list_upstream_steps(world, number)
            for index, leader in enumerate(world.leaders):
                if leader is not None:
                    yield from self._list_leader_steps(world, index, leader, number)

    def _list_upstream_steps(
        self, world: LimitWorld, number: int
    ) -> Iterator[Step[LimitWorld]]:
        for run in sorted(world.running[number]):
            left = world.running[number] - {run}
            running = replace_item(world.running, number, left)
            yield Step(f"{run} ends", evolve(world, running=running))
        if world.losses_left and world.memories[number] is not None:
            memories = replace_item(world.memories, number, None)
            lost = evolve(world, memories=memories, losses_left=0)
            yield Step(f"the executor of {number} is lost", lost)

    def _list_leader_steps(
        self, world: LimitWorld, index: int, leader: CountingLeader, number: int
    ) -> Iterator[Step[LimitWorld]]:
        """Yield what a leader may do with one upstream."""
        if number not in leader.unseen:
            yield from self._list_starts(world, index, leader, number)
        elif leader.remembered[number] is None and world.memories[number] is not None:
            yield self._hear_executor(world, index, leader, number)
        if world.tokens[number] <= leader.epoch:
            yield self._observe(world, index, leader, number)
        if not self._has(LimitProtection.COUNT_STOPPING):
            for pair in sorted(leader.bound):
                changed = evolve(leader, bound=leader.bound - {pair})
                name = f"{index} stops {pair[1]}"
                yield Step(name, self._update(world, index, changed))
        if world.lapses_left:
            yield self._lapse(world, index, leader, number)

    def _count(self, leader: CountingLeader) -> int:
        """Return what the workspace has running at most, as a leader counts it."""
        bound = {run for _, run in leader.bound}
        remembered: set[int] = set()
        unknown = 0
        for number in leader.unseen:
            tasks = leader.remembered[number]
            if tasks is None:
                unknown += CAPACITY
            else:
                remembered |= tasks - bound
        if not self._has(LimitProtection.COUNT_REMEMBERED):
            remembered.clear()
        if not self._has(LimitProtection.COUNT_UNKNOWN):
            unknown = 0
        inherited = MAX_STARTS[0] - sum(run <= MAX_STARTS[0] for run in bound)
        return len(bound) + len(remembered) + min(unknown, inherited)

    def _list_starts(
        self, world: LimitWorld, index: int, leader: CountingLeader, number: int
    ) -> Iterator[Step[LimitWorld]]:
        """Yield a pass that starts one or two tasks on an upstream."""
        if world.serving[number] != leader.epoch:
            if self._has(LimitProtection.FENCE_EXECUTORS) or leader.epoch > 1:
                return
        for count in (1, 2):
            each = count if self._has(LimitProtection.COUNT_EACH) else 1
            if leader.starts + count > MAX_STARTS[index]:
                return
            if self._count(leader) + each > world.limit:
                return
            yield self._start(world, index, leader, number, count)

    def _start(
        self,
        world: LimitWorld,
        index: int,
        leader: CountingLeader,
        number: int,
        count: int,
    ) -> Step[LimitWorld]:
        first = sum(MAX_STARTS[:index]) + leader.starts + 1
        runs = range(first, first + count)
        bound = leader.bound | {(number, run) for run in runs}
        calls = {LimitedCall(number, leader.epoch, run, world.limit) for run in runs}
        memory = world.memories[number]
        if memory is not None:
            memory = memory | frozenset(runs)
        counted = {
            evolve(call, limit=max(call.limit, world.limit)) for call in world.calls
        }
        world = evolve(
            world,
            calls=frozenset(counted | calls),
            memories=replace_item(world.memories, number, memory),
        )
        changed = evolve(leader, starts=leader.starts + count, bound=bound)
        name = f"{index} starts {count} on {number}"
        return Step(name, self._update(world, index, changed))

    def _hear_executor(
        self, world: LimitWorld, index: int, leader: CountingLeader, number: int
    ) -> Step[LimitWorld]:
        """Return the step in which an executor tells a new leader what it remembers."""
        memory = world.memories[number]
        remembered = replace_item(leader.remembered, number, memory)
        changed = evolve(leader, remembered=remembered)
        serving = replace_item(world.serving, number, leader.epoch)
        world = evolve(world, serving=serving)
        return Step(
            f"{index} hears the executor of {number}",
            self._update(world, index, changed),
        )

    def _observe(
        self, world: LimitWorld, index: int, leader: CountingLeader, number: int
    ) -> Step[LimitWorld]:
        """Return the step in which an upstream reports its runs to a leader.

        Runs that it does not show have ended, unless their start is under way.
        """
        kept = {(number, run) for run in world.running[number]}
        if self._has(LimitProtection.COUNT_STARTS):
            for call in world.calls:
                if call.epoch == leader.epoch and call.upstream == number:
                    kept.add((number, call.run))
        others = {pair for pair in leader.bound if pair[0] != number}
        changed = evolve(
            leader, bound=frozenset(others | kept), unseen=leader.unseen - {number}
        )
        world = evolve(
            world,
            tokens=replace_item(world.tokens, number, leader.epoch),
            serving=replace_item(
                world.serving, number, max(world.serving[number], leader.epoch)
            ),
        )
        name = f"{index} observes {number}"
        return Step(name, self._update(world, index, changed))

    def _lapse(
        self, world: LimitWorld, index: int, leader: CountingLeader, number: int
    ) -> Step[LimitWorld]:
        """Return the step in which a leader takes the leases of an upstream as over.

        They are: its runs have ended, and late starts have expired.
        """
        changed = evolve(
            leader,
            bound=frozenset(pair for pair in leader.bound if pair[0] != number),
            unseen=leader.unseen - {number},
        )
        world = evolve(world, lapses_left=0)
        if self._has(LimitProtection.WAIT_FOR_LEASES):
            calls = [call for call in world.calls if call.upstream != number]
            world = evolve(
                world,
                calls=frozenset(calls),
                running=replace_item(world.running, number, frozenset()),
                tokens=replace_item(
                    world.tokens, number, max(world.tokens[number], leader.epoch)
                ),
            )
        name = f"{number} lapses for {index}"
        return Step(name, self._update(world, index, changed))

    def _deliver(self, world: LimitWorld, call: LimitedCall) -> LimitWorld:
        """Start a run, unless its upstream refuses it."""
        world = evolve(world, calls=world.calls - {call})
        is_fenced = call.epoch < world.tokens[call.upstream]
        if is_fenced and self._has(LimitProtection.FENCE_UPSTREAMS):
            return world
        runs = world.running[call.upstream] | {call.run}
        running = replace_item(world.running, call.upstream, runs)
        world = evolve(world, running=running)
        if sum(map(len, running)) > call.limit:
            return evolve(world, violation="the workspace is over its limit")
        return world

    @staticmethod
    def _update(world: LimitWorld, index: int, leader: CountingLeader) -> LimitWorld:
        return evolve(world, leaders=replace_item(world.leaders, index, leader))
