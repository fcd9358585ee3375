"""The steps of executors, calls and upstreams in the model of a takeover."""

from collections.abc import Iterator

from attrs import evolve

from almondspread.testing.state_search import Step
from almondspread.testing.takeover_state import (
    NO_LINK,
    NOBODY,
    NUMBERS_PER_EPOCH,
    Doubt,
    ExecutorModel,
    Order,
    Record,
    StartCall,
    TakeoverLeader,
    TakeoverProtection,
    TakeoverUpstream,
    TakeoverWorld,
    replace_item,
    set_agent,
    set_executor,
    set_leader,
    set_upstream,
)
from almondspread.testing.takeover_steps import TakeoverSteps, WorldStep


class ExecutorSteps(TakeoverSteps):
    """What executors do with orders and answers, and upstreams with calls."""

    def list_returns(self, world: TakeoverWorld, index: int) -> Iterator[WorldStep]:
        """Yield the steps in which an executor goes back to an earlier leader.

        That leader takes it for the holder of the assignments that it had.
        """
        executor = world.executors[index]
        if not world.returns_left or executor.link == NO_LINK:
            return
        for leader in world.leaders:
            if leader is None or leader.epoch >= executor.link:
                continue
            returned = evolve(executor, link=leader.epoch, orders=())
            name = f"executor {index} goes back to leader {leader.epoch}"
            rest = evolve(world, returns_left=world.returns_left - 1)
            yield Step(name, set_executor(rest, index, returned))

    def list_executor_steps(
        self, world: TakeoverWorld, index: int
    ) -> Iterator[WorldStep]:
        """Yield the steps in which an executor handles an order or an answer."""
        executor = world.executors[index]
        if executor.orders:
            rest = evolve(executor, orders=executor.orders[1:])
            yield self._deliver(world, index, rest, executor.orders[0])
        if executor.late_orders:
            rest = evolve(executor, late_orders=executor.late_orders[1:])
            yield self._deliver(world, index, rest, executor.late_orders[0])
        if world.losses_left and NO_LINK < executor.link < self.max_epoch:
            lost = evolve(world, losses_left=world.losses_left - 1)
            name = f"executor {index} is lost with its memory"
            yield Step(name, set_executor(lost, index, ExecutorModel(NO_LINK)))
        for record in executor.agents:
            if record is not None:
                yield from self._list_observations(world, index, record)

    def _deliver(
        self, world: TakeoverWorld, index: int, rest: ExecutorModel, order: Order
    ) -> WorldStep:
        """Return the step in which an order arrives at its executor."""
        upstream, run = order
        name = f"the order for run {run} arrives at executor {index}"
        world = set_executor(world, index, rest)
        agent = rest.agents[upstream]
        if agent is None or not self._carries_out(rest, agent, run):
            return Step(name, world)
        is_last = agent.epoch == self.max_epoch
        if self.has(TakeoverProtection.COUNT_FROM_ARRIVAL) and not is_last:
            unsettled = agent.unsettled | {(run, Doubt.SENT)}
            world = set_agent(world, index, evolve(agent, unsettled=unsettled))
        call = StartCall(upstream, agent.epoch, run)
        return Step(name, evolve(world, calls=world.calls | {call}))

    def _carries_out(self, executor: ExecutorModel, agent: Record, run: int) -> bool:
        """Return whether an executor carries out a start under an assignment."""
        if self.has(TakeoverProtection.NOTHING_AFTER_TELLING):
            if agent.epoch < executor.told:
                return False
        if self.has(TakeoverProtection.OWN_LEADER_ONLY):
            return run // NUMBERS_PER_EPOCH == agent.epoch
        return True

    def _list_observations(
        self, world: TakeoverWorld, index: int, record: Record
    ) -> Iterator[WorldStep]:
        """Yield the steps in which an upstream answers what it runs and what ended.

        The report on it may be lost with the link to the leader.
        """
        number = record.upstream
        upstream = world.upstreams[number]
        if self.refuses(upstream, record.epoch):
            return
        token = max(upstream.token, record.epoch)
        world = set_upstream(world, number, evolve(upstream, token=token))
        name = f"executor {index} observes {number}"
        if record.epoch < self.max_epoch:
            record = self._apply_answer(world, record)
            world = set_agent(world, index, record)
            yield Step(name, world)
        leader = world.leaders[record.epoch - 1]
        if leader is None or world.executors[index].link != record.epoch:
            return
        if leader.assignments[number] == record.assignment:
            leader = self._apply_report(leader, upstream, record)
            yield Step(f"{name} and reports", set_leader(world, leader))

    def _apply_answer(self, world: TakeoverWorld, record: Record) -> Record:
        """Return a record after an answer of its upstream."""
        upstream = world.upstreams[record.upstream]
        is_listed = bool(upstream.running)
        if self.has(TakeoverProtection.COUNT_ENDS):
            is_listed = is_listed or bool(upstream.ended)
        sent = {call.run for call in world.calls if call.upstream == record.upstream}
        unsettled = set()
        for run, doubt in record.unsettled:
            if run in (upstream.running, upstream.ended) or doubt is Doubt.STOPPED:
                continue
            if doubt is Doubt.SENT:
                if run not in sent:
                    # The call may have expired before the answer.
                    continue
                if not self.has(TakeoverProtection.COUNT_UNTIL_EXPIRY):
                    continue
            unsettled.add((run, doubt))
        return evolve(
            record, is_known=True, is_listed=is_listed, unsettled=frozenset(unsettled)
        )

    @staticmethod
    def _apply_report(
        leader: TakeoverLeader, upstream: TakeoverUpstream, record: Record
    ) -> TakeoverLeader:
        """Return what a leader knows after a report of an upstream."""
        number = record.upstream
        leader = evolve(
            leader,
            inherited=replace_item(leader.inherited, number, 0),
            possible=replace_item(leader.possible, number, None),
        )
        if upstream.ended:
            return evolve(
                leader,
                is_done=True,
                ended_on=number,
                run=0,
                place=NOBODY,
                is_confirmed=False,
                stopped_by=0,
            )
        if upstream.running:
            if not leader.run and not leader.is_done:
                leader = evolve(leader, run=upstream.running, place=number)
            if leader.run == upstream.running:
                leader = evolve(leader, is_confirmed=True)
        if leader.stopped_by == record.assignment and upstream.running != leader.run:
            leader = evolve(
                leader, run=0, place=NOBODY, is_confirmed=False, stopped_by=0
            )
        return leader

    # Steps of the calls and the upstreams

    def list_deliveries(
        self, world: TakeoverWorld, call: StartCall
    ) -> Iterator[WorldStep]:
        """Yield the steps in which a call is lost or reaches its upstream."""
        upstream = world.upstreams[call.upstream]
        rest = evolve(world, calls=world.calls - {call})
        if call.token < self.max_epoch:
            yield Step(f"the call for run {call.run} is lost", rest)
        if self.refuses(upstream, call.token) or call.run <= upstream.highest:
            return
        violation = ""
        if world.is_done:
            violation = "the task was started again after it was done"
        if any(each.running for each in world.upstreams):
            violation = "the task runs twice"
        started = evolve(
            upstream,
            token=max(upstream.token, call.token),
            running=call.run,
            highest=call.run,
        )
        world = set_upstream(rest, call.upstream, started)
        name = f"run {call.run} starts on {call.upstream}"
        yield Step(name, evolve(world, violation=violation))

    def list_ends(self, world: TakeoverWorld, number: int) -> Iterator[WorldStep]:
        """Yield the step in which the run on an upstream is done."""
        upstream = world.upstreams[number]
        if not upstream.running:
            return
        ended = evolve(upstream, running=0, ended=upstream.running)
        world = set_upstream(world, number, ended)
        yield Step(f"the run on {number} is done", evolve(world, is_done=True))
