"""A small model of what a new leader holds back, and of what executors remember.

One leader after another may start a task on two upstreams, through two executors. A
leader that was superseded goes on giving orders to executors that still follow it.
Orders and calls may be under way for any time. One executor may be lost with what it
remembers, and may come back without. The model has no time and no restart of upstreams,
so that an upstream is unseen until it reports.
"""

from collections.abc import Iterator

from attrs import evolve

from almondspread.testing.state_search import Step
from almondspread.testing.takeover_executors import ExecutorSteps
from almondspread.testing.takeover_leaders import LeaderSteps
from almondspread.testing.takeover_state import (
    EXECUTORS,
    MAX_EPOCH,
    UPSTREAMS,
    StartCall,
    TakeoverProtection,
    TakeoverWorld,
    set_executor,
)
from almondspread.testing.takeover_steps import WorldStep


class TakeoverProtocol:
    """The steps of the model, without the protections in ``removed``."""

    def __init__(
        self,
        removed: frozenset[TakeoverProtection] = frozenset(),
        max_epoch: int = MAX_EPOCH,
        first_starts: int = 1,
    ) -> None:
        self._leaders = LeaderSteps(removed, max_epoch, first_starts)
        self._executors = ExecutorSteps(removed, max_epoch, first_starts)

    def list_steps(self, world: TakeoverWorld) -> Iterator[WorldStep]:
        """Yield all steps that are possible in a state."""
        for step in self._list_raw_steps(world):
            yield Step(step.name, self._simplify(step.state))

    def _list_raw_steps(self, world: TakeoverWorld) -> Iterator[WorldStep]:
        if world.epoch < self._leaders.max_epoch:
            yield self._leaders.claim(world)
        for index in EXECUTORS:
            yield from self._leaders.list_joins(world, index)
            yield from self._executors.list_returns(world, index)
            yield from self._executors.list_executor_steps(world, index)
        for leader in world.leaders:
            if leader is None:
                continue
            for upstream in UPSTREAMS:
                yield from self._leaders.list_moves(world, leader, upstream)
                yield from self._leaders.list_commits(world, leader, upstream)
                yield from self._leaders.list_orders(world, leader, upstream)
        for call in world.calls:
            yield from self._executors.list_deliveries(world, call)
        for number in UPSTREAMS:
            yield from self._executors.list_ends(world, number)

    def _simplify(self, world: TakeoverWorld) -> TakeoverWorld:
        """Remove what can have no effect any more."""
        calls = frozenset(call for call in world.calls if self._may_act(world, call))
        links = {each.link for each in world.executors}
        leaders = tuple(
            leader
            if leader is not None
            and (leader.epoch in links | {world.epoch} or world.returns_left)
            else None
            for leader in world.leaders
        )
        world = evolve(world, calls=calls, leaders=leaders)
        if not self._executors.has(TakeoverProtection.RECORD_OF_STORED_ASSIGNMENT):
            return world
        return _forget_records(world)

    def _may_act(self, world: TakeoverWorld, call: StartCall) -> bool:
        """Return whether an upstream may still carry out a call."""
        upstream = world.upstreams[call.upstream]
        return call.run > upstream.highest and not self._executors.refuses(
            upstream, call.token
        )


def _forget_records(world: TakeoverWorld) -> TakeoverWorld:
    """Remove the records that no leader can ask for."""
    needed = {*world.stored}
    for leader in world.leaders:
        if leader is not None:
            needed |= {*leader.inherited, *leader.assignments}
    for index, executor in enumerate(world.executors):
        kept = frozenset(each for each in executor.ended if each.assignment in needed)
        world = set_executor(world, index, evolve(executor, ended=kept))
    return world
