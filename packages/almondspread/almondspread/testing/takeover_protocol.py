"""A small model of what a new leader holds back, and of what executors remember.

One leader after another may start a task on two upstreams, through two executors. A
leader that was superseded goes on giving orders to executors that still follow it.
Orders and calls may be under way for any time. One executor may be lost with what it
remembers, and may come back without. The model has no time and no restart of upstreams,
so that an upstream is unseen until it reports.
"""

from collections.abc import Iterator
from itertools import combinations

from attrs import evolve

from almondspread.testing.state_search import Step
from almondspread.testing.takeover_state import (
    EXECUTORS,
    MAX_EPOCH,
    NO_LINK,
    NOBODY,
    NUMBERS_PER_EPOCH,
    UPSTREAMS,
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
)

WorldStep = Step[TakeoverWorld]


class TakeoverProtocol:
    """The steps of the model, without the protections in ``removed``."""

    def __init__(
        self,
        removed: frozenset[TakeoverProtection] = frozenset(),
        max_epoch: int = MAX_EPOCH,
        first_starts: int = 1,
    ) -> None:
        self._removed = removed
        self._first_starts = first_starts
        self._max_epoch = max_epoch

    def _has(self, protection: TakeoverProtection) -> bool:
        return protection not in self._removed

    def list_steps(self, world: TakeoverWorld) -> Iterator[WorldStep]:
        """Yield all steps that are possible in a state."""
        for step in self._list_raw_steps(world):
            yield Step(step.name, self._simplify(step.state))

    def _list_raw_steps(self, world: TakeoverWorld) -> Iterator[WorldStep]:
        if world.epoch < self._max_epoch:
            yield self._claim(world)
        for index in EXECUTORS:
            yield from self._list_joins(world, index)
            yield from self._list_returns(world, index)
            yield from self._list_executor_steps(world, index)
        for leader in world.leaders:
            if leader is None:
                continue
            for upstream in UPSTREAMS:
                yield from self._list_moves(world, leader, upstream)
                yield from self._list_commits(world, leader, upstream)
                yield from self._list_orders(world, leader, upstream)
        for call in world.calls:
            yield from self._list_deliveries(world, call)
        for number in UPSTREAMS:
            yield from self._list_ends(world, number)

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
        if not self._has(TakeoverProtection.RECORD_OF_STORED_ASSIGNMENT):
            return world
        return _forget_records(world)

    def _may_act(self, world: TakeoverWorld, call: StartCall) -> bool:
        """Return whether an upstream may still carry out a call."""
        upstream = world.upstreams[call.upstream]
        return call.run > upstream.highest and not self._refuses(upstream, call.token)

    # Steps of the leaders

    def _claim(self, world: TakeoverWorld) -> WorldStep:
        epoch = world.epoch + 1
        leader = TakeoverLeader(
            epoch,
            inherited=world.stored,
            is_done=world.stored_done,
            is_stored=world.stored_done,
        )
        world = evolve(world, leaders=(*world.leaders, leader))
        return Step(f"leader {epoch} claims", world)

    def _list_joins(self, world: TakeoverWorld, index: int) -> Iterator[WorldStep]:
        """Yield the steps in which an executor joins the newest leader.

        The leader assigns it some of the upstreams that have no executor.
        """
        executor = world.executors[index]
        leader = world.leaders[-1]
        assert leader is not None
        name = f"executor {index} joins leader {leader.epoch}"
        if executor.link == leader.epoch:
            if not world.moves_left or leader.epoch == self._max_epoch:
                return
            world = evolve(world, moves_left=world.moves_left - 1)
            name = f"{name} again"
        joined = self._join(world, leader, index)
        leader = joined.leaders[-1]
        assert leader is not None
        free = [each for each in UPSTREAMS if leader.owners[each] in (NOBODY, index)]
        kept = [each for each in UPSTREAMS if leader.owners[each] == index]
        for count in range(len(free) + 1):
            for chosen in combinations(free, count):
                if not set(kept) <= set(chosen):
                    continue
                assigned = joined
                for upstream in chosen:
                    assigned = self._assign(assigned, leader.epoch, upstream, index)
                yield Step(f"{name} for {chosen}", assigned)

    def _join(
        self, world: TakeoverWorld, leader: TakeoverLeader, index: int
    ) -> TakeoverWorld:
        """Have an executor leave its link, and tell another leader its records."""
        executor = world.executors[index]
        late: tuple[Order, ...] = ()
        if not self._has(TakeoverProtection.NOTHING_AFTER_TELLING):
            late = (*executor.late_orders, *executor.orders)
        told = [*sorted(executor.ended, key=lambda each: each.assignment)]
        told.extend(each for each in executor.agents if each is not None)
        possible = leader.possible
        for record in told:
            if record.is_known and self._counts(leader, record):
                possible = replace_item(possible, record.upstream, record.is_possible)
        joined = evolve(
            executor,
            link=leader.epoch,
            told=leader.epoch,
            orders=(),
            late_orders=late,
        )
        world = _set_executor(world, index, joined)
        return _set_leader(world, evolve(leader, possible=possible))

    def _counts(self, leader: TakeoverLeader, record: Record) -> bool:
        """Return whether a leader takes the record of an upstream."""
        inherited = leader.inherited[record.upstream]
        if not inherited:
            return False
        if not self._has(TakeoverProtection.RECORD_OF_STORED_ASSIGNMENT):
            return True
        return record.assignment == inherited

    def _list_moves(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> Iterator[WorldStep]:
        """Yield the steps in which the newest leader gives an upstream to another."""
        owner = leader.owners[upstream]
        if owner == NOBODY or not world.moves_left:
            return
        if leader.epoch < world.epoch or leader.epoch == self._max_epoch:
            return
        index = 1 - owner
        executor = world.executors[index]
        if executor.link != leader.epoch:
            return
        if any(order[0] == upstream for order in executor.orders):
            return
        world = evolve(world, moves_left=world.moves_left - 1)
        name = f"leader {leader.epoch} moves {upstream} to executor {index}"
        yield Step(name, self._assign(world, leader.epoch, upstream, index))

    def _assign(
        self, world: TakeoverWorld, epoch: int, upstream: int, index: int
    ) -> TakeoverWorld:
        """Assign an upstream to an executor, which the order reaches at once.

        As its record only changes with answers and starts, that is no restriction.
        """
        leader = world.leaders[epoch - 1]
        assert leader is not None
        number = epoch * NUMBERS_PER_EPOCH + leader.numbers + 1
        record = self._make_watch_order(leader, upstream, number)
        assigned = evolve(
            leader,
            numbers=leader.numbers + 1,
            owners=replace_item(leader.owners, upstream, index),
            assignments=replace_item(leader.assignments, upstream, number),
            recorded=replace_item(leader.recorded, upstream, False),
        )
        executor = world.executors[index]
        agent = executor.agents[upstream]
        ended = executor.ended if agent is None else executor.ended | {agent}
        agents = replace_item(executor.agents, upstream, record)
        world = _set_leader(world, assigned)
        return _set_executor(world, index, evolve(executor, agents=agents, ended=ended))

    def _make_watch_order(
        self, leader: TakeoverLeader, upstream: int, number: int
    ) -> Record:
        """Return the order to watch an upstream, with what its record begins with."""
        if leader.epoch == self._max_epoch:
            return Record(upstream, number)
        is_unseen = bool(leader.inherited[upstream])
        if is_unseen and self._has(TakeoverProtection.KNOW_ONLY_SEEN):
            return Record(upstream, number)
        has_end = leader.ended_on == upstream
        if has_end and self._has(TakeoverProtection.UNKNOWN_WITH_ENDS):
            return Record(upstream, number)
        is_bound = bool(leader.run) and leader.place == upstream
        is_listed = False
        if self._has(TakeoverProtection.PASS_ON_CONFIRMED):
            is_listed = is_bound and leader.is_confirmed
        unsettled: frozenset[tuple[int, Doubt]] = frozenset()
        if self._has(TakeoverProtection.PASS_ON_UNCONFIRMED):
            if is_bound and not leader.is_confirmed:
                unsettled = frozenset({(leader.run, Doubt.PASSED_ON)})
        return Record(upstream, number, True, is_listed, unsettled)

    def _list_commits(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> Iterator[WorldStep]:
        """Yield the commits of an assignment, and of the end of the task."""
        if self._has(TakeoverProtection.CONDITIONAL_COMMIT):
            if leader.epoch != world.epoch:
                return
        epoch = leader.epoch
        if upstream == 0 and leader.is_done and not leader.is_stored:
            stored = _set_leader(world, evolve(leader, is_stored=True))
            yield Step(
                f"leader {epoch} stores the end", evolve(stored, stored_done=True)
            )
        assignment = leader.assignments[upstream]
        if not assignment or leader.recorded[upstream] or epoch == self._max_epoch:
            return
        is_unseen = bool(leader.inherited[upstream])
        if is_unseen and self._has(TakeoverProtection.STORED_ASSIGNMENT_STAYS):
            return
        recorded = replace_item(leader.recorded, upstream, True)
        stored = _set_leader(world, evolve(leader, recorded=recorded))
        rows = replace_item(world.stored, upstream, assignment)
        name = f"leader {epoch} stores the assignment of {upstream}"
        yield Step(name, evolve(stored, stored=rows))

    def _list_orders(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> Iterator[WorldStep]:
        """Yield the orders of a leader to the executor of an upstream."""
        owner = leader.owners[upstream]
        if owner == NOBODY or world.executors[owner].link != leader.epoch:
            return
        if self._may_start(leader, upstream):
            yield self._start(world, leader, upstream)
        record = world.executors[owner].agents[upstream]
        if record is None or record.assignment != leader.assignments[upstream]:
            return
        if self._refuses(world.upstreams[upstream], record.epoch):
            return
        if leader.run and leader.place == upstream:
            if leader.stopped_by != record.assignment:
                yield self._stop(world, leader, record)
        if leader.is_stored and world.upstreams[upstream].ended:
            yield self._acknowledge(world, leader, upstream)

    def _may_start(self, leader: TakeoverLeader, upstream: int) -> bool:
        """Return whether a leader may start the task on an upstream."""
        max_starts = self._first_starts if leader.epoch == 1 else 1
        if leader.is_done or leader.run or leader.starts >= max_starts:
            return False
        if self._has(TakeoverProtection.STORE_BEFORE_STARTS):
            if not leader.recorded[upstream] and leader.epoch < self._max_epoch:
                return False
        if self._has(TakeoverProtection.REPORT_BEFORE_STARTS):
            if leader.inherited[upstream]:
                return False
        for each in UPSTREAMS:
            if not leader.inherited[each]:
                continue
            possible = leader.possible[each]
            if possible is None:
                possible = self._has(TakeoverProtection.WAIT_WITHOUT_RECORD)
            if possible:
                return False
        return True

    def _start(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> WorldStep:
        run = leader.epoch * NUMBERS_PER_EPOCH + leader.starts + 1
        owner = leader.owners[upstream]
        executor = world.executors[owner]
        started = evolve(
            leader,
            starts=leader.starts + 1,
            run=run,
            place=upstream,
            is_confirmed=False,
            stopped_by=0,
        )
        ordered = evolve(executor, orders=(*executor.orders, (upstream, run)))
        world = _set_executor(_set_leader(world, started), owner, ordered)
        return Step(f"leader {leader.epoch} orders run {run} on {upstream}", world)

    def _stop(
        self, world: TakeoverWorld, leader: TakeoverLeader, record: Record
    ) -> WorldStep:
        """Return the step in which an upstream answers a stop."""
        number = record.upstream
        upstream = world.upstreams[number]
        stopped = evolve(
            upstream,
            token=max(upstream.token, record.epoch),
            highest=max(upstream.highest, leader.run),
            running=0 if upstream.running == leader.run else upstream.running,
        )
        unsettled = {
            (run, Doubt.STOPPED if run == leader.run else doubt)
            for run, doubt in record.unsettled
        }
        record = evolve(record, unsettled=frozenset(unsettled))
        world = _set_agent(world, leader.owners[number], record)
        world = _set_upstream(world, number, stopped)
        world = _set_leader(world, evolve(leader, stopped_by=record.assignment))
        return Step(f"leader {leader.epoch} stops run {leader.run} on {number}", world)

    def _acknowledge(
        self, world: TakeoverWorld, leader: TakeoverLeader, number: int
    ) -> WorldStep:
        upstream = evolve(world.upstreams[number], ended=0)
        world = _set_upstream(world, number, upstream)
        if leader.ended_on == number:
            world = _set_leader(world, evolve(leader, ended_on=NOBODY))
        name = f"leader {leader.epoch} acknowledges the end on {number}"
        return Step(name, world)

    # Steps of the executors

    def _list_returns(self, world: TakeoverWorld, index: int) -> Iterator[WorldStep]:
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
            yield Step(name, _set_executor(rest, index, returned))

    def _list_executor_steps(
        self, world: TakeoverWorld, index: int
    ) -> Iterator[WorldStep]:
        executor = world.executors[index]
        if executor.orders:
            rest = evolve(executor, orders=executor.orders[1:])
            yield self._deliver(world, index, rest, executor.orders[0])
        if executor.late_orders:
            rest = evolve(executor, late_orders=executor.late_orders[1:])
            yield self._deliver(world, index, rest, executor.late_orders[0])
        if world.losses_left and NO_LINK < executor.link < self._max_epoch:
            lost = evolve(world, losses_left=world.losses_left - 1)
            name = f"executor {index} is lost with its memory"
            yield Step(name, _set_executor(lost, index, ExecutorModel(NO_LINK)))
        for record in executor.agents:
            if record is not None:
                yield from self._list_observations(world, index, record)

    def _deliver(
        self, world: TakeoverWorld, index: int, rest: ExecutorModel, order: Order
    ) -> WorldStep:
        """Return the step in which an order arrives at its executor."""
        upstream, run = order
        name = f"the order for run {run} arrives at executor {index}"
        world = _set_executor(world, index, rest)
        agent = rest.agents[upstream]
        if agent is None or not self._carries_out(rest, agent, run):
            return Step(name, world)
        is_last = agent.epoch == self._max_epoch
        if self._has(TakeoverProtection.COUNT_FROM_ARRIVAL) and not is_last:
            unsettled = agent.unsettled | {(run, Doubt.SENT)}
            world = _set_agent(world, index, evolve(agent, unsettled=unsettled))
        call = StartCall(upstream, agent.epoch, run)
        return Step(name, evolve(world, calls=world.calls | {call}))

    def _carries_out(self, executor: ExecutorModel, agent: Record, run: int) -> bool:
        """Return whether an executor carries out a start under an assignment."""
        if self._has(TakeoverProtection.NOTHING_AFTER_TELLING):
            if agent.epoch < executor.told:
                return False
        if self._has(TakeoverProtection.OWN_LEADER_ONLY):
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
        if self._refuses(upstream, record.epoch):
            return
        token = max(upstream.token, record.epoch)
        world = _set_upstream(world, number, evolve(upstream, token=token))
        name = f"executor {index} observes {number}"
        if record.epoch < self._max_epoch:
            record = self._apply_answer(world, record)
            world = _set_agent(world, index, record)
            yield Step(name, world)
        leader = world.leaders[record.epoch - 1]
        if leader is None or world.executors[index].link != record.epoch:
            return
        if leader.assignments[number] == record.assignment:
            leader = self._apply_report(leader, upstream, record)
            yield Step(f"{name} and reports", _set_leader(world, leader))

    def _apply_answer(self, world: TakeoverWorld, record: Record) -> Record:
        """Return a record after an answer of its upstream."""
        upstream = world.upstreams[record.upstream]
        is_listed = bool(upstream.running)
        if self._has(TakeoverProtection.COUNT_ENDS):
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
                if not self._has(TakeoverProtection.COUNT_UNTIL_EXPIRY):
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

    def _refuses(self, upstream: TakeoverUpstream, token: int) -> bool:
        """Return whether an upstream refuses a call with a token."""
        return self._has(TakeoverProtection.FENCING) and token < upstream.token

    def _list_deliveries(
        self, world: TakeoverWorld, call: StartCall
    ) -> Iterator[WorldStep]:
        upstream = world.upstreams[call.upstream]
        rest = evolve(world, calls=world.calls - {call})
        if call.token < self._max_epoch:
            yield Step(f"the call for run {call.run} is lost", rest)
        if self._refuses(upstream, call.token) or call.run <= upstream.highest:
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
        world = _set_upstream(rest, call.upstream, started)
        name = f"run {call.run} starts on {call.upstream}"
        yield Step(name, evolve(world, violation=violation))

    def _list_ends(self, world: TakeoverWorld, number: int) -> Iterator[WorldStep]:
        upstream = world.upstreams[number]
        if not upstream.running:
            return
        ended = evolve(upstream, running=0, ended=upstream.running)
        world = _set_upstream(world, number, ended)
        yield Step(f"the run on {number} is done", evolve(world, is_done=True))


def _forget_records(world: TakeoverWorld) -> TakeoverWorld:
    """Remove the records that no leader can ask for."""
    needed = {*world.stored}
    for leader in world.leaders:
        if leader is not None:
            needed |= {*leader.inherited, *leader.assignments}
    for index, executor in enumerate(world.executors):
        kept = frozenset(each for each in executor.ended if each.assignment in needed)
        world = _set_executor(world, index, evolve(executor, ended=kept))
    return world


def _set_leader(world: TakeoverWorld, leader: TakeoverLeader) -> TakeoverWorld:
    leaders = list(world.leaders)
    leaders[leader.epoch - 1] = leader
    return evolve(world, leaders=tuple(leaders))


def _set_executor(
    world: TakeoverWorld, index: int, executor: ExecutorModel
) -> TakeoverWorld:
    return evolve(world, executors=replace_item(world.executors, index, executor))


def _set_agent(world: TakeoverWorld, index: int, record: Record) -> TakeoverWorld:
    executor = world.executors[index]
    agents = replace_item(executor.agents, record.upstream, record)
    return _set_executor(world, index, evolve(executor, agents=agents))


def _set_upstream(
    world: TakeoverWorld, number: int, upstream: TakeoverUpstream
) -> TakeoverWorld:
    return evolve(world, upstreams=replace_item(world.upstreams, number, upstream))
