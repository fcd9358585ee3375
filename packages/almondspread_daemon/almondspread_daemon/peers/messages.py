"""Messages between instances."""

from attrs import define

from almondspread.codec import TaggedCodec
from almondspread.errors import Problem
from almondspread.errors import problems as problem_kinds
from almondspread.scheduling.overflow import ShardRoom


@define(frozen=True)
class Heartbeat:
    """Says that an instance lives, and what it owns and has in force.

    ``fault`` tells why it cannot advance past its revision, empty for no fault.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    ready: bool
    leaving: bool
    revision: int
    shards: dict[str, int]
    fault: str = ""
    interval: float = 0.0


@define(frozen=True)
class Pulse:
    """Says that an instance lives and that its latest heartbeat still holds.

    ``interval`` is in how many seconds the next one comes.
    """

    name: str
    incarnation: str
    revision: int
    interval: float


@define(frozen=True)
class EntryAnnounced:
    """A new entry of the change log, encoded.

    ``head_version`` is the version of the log's head row with that entry, 0 where it
    is not known.
    """

    entry: bytes
    head_version: int = 0


@define(frozen=True)
class FetchEntries:
    """Asks for the entries of the change log after a revision."""

    after: int


@define(frozen=True)
class FetchedEntries:
    """Entries in order; empty where the answering instance has none newer.

    Where it does not keep them any more, ``snapshot_revision`` is that of a snapshot
    to go on from, and 0 otherwise.
    """

    entries: tuple[bytes, ...]
    snapshot_revision: int = 0


@define(frozen=True)
class FetchSnapshot:
    """Asks for the bytes of a snapshot of all resources from an offset on."""

    revision: int
    offset: int


@define(frozen=True)
class SnapshotPage:
    """Some bytes of a snapshot of ``total`` bytes; none where it is not held."""

    revision: int
    total: int
    data: bytes


@define(frozen=True)
class ReportStatuses:
    """Status reports for the receiver to append, as encoded changes."""

    author: str
    reports: tuple[bytes, ...]


@define(frozen=True)
class ShardReleased:
    """The sender has handed a shard over and acts for it no more."""

    shard: str
    epoch: int


@define(frozen=True)
class FetchStatus:
    """Asks an instance for its status document."""


@define(frozen=True)
class FetchTasks:
    """Asks the owner of a shard how the tasks of a workload stand."""

    shard: str
    kind: str
    name: str


@define(frozen=True)
class Document:
    """A JSON document as msgpack bytes."""

    data: bytes


@define(frozen=True)
class SubmitCall:
    """A caller's non-idempotent request, on its way to the owner of its key."""

    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class FetchRecord:
    """Asks the owner of a key for what is recorded of it."""

    shard: str
    service: str
    key: str


@define(frozen=True)
class CallMinion:
    """Asks the owner of some minions to pass one request to one of them.

    Where all slots are in use, the request waits there until its deadline if
    ``wait`` is set, and is refused otherwise.
    """

    service: str
    kind: str
    key: str
    body: bytes
    deadline: float
    wait: bool = False


@define(frozen=True)
class TakeSlot:
    """Asks the owner of some minions to set a slot aside for one request."""

    service: str
    kind: str
    wait: bool = False


@define(frozen=True)
class SlotTaken:
    """A slot is set aside for a short while under a number."""

    number: int


@define(frozen=True)
class SendTaken:
    """Asks to send a keyed request to the minion whose slot was set aside."""

    number: int
    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class DropSlot:
    """Says that a slot that was set aside will not be used."""

    number: int


@define(frozen=True)
class OpenMonitor:
    """Asks the owner of some minions to open a standing stream after a position."""

    service: str
    body: bytes
    position: int


@define(frozen=True)
class MonitorOpened:
    """A standing stream is open under a number."""

    number: int


@define(frozen=True)
class FetchLines:
    """Asks for what came on a standing stream since the last such call."""

    number: int


@define(frozen=True)
class MonitorLines:
    """Lines of a standing stream; ``ended`` says that no more will come."""

    lines: tuple[bytes, ...]
    position: int
    ended: bool


@define(frozen=True)
class CloseMonitor:
    """Says that a standing stream is wanted no more."""

    number: int


@define(frozen=True)
class DeliverAnswer:
    """Brings the answer of a minion to the owner of its key."""

    shard: str
    service: str
    key: str
    status: int
    content_type: str
    body: bytes


@define(frozen=True)
class AnswerRecorded:
    """Says that the answer under a key is journalled and need not be kept."""

    service: str
    key: str


@define(frozen=True)
class FetchSlots:
    """Asks which slots of a shard of minions the callee may still have in use."""

    shard: str


@define(frozen=True)
class SlotsInUse:
    """Tells the slots of a shard in use and under which epoch it was last owned."""

    epoch: int
    released: bool
    in_use: dict[str, int]
    leaving: tuple[str, ...] = ()


@define(frozen=True)
class ConfirmOwner:
    """Asks a peer whether it knows of a later owner of a shard."""

    shard: str
    epoch: int


@define(frozen=True)
class MinionLeaving:
    """Says that a minion told that it is leaving."""

    minion: str


@define(frozen=True)
class ServiceLoad:
    """How an owner's minions of one service stand: slots, free and waiting."""

    slots: int
    free: int
    waiting: int


@define(frozen=True)
class MinionLoads:
    """Tells how the sender's minions stand, by service."""

    name: str
    services: dict[str, ServiceLoad]


@define(frozen=True)
class CallAnswered:
    """The whole answer of a minion."""

    status: int
    body: bytes
    content_type: str
    recorded: bool = False


@define(frozen=True)
class Refused:
    """A problem in place of an answer."""

    code: str
    message: str
    remedy: str
    not_run: bool | None = None
    retry_after_seconds: float | None = None
    earlier_not_run: bool | None = None

    def to_problem(self) -> Problem:
        """Return the problem that the message carries."""
        kind = _PROBLEMS.get(self.code, problem_kinds.Unavailable)
        return kind(
            message=self.message,
            remedy=self.remedy,
            not_run=self.not_run,
            retry_after_seconds=self.retry_after_seconds,
            earlier_not_run=self.earlier_not_run,
        )


@define(frozen=True)
class Accepted:
    """The call was carried out and has nothing more to say."""


def refuse(problem: Problem) -> Refused:
    """Return the message that carries a problem."""
    return Refused(
        code=problem.code,
        message=problem.message,
        remedy=problem.remedy,
        not_run=problem.not_run,
        retry_after_seconds=problem.retry_after_seconds,
        earlier_not_run=problem.earlier_not_run,
    )


_PROBLEMS: dict[str, type[Problem]] = {
    kind.code: kind for kind in Problem.__subclasses__()
}

PEER_CODEC = TaggedCodec(
    (
        Heartbeat,
        ShardRoom,
        Pulse,
        EntryAnnounced,
        FetchEntries,
        FetchedEntries,
        FetchSnapshot,
        SnapshotPage,
        ReportStatuses,
        ShardReleased,
        FetchStatus,
        FetchTasks,
        Document,
        SubmitCall,
        FetchRecord,
        CallMinion,
        TakeSlot,
        SlotTaken,
        SendTaken,
        DropSlot,
        OpenMonitor,
        MonitorOpened,
        FetchLines,
        MonitorLines,
        CloseMonitor,
        DeliverAnswer,
        AnswerRecorded,
        FetchSlots,
        SlotsInUse,
        ConfirmOwner,
        MinionLeaving,
        MinionLoads,
        CallAnswered,
        Refused,
        Accepted,
    )
)
