"""Messages between instances, and the codec of all messages on peer streams."""

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
    """Reports that an instance is alive, which shards it owns and its applied revision.

    ``shards`` maps owned shards to epochs, and ``revision`` is that of the resources.
    ``fault`` tells why the instance cannot advance past its revision and is empty for
    no fault. The next heartbeat or pulse is due in ``interval`` seconds.
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
    """Reports that an instance is alive and that its latest heartbeat still applies.

    The next heartbeat or pulse is due in ``interval`` seconds.
    """

    name: str
    incarnation: str
    revision: int
    interval: float


@define(frozen=True)
class EntryAnnounced:
    """Announces a new entry of the change log, encoded.

    ``head_version`` is the version of the log's head row with that entry, 0 if it is
    not known.
    """

    entry: bytes
    head_version: int = 0


@define(frozen=True)
class FetchEntries:
    """Requests the entries of the change log after a revision."""

    after: int


@define(frozen=True)
class FetchedEntries:
    """Entries in order; empty if the replying instance has no newer ones.

    If the replying instance no longer keeps the requested entries,
    ``snapshot_revision`` is the revision of a snapshot to continue from, otherwise 0.
    """

    entries: tuple[bytes, ...]
    snapshot_revision: int = 0


@define(frozen=True)
class FetchSnapshot:
    """Requests the bytes of a snapshot of all resources from an offset on."""

    revision: int
    offset: int


@define(frozen=True)
class SnapshotPage:
    """Part of a snapshot of ``total`` bytes; empty if the peer lacks the snapshot."""

    revision: int
    total: int
    data: bytes


@define(frozen=True)
class ReportStatuses:
    """Forwards status reports, as encoded changes, for the receiver to append."""

    author: str
    reports: tuple[bytes, ...]


@define(frozen=True)
class ShardReleased:
    """Announces that the sender has released a shard that it owned at an epoch."""

    shard: str
    epoch: int


@define(frozen=True)
class FetchStatus:
    """Requests the status document of an instance."""


@define(frozen=True)
class FetchTasks:
    """Requests the state of the tasks of a workload from the owner of a shard."""

    shard: str
    kind: str
    name: str


@define(frozen=True)
class Document:
    """A JSON document as msgpack bytes."""

    data: bytes


@define(frozen=True)
class Refused:
    """A problem in place of the requested reply."""

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
    """Confirms that a call was carried out; the reply has no content."""


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
