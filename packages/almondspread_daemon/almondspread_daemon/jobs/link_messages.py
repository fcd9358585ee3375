"""Messages on the links between the leader and its followers."""

from attrs import define

from almondspread.codec import TaggedCodec
from almondspread.jobs.backlog import ServiceRoom, ServiceSize, ServiceWait
from almondspread.jobs.job_table import Announcement
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.messages import (
    AcknowledgeEnds,
    AskPermits,
    EpochFenced,
    PaceRun,
    PermitsAnswered,
    RunsRemembered,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UnwatchUpstream,
    UpstreamReport,
    UpstreamRestarted,
    UpstreamSilent,
    WatchUpstream,
)


@define(frozen=True)
class Hello:
    """Introduces an instance to the leader.

    ``strength`` is the machine's suitability to lead, from 0 to 1. ``age`` is the
    uptime of the sender's process in seconds. Other instances reach it at ``address``,
    which is empty from instances of an earlier release. Its executor ``limits_leases``
    once it has lost its leader, and ``bounds_leases`` by the leader's own lease; one of
    an earlier release does not.
    """

    instance: str
    incarnation: str
    failure_domain: str
    cores: float
    strength: float
    age: float
    address: str = ""
    limits_leases: bool = False
    bounds_leases: bool = False


@define(frozen=True)
class Welcome:
    """Accepts an instance as a member of the leader's session in ``epoch``.

    If the leader ``asks_runs``, the member sends what the upstreams may run that it has
    been assigned lately; a leader of an earlier release does not understand that.
    ``clock`` is the leader's monotonic time in seconds. Its heartbeats tell by it until
    when leases may be renewed; those of a leader that does not send it tell nothing.
    """

    epoch: int
    asks_runs: bool = False
    clock: float | None = None


@define(frozen=True)
class AskClock:
    """Asks the leader for its monotonic time; the question was sent ``asked_at``.

    Both are in seconds, each of the sender's own clock.
    """

    asked_at: float


@define(frozen=True)
class ClockTold:
    """The leader's monotonic time as it answered the question sent ``asked_at``."""

    asked_at: float
    clock: float


@define(frozen=True)
class NotLeading:
    """Answers a ``Hello`` to an instance that does not lead.

    ``incarnation`` identifies the sender's process, so that the receiver can tell
    whether the process that it takes for the leader is still running.
    """

    incarnation: str


@define(frozen=True)
class Beat:
    """A heartbeat; the first three fields describe the leader.

    Followers send ``unix_seconds``, the time of day of their machine.
    ``lease_holds`` tells whether the leader's lease is valid. With ``knows_all``, the
    leader knows every job except those that were stored only moments ago. With
    ``store_lost``, the store is unavailable to the leader. ``operator_revision`` is the
    newest version of a row of operators that the sender knows, and ``operator_age`` how
    many seconds ago it knew of no newer one; instances of an earlier release send
    neither. ``member_address`` is where one member can be reached, another in each
    heartbeat of a leader. The leader's own lease lasts ``lease_until``, in seconds of
    its monotonic clock; as long may members renew leases at full length.
    """

    lease_holds: bool = True
    knows_all: bool = True
    store_lost: bool = False
    unix_seconds: float | None = None
    operator_revision: int = 0
    operator_age: float | None = None
    member_address: str = ""
    lease_until: float | None = None


@define(frozen=True)
class AskOperatorRows:
    """Asks for the rows of operators that are newer than ``versions``, by their key.

    It goes only to instances whose heartbeats tell a revision, or on a link of its own.
    """

    versions: dict[str, int]


@define(frozen=True)
class OperatorRowsSent:
    """Rows of operators, packed; answers ``AskOperatorRows``."""

    packed: bytes


@define(frozen=True)
class AskLeader:
    """Asks an instance for the leader that it follows, on a link of its own."""


@define(frozen=True)
class AskLink:
    """Asks a leader, on a link of its own, whether the link of ``instance`` works.

    The leader sends a heartbeat there, and then ``LeaderKnown`` on this link. One of an
    earlier release closes this link instead.
    """

    instance: str


@define(frozen=True)
class LeaderKnown:
    """The row of the leader that the sender follows or is; ``None`` for neither."""

    row: LeaderRow | None = None


@define(frozen=True)
class StoreReached:
    """Tells the leader that the store is available to the sender."""


@define(frozen=True)
class Resigned:
    """Tells that the sender no longer leads and no longer writes in its epoch."""

    epoch: int


@define(frozen=True)
class Leaving:
    """Tells the leader that the sender is shutting down."""


@define(frozen=True)
class Released:
    """Tells that the sender has given up the leadership and has stored that.

    The leader's row is ``row``, stored at ``version``. The instance ``successor``
    should lead next; ``""`` leaves the choice open.
    """

    row: LeaderRow
    version: int
    successor: str


@define(frozen=True)
class StatesChanged:
    """States of jobs; with ``whole``, of every job whose end is not stored."""

    states: tuple[Announcement, ...]
    whole: bool = False


@define(frozen=True)
class QueueLoads:
    """Estimated waits until a job that is accepted now would start.

    ``rooms`` tells how much of each service is in use, and ``exceeded`` names the
    workspaces that are beyond their rate. As many ``instances`` accept jobs. Only some
    messages have the ``sizes`` of services, and those of a leader of an earlier release
    have nothing but the waits.
    """

    waits: tuple[ServiceWait, ...]
    rooms: tuple[ServiceRoom, ...] = ()
    exceeded: tuple[str, ...] = ()
    instances: int = 1
    sizes: tuple[ServiceSize, ...] = ()


@define(frozen=True)
class JobCancelled:
    """Tells the leader that a caller's cancellation of a job is stored."""

    job: str


@define(frozen=True)
class WriteRow:
    """Asks the leader to insert a row into the submissions if it does not exist.

    ``number`` matches the answer to the request.
    """

    number: int
    key: str
    value: bytes


@define(frozen=True)
class RowWritten:
    """Answers a ``WriteRow`` with the row's version or with the reason of a failure.

    ``version`` is 0 if the row existed. With ``not_done``, a failed write was
    certainly not applied.
    """

    number: int
    version: int = 0
    failure: str = ""
    not_done: bool = False


LINK_CODEC = TaggedCodec(
    (
        AcknowledgeEnds,
        AskClock,
        AskLeader,
        AskLink,
        AskOperatorRows,
        AskPermits,
        Beat,
        ClockTold,
        EpochFenced,
        Hello,
        JobCancelled,
        LeaderKnown,
        Leaving,
        NotLeading,
        OperatorRowsSent,
        PaceRun,
        PermitsAnswered,
        QueueLoads,
        Released,
        Resigned,
        RowWritten,
        RunsRemembered,
        StartRun,
        StartSettled,
        StatesChanged,
        StopRun,
        StopSettled,
        StoreReached,
        UnwatchUpstream,
        UpstreamReport,
        UpstreamRestarted,
        UpstreamSilent,
        WatchUpstream,
        Welcome,
        WriteRow,
    )
)
