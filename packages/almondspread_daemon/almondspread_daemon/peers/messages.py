"""Messages between instances, and the codec of all of them."""

from attrs import define

from almondspread.codec import TaggedCodec
from almondspread.errors import Problem
from almondspread.errors import problems as problem_kinds
from almondspread.scheduling.overflow import ShardRoom
from almondspread_daemon.peers.request_messages import (
    AnswerRecorded,
    CallAnswered,
    CallMinion,
    CloseMonitor,
    ConfirmOwner,
    DeliverAnswer,
    DropSlot,
    FetchLines,
    FetchRecord,
    FetchSlots,
    MinionLeaving,
    MinionLoads,
    MonitorLines,
    MonitorOpened,
    OpenMonitor,
    SendTaken,
    SlotsInUse,
    SlotTaken,
    SubmitCall,
    TakeSlot,
)


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
        kind = _PROBLEM_CLASSES.get(self.code, problem_kinds.Unavailable)
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


_PROBLEM_CLASSES: dict[str, type[Problem]] = {
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
