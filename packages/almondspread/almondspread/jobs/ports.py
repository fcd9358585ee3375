"""What the job scheduler asks of the platform, as typed messages and protocols."""

from datetime import timedelta
from typing import Protocol

from attrs import define
from expression import Result

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.maintenance import Machine, MaintenanceWave
from almondspread.jobs.messages import RunEnd, RunSighting, UpstreamEntry
from almondspread.jobs.submissions import TaskId


@define(frozen=True)
class RowName:
    """Names a row; rows of one ``part`` can change in one transaction."""

    table: str
    partition: str
    key: str


@define(frozen=True)
class StoredRow:
    """A row as it was read; ``value`` is ``None`` where a change dropped it."""

    name: RowName
    value: bytes | None
    version: int


@define(frozen=True)
class RowPut:
    """Sets one row."""

    name: RowName
    value: bytes


@define(frozen=True)
class RowCondition:
    """Holds while a row is at ``version``, which is 0 for a row that is not there."""

    name: RowName
    version: int


@define(frozen=True)
class Transaction:
    """Changes that take effect together, if all conditions hold."""

    conditions: tuple[RowCondition, ...] = ()
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowName, ...] = ()


@define(frozen=True)
class Committed:
    """A transaction took effect: its version, and the store's steady clock."""

    version: int
    store_time: timedelta


@define(frozen=True)
class ConditionsFailed:
    """A transaction did nothing; ``rows`` are those of its conditions as they are."""

    rows: tuple[StoredRow, ...]


@define(frozen=True)
class StoreUnavailable:
    """The store gave no answer of use.

    Where ``not_done`` is true it has done nothing; else it may yet do what was asked.
    ``refused`` tells that it has answered, and with a refusal.
    """

    reason: str
    not_done: bool
    refused: bool = False


@define(frozen=True)
class HistoryGone:
    """The store no longer has the changes that were asked for; read all rows anew."""


@define(frozen=True)
class RowsPage:
    """Rows of one moment; where ``has_more``, read on from after the last key."""

    rows: tuple[StoredRow, ...]
    has_more: bool
    version: int
    store_time: timedelta


@define(frozen=True)
class RowChanges:
    """What changed, up to ``version``."""

    rows: tuple[StoredRow, ...]
    version: int


class RecordStore(Protocol):
    """The transactional store of the platform."""

    async def transact(
        self, transaction: Transaction, timeout: timedelta
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction whole or not at all."""

    async def read(
        self, table: str, part: str, start: str, end: str, timeout: timedelta
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return rows of one part in order of their keys, ``end`` excluded.

        An empty ``start`` or ``end`` sets no bound.
        """

    async def list_partitions(
        self, table: str, timeout: timedelta
    ) -> Result[list[str], StoreUnavailable]:
        """Return all parts of a table."""

    async def follow(
        self, table: str, after: int, wait: timedelta, timeout: timedelta
    ) -> Result[RowChanges, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after a version, as soon as there are any."""


@define(frozen=True)
class OperatorInput:
    """What operators ask for; no ``configuration`` where there is none to use."""

    configuration: Configuration | None
    waves: tuple[MaintenanceWave, ...] = ()


class CellDirectory(Protocol):
    """What operators and upstreams publish."""

    async def list_upstreams(
        self, timeout: timedelta
    ) -> Result[list[UpstreamEntry], StoreUnavailable]:
        """Return the upstreams that are registered now."""

    async def read_operator_input(
        self, timeout: timedelta
    ) -> Result[OperatorInput, StoreUnavailable]:
        """Return the newest configuration, and all maintenance waves."""

    def make_wave_row(self, number: int, completed: bool) -> RowPut:
        """Return the row that tells operators how far a wave has come."""

    async def wait_for_change(
        self, wait: timedelta, timeout: timedelta
    ) -> Result[bool, HistoryGone | StoreUnavailable]:
        """Return true as soon as operators have published something new."""


@define(frozen=True)
class CallFailed:
    """A call brought no answer of use.

    ``not_done`` is true only where the callee has surely done nothing. ``fenced``
    tells that it has seen a higher epoch, ``replaced`` that another incarnation
    answered, ``pointless`` that the same call can never succeed.
    """

    reason: str
    not_done: bool
    fenced: bool = False
    replaced: bool = False
    permanent: bool = False


@define(frozen=True)
class RenewCall:
    """Renews the lease of all runs until ``until`` of the upstream's clock, if given.

    Forgets the ends up to ``acknowledged``, and waits for a further end.
    """

    epoch: int
    acknowledged: int
    until: timedelta | None
    wait: timedelta


@define(frozen=True)
class RenewAnswer:
    """What an upstream runs, the ends not acknowledged yet, and its steady clock."""

    clock: timedelta
    running: tuple[RunSighting, ...]
    ends: tuple[RunEnd, ...]


@define(frozen=True)
class StartCall:
    """Starts a run, unless the upstream's clock has passed ``until``."""

    epoch: int
    task: TaskId
    run: int
    payload: str
    until: timedelta
    checkpoint: str = ""
    ticket: str = ""


@define(frozen=True)
class StopCall:
    """Stops a run, or keeps it from ever starting."""

    epoch: int
    task: TaskId
    run: int


@define(frozen=True)
class PaceCall:
    """Lets a run work at ``percent`` of its speed."""

    epoch: int
    task: TaskId
    run: int
    percent: int


class UpstreamClient(Protocol):
    """Calls to one upstream, meant for the incarnation ``upstream`` only."""

    async def renew_leases(
        self, address: str, upstream: str, call: RenewCall, timeout: timedelta
    ) -> Result[RenewAnswer, CallFailed]:
        """Renew leases, and see what runs and what has ended."""

    async def start(
        self, address: str, upstream: str, call: StartCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Start a run; repeating it changes nothing."""

    async def stop(
        self, address: str, upstream: str, call: StopCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Stop a run, or keep it from ever starting."""

    async def pace(
        self, address: str, upstream: str, call: PaceCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Let a run work at a share of its speed."""


@define(frozen=True)
class Advice:
    """Tickets by upstream, and how long they hold."""

    tickets: dict[str, str]
    validity: timedelta


class AdviceClient(Protocol):
    """The service that knows which upstreams may run a step."""

    async def request_permits(
        self,
        job: str,
        occurrence: int,
        step: int,
        upstreams: tuple[str, ...],
        timeout: timedelta,
    ) -> Result[Advice, CallFailed]:
        """Return which of the upstreams may run a step."""


@define(frozen=True)
class MachineCall:
    """What every order for a machine carries: who gives it, and under which epoch."""

    machine: str
    holder: str
    epoch: int


class MachineClient(Protocol):
    """The service that moves machines and takes them down.

    A ``not_done`` failure tells that a machine is as it was. One that is ``fenced`` has
    had an order under a higher epoch.
    """

    async def list_machines(
        self, timeout: timedelta
    ) -> Result[list[Machine], CallFailed]:
        """Return all machines."""

    async def move(
        self, call: MachineCall, service: str, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Give a machine to another service; what runs there ends."""

    async def start_maintenance(
        self, call: MachineCall, wave: int, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Have a machine maintained in a wave; what runs there ends."""
