"""Typed messages between the leader, the executors and the upstreams."""

from datetime import timedelta

from attrs import define

from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"
# Another member of the gang ended, or the others did not come in time.
BROKEN = "broken"
ALONE = "alone"
# Not reported by an upstream: the upstream itself is gone.
LOST = "lost"

STARTED = "started"
REFUSED = "refused"
UNKNOWN = "unknown"
FENCED = "fenced"


@define(frozen=True)
class UpstreamEntry:
    """An upstream as it registered itself; ``name`` is that of one incarnation."""

    name: str
    service: str
    address: str
    failure_domain: str
    capacity: Capacity
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining: timedelta | None = None


@define(frozen=True)
class RunSighting:
    """A run that an upstream reports as running.

    ``percent`` is the share of the work that is done; ``figure`` is the tail latency
    in milliseconds of a task with a latency target, for others the processor in use
    in thousandths of a core.
    """

    task: TaskId
    run: int
    checkpoint: str = ""
    percent: int = 0
    figure: int = 0


@define(frozen=True)
class RunEnd:
    """The end of a run, numbered by its upstream in rising order."""

    number: int
    task: TaskId
    run: int
    outcome: str
    checkpoint: str = ""


@define(frozen=True)
class WatchUpstream:
    """Has an executor hold the leases of an upstream and report what it runs."""

    upstream: str
    address: str
    epoch: int


@define(frozen=True)
class UnwatchUpstream:
    """Has an executor leave an upstream alone."""

    upstream: str


@define(frozen=True)
class StartRun:
    """Starts a run; ``ticket`` is the permit of the advice service, if any."""

    upstream: str
    task: TaskId
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@define(frozen=True)
class StopRun:
    """Stops a run, or keeps it from ever starting."""

    upstream: str
    task: TaskId
    run: int


@define(frozen=True)
class PaceRun:
    """Limits a run to ``percent`` of its speed."""

    upstream: str
    task: TaskId
    run: int
    percent: int


@define(frozen=True)
class AcknowledgeEnds:
    """Tells that the ends up to ``number`` are stored."""

    upstream: str
    number: int


@define(frozen=True)
class UpstreamReport:
    """What an upstream answered under ``epoch``.

    ``running`` is complete where it is given and ``None`` where it was left out.
    ``number`` counts the questions to this upstream, in the order they were asked.
    ``ends`` are all those numbered above ``after``.
    """

    upstream: str
    epoch: int
    number: int
    after: int = 0
    ends: tuple[RunEnd, ...] = ()
    running: tuple[RunSighting, ...] | None = None


@define(frozen=True)
class UpstreamSilent:
    """An upstream does not answer; its leases have surely run out in ``lapse_in``.

    ``replaced`` tells that another incarnation answers in its place, so that nothing
    of this one runs any more.
    """

    upstream: str
    epoch: int
    lapse_in: timedelta
    replaced: bool = False


@define(frozen=True)
class StartSettled:
    """What came of a start: ``started``, ``refused``, ``unknown`` or ``fenced``."""

    upstream: str
    task: TaskId
    run: int
    outcome: str
    reason: str = ""


@define(frozen=True)
class StopSettled:
    """Whether a stop was answered; a stopped run cannot start any more.

    The report ``number`` and all later ones were asked for after the answer.
    """

    upstream: str
    task: TaskId
    run: int
    answered: bool
    number: int


@define(frozen=True)
class EpochFenced:
    """An upstream has seen a higher epoch: the leader has been superseded."""

    upstream: str
    epoch: int


@define(frozen=True)
class AskPermits:
    """Asks the advice service which upstreams may run a step."""

    job: str
    occurrence: int
    step: int
    upstreams: tuple[str, ...]


@define(frozen=True)
class PermitsAnswered:
    """The permits of a step by upstream, ``None`` where no answer came."""

    job: str
    occurrence: int
    step: int
    tickets: dict[str, str] | None
    validity: timedelta


UpstreamOrder = (
    WatchUpstream | UnwatchUpstream | StartRun | StopRun | PaceRun | AcknowledgeEnds
)
ExecutorReport = (
    UpstreamReport
    | UpstreamSilent
    | StartSettled
    | StopSettled
    | EpochFenced
    | PermitsAnswered
)
