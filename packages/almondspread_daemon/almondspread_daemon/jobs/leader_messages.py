"""Handles the messages that an instance receives from the leader.

An instance that leads is also a member of its own session, and gets the same messages.
"""

from collections.abc import Callable

from loguru import logger

from almondspread.jobs.messages import (
    AcknowledgeEnds,
    AskPermits,
    PaceRun,
    StartRun,
    StopRun,
    UnwatchUpstream,
    WatchUpstream,
)
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.links import (
    AskOperatorRows,
    Beat,
    LeaderLink,
    Link,
    OperatorRowsSent,
    QueueLoads,
    Released,
    Resigned,
    RowWritten,
    SharedMessage,
    StatesChanged,
    Welcome,
)
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.state_cache import JobStateCache


class LeaderMessageDispatcher:
    """Passes each message of the leader to the component of the instance it is for.

    ``remember_peer`` is called with the addresses of members that the leader names.
    """

    def __init__(
        self,
        state_cache: JobStateCache,
        executor: Executor,
        relay: RowRelay,
        candidacy: Candidacy,
        exchange: OperatorExchange,
        remember_peer: Callable[[str], None],
    ) -> None:
        self._state_cache = state_cache
        self._executor = executor
        self._relay = relay
        self._candidacy = candidacy
        self._exchange = exchange
        self._remember_peer = remember_peer
        self._link: Link | None = None
        self._leader = ""

    def attach(self, leader: LeaderLink, name: str, welcome: Welcome) -> None:
        """Connect the components of the instance to a leader, the instance ``name``.

        Where it asks for them, it is told which runs the executor remembers.
        """
        self._link = leader.link
        self._leader = name
        self._relay.attach_leader(leader)
        if welcome.asks_runs:
            self._executor.report_remembered(leader.link.send, welcome.epoch)
        self._executor.attach_leader(leader.link.send, welcome.epoch)

    def detach(self) -> None:
        """Disconnect the components of the instance from the leader."""
        self._link = None
        self._state_cache.mark_stale()
        self._relay.detach_leader()
        self._executor.detach_leader()

    def dispatch(self, message: object) -> None:
        """Handle one message of the leader."""
        if isinstance(message, SharedMessage):
            message = message.message
        # An instance that leads has no link to itself, and knows what it knows.
        if self._link is not None:
            self._exchange.handle(message, self._leader, self._link.send)
        match message:
            case StatesChanged(whole=True):
                self._state_cache.replace(message.states)
            case StatesChanged():
                self._state_cache.update(message.states)
            case QueueLoads():
                self._state_cache.set_waits(message.waits)
            case Beat():
                self._state_cache.knows_all = message.knows_all
                self._relay.lease_holds = message.lease_holds
                self._remember_peer(message.member_address)
            case AskOperatorRows() | OperatorRowsSent():
                pass
            case RowWritten():
                self._relay.handle_answer(message)
            case Released():
                self._candidacy.record_release(message)
            case Resigned():
                self._candidacy.record_resignation(message.epoch)
            case (
                WatchUpstream()
                | UnwatchUpstream()
                | AskPermits()
                | StartRun()
                | StopRun()
                | PaceRun()
                | AcknowledgeEnds()
            ):
                self._executor.execute_order(message)
            case _:
                logger.warning(
                    "unexpected message of the leader ignored",
                    kind=type(message).__name__,
                )
