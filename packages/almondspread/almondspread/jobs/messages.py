"""Messages between the leader, the executors and the upstreams.

Orders go from the leader to executors, which call the upstreams; reports go back. The
names of the messages and of their fields are part of the protocol.
"""

from datetime import datetime, timedelta

from attrs import Factory, define, field

from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity

# Outcomes of runs.
DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
# The lease of the run has expired.
LAPSED = "lapsed"
# Outcomes of a gang's member: another member has ended, or the other members have not
# started in time.
BROKEN = "broken"
ALONE = "alone"
# The leader, not the upstream, reports this outcome: the upstream itself is gone.
LOST = "lost"

# Outcomes of start orders.
STARTED = "started"
REFUSED = "refused"
UNKNOWN = "unknown"
FENCED = "fenced"

# Why a start was refused, where the reason does not lie with the upstream: its ticket,
# its run number or its time have expired, the executor may not renew its lease, or it
# has no connection that surely leads to this incarnation.
TICKET_REASON = "ticket"
LEASE_REASON = "lease"
UNPROVEN_REASON = "unproven connection"
REASONS_WITHOUT_FAULT = frozenset(
    {TICKET_REASON, LEASE_REASON, UNPROVEN_REASON, "old", "late"}
)


@define(frozen=True)
class UpstreamEntry:
    """The registration of an upstream.

    ``name`` identifies one incarnation of the upstream, which began at ``started_at``
    if that is known. All incarnations of an upstream share its ``identity``, by default
    the name. ``remaining`` is how long a ``draining`` upstream stays up.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining: timedelta | None = None
    identity: str = field(default=Factory(lambda self: self.name, takes_self=True))
    started_at: datetime | None = None


@define(frozen=True)
class RunSighting:
    """A run that an upstream reports as running.

    ``percent`` is the completed share of the work. ``figure`` is, for a task with a
    latency target, its tail latency in milliseconds, and for other tasks the processor
    use in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0
    figure: int = 0


@define(frozen=True)
class RunEnd:
    """The end of a run; the upstream assigns ``number`` in increasing order."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str = ""


@define(frozen=True)
class RunId:
    """One start of a task: the task, and the number of the run."""

    task: TaskId
    run: int


@define(frozen=True)
class Assignment:
    """One upstream given to one executor, as the store keeps it.

    The ``number`` is higher than those of all earlier assignments, 0 for none. The
    executor is the ``process`` of an ``instance``. Executors before it may have renewed
    leases ``until`` a time.
    """

    number: int = 0
    instance: str = ""
    process: str = ""
    until: timedelta = timedelta(0)


NO_ASSIGNMENT = Assignment()


@define(frozen=True)
class WatchUpstream:
    """Orders an executor to renew the leases of an upstream and to report its runs.

    All calls to the upstream carry ``fencing_token``. The number ``assignment`` is
    higher than those of all earlier assignments of upstreams to executors; a leader of
    an earlier release sends 0. If the leader ``knows_runs``, it has bound the
    ``confirmed_runs`` and the ``unconfirmed_runs`` to the upstream, and no others.
    Leases that others have renewed may last for ``leases_left``; from the upstream's
    first answer on, only those of executors of the same leader, for ``orphaned_left``.
    A leader of an earlier release does not tell the latter. Before the store names the
    assignment, the executor only asks for runs and ``renews`` no lease.
    """

    upstream: str
    address: str
    epoch: int
    fencing_token: int
    assignment: int = 0
    knows_runs: bool = False
    confirmed_runs: tuple[RunId, ...] = ()
    unconfirmed_runs: tuple[RunId, ...] = ()
    leases_left: timedelta = timedelta(0)
    renews: bool = True
    orphaned_left: timedelta | None = None

    def is_same_assignment(self, other: "WatchUpstream") -> bool:
        """Return whether both orders are for one assignment, under the same token."""
        return (
            self.upstream == other.upstream
            and self.address == other.address
            and self.epoch == other.epoch
            and self.fencing_token == other.fencing_token
            and self.assignment == other.assignment
        )


@define(frozen=True)
class UnwatchUpstream:
    """Orders an executor to stop renewing leases and reporting runs of an upstream."""

    upstream: str


@define(frozen=True)
class StartRun:
    """Starts a run; ``ticket`` is the advice service's permit, or empty.

    A ``paced`` run has a latency target, or is throttled for the sake of runs that
    have one, so that reports on it must be frequent.
    """

    upstream: str
    task: TaskId
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
    paced: bool = False


@define(frozen=True)
class StopRun:
    """Stops a run, or prevents it from ever starting."""

    upstream: str
    task: TaskId
    run: int


@define(frozen=True)
class PaceRun:
    """Limits a run to ``percent`` of its full speed."""

    upstream: str
    task: TaskId
    run: int
    percent: int


@define(frozen=True)
class AcknowledgeEnds:
    """Confirms that the run ends up to ``number`` are stored."""

    upstream: str
    number: int


@define(frozen=True)
class UpstreamReport:
    """The state of an upstream, as it answered a request under ``epoch``.

    ``running`` lists all running runs, or is ``None`` where the report omits them.
    ``number`` numbers the requests to this upstream in the order they were sent.
    ``ends`` are run ends numbered above ``after``: all of them, if the report
    ``lists_all_ends``. Otherwise a run that it does not show may have ended as well. An
    executor of an earlier release does not tell, nor under which ``fencing_token`` it
    has made the request.
    """

    upstream: str
    epoch: int
    number: int
    after: int = 0
    ends: tuple[RunEnd, ...] = ()
    running: tuple[RunSighting, ...] | None = None
    lists_all_ends: bool = True
    fencing_token: int = 0


@define(frozen=True)
class UpstreamSilent:
    """Reports that an upstream does not answer.

    Its leases are certain to have expired after ``lapse_in``. ``replaced`` is set where
    another incarnation answers at its address, so that none of its runs exist any more.
    """

    upstream: str
    epoch: int
    lapse_in: timedelta
    replaced: bool = False


@define(frozen=True)
class UpstreamRestarted:
    """Reports that another incarnation of an upstream answers under its identity.

    What ran in the incarnation ``upstream`` has ended. A start that was not confirmed
    before may have reached the other one.
    """

    upstream: str
    epoch: int


@define(frozen=True)
class StartSettled:
    """The outcome of a start: ``started``, ``refused``, ``unknown`` or ``fenced``."""

    upstream: str
    task: TaskId
    run: int
    outcome: str
    reason: str = ""


@define(frozen=True)
class StopSettled:
    """The outcome of a stop order; after an answered stop the run can never start.

    The reports from ``number`` on were requested after the answer, so a run that is
    missing from them does not exist.
    """

    upstream: str
    task: TaskId
    run: int
    answered: bool
    number: int


@define(frozen=True)
class RunsRemembered:
    """Tells a new leader which tasks an upstream may run, under one assignment.

    The sender has stopped to carry out orders of earlier leaders, and to renew leases
    under the assignment; these have certainly expired after ``lapse_in``. They are of
    the incarnation ``upstream``, which is empty if the sender has met a later one.
    """

    upstream: str
    assignment: int
    tasks: tuple[TaskId, ...]
    lapse_in: timedelta


@define(frozen=True)
class EpochFenced:
    """Reports that an upstream has seen a higher epoch: this leader is superseded."""

    upstream: str
    epoch: int


@define(frozen=True)
class AskPermits:
    """Orders an executor to ask the advice service which upstreams may run a step.

    The decision is expected to take ``duration_seconds``.
    """

    job: str
    occurrence: int
    step: int
    upstreams: tuple[str, ...]
    duration_seconds: float = 0.0

    @property
    def key(self) -> tuple[str, int, int]:
        """The step that the request is about."""
        return self.job, self.occurrence, self.step


@define(frozen=True)
class PermitsAnswered:
    """The permits for a step, by upstream.

    ``tickets`` is ``None`` where the advice service has not answered. The permits
    expire after ``validity``.
    """

    job: str
    occurrence: int
    step: int
    tickets: dict[str, str] | None
    validity: timedelta

    @property
    def key(self) -> tuple[str, int, int]:
        """The step that the permits are for."""
        return self.job, self.occurrence, self.step


UpstreamOrder = (
    WatchUpstream | UnwatchUpstream | StartRun | StopRun | PaceRun | AcknowledgeEnds
)
# Reports that count only from the executor to which the upstream is assigned.
AssignedReport = UpstreamReport | UpstreamSilent | StopSettled
ExecutorReport = (
    AssignedReport
    | UpstreamRestarted
    | StartSettled
    | EpochFenced
    | PermitsAnswered
    | RunsRemembered
)
