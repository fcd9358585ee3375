"""The states of the model of what a new leader holds back."""

from enum import StrEnum
from typing import TypeVar

from attrs import define, evolve

MAX_EPOCH = 3
# Numbers of runs and assignments of one epoch must stay below those of the next.
NUMBERS_PER_EPOCH = 10
T = TypeVar("T")
UPSTREAMS = (0, 1)
EXECUTORS = (0, 1)
NOBODY = -1
NO_LINK = 0


class TakeoverProtection(StrEnum):
    """What keeps a task from running twice; a search may go without some of them.

    The tests search without those that one takeover needs, and ``OWN_LEADER_ONLY``. The
    worlds of the others are too large for them; docs/design/takeover.md tells what
    was searched.
    """

    FENCING = "an upstream refuses lower tokens"
    CONDITIONAL_COMMIT = "no commit succeeds after the claim of a later leader"
    REPORT_BEFORE_STARTS = "an upstream gets starts once it has reported to the leader"
    STORE_BEFORE_STARTS = "the store names the assignment before a start is decided"
    RECORD_OF_STORED_ASSIGNMENT = "a record counts for the stored assignment only"
    STORED_ASSIGNMENT_STAYS = "the stored assignment stays while the upstream is unseen"
    KNOW_ONLY_SEEN = "the leader tells no runs of an upstream that it has not seen"
    PASS_ON_UNCONFIRMED = "a reassignment passes on the unconfirmed runs"
    PASS_ON_CONFIRMED = "a reassignment passes on the confirmed runs"
    UNKNOWN_WITH_ENDS = "with an end that is not acknowledged no record begins known"
    COUNT_FROM_ARRIVAL = "a start counts as possible from the arrival of its order"
    COUNT_UNTIL_EXPIRY = "a start that no answer lists counts until its expiry"
    COUNT_ENDS = "an end that is not acknowledged counts as possible"
    NOTHING_AFTER_TELLING = "an executor starts nothing under an assignment it has told"
    OWN_LEADER_ONLY = "an executor starts only what the leader of the assignment orders"
    WAIT_WITHOUT_RECORD = "without a record of an unseen upstream the task waits"


class Doubt(StrEnum):
    """Until when a start counts that no answer of the upstream has listed.

    A start that was ``SENT`` by the executor itself counts until its expiry, one that
    was ``PASSED_ON`` until it is stopped, and one that is ``STOPPED`` until the next
    answer.
    """

    SENT = "sent"
    PASSED_ON = "passed on"
    STOPPED = "stopped"


@define(frozen=True, cache_hash=True)
class Record:
    """What an executor remembers of one assignment of an upstream.

    ``is_listed`` tells whether the newest answer lists the task as running or ended.
    """

    upstream: int
    assignment: int
    is_known: bool = False
    is_listed: bool = False
    unsettled: frozenset[tuple[int, Doubt]] = frozenset()

    @property
    def epoch(self) -> int:
        """The epoch of the leader that made the assignment, which is its token."""
        return self.assignment // NUMBERS_PER_EPOCH

    @property
    def is_possible(self) -> bool:
        """Whether the upstream may run the task."""
        return self.is_listed or bool(self.unsettled)


# An order to start the task, given by the upstream and the run.
Order = tuple[int, int]


@define(frozen=True, cache_hash=True)
class ExecutorModel:
    """An executor, the epoch of the leader that it follows, and orders under way to it.

    ``orders`` arrive in their order. ``agents`` has the present assignment of each
    upstream, and ``ended`` those that have ended. ``told`` is the newest epoch whose
    leader it has told its records. ``late_orders`` are under way on a link that it has
    left, and count only where nothing keeps it from carrying them out.
    """

    link: int = 1
    told: int = 1
    agents: tuple[Record | None, Record | None] = (None, None)
    ended: frozenset[Record] = frozenset()
    orders: tuple[Order, ...] = ()
    late_orders: tuple[Order, ...] = ()


@define(frozen=True, cache_hash=True)
class StartCall:
    """A start that an executor has sent and that is not carried out yet."""

    upstream: int
    token: int
    run: int


@define(frozen=True, cache_hash=True)
class TakeoverUpstream:
    """What an upstream knows.

    ``highest`` is the highest run that was started or stopped here, and ``ended`` the
    run that is done and not acknowledged.
    """

    token: int = 1
    running: int = 0
    highest: int = 0
    ended: int = 0


@define(frozen=True, cache_hash=True)
class TakeoverLeader:
    """What the leader of an epoch knows, also after the claim of the next one.

    An upstream is unseen as long as it has an ``inherited`` assignment; ``possible``
    tells whether it may run the task, ``None`` if that is not known. The leader has
    assigned upstreams under ``assignments`` to ``owners``; ``recorded`` ones stand in
    the store. The run is bound to the upstream ``place``, and was stopped there under
    the assignment ``stopped_by``. The leader has seen the end of the task on
    ``ended_on``, and has acknowledged it once that is ``NOBODY`` again.
    """

    epoch: int
    inherited: tuple[int, int] = (0, 0)
    possible: tuple[bool | None, bool | None] = (None, None)
    owners: tuple[int, int] = (NOBODY, NOBODY)
    assignments: tuple[int, int] = (0, 0)
    numbers: int = 0
    recorded: tuple[bool, bool] = (False, False)
    starts: int = 0
    run: int = 0
    place: int = NOBODY
    is_confirmed: bool = False
    stopped_by: int = 0
    is_done: bool = False
    is_stored: bool = False
    ended_on: int = NOBODY


@define(frozen=True, cache_hash=True)
class TakeoverWorld:
    """The store, the leaders, the executors, the upstreams and the calls under way.

    ``stored`` has the assignment of each upstream that the store names.
    """

    stored: tuple[int, int]
    leaders: tuple[TakeoverLeader | None, ...]
    executors: tuple[ExecutorModel, ExecutorModel]
    upstreams: tuple[TakeoverUpstream, TakeoverUpstream] = (
        TakeoverUpstream(),
        TakeoverUpstream(),
    )
    calls: frozenset[StartCall] = frozenset()
    stored_done: bool = False
    is_done: bool = False
    moves_left: int = 0
    losses_left: int = 0
    returns_left: int = 0
    violation: str = ""

    @property
    def epoch(self) -> int:
        """The epoch of the newest claim."""
        return len(self.leaders)


def make_world(
    owners: tuple[int, int], moves: int = 0, losses: int = 0, returns: int = 0
) -> TakeoverWorld:
    """Return a state in which one leader works, and nothing has been started.

    Both upstreams are assigned to the ``owners``, stored so, and have reported.
    """
    assignments = (NUMBERS_PER_EPOCH + 1, NUMBERS_PER_EPOCH + 2)
    leader = TakeoverLeader(
        epoch=1,
        owners=owners,
        assignments=assignments,
        numbers=2,
        recorded=(True, True),
    )
    executors = [ExecutorModel(), ExecutorModel()]
    for upstream, owner in enumerate(owners):
        record = Record(upstream, assignments[upstream], is_known=True)
        agents = replace_item(executors[owner].agents, upstream, record)
        executors[owner] = ExecutorModel(agents=agents)
    return TakeoverWorld(
        assignments,
        (leader,),
        (executors[0], executors[1]),
        moves_left=moves,
        losses_left=losses,
        returns_left=returns,
    )


def replace_item(items: tuple[T, T], index: int, item: T) -> tuple[T, T]:
    """Return a pair with one item replaced."""
    return (item, items[1]) if index == 0 else (items[0], item)


def set_leader(world: TakeoverWorld, leader: TakeoverLeader) -> TakeoverWorld:
    """Return a world with one leader replaced."""
    leaders = list(world.leaders)
    leaders[leader.epoch - 1] = leader
    return evolve(world, leaders=tuple(leaders))


def set_executor(
    world: TakeoverWorld, index: int, executor: ExecutorModel
) -> TakeoverWorld:
    """Return a world with one executor replaced."""
    return evolve(world, executors=replace_item(world.executors, index, executor))


def set_agent(world: TakeoverWorld, index: int, record: Record) -> TakeoverWorld:
    """Return a world with one record of an executor replaced."""
    executor = world.executors[index]
    agents = replace_item(executor.agents, record.upstream, record)
    return set_executor(world, index, evolve(executor, agents=agents))


def set_upstream(
    world: TakeoverWorld, number: int, upstream: TakeoverUpstream
) -> TakeoverWorld:
    """Return a world with one upstream replaced."""
    return evolve(world, upstreams=replace_item(world.upstreams, number, upstream))
