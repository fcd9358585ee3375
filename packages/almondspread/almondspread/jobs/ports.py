"""Interfaces of the platform services that the job scheduler depends on.

The protocols and their message types cover the transactional store, the directory of
the cell, the upstreams, the advice service and the machine service. The adapter of a
platform implements the protocols.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from attrs import define
from expression import Result

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.messages import RunEnd, RunSighting, UpstreamEntry
from almondspread.jobs.operator_rows import OperatorRow, OperatorRowStates
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.waves import Machine, MaintenanceWave


@define(frozen=True)
class RowName:
    """The key of a row in the store.

    A transaction can change rows of one ``partition``, also in several tables.
    """

    table: str
    partition: str
    key: str


@define(frozen=True)
class StoredRow:
    """A row as it was read; ``value`` is ``None`` if a change removed the row."""

    name: RowName
    value: bytes | None
    version: int


@define(frozen=True)
class RowPut:
    """Writes one row."""

    name: RowName
    value: bytes


@define(frozen=True)
class RowCondition:
    """Holds while a row has ``version``; a row that does not exist has version 0."""

    name: RowName
    version: int


@define(frozen=True)
class Transaction:
    """Changes that the store applies atomically if all conditions hold."""

    conditions: tuple[RowCondition, ...] = ()
    puts: tuple[RowPut, ...] = ()
    removals: tuple[RowName, ...] = ()


@define(frozen=True)
class Committed:
    """The version of an applied transaction, and the store's monotonic clock."""

    version: int
    store_time: timedelta


@define(frozen=True)
class ConditionsFailed:
    """The store rejected a transaction; ``rows`` are its conditions' current rows."""

    rows: tuple[StoredRow, ...]


@define(frozen=True)
class StoreUnavailable:
    """A call to the store failed.

    If ``not_done`` is true, the call had no effect. Otherwise its outcome is unknown,
    and the store may still carry it out. ``refused`` is true if the store answered and
    refused the call, and ``permanent`` if it will always refuse the same call.
    """

    reason: str
    not_done: bool
    refused: bool = False
    permanent: bool = False


@define(frozen=True)
class HistoryGone:
    """The store has compacted the requested changes; the reader must read all rows."""


@define(frozen=True)
class RowsPage:
    """A page of rows, all read at one ``version`` of the store.

    If ``has_more`` is true, the next page starts after the last key of this one.
    """

    rows: tuple[StoredRow, ...]
    has_more: bool
    version: int
    store_time: timedelta


@define(frozen=True)
class RowChanges:
    """The changed rows of a table, up to ``version``."""

    rows: tuple[StoredRow, ...]
    version: int


class RecordStore(Protocol):
    """The transactional store of the platform."""

    async def transact(
        self, transaction: Transaction, timeout: timedelta, repeats: bool = False
    ) -> Result[Committed, ConditionsFailed | StoreUnavailable]:
        """Apply a transaction atomically.

        ``repeats`` tells that the same transaction has been sent before, and has not
        been answered yet.
        """

    async def read(
        self, table: str, partition: str, start: str, end: str, timeout: timedelta
    ) -> Result[RowsPage, StoreUnavailable]:
        """Return the rows of a partition in key order; ``end`` is excluded.

        An empty ``start`` or ``end`` leaves that side unbounded.
        """

    async def list_partitions(
        self, table: str, timeout: timedelta
    ) -> Result[list[str], StoreUnavailable]:
        """Return the names of all partitions of a table."""

    async def follow(
        self, table: str, after: int, wait: timedelta, timeout: timedelta
    ) -> Result[RowChanges, HistoryGone | StoreUnavailable]:
        """Return the changes of a table after version ``after``.

        The call waits for a first change, for at most ``wait``.
        """


@define(frozen=True)
class AnswerTimes:
    """How long to wait until an answer ``begins``, and until it is ``whole``.

    An answer that has begun may be large, and its connection is alive.
    """

    begins: timedelta
    whole: timedelta


@define(frozen=True)
class OperatorInput:
    """Input of operators; ``configuration`` is ``None`` if there is no usable one."""

    configuration: Configuration | None
    waves: tuple[MaintenanceWave, ...] = ()


class CellDirectory(Protocol):
    """The directory in which operators and upstreams publish their entries."""

    async def list_upstreams(
        self, timeout: timedelta
    ) -> Result[list[UpstreamEntry], StoreUnavailable]:
        """Return the entries of all registered upstreams."""

    async def read_operator_rows(
        self, times: AnswerTimes
    ) -> Result[OperatorRowStates, StoreUnavailable]:
        """Return all rows that operators have written."""

    def make_wave_row(self, number: int, completed: bool) -> RowPut:
        """Return the row that shows operators the progress of a maintenance wave."""

    async def follow_operator_rows(
        self, after: int, wait: timedelta, times: AnswerTimes
    ) -> Result[OperatorRowStates, HistoryGone | StoreUnavailable]:
        """Return the rows that operators have changed after version ``after``.

        The call waits for a first change, for at most ``wait``.
        """

    def decode_operator_rows(self, rows: tuple[OperatorRow, ...]) -> OperatorInput:
        """Return what rows of operators say, without those that cannot be read."""


@define(frozen=True)
class CallFailed:
    """A call to an upstream or to another service failed.

    ``not_done`` is true only if the call certainly had no effect. ``fenced`` is true if
    the callee has seen a higher fencing token, ``replaced`` if another upstream
    answered and refused the call, ``restarted`` if a later incarnation of the same
    upstream answered, which may have carried out the call, and ``permanent`` if
    retrying the same call can never succeed. An ``unproven`` call was not sent, as its
    connection may lead to another incarnation.
    """

    reason: str
    not_done: bool
    fenced: bool = False
    replaced: bool = False
    permanent: bool = False
    restarted: bool = False
    unproven: bool = False


@define(frozen=True)
class RenewCall:
    """Renews the leases of all runs of an upstream, and asks for their state.

    The leases last until ``until`` on the upstream's clock; with ``None`` the call
    renews nothing. The upstream discards the run ends up to number ``acknowledged``,
    and waits at most ``wait`` for a further end before it answers.
    """

    fencing_token: int
    acknowledged: int
    until: timedelta | None
    wait: timedelta


@define(frozen=True)
class RenewAnswer:
    """The running runs of an upstream, its unacknowledged ends, and its clock.

    Unless it ``lists_all_ends``, there may be more of these than ``ends``: a run that
    it does not show may have ended in any way.
    """

    clock: timedelta
    running: tuple[RunSighting, ...]
    ends: tuple[RunEnd, ...]
    lists_all_ends: bool = True


@define(frozen=True)
class StartCall:
    """Starts a run under a lease until ``until`` on the upstream's clock.

    The upstream refuses a call that arrives after ``until``. ``checkpoint`` is the
    state from which the run resumes, and ``ticket`` the permit of the advice service;
    both may be empty. ``may_send`` is asked last thing before the call leaves, since it
    may wait for a connection; where it denies, the call fails as not done.
    """

    fencing_token: int
    task: TaskId
    run: int
    payload: str
    until: timedelta
    checkpoint: str = ""
    ticket: str = ""
    may_send: Callable[[], bool] = lambda: True


@define(frozen=True)
class StopCall:
    """Stops a run, or prevents it from starting if it has not arrived yet."""

    fencing_token: int
    task: TaskId
    run: int


@define(frozen=True)
class PaceCall:
    """Limits a run to ``percent`` of its full speed."""

    fencing_token: int
    task: TaskId
    run: int
    percent: int


class UpstreamClient(Protocol):
    """A client of the upstreams.

    Each call is addressed to the incarnation ``upstream``, and fails with ``replaced``
    if another upstream answers at ``address``, or with ``restarted`` if the answer is
    of another incarnation of the same upstream.
    """

    async def renew_leases(
        self, address: str, upstream: str, call: RenewCall, timeout: timedelta
    ) -> Result[RenewAnswer, CallFailed]:
        """Renew the leases of all runs; return what runs and what has ended."""

    async def start(
        self, address: str, upstream: str, call: StartCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Start a run; the call is idempotent."""

    async def stop(
        self, address: str, upstream: str, call: StopCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Stop a run, or prevent it from starting."""

    async def pace(
        self, address: str, upstream: str, call: PaceCall, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Limit the speed of a run."""


@define(frozen=True)
class Advice:
    """The permits for a step: tickets by upstream, and how long they are valid."""

    tickets: dict[str, str]
    validity: timedelta


class AdviceClient(Protocol):
    """A client of the advice service, which decides where a step may run."""

    async def request_permits(
        self,
        job: str,
        occurrence: int,
        step: int,
        upstreams: tuple[str, ...],
        timeout: timedelta,
    ) -> Result[Advice, CallFailed]:
        """Return the permits for those ``upstreams`` that may run a step."""


@define(frozen=True)
class MachineCall:
    """The common part of all orders for a machine.

    ``holder`` is the instance that gives the order, and ``epoch`` the fencing token
    under which it leads.
    """

    machine: str
    holder: str
    epoch: int


class MachineClient(Protocol):
    """A client of the service that reassigns and maintains machines.

    After a ``not_done`` failure the machine is unchanged. A ``fenced`` failure means
    that the machine has received an order under a higher epoch.
    """

    async def list_machines(
        self, timeout: timedelta
    ) -> Result[list[Machine], CallFailed]:
        """Return all machines."""

    async def move(
        self, call: MachineCall, service: str, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Move a machine to another service, which ends all runs on the machine."""

    async def start_maintenance(
        self, call: MachineCall, wave: int, timeout: timedelta
    ) -> Result[None, CallFailed]:
        """Take a machine down for a wave, which ends all runs on the machine."""
