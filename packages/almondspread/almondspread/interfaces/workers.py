"""The platform's agent on a worker: it runs attempts of tasks under leases.

One exchange carries starts, renewals, stops and acknowledgements to a worker and
brings back what runs and what has ended. A worker treats a repeated start of one
attempt as the same attempt, refuses a start after its expiry or after a stop of it,
stops an attempt whose lease lapses, and reports an end until it is acknowledged. It
does nothing that an exchange asks after the exchange's expiry, or where the exchange
is meant for an earlier start of the agent, whose attempts and ends it has forgotten.
"""

from typing import Protocol

from attrs import define, field
from expression import Result

from almondspread.resources.capacity import Capacity


@define(frozen=True)
class AttemptStart:
    """Asks a worker to start an attempt.

    ``start_before`` is UTC seconds; a start that arrives later is refused.
    ``restart`` has the worker start a crashed attempt again in place.
    """

    attempt: str
    size: Capacity
    command: tuple[str, ...]
    lease_seconds: float
    start_before: float
    restart: bool = False
    checkpoint: str = ""


@define(frozen=True)
class AttemptEnd:
    """An attempt that no longer runs and never will again.

    ``outcome`` is ``finished``, ``failed``, ``stopped``, ``lapsed``, ``refused``,
    or ``lost`` where the worker restarted and has no memory of the attempt.
    """

    attempt: str
    outcome: str
    reason: str = ""
    run_seconds: float = 0.0
    peak_memory_mib: int = 0
    checkpoint: str = ""


@define(frozen=True)
class AttemptUsage:
    """A running attempt and what it uses, as of some seconds ago.

    ``restarts`` counts how often the worker has started it again in place.
    """

    attempt: str
    memory_mib: int
    cpu_millis: int
    restarts: int = 0


@define(frozen=True)
class WorkerExchange:
    """What an owner tells a worker.

    ``renewals`` get ``lease_seconds`` more from the moment the worker handles them.
    ``stops`` and ``checkpoints`` end attempts; ``acknowledged`` ends are forgotten.
    ``expires`` is UTC seconds by the worker's wall clock. ``incarnation`` is that of
    the worker's latest report, empty before the first one.
    """

    starts: tuple[AttemptStart, ...] = ()
    renewals: tuple[str, ...] = ()
    lease_seconds: float = 0.0
    stops: tuple[str, ...] = ()
    checkpoints: tuple[str, ...] = ()
    throttles: tuple[str, ...] = ()
    acknowledged: tuple[str, ...] = ()
    incarnation: str = ""
    expires: float = field(kw_only=True)


@define(frozen=True)
class WorkerReport:
    """What a worker answers: all that runs and all ends not yet acknowledged.

    ``incarnation`` differs for each start of the agent. ``refused`` tells why nothing
    of the exchange was done, empty where it was.
    """

    running: tuple[AttemptUsage, ...] = ()
    ended: tuple[AttemptEnd, ...] = ()
    leaving: bool = False
    incarnation: str = ""
    refused: str = ""


@define(frozen=True)
class WorkerUnreachable:
    """No answer came; the worker may or may not have acted, also later."""

    reason: str


class WorkerGateway(Protocol):
    """The way to the workers."""

    async def exchange(
        self, address: str, message: WorkerExchange
    ) -> Result[WorkerReport, WorkerUnreachable]:
        """Carry one exchange to the worker at ``address``."""
