"""A small model of how leaders claim, fence and hand over the runs of one task.

Two instances may lead, and two upstreams may run the task. Every start may be carried
out late, and an upstream may restart under its identity. The model has no time, so that
what it shows holds however long leases last. A call goes out on a connection that leads
to one incarnation, and ends with it.
"""

from collections.abc import Iterator

from attrs import evolve

from almondspread.jobs.incarnations import find_next_token
from almondspread.testing.protocol_state import (
    MAX_EPOCH,
    MAX_STARTS,
    NOWHERE,
    RUNS_PER_EPOCH,
    UNDER_WAY,
    UPSTREAMS,
    LeaderModel,
    Protection,
    StartCall,
    UpstreamModel,
    World,
    replace_item,
)
from almondspread.testing.state_search import Step


class LeaderProtocol:
    """The steps of the model, without the protections in ``removed``."""

    def __init__(self, removed: frozenset[Protection] = frozenset()) -> None:
        self._removed = removed

    def _has(self, protection: Protection) -> bool:
        return protection not in self._removed

    def list_steps(self, world: World) -> Iterator[Step[World]]:
        """Yield all steps that are possible in a state."""
        for index, leader in enumerate(world.leaders):
            if leader is None:
                yield from self._list_claims(world, index)
                continue
            yield from self._list_leader_steps(world, index, leader)
            for number in UPSTREAMS:
                yield from self._list_calls(world, index, leader, number)
        for call in sorted(world.calls, key=repr):
            yield from self._list_deliveries(world, call)
        for number, upstream in enumerate(world.upstreams):
            yield from self._list_upstream_steps(world, number, upstream)

    # Steps of the instances

    def _list_claims(self, world: World, index: int) -> Iterator[Step[World]]:
        if index != world.epoch or world.epoch >= MAX_EPOCH:
            # The instances are alike, so that each may claim in its turn.
            return
        waits = world.may_be_started and self._has(Protection.WAIT_FOR_UNSEEN)
        first, second = world.upstreams
        leader = LeaderModel(
            world.epoch + 1,
            (first.incarnation, second.incarnation),
            frozenset(UPSTREAMS) if waits else frozenset(),
            done=world.stored_done,
            stored=world.stored_done,
        )
        claimed = evolve(world, epoch=leader.epoch)
        yield Step(f"{index} claims", self._update(claimed, index, leader))

    def _list_leader_steps(
        self, world: World, index: int, leader: LeaderModel
    ) -> Iterator[Step[World]]:
        is_current = leader.epoch == world.epoch
        if is_current or not self._has(Protection.START_MARK):
            marked = world.may_be_started or self._has(Protection.START_MARK)
            allowed = evolve(leader, may_start=True, recorded=frozenset(UPSTREAMS))
            allowed_world = self._update(world, index, allowed)
            yield Step(f"{index} marks", evolve(allowed_world, may_be_started=marked))
        if leader.done and not leader.stored:
            if is_current or not self._has(Protection.CONDITIONAL_COMMIT):
                stored = self._update(world, index, evolve(leader, stored=True))
                yield Step(f"{index} stores", evolve(stored, stored_done=True))
            else:
                yield Step(f"{index} is refused", self._end(world, index))

    def _list_calls(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Iterator[Step[World]]:
        """Yield the calls of a leader to one upstream."""
        upstream = world.upstreams[number]
        token = leader.find_token(number)
        is_current = leader.epoch == world.epoch
        if (
            leader.was_interrupted
            and self._has(Protection.HOLD_LEASE)
            and not is_current
        ):
            may_start = False
        else:
            may_start = self._may_start(leader)
        if may_start and self._may_use(world, leader, number):
            yield self._start(world, index, leader, number)
        if self._has(Protection.FENCING) and token < upstream.token:
            yield Step(f"{index} is fenced by {number}", self._end(world, index))
            return
        if upstream.incarnation != leader.known[number]:
            yield self._recognise(world, index, leader, number)
            return
        yield self._observe(world, index, leader, number)
        if leader.place == number and not leader.stopped:
            if not self._is_under_way(world, leader):
                yield self._stop(world, index, leader, number)
        yield from self._list_acknowledgements(world, index, leader, number)

    def _may_start(self, leader: LeaderModel) -> bool:
        if leader.done or leader.unseen or not leader.may_start:
            return False
        if leader.starts >= MAX_STARTS[leader.epoch]:
            return False
        if self._has(Protection.STOP_BEFORE_STARTING_AGAIN):
            return not leader.run
        return not leader.seen

    def _may_use(self, world: World, leader: LeaderModel, number: int) -> bool:
        """Return whether a leader may start the task on an upstream."""
        if self._has(Protection.RECORD_UPSTREAMS) and number not in leader.recorded:
            return False
        if number and not world.may_be_running:
            # The upstreams are alike, so that the first start goes to the first one.
            return False
        upstream = world.upstreams[number]
        if not self._has(Protection.CONFIRM_BEFORE_STARTING):
            return True
        if self._has(Protection.FENCING):
            if leader.find_token(number) < upstream.token:
                return False
        return upstream.incarnation == leader.known[number]

    def _is_under_way(self, world: World, leader: LeaderModel) -> bool:
        """Return whether the call that starts the leader's run is under way."""
        for call in world.calls:
            if call.run == leader.run and call.incarnation == UNDER_WAY:
                return True
        return False

    def _start(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Step[World]:
        run = leader.epoch * RUNS_PER_EPOCH + leader.starts + 1
        call = StartCall(number, leader.find_token(number), run)
        started = evolve(
            leader,
            starts=leader.starts + 1,
            run=run,
            place=number,
            seen=False,
            stopped=False,
        )
        world = evolve(world, calls=world.calls | {call}, may_be_running=True)
        return Step(f"{index} starts on {number}", self._update(world, index, started))

    def _recognise(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Step[World]:
        """Return the step in which a leader finds that an upstream has restarted."""
        upstream = world.upstreams[number]
        token = find_next_token(leader.find_token(number))
        upstream = evolve(upstream, token=max(upstream.token, token))
        generation = leader.generations[number] + 1
        changed = evolve(
            leader,
            known=replace_item(leader.known, number, upstream.incarnation),
            generations=replace_item(leader.generations, number, generation),
            recorded=leader.recorded - {number},
            acknowledged=replace_item(leader.acknowledged, number, False),
        )
        if leader.place == number:
            changed = evolve(changed, stopped=False)
            if leader.seen:
                changed = evolve(
                    changed, run=0, place=NOWHERE, seen=False, was_interrupted=True
                )
        world = self._set_upstream(world, number, upstream)
        name = f"{index} recognises the restart of {number}"
        return Step(name, self._update(world, index, changed))

    def _observe(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Step[World]:
        """Return the step in which an upstream reports what it runs and what ended."""
        upstream = world.upstreams[number]
        token = max(upstream.token, leader.find_token(number))
        world = self._set_upstream(world, number, evolve(upstream, token=token))
        leader = evolve(leader, unseen=leader.unseen - {number})
        is_hidden = leader.acknowledged[number] and not self._has(
            Protection.ACKNOWLEDGE_BY_INCARNATION
        )
        if upstream.ended and not is_hidden:
            leader = evolve(leader, done=True)
        if upstream.running and not leader.done:
            if not leader.run:
                leader = evolve(leader, run=upstream.running, place=number, seen=True)
            elif leader.run == upstream.running:
                leader = evolve(leader, seen=True)
        elif leader.place == number and leader.stopped:
            leader = evolve(
                leader,
                run=0,
                place=NOWHERE,
                seen=False,
                stopped=False,
                was_interrupted=True,
            )
        return Step(f"{index} observes {number}", self._update(world, index, leader))

    def _stop(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Step[World]:
        upstream = world.upstreams[number]
        stopped = evolve(
            upstream,
            token=max(upstream.token, leader.find_token(number)),
            highest=max(upstream.highest, leader.run),
            running=0 if upstream.running == leader.run else upstream.running,
        )
        world = self._set_upstream(world, number, stopped)
        leader = evolve(leader, stopped=True)
        return Step(f"{index} stops on {number}", self._update(world, index, leader))

    def _list_acknowledgements(
        self, world: World, index: int, leader: LeaderModel, number: int
    ) -> Iterator[Step[World]]:
        upstream = world.upstreams[number]
        may_acknowledge = leader.stored
        if not self._has(Protection.STORE_BEFORE_ACKNOWLEDGING):
            may_acknowledge = leader.done
        if not self._has(Protection.ACKNOWLEDGE_BY_INCARNATION):
            # The number of an end of an earlier incarnation covers this one's as well.
            may_acknowledge = may_acknowledge or upstream.incarnation > 1
        if not upstream.ended or not may_acknowledge:
            return
        violation = world.violation
        if upstream.overtaken:
            violation = "the task was started again after it was done"
        world = self._set_upstream(world, number, evolve(upstream, ended=0))
        flags = replace_item(leader.acknowledged, number, True)
        world = self._update(world, index, evolve(leader, acknowledged=flags))
        yield Step(
            f"{index} acknowledges on {number}",
            evolve(world, is_done=True, violation=violation),
        )

    # Steps of the calls and the upstreams

    def _list_deliveries(self, world: World, call: StartCall) -> Iterator[Step[World]]:
        upstream = world.upstreams[call.upstream]
        rest = evolve(world, calls=world.calls - {call})
        if call.incarnation in (UNDER_WAY, upstream.incarnation):
            name = f"run {call.run} arrives at {call.upstream}"
            yield Step(name, self._carry_out(rest, call))
        if call.incarnation == UNDER_WAY:
            held = evolve(call, incarnation=upstream.incarnation)
            name = f"the call for run {call.run} is given up"
            yield Step(name, evolve(rest, calls=rest.calls | {held}))

    def _carry_out(self, world: World, call: StartCall) -> World:
        """Start a run, unless its upstream refuses it."""
        upstream = world.upstreams[call.upstream]
        is_fenced = self._has(Protection.FENCING) and call.token < upstream.token
        if is_fenced or call.run <= upstream.highest:
            return world
        violation = world.violation
        if world.is_done:
            violation = "the task was started again after it was done"
        if any(each.running for each in world.upstreams):
            violation = "the task runs twice"
        upstreams = []
        for number, each in enumerate(world.upstreams):
            if number == call.upstream:
                token = max(each.token, call.token)
                each = evolve(each, token=token, running=call.run, highest=call.run)
            upstreams.append(evolve(each, overtaken=bool(each.ended)))
        return evolve(
            world, upstreams=(upstreams[0], upstreams[1]), violation=violation
        )

    def _list_upstream_steps(
        self, world: World, number: int, upstream: UpstreamModel
    ) -> Iterator[Step[World]]:
        if upstream.running:
            ended = evolve(upstream, running=0, ended=upstream.running)
            name = f"the run on {number} is done"
            yield Step(name, self._set_upstream(world, number, ended))
        if world.restarts_left:
            started = UpstreamModel(upstream.incarnation + 1)
            world = self._set_upstream(world, number, started)
            left = world.restarts_left - 1
            calls = [
                call
                for call in world.calls
                if call.upstream != number or self._outlasts_restart(call)
            ]
            world = evolve(world, restarts_left=left, calls=frozenset(calls))
            yield Step(f"{number} restarts", world)

    def _outlasts_restart(self, call: StartCall) -> bool:
        """Return whether a call may reach the next incarnation of its upstream."""
        if self._has(Protection.PROVEN_CONNECTION):
            return False
        return call.incarnation == UNDER_WAY

    @staticmethod
    def _update(world: World, index: int, leader: LeaderModel) -> World:
        return evolve(world, leaders=replace_item(world.leaders, index, leader))

    @staticmethod
    def _end(world: World, index: int) -> World:
        return evolve(world, leaders=replace_item(world.leaders, index, None))

    @staticmethod
    def _set_upstream(world: World, number: int, upstream: UpstreamModel) -> World:
        return evolve(world, upstreams=replace_item(world.upstreams, number, upstream))
