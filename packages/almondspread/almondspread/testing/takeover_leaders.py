"""The steps of the leaders in the model of a takeover."""

from collections.abc import Iterator
from itertools import combinations

from attrs import evolve

from almondspread.testing.state_search import Step
from almondspread.testing.takeover_state import (
    NOBODY,
    NUMBERS_PER_EPOCH,
    UPSTREAMS,
    Doubt,
    Order,
    Record,
    TakeoverLeader,
    TakeoverProtection,
    TakeoverWorld,
    replace_item,
    set_agent,
    set_executor,
    set_leader,
    set_upstream,
)
from almondspread.testing.takeover_steps import TakeoverSteps, WorldStep


class LeaderSteps(TakeoverSteps):
    """What leaders do: claim, assign upstreams to executors, commit, and order."""

    def claim(self, world: TakeoverWorld) -> WorldStep:
        """Return the step in which the next leader claims the cell."""
        epoch = world.epoch + 1
        leader = TakeoverLeader(
            epoch,
            inherited=world.stored,
            is_done=world.stored_done,
            is_stored=world.stored_done,
        )
        world = evolve(world, leaders=(*world.leaders, leader))
        return Step(f"leader {epoch} claims", world)

    def list_joins(self, world: TakeoverWorld, index: int) -> Iterator[WorldStep]:
        """Yield the steps in which an executor joins the newest leader.

        The leader assigns it some of the upstreams that have no executor.
        """
        executor = world.executors[index]
        leader = world.leaders[-1]
        assert leader is not None
        name = f"executor {index} joins leader {leader.epoch}"
        if executor.link == leader.epoch:
            if not world.moves_left or leader.epoch == self.max_epoch:
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
        if not self.has(TakeoverProtection.NOTHING_AFTER_TELLING):
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
        world = set_executor(world, index, joined)
        return set_leader(world, evolve(leader, possible=possible))

    def _counts(self, leader: TakeoverLeader, record: Record) -> bool:
        """Return whether a leader takes the record of an upstream."""
        inherited = leader.inherited[record.upstream]
        if not inherited:
            return False
        if not self.has(TakeoverProtection.RECORD_OF_STORED_ASSIGNMENT):
            return True
        return record.assignment == inherited

    def list_moves(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> Iterator[WorldStep]:
        """Yield the steps in which the newest leader gives an upstream to another."""
        owner = leader.owners[upstream]
        if owner == NOBODY or not world.moves_left:
            return
        if leader.epoch < world.epoch or leader.epoch == self.max_epoch:
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
        world = set_leader(world, assigned)
        return set_executor(world, index, evolve(executor, agents=agents, ended=ended))

    def _make_watch_order(
        self, leader: TakeoverLeader, upstream: int, number: int
    ) -> Record:
        """Return the order to watch an upstream, with what its record begins with."""
        if leader.epoch == self.max_epoch:
            return Record(upstream, number)
        is_unseen = bool(leader.inherited[upstream])
        if is_unseen and self.has(TakeoverProtection.KNOW_ONLY_SEEN):
            return Record(upstream, number)
        has_end = leader.ended_on == upstream
        if has_end and self.has(TakeoverProtection.UNKNOWN_WITH_ENDS):
            return Record(upstream, number)
        is_bound = bool(leader.run) and leader.place == upstream
        is_listed = False
        if self.has(TakeoverProtection.PASS_ON_CONFIRMED):
            is_listed = is_bound and leader.is_confirmed
        unsettled: frozenset[tuple[int, Doubt]] = frozenset()
        if self.has(TakeoverProtection.PASS_ON_UNCONFIRMED):
            if is_bound and not leader.is_confirmed:
                unsettled = frozenset({(leader.run, Doubt.PASSED_ON)})
        return Record(upstream, number, True, is_listed, unsettled)

    def list_commits(
        self, world: TakeoverWorld, leader: TakeoverLeader, upstream: int
    ) -> Iterator[WorldStep]:
        """Yield the commits of an assignment, and of the end of the task."""
        if self.has(TakeoverProtection.CONDITIONAL_COMMIT):
            if leader.epoch != world.epoch:
                return
        epoch = leader.epoch
        if upstream == 0 and leader.is_done and not leader.is_stored:
            stored = set_leader(world, evolve(leader, is_stored=True))
            yield Step(
                f"leader {epoch} stores the end", evolve(stored, stored_done=True)
            )
        assignment = leader.assignments[upstream]
        if not assignment or leader.recorded[upstream] or epoch == self.max_epoch:
            return
        is_unseen = bool(leader.inherited[upstream])
        if is_unseen and self.has(TakeoverProtection.STORED_ASSIGNMENT_STAYS):
            return
        recorded = replace_item(leader.recorded, upstream, True)
        stored = set_leader(world, evolve(leader, recorded=recorded))
        rows = replace_item(world.stored, upstream, assignment)
        name = f"leader {epoch} stores the assignment of {upstream}"
        yield Step(name, evolve(stored, stored=rows))

    def list_orders(
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
        if self.refuses(world.upstreams[upstream], record.epoch):
            return
        if leader.run and leader.place == upstream:
            if leader.stopped_by != record.assignment:
                yield self._stop(world, leader, record)
        if leader.is_stored and world.upstreams[upstream].ended:
            yield self._acknowledge(world, leader, upstream)

    def _may_start(self, leader: TakeoverLeader, upstream: int) -> bool:
        """Return whether a leader may start the task on an upstream."""
        max_starts = self.first_starts if leader.epoch == 1 else 1
        if leader.is_done or leader.run or leader.starts >= max_starts:
            return False
        if self.has(TakeoverProtection.STORE_BEFORE_STARTS):
            if not leader.recorded[upstream] and leader.epoch < self.max_epoch:
                return False
        if self.has(TakeoverProtection.REPORT_BEFORE_STARTS):
            if leader.inherited[upstream]:
                return False
        for each in UPSTREAMS:
            if not leader.inherited[each]:
                continue
            possible = leader.possible[each]
            if possible is None:
                possible = self.has(TakeoverProtection.WAIT_WITHOUT_RECORD)
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
        world = set_executor(set_leader(world, started), owner, ordered)
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
        world = set_agent(world, leader.owners[number], record)
        world = set_upstream(world, number, stopped)
        world = set_leader(world, evolve(leader, stopped_by=record.assignment))
        return Step(f"leader {leader.epoch} stops run {leader.run} on {number}", world)

    def _acknowledge(
        self, world: TakeoverWorld, leader: TakeoverLeader, number: int
    ) -> WorldStep:
        upstream = evolve(world.upstreams[number], ended=0)
        world = set_upstream(world, number, upstream)
        if leader.ended_on == number:
            world = set_leader(world, evolve(leader, ended_on=NOBODY))
        name = f"leader {leader.epoch} acknowledges the end on {number}"
        return Step(name, world)
