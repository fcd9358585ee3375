"""The states of the model of the leader's protocol."""

from enum import StrEnum
from typing import TypeVar

from attrs import define

from almondspread.jobs.incarnations import compute_fencing_token

MAX_EPOCH = 2
# How often each epoch may start the task.
MAX_STARTS = {1: 2, 2: 1}
# Run numbers of one epoch must stay below those of the next.
RUNS_PER_EPOCH = 10
T = TypeVar("T")
UPSTREAMS = (0, 1)
NOWHERE = -1
# A call that may still reach any incarnation of its upstream.
UNDER_WAY = 0


class Protection(StrEnum):
    """What keeps a task from running twice; a search may go without one of them."""

    FENCING = "an upstream refuses lower tokens"
    CONDITIONAL_COMMIT = "a commit depends on the epoch in the leader's row"
    WAIT_FOR_UNSEEN = "a new leader waits for upstreams that may run the task"
    START_MARK = "the store tells that the task may have been started"
    STORE_BEFORE_ACKNOWLEDGING = "an end is stored before it is acknowledged"
    STOP_BEFORE_STARTING_AGAIN = "an unanswered start is stopped before the next one"
    RECORD_UPSTREAMS = "the store tells which incarnations may run the task"
    CONFIRM_BEFORE_STARTING = "a start goes to an incarnation that has just answered"
    HOLD_LEASE = "a task that was interrupted is started again only under a lease"
    PROVEN_CONNECTION = "a call under way reaches no later incarnation"
    ACKNOWLEDGE_BY_INCARNATION = "an acknowledgement is for one incarnation"


@define(frozen=True, cache_hash=True)
class StartCall:
    """A start that has not been carried out.

    ``incarnation`` is the one that holds it, ``UNDER_WAY`` while none does.
    """

    upstream: int
    token: int
    run: int
    incarnation: int = UNDER_WAY


@define(frozen=True, cache_hash=True)
class UpstreamModel:
    """What one incarnation of an upstream knows.

    ``highest`` is the highest run that was started or stopped here, and ``ended`` the
    run that is done and not acknowledged. It is ``overtaken`` if the task was started
    again since.
    """

    incarnation: int = 1
    token: int = 0
    running: int = 0
    highest: int = 0
    ended: int = 0
    overtaken: bool = False


@define(frozen=True, cache_hash=True)
class LeaderModel:
    """What an instance knows that leads, or has led, under ``epoch``.

    ``known`` and ``generations`` are the incarnation and the generation of tokens of
    each upstream. The store has recorded that the upstreams ``recorded`` may run the
    task. The run is bound to the upstream ``place``; it is ``seen`` once a report has
    shown it. The task ``was_interrupted`` if an earlier run was lost or stopped.
    """

    epoch: int
    known: tuple[int, int]
    unseen: frozenset[int]
    generations: tuple[int, int] = (0, 0)
    may_start: bool = False
    recorded: frozenset[int] = frozenset()
    starts: int = 0
    run: int = 0
    place: int = NOWHERE
    seen: bool = False
    stopped: bool = False
    was_interrupted: bool = False
    done: bool = False
    stored: bool = False
    acknowledged: tuple[bool, bool] = (False, False)

    def find_token(self, upstream: int) -> int:
        """Return the token of this leader's calls to an upstream."""
        return compute_fencing_token(self.epoch, self.generations[upstream])


@define(frozen=True, cache_hash=True)
class World:
    """The state of the model: the store, the instances, the upstreams and the calls."""

    epoch: int = 0
    may_be_started: bool = False
    may_be_running: bool = False
    stored_done: bool = False
    restarts_left: int = 1
    leaders: tuple[LeaderModel | None, LeaderModel | None] = (None, None)
    upstreams: tuple[UpstreamModel, UpstreamModel] = (UpstreamModel(), UpstreamModel())
    calls: frozenset[StartCall] = frozenset()
    is_done: bool = False
    violation: str = ""


def replace_item(items: tuple[T, T], index: int, item: T) -> tuple[T, T]:
    """Return a pair with one item replaced."""
    return (item, items[1]) if index == 0 else (items[0], item)
